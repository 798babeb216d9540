#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"

// The part of FlowBalancer that compares the ages of replicas: it grants
// nothing by an old one, and rejects grants that a newer one does not allow.
namespace foxtail::flow {

void
FlowBalancer::LearnNewest(TimePoint aNow, VmIp aPeer, Revision aNewest)
{
  mBrokerAge.Announce(aNow, aNewest, mDirectory);
  const bool isNewer = aNewest > KnownRevision(mDirectory);
  if (!isNewer || !IsHeldBack(aNow) ||
      aNow - mUrgentReadAt < kUrgentReadInterval) {
    return;
  }
  // A read of the publisher may still wait for the time-out of a connection
  // from before the partition ended. The peer is read beside it.
  mUrgentReadAt = aNow;
  mIsReading = true;
  mReadStarted = aNow;
  mActions.emplace_back(ReadPeer{ aPeer, mDirectory.ConfirmedRevision() });
}

void
FlowBalancer::UpdateSilentDomains(TimePoint aNow)
{
  const bool isOld =
    aNow - mDirectory.ConfirmedAt() > BrokerAge::kMaxReplicaAge;
  if (!isOld && !mHasSilentDomains) {
    return;
  }
  const auto silent =
    isOld ? mFleet.SilentDomains(aNow) : std::set<std::string>{};
  mHasSilentDomains = !silent.empty();
  mBroker.SetSilentDomains(silent);
}

void
FlowBalancer::CheckBrokerAge(TimePoint aNow)
{
  if (!mBrokerAge.Update(aNow, mDirectory)) {
    return;
  }
  const bool isHeldBack = IsHeldBack(aNow);
  Log(isHeldBack ? 4107 : 4108,
      absl::StrCat("replica=",
                   FormatRevision(KnownRevision(mDirectory)),
                   " announced=",
                   FormatRevision(mBrokerAge.Announced()),
                   " age_ms=",
                   ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count(),
                   " withheld=",
                   mCounters.mWithheldReplies));
}

VmIp
FlowBalancer::BrokerFor(TimePoint aNow, uint32_t aService) const
{
  const VmIp broker = mFleet.BrokerOf(aNow, aService);
  const bool mustTurnAway = broker == mFleet.Self().mIp && IsHeldBack(aNow);
  return mustTurnAway ? mFleet.BrokerOf(aNow, aService, /*aExcludesSelf=*/true)
                      : broker;
}

bool
FlowBalancer::MustReject(TimePoint aNow,
                         Cookie aUpstream,
                         Revision aBrokerNewest) const
{
  const Upstream* upstream = mDirectory.FindUpstream(aUpstream);
  return upstream != nullptr && mDirectory.NewestRevision() >= aBrokerNewest &&
         !Directory::TakesNewFlows(*upstream, aNow);
}

bool
FlowBalancer::IsRefusalOutdated(TimePoint aNow,
                                const PendingFlow& aPending,
                                Revision aBrokerNewest) const
{
  const auto session = mBrokerSessions.find(aPending.mServiceId);
  const bool isOlder = aBrokerNewest < mDirectory.NewestRevision();
  const bool isEarly = aNow - aPending.mFirstSentAt < SlotBroker::kMaxQueueWait;
  if (!isOlder || !isEarly || session == mBrokerSessions.end()) {
    return false;
  }
  const auto& upstreams = mDirectory.UpstreamsOf(session->second.mName);
  return std::any_of(upstreams.begin(), upstreams.end(), [&](Cookie it) {
    return Directory::TakesNewFlows(*mDirectory.FindUpstream(it), aNow);
  });
}

void
FlowBalancer::RejectGrant(TimePoint aNow,
                          PendingFlow& aPending,
                          Cookie aUpstream,
                          Revision aBrokerNewest)
{
  ++mCounters.mRejectedGrants;
  Log(4106,
      absl::StrCat(DescribeFlow(aPending.mKey),
                   " seq=",
                   aPending.mSequence,
                   " upstream_cookie=",
                   aUpstream,
                   " replica=",
                   FormatRevision(mDirectory.NewestRevision()),
                   " broker_replica=",
                   FormatRevision(aBrokerNewest)));
  BrokerSession& session = mBrokerSessions[aPending.mServiceId];
  auto& rejected = session.mRejected;
  const bool isListed =
    std::find(rejected.begin(), rejected.end(), aUpstream) != rejected.end();
  if (!isListed && rejected.size() < kMaxRejectedPerReport) {
    rejected.push_back(aUpstream);
  }
  const auto& excluded = aPending.mExcluded;
  const bool isRepeated =
    std::find(excluded.begin(), excluded.end(), aUpstream) != excluded.end();
  // A broker that grants an excluded upstream has no other, and one whose
  // grants are rejected again and again knows too little. The flow is then
  // requested again with the next full report.
  if (isRepeated || excluded.size() >= kMaxOffers) {
    return;
  }
  Exclude(aPending, aUpstream);
  aPending.mIsRequested = false;
  ScheduleReport(aNow, session, Duration(0));
}

void
FlowBalancer::Exclude(PendingFlow& aPending, Cookie aUpstream)
{
  auto& excluded = aPending.mExcluded;
  if (excluded.size() >= kMaxOffers) {
    excluded.erase(excluded.begin());
  }
  excluded.push_back(aUpstream);
}

void
FlowBalancer::WithdrawOffer(TimePoint aNow, PendingFlow& aPending)
{
  Exclude(aPending, aPending.mUpstream);
  aPending.mUpstream = 0;
  aPending.mIsRequested = false;
  mFlowTracker.RemoveFlow(aPending.mKey);
  ScheduleReport(aNow, mBrokerSessions[aPending.mServiceId], Duration(0));
}

} // namespace foxtail::flow

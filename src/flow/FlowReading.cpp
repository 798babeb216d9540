#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"

// The part of FlowBalancer that keeps its replica up to date.
namespace foxtail::flow {

Duration
FlowBalancer::ReadDelay(TimePoint aNow) const
{
  const size_t turn = std::min(mFleet.ReaderRank(aNow), kMaxReadRank);
  return kReadInterval + turn * Duration(kReadRankDelay);
}

Duration
FlowBalancer::RetryDelay(TimePoint aNow) const
{
  const size_t rank = mFleet.ReaderRank(aNow);
  const size_t beyond = rank < kMaxReadRank ? 0 : rank - kMaxReadRank;
  return (1 + std::min(beyond, kMaxRetrySpread)) * Duration(kReadRetryDelay);
}

Duration
FlowBalancer::PeerReadDelay(const Heartbeat& aHeartbeat,
                            bool aSendsListing) const
{
  if (aSendsListing) {
    return mHasPublisherFailed ? Duration(0) : Duration(kListingReadDelay);
  }
  // Reading from a peer in the own failure domain is cheaper. Other peers are
  // read only if no newer replica is announced there within one or two
  // heartbeats.
  const bool isNear = aHeartbeat.mSelf.mDomain == mFleet.Self().mDomain;
  return isNear ? Duration(0) : Duration(kOtherDomainReadDelay);
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const Heartbeat& aHeartbeat)
{
  for (Event& it : mFleet.OnHeartbeat(aNow, aFrom, aHeartbeat)) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  // The replica of a balancer that is not ready may be incomplete.
  if (!aHeartbeat.mSelf.mIsReady) {
    return;
  }
  LearnNewest(aNow, aFrom, aHeartbeat.mNewest);
  const Revision confirmed = mDirectory.ConfirmedRevision();
  // The peer would send a full listing, since it may not know each change after
  // the own confirmed revision. The publisher sends only the changes.
  const bool sendsListing =
    mDirectory.IsUsable() && aHeartbeat.mCompleteSince > confirmed;
  if (sendsListing) {
    ++mCounters.mConfirmationsNotTaken;
  }
  const bool shouldReadPeer = aHeartbeat.mNewest > confirmed ||
                              !mDirectory.IsUsable() ||
                              (sendsListing && mHasPublisherFailed);
  if (shouldReadPeer) {
    if (mNewerPeerFoundAt == TimePoint{}) {
      mNewerPeerFoundAt = aNow;
      mAnnounced = std::max(aHeartbeat.mNewest, aHeartbeat.mCompleteSince);
    }
    if (aNow - mNewerPeerFoundAt >= PeerReadDelay(aHeartbeat, sendsListing)) {
      mNewerPeer = aFrom;
      StartReadIfDue(aNow);
    }
    return;
  }
  if (sendsListing) {
    return;
  }
  // This replica already has every relevant change up to the revision that the
  // publisher confirmed to the peer, so it takes over that confirmation.
  ReplicaUpdate update;
  update.mConfirmed = aHeartbeat.mConfirmed;
  update.mAge = aHeartbeat.mConfirmedAge;
  for (Event& it : mDirectory.Apply(aNow, update, "peer")) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  if (mDirectory.ConfirmedRevision() >= mAnnounced) {
    mNewerPeerFoundAt = TimePoint{};
  }
}

void
FlowBalancer::StartReadIfDue(TimePoint aNow)
{
  const bool isStuck = mIsReading && aNow - mReadStarted >= kMaxReadTime;
  if (mIsReading && !isStuck) {
    return;
  }
  if (mNewerPeer != 0) {
    // While a fleet starts, every balancer lacks the whole replica. They spread
    // over all balancers that have it, so that none becomes a bottleneck.
    if (!mDirectory.IsUsable()) {
      mNewerPeer = mFleet.PickReadyMember(aNow).value_or(mNewerPeer);
    }
    mIsReading = true;
    mIsReadingPeer = true;
    mReadStarted = aNow;
    mActions.push_back(ReadPeer{ mNewerPeer, mDirectory.ConfirmedRevision() });
    mNewerPeer = 0;
    mNewerPeerFoundAt = TimePoint{};
    return;
  }
  const bool isOld = !mDirectory.IsUsable() ||
                     aNow - mDirectory.ConfirmedAt() >= ReadDelay(aNow);
  if (isOld && aNow >= mNextRead) {
    mIsReading = true;
    mIsReadingPeer = false;
    mReadStarted = aNow;
    const bool leavesItToSeeds =
      !mIsSeed && aNow - mStarted < kLongListingDelay;
    mActions.push_back(ReadPublisher{ mDirectory.ConfirmedRevision(),
                                      !mDirectory.IsUsable(),
                                      leavesItToSeeds ? kMaxStartupPages : 0 });
  }
}

FlowActions
FlowBalancer::OnReadResult(TimePoint aNow,
                           const std::optional<ReplicaUpdate>& aUpdate,
                           const std::string& aSource,
                           ReadOutcome aOutcome)
{
  mIsReading = false;
  const bool wasUsable = mDirectory.IsUsable();
  if (!aUpdate || !wasUsable) {
    const bool isTooLong = aOutcome == ReadOutcome::TooManyPages;
    const Duration delay =
      wasUsable ? RetryDelay(aNow) : Duration(kReadRetryDelay);
    mNextRead = aNow + (isTooLong ? Duration(kLongListingRetryDelay) : delay);
  }
  if (!aUpdate) {
    // Where the publisher can't be read, a peer's confirmation that can't be
    // taken over is obtained by reading that peer.
    mHasPublisherFailed = mHasPublisherFailed || !mIsReadingPeer;
    return TakeActions();
  }
  mHasPublisherFailed = false;
  mNewerPeerFoundAt = TimePoint{};
  const bool wasReady = IsReady();
  ReplicaUpdate update = *aUpdate;
  // The answer to a read may have waited during a pause.
  if (mResumedAt && mReadStarted < *mResumedAt) {
    update.mAge = std::max(update.mAge, ToMilliseconds(aNow - mReadStarted));
  }
  for (Event& it : mDirectory.Apply(aNow, update, aSource)) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  if (IsReady() && !wasReady) {
    Log(1101,
        absl::StrCat("upstreams=",
                     mDirectory.Upstreams().size(),
                     " version=",
                     mDirectory.CurrentConfiguration()->mVersion,
                     " replica=",
                     FormatRevision(mDirectory.ConfirmedRevision()),
                     " source=",
                     aSource,
                     " after_ms=",
                     ToMilliseconds(aNow - mStarted).count()));
    mFleet.SetReady(aNow, true);
  }
  return TakeActions();
}

} // namespace foxtail::flow

#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"
#include "foxtail/core/Hash.h"

// The part of FlowBalancer that routes new flows, offers them to upstreams and
// refuses them.
namespace foxtail::flow {

namespace {

// Seed of the hash that splits the flows of a route over its services.
constexpr uint64_t kTrafficSplitHashKey = 0x5917;

// Returns the service for a flow of this route, or "" if the route has no
// target. The result is the same on every balancer, so copies of an opening
// packet go to the same service.
std::string
PickService(const Route& aRoute, const FlowKey& aKey)
{
  uint64_t total = 0;
  for (const RouteTarget& it : aRoute.mTargets) {
    total += it.mWeight;
  }
  if (total == 0) {
    return "";
  }
  uint64_t at = MixHash(aKey.Hash(), kTrafficSplitHashKey) % total;
  for (const RouteTarget& it : aRoute.mTargets) {
    if (at < it.mWeight) {
      return it.mService;
    }
    at -= it.mWeight;
  }
  return "";
}

// Returns the time since the caller sent the first copy of this opening packet.
// Callers send copies at fixed times and number them in the acknowledgement
// field, which has no other use in an opening packet.
Duration
TimeSinceFirstCopy(const Packet& aPacket)
{
  constexpr milliseconds kCopyTimes[] = { milliseconds(0),
                                          milliseconds(200),
                                          milliseconds(600) };
  return kCopyTimes[std::min(aPacket.mAcknowledgement, 2U)];
}

} // namespace

void
FlowBalancer::OnOpeningPacket(TimePoint aNow, const Packet& aPacket)
{
  ++mCounters.mOpeningPackets;
  if (IsInBacklog(aNow)) {
    return;
  }
  RouteDeferredFlows(aNow);
  const auto known = mPendingByKey.find(aPacket.mKey);
  if (known != mPendingByKey.end()) {
    ForwardCopy(aNow, mPendingFlows.at(known->second));
    return;
  }
  PendingFlow pending;
  pending.mId = ++mLastPendingId;
  pending.mKey = aPacket.mKey;
  pending.mBytes = std::string(aPacket.mBytes);
  pending.mSequence = aPacket.mSequence;
  pending.mFirstSentAt = aNow - TimeSinceFirstCopy(aPacket);
  mPendingByKey[pending.mKey] = pending.mId;
  PendingFlow& entry = mPendingFlows[pending.mId] = std::move(pending);
  // Until the routes and brokers are known after the start, flows wait without
  // a route.
  if (CanPlace(aNow)) {
    ResolveRoute(aNow, entry);
  }
}

bool
FlowBalancer::CanPlace(TimePoint aNow) const
{
  return mDirectory.IsUsable() && aNow - mStarted >= kPlacementStartDelay &&
         !IsHolding(aNow);
}

void
FlowBalancer::ResolveRoute(TimePoint aNow, PendingFlow& aPending)
{
  const Route* route = mDirectory.FindRoute(aPending.mKey.mService);
  const std::string service =
    route != nullptr ? PickService(*route, aPending.mKey) : "";
  if (service.empty()) {
    ++mCounters.mRefusedNoRoute;
    const auto& configuration = mDirectory.CurrentConfiguration();
    Log(5102,
        absl::StrCat(DescribeFlow(aPending.mKey),
                     " seq=",
                     aPending.mSequence,
                     " reason=no-route version=",
                     configuration ? configuration->mVersion : 0,
                     " age_ms=",
                     ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count()));
    mActions.push_back(ResetFlow{ aPending.mKey });
    RemovePending(aPending.mId);
    return;
  }
  aPending.mServiceId = ServiceId(service);
  aPending.mObjective = route->mObjective;
  aPending.mPriority = route->mPriority;
  aPending.mIsIdempotent = route->mIsIdempotent;
  BrokerSession& session = SessionOf(service);
  ScheduleReport(aNow,
                 session,
                 session.mIsQueueing ? Duration(kQueuedRequestDelay)
                                     : Duration(0));
}

void
FlowBalancer::RouteDeferredFlows(TimePoint aNow)
{
  if (mHasRoutedDeferred || !CanPlace(aNow)) {
    return;
  }
  mHasRoutedDeferred = true;
  std::vector<uint64_t> ids;
  for (const auto& [id, pending] : mPendingFlows) {
    ids.push_back(id);
  }
  for (const uint64_t it : ids) {
    ResolveRoute(aNow, mPendingFlows.at(it));
  }
  SendDueReports(aNow);
}

void
FlowBalancer::ForwardCopy(TimePoint aNow, PendingFlow& aPending)
{
  if (aPending.mUpstream == 0) {
    return;
  }
  const Upstream* upstream = mDirectory.FindUpstream(aPending.mUpstream);
  if (upstream == nullptr) {
    return;
  }
  // The caller sends another copy because it got no answer, so the flow may
  // still open elsewhere.
  if (!Directory::TakesNewFlows(*upstream, aNow)) {
    WithdrawOffer(aNow, aPending);
    return;
  }
  ForwardTo(*upstream, aPending.mBytes);
}

void
FlowBalancer::Offer(TimePoint aNow,
                    PendingFlow& aPending,
                    Cookie aUpstream,
                    Revision aBrokerNewest)
{
  const Upstream* upstream = mDirectory.FindUpstream(aUpstream);
  if (upstream == nullptr) {
    // This replica does not have the granted upstream yet. The flow goes on
    // waiting, and the next full report requests a slot for it again.
    ScheduleReport(
      aNow, mBrokerSessions[aPending.mServiceId], kReleaseReportDelay);
    return;
  }
  if (MustReject(aNow, aUpstream, aBrokerNewest)) {
    RejectGrant(aNow, aPending, aUpstream, aBrokerNewest);
    return;
  }
  aPending.mUpstream = aUpstream;
  aPending.mOfferedAt = aNow;
  ++aPending.mOfferCount;
  ++mCounters.mTotalOffers;
  mCounters.mRepeatedOffers += aPending.mOfferCount > 1 ? 1 : 0;
  mFlowTracker.TrackOffer(aNow, aPending.mKey, aUpstream);
  mActions.push_back(
    ObserveLatency{ LatencyKind::Offer, aNow - aPending.mFirstSentAt });
  ForwardTo(*upstream, aPending.mBytes);
  Log(5101,
      absl::StrCat(DescribeFlow(aPending.mKey),
                   " seq=",
                   aPending.mSequence,
                   " upstream=",
                   upstream->mRecord.mId,
                   " offer=",
                   aPending.mOfferCount,
                   " waited_ms=",
                   ToMilliseconds(aNow - aPending.mFirstSentAt).count(),
                   " held_here=",
                   mFlowTracker.HeldSlots(aUpstream),
                   " replica=",
                   mDirectory.ConfirmedRevision(),
                   " age_ms=",
                   ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count()));
}

void
FlowBalancer::RefuseNoSlot(TimePoint aNow,
                           const PendingFlow& aPending,
                           const char* aReason)
{
  ++mCounters.mRefusedNoSlot;
  Log(5102,
      absl::StrCat(DescribeFlow(aPending.mKey),
                   " seq=",
                   aPending.mSequence,
                   " reason=",
                   aReason,
                   " waited_ms=",
                   ToMilliseconds(aNow - aPending.mFirstSentAt).count(),
                   " offers=",
                   aPending.mOfferCount,
                   " silent=",
                   MayBeOpen(aPending)));
  if (!MayBeOpen(aPending)) {
    mActions.push_back(ResetFlow{ aPending.mKey });
  }
}

bool
FlowBalancer::MayBeOpen(const PendingFlow& aPending) const
{
  return aPending.mOfferCount > 0 ||
         mFleet.DomainMembersChangedAt() + kFabricSettleTime >
           aPending.mFirstSentAt;
}

void
FlowBalancer::RemovePending(uint64_t aId)
{
  const auto it = mPendingFlows.find(aId);
  if (it != mPendingFlows.end()) {
    mPendingByKey.erase(it->second.mKey);
    mPendingFlows.erase(it);
  }
}

} // namespace foxtail::flow

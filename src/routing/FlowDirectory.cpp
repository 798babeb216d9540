#include "foxtail/routing/FlowDirectory.h"

#include <algorithm>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/DefaultUpstream.h"

namespace foxtail::routing {

namespace {

// A datagram that has been forwarded kMaxHopsToOwner times is no longer
// forwarded to the owner, only to a former owner that may know its flow. After
// kMaxHops times it is no longer forwarded at all.
constexpr unsigned kMaxHopsToOwner = 2;
constexpr unsigned kMaxHops = 4;
// Time until all balancers know of a planned leave. Until then the leaving
// balancer goes on serving the flows that it knows.
constexpr seconds kLeavePropagationTime{ 3 };
// Time until a changed configuration is in force at all balancers.
constexpr seconds kConfigPropagationTime{ 3 };

} // namespace

FlowDirectory::FlowDirectory(const FlowDirectorySettings& aSettings,
                             TimePoint aNow)
  : mSettings(aSettings)
  , mFlows(aSettings.mMaxFlows, aNow)
  , mRecords(aSettings.mMaxFlows, aNow)
  , mMayInheritUntil(aNow + aSettings.mFlowIdle)
  , mLastTick(aNow)
  , mLastWalk(aNow)
  , mLastRefresh(aNow)
{
}

void
FlowDirectory::UpdateRanking()
{
  OwnerRanking ranking(*mView, mSettings.mRegion);
  std::vector<Incarnation> owners = ranking.Candidates();
  const auto self = std::find(owners.begin(), owners.end(), mSettings.mSelf);
  if (mIsLeaving && self != owners.end()) {
    owners.erase(self);
  } else if (!mIsLeaving && self == owners.end()) {
    // The view may lag behind; this balancer knows that it is alive.
    owners.push_back(mSettings.mSelf);
  }
  mRanking = OwnerRanking(std::move(owners));
}

void
FlowDirectory::UpdateRankingBeforeJoins()
{
  // This balancer is always included, so that during its own leave it still
  // passes on the records of flows that it would own.
  std::vector<Incarnation> candidates = { mSettings.mSelf };
  for (const Incarnation it : mRanking.Candidates()) {
    const auto peer = mPeers.find(it);
    if (peer == mPeers.end() || !peer->second.mNeedsGrant) {
      candidates.push_back(it);
    }
  }
  mRankingBeforeJoins = OwnerRanking(std::move(candidates));
}

void
FlowDirectory::SetView(membership::ViewPtr aView, TimePoint aNow)
{
  if (mView && aView->mSequence < mView->mSequence) {
    return;
  }
  mView = std::move(aView);
  const OwnerRanking before = std::move(mRanking);
  UpdateRanking();
  RemoveDeparted(before, aNow);
  AddNewPeers(before, aNow);
  UpdateRankingBeforeJoins();
  if (before.Candidates() != mRanking.Candidates()) {
    RestartWalk();
  }
}

void
FlowDirectory::RemoveDeparted(const OwnerRanking& aBefore, TimePoint aNow)
{
  for (const Incarnation it : aBefore.Candidates()) {
    if (mRanking.Contains(it) || it == mSettings.mSelf) {
      continue;
    }
    mDeparted.push_back({ it, aNow });
    mPeers.erase(it);
    const auto awaited = mAwaitedGrants.find(it);
    if (awaited != mAwaitedGrants.end()) {
      awaited->second.mDeadline =
        std::min(awaited->second.mDeadline, aNow + kLeavePropagationTime);
    }
  }
  PruneFormerOwners();
}

bool
FlowDirectory::IsLeaving(Incarnation aPeer) const
{
  return std::any_of(
    mView->mMembers.begin(), mView->mMembers.end(), [&](const auto& it) {
      return it.mIncarnation == aPeer &&
             it.mState == membership::MemberState::Leaving;
    });
}

// Drops former owners that have left the ranking. A leaving balancer that does
// not have this balancer in its view yet has sent it no records, so a leaving
// balancer remains a former owner until its grant arrives.
void
FlowDirectory::PruneFormerOwners()
{
  std::vector<Incarnation> formerOwners;
  for (const Incarnation it : mFormerOwners.Candidates()) {
    const bool isAwaited = mAwaitedGrants.contains(it) && IsLeaving(it);
    if (mRanking.Contains(it) || isAwaited) {
      formerOwners.push_back(it);
    } else {
      mAwaitedGrants.erase(it);
    }
  }
  mFormerOwners = OwnerRanking(std::move(formerOwners));
}

void
FlowDirectory::AddNewPeers(const OwnerRanking& aBefore, TimePoint aNow)
{
  std::vector<Incarnation> formerOwners = mFormerOwners.Candidates();
  for (const Incarnation it : mRanking.Candidates()) {
    if (it == mSettings.mSelf || aBefore.Contains(it)) {
      continue;
    }
    // A balancer that started earlier, or that had been missing in the view,
    // may know flows that this balancer owns now. Incarnations grow with the
    // start time.
    const bool wasKnown = !mKnownIncarnations.insert(it).second;
    if (wasKnown || it < mSettings.mSelf) {
      mAwaitedGrants[it] = { aNow + mSettings.mGrantTimeout, !wasKnown };
      formerOwners.push_back(it);
    }
    mPeers[it].mNeedsGrant = true;
    mPeers[it].mGrantAfterWalk = mWalkGeneration + 1;
    mPeers[it].mDiscoveredAt = aNow;
  }
  mFormerOwners = OwnerRanking(std::move(formerOwners));
}

void
FlowDirectory::RestartWalk()
{
  ++mWalkGeneration;
  mNextWalkEntry = 0;
}

void
FlowDirectory::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  if (mSnapshot && aSnapshot->mVersion.mNumber < mSnapshot->mVersion.mNumber) {
    return;
  }
  if (aNow - mSnapshotSince >= kConfigPropagationTime || !mFormerSnapshot) {
    mFormerSnapshot = mSnapshot;
  }
  mSnapshotSince = aNow;
  mSnapshot = std::move(aSnapshot);
  mUpstreamById.clear();
  for (size_t i = 0; i < mSnapshot->mUpstreams.size(); ++i) {
    mUpstreamById.emplace(mSnapshot->mUpstreams[i].mId,
                          static_cast<config::UpstreamIndex>(i));
  }
  mServiceByAddress.clear();
  for (size_t i = 0; i < mSnapshot->mServices.size(); ++i) {
    mServiceByAddress.emplace(mSnapshot->mServices[i].mAddress,
                              static_cast<config::ServiceIndex>(i));
  }
  // Peers that joined recently need another grant, for the default upstreams of
  // the new configuration.
  for (auto& [incarnation, peer] : mPeers) {
    if (aNow - peer.mDiscoveredAt < mSettings.mGrantTimeout) {
      peer.mNeedsGrant = true;
      peer.mGrantAfterWalk = mWalkGeneration + 1;
    }
  }
  UpdateRankingBeforeJoins();
  RestartWalk();
}

config::ServiceIndex
FlowDirectory::FindService(const FlowKey& aFlow) const
{
  const auto it = mServiceByAddress.find(aFlow.mService);
  return it == mServiceByAddress.end() ? config::kNoIndex : it->second;
}

bool
FlowDirectory::BelongsToService(config::ServiceIndex aService,
                                uint32_t aUpstream) const
{
  const auto it = mUpstreamById.find(aUpstream);
  return it != mUpstreamById.end() &&
         mSnapshot->mUpstreams[it->second].mService == aService;
}

// The id of the default upstream in the service of aUpstream. Zero when
// aUpstream is not in the configuration.
uint32_t
FlowDirectory::DefaultUpstreamId(uint64_t aFlowHash, uint32_t aUpstream) const
{
  const auto it = mUpstreamById.find(aUpstream);
  if (it == mUpstreamById.end()) {
    return 0;
  }
  const config::UpstreamIndex index =
    DefaultUpstream(*mSnapshot,
                    mSnapshot->mUpstreams[it->second].mService,
                    RankHash(aFlowHash));
  return index == config::kNoIndex ? 0 : mSnapshot->mUpstreams[index].mId;
}

// Whether an unknown flow may be an existing flow at its default upstream, for
// which no flow record is sent.
bool
FlowDirectory::MayBeInherited(uint64_t aFlowHash, TimePoint aNow) const
{
  const Incarnation owner = mRanking.Owner(RankHash(aFlowHash));
  // This balancer serves a flow that another balancer owns in its view, so the
  // views of balancers differ. For an unknown flow, only the default upstream
  // is what any other balancer would choose too.
  if (!IsSelf(owner) || aNow < mMayInheritUntil) {
    return true;
  }
  return std::any_of(
    mDeparted.begin(), mDeparted.end(), [&](const DepartedPeer& aDeparted) {
      return aNow - aDeparted.mSince < mSettings.mFlowIdle &&
             OwnerRanking::Outranks(
               RankHash(aFlowHash), aDeparted.mIncarnation, owner);
    });
}

uint32_t
FlowDirectory::InheritedUpstreamId(config::ServiceIndex aService,
                                   uint64_t aFlowHash,
                                   TimePoint aNow) const
{
  const config::UpstreamIndex index =
    DefaultUpstream(*mSnapshot, aService, RankHash(aFlowHash));
  const uint32_t now =
    index == config::kNoIndex ? 0 : mSnapshot->mUpstreams[index].mId;
  if (!mFormerSnapshot || aNow - mSnapshotSince >= kConfigPropagationTime) {
    return now;
  }
  const config::ServiceIndex formerService =
    mFormerSnapshot->FindService(mSnapshot->mServices[aService].mAddress);
  if (formerService == config::kNoIndex) {
    return now;
  }
  const config::UpstreamIndex formerIndex =
    DefaultUpstream(*mFormerSnapshot, formerService, RankHash(aFlowHash));
  if (formerIndex == config::kNoIndex) {
    return now;
  }
  const uint32_t former = mFormerSnapshot->mUpstreams[formerIndex].mId;
  return BelongsToService(aService, former) ? former : now;
}

ServeHere
FlowDirectory::FindKnown(config::ServiceIndex aService,
                         uint64_t aFlowHash,
                         TimePoint aNow)
{
  if (FlowEntry* entry = mFlows.Find(aFlowHash)) {
    mFlows.Touch(*entry, aNow);
    return { BelongsToService(aService, entry->mUpstream) ? entry->mUpstream
                                                          : 0 };
  }
  const FlowEntry* record = mRecords.Find(RankHash(aFlowHash));
  const bool isUsable =
    record != nullptr && BelongsToService(aService, record->mUpstream);
  return { isUsable ? record->mUpstream : 0 };
}

ServeHere
FlowDirectory::Lookup(const FlowKey& aFlow, uint64_t aFlowHash, TimePoint aNow)
{
  const config::ServiceIndex service = FindService(aFlow);
  if (service == config::kNoIndex) {
    return {};
  }
  const ServeHere known = FindKnown(service, aFlowHash, aNow);
  if (known.mUpstream != 0 || !MayBeInherited(aFlowHash, aNow)) {
    return known;
  }
  return { InheritedUpstreamId(service, aFlowHash, aNow) };
}

// The balancer that owned the flow before this one, if it is still present and
// its grant has not arrived yet; zero otherwise.
Incarnation
FlowDirectory::FormerOwner(uint64_t aFlowHash) const
{
  if (mAwaitedGrants.empty()) {
    return 0;
  }
  const Incarnation former = mFormerOwners.Owner(RankHash(aFlowHash));
  return mAwaitedGrants.contains(former) ? former : 0;
}

// Whether this balancer goes on serving a flow that it knows although aOwner
// owns the flow now.
bool
FlowDirectory::KeepsKnownFlow(Incarnation aOwner,
                              unsigned aHops,
                              TimePoint aNow) const
{
  // The datagram was forwarded here, so the sender took this balancer for the
  // owner or a former owner.
  if (aHops > 0) {
    return true;
  }
  if (mIsLeaving && aNow - mLeaveSince < kLeavePropagationTime) {
    return true;
  }
  const auto peer = mPeers.find(aOwner);
  return peer != mPeers.end() && peer->second.mNeedsGrant;
}

RouteDecision
FlowDirectory::Route(const FlowKey& aFlow,
                     uint64_t aFlowHash,
                     unsigned aHops,
                     TimePoint aNow)
{
  const Incarnation owner = mRanking.Owner(RankHash(aFlowHash));
  if (owner == 0) {
    return NoOwner{};
  }
  const bool isKnown = mFlows.Find(aFlowHash) != nullptr ||
                       mRecords.Find(RankHash(aFlowHash)) != nullptr;
  if (!IsSelf(owner) && isKnown && KeepsKnownFlow(owner, aHops, aNow)) {
    return Lookup(aFlow, aFlowHash, aNow);
  }
  if (!IsSelf(owner) && aHops == 0) {
    return ForwardTo{ owner };
  }
  const Incarnation former = FormerOwner(aFlowHash);
  if (!isKnown && former != 0 && aHops < kMaxHops) {
    return ForwardTo{ former };
  }
  if (!IsSelf(owner) && aHops < kMaxHopsToOwner) {
    return ForwardTo{ owner };
  }
  return Lookup(aFlow, aFlowHash, aNow);
}

void
FlowDirectory::Bind(const FlowKey& aFlow,
                    uint64_t aFlowHash,
                    uint32_t aUpstream,
                    TimePoint aNow)
{
  FlowEntry* entry = mFlows.Find(aFlowHash);
  if (entry != nullptr && entry->mUpstream == aUpstream) {
    mFlows.Touch(*entry, aNow);
    return;
  }
  if (entry == nullptr) {
    entry = mFlows.Insert(aFlowHash, aUpstream, aNow);
  }
  ++mBinds;
  if (entry == nullptr) {
    return;
  }
  entry->mUpstream = aUpstream;
  entry->mNotifiedTag = 0;
  if (DefaultUpstreamId(aFlowHash, aUpstream) != aUpstream) {
    ++mNonDefaultBinds;
  }
  QueueFlowRecords(*entry);
}

} // namespace foxtail::routing

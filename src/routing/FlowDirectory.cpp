#include "foxtail/routing/FlowDirectory.h"

#include <algorithm>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/DefaultUpstream.h"

namespace foxtail::routing {

namespace {

// A datagram that was handed over twice stays where it is, unless a former
// owner may know its flow; after four times it stays in any case.
constexpr unsigned kLateHop = 2;
constexpr unsigned kLastHop = 4;
// A leaving balancer serves the flows that it knows until everybody has heard
// of the leave.
constexpr seconds kLeaveIsHeard{ 3 };
// A changed configuration is in force everywhere after this time.
constexpr seconds kConfigSettles{ 3 };

} // namespace

FlowDirectory::FlowDirectory(const FlowDirectorySettings& aSettings,
                             TimePoint aNow)
  : mSettings(aSettings)
  , mFlows(aSettings.mMaxFlows, aNow)
  , mRecords(aSettings.mMaxFlows, aNow)
  , mInheritsUntil(aNow + aSettings.mFlowIdle)
  , mLastTick(aNow)
  , mLastWalk(aNow)
  , mLastRefresh(aNow)
{
}

void
FlowDirectory::RankOwners()
{
  OwnerRanking ranking(*mView, mSettings.mRegion);
  std::vector<Incarnation> owners = ranking.Candidates();
  const auto self = std::find(owners.begin(), owners.end(), mSettings.mSelf);
  if (mLeaving && self != owners.end()) {
    owners.erase(self);
  } else if (!mLeaving && self == owners.end()) {
    // The view lags; this balancer knows best that it is alive.
    owners.push_back(mSettings.mSelf);
  }
  mRanking = OwnerRanking(std::move(owners));
}

void
FlowDirectory::RankSettled()
{
  // A leaving balancer still tells on what it would own.
  std::vector<Incarnation> settled = { mSettings.mSelf };
  for (const Incarnation it : mRanking.Candidates()) {
    const auto peer = mPeers.find(it);
    if (peer == mPeers.end() || !peer->second.mOwesGrant) {
      settled.push_back(it);
    }
  }
  mSettledRanking = OwnerRanking(std::move(settled));
}

void
FlowDirectory::SetView(membership::ViewPtr aView, TimePoint aNow)
{
  if (mView && aView->mSequence < mView->mSequence) {
    return;
  }
  mView = std::move(aView);
  const OwnerRanking before = std::move(mRanking);
  RankOwners();
  ForgetGone(before, aNow);
  MeetNew(before, aNow);
  RankSettled();
  if (before.Candidates() != mRanking.Candidates()) {
    RestartWalk();
  }
}

void
FlowDirectory::ForgetGone(const OwnerRanking& aBefore, TimePoint aNow)
{
  for (const Incarnation it : aBefore.Candidates()) {
    if (mRanking.Contains(it) || it == mSettings.mSelf) {
      continue;
    }
    mGone.push_back({ it, aNow });
    mPeers.erase(it);
    const auto wait = mAwaited.find(it);
    if (wait != mAwaited.end()) {
      wait->second.mUntil = std::min(wait->second.mUntil, aNow + kLeaveIsHeard);
    }
  }
  ForgetElders();
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

// A leaving balancer may not have met this one yet, so that nobody told of the
// flows that it served: it stays a former owner until its grant has come.
void
FlowDirectory::ForgetElders()
{
  std::vector<Incarnation> elders;
  for (const Incarnation it : mElders.Candidates()) {
    const bool isAwaited = mAwaited.contains(it) && IsLeaving(it);
    if (mRanking.Contains(it) || isAwaited) {
      elders.push_back(it);
    } else {
      mAwaited.erase(it);
    }
  }
  mElders = OwnerRanking(std::move(elders));
}

void
FlowDirectory::MeetNew(const OwnerRanking& aBefore, TimePoint aNow)
{
  std::vector<Incarnation> elders = mElders.Candidates();
  for (const Incarnation it : mRanking.Candidates()) {
    if (it == mSettings.mSelf || aBefore.Contains(it)) {
      continue;
    }
    // An older balancer, or one that was out of sight, may know flows that
    // this one owns now.
    const bool metBefore = !mMet.insert(it).second;
    if (metBefore || it < mSettings.mSelf) {
      mAwaited[it] = { aNow + mSettings.mGrantTimeout, !metBefore };
      elders.push_back(it);
    }
    mPeers[it].mOwesGrant = true;
    mPeers[it].mGrantAfterWalk = mWalkGeneration + 1;
    mPeers[it].mMet = aNow;
  }
  mElders = OwnerRanking(std::move(elders));
}

void
FlowDirectory::RestartWalk()
{
  ++mWalkGeneration;
  mWalkSlot = 0;
}

void
FlowDirectory::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  if (mSnapshot && aSnapshot->mVersion.mNumber < mSnapshot->mVersion.mNumber) {
    return;
  }
  if (aNow - mSnapshotSince >= kConfigSettles || !mFormerSnapshot) {
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
  // Peers that took flows over lately need a grant by the new defaults.
  for (auto& [incarnation, peer] : mPeers) {
    if (aNow - peer.mMet < mSettings.mGrantTimeout) {
      peer.mOwesGrant = true;
      peer.mGrantAfterWalk = mWalkGeneration + 1;
    }
  }
  RankSettled();
  RestartWalk();
}

config::ServiceIndex
FlowDirectory::FindService(const FlowKey& aFlow) const
{
  const auto it = mServiceByAddress.find(aFlow.mService);
  return it == mServiceByAddress.end() ? config::kNoIndex : it->second;
}

bool
FlowDirectory::Serves(config::ServiceIndex aService, uint32_t aUpstream) const
{
  const auto it = mUpstreamById.find(aUpstream);
  return it != mUpstreamById.end() &&
         mSnapshot->mUpstreams[it->second].mService == aService;
}

// Zero when the upstream is gone from the configuration.
uint32_t
FlowDirectory::DefaultOf(uint64_t aFlowHash, uint32_t aUpstream) const
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

// Whether an unknown flow may be an old one that nobody told of because its
// upstream was the default.
bool
FlowDirectory::Inherited(uint64_t aFlowHash, TimePoint aNow) const
{
  const Incarnation owner = mRanking.Owner(RankHash(aFlowHash));
  // Views differ; only the default is what anybody else would choose too.
  if (!IsOwner(owner) || aNow < mInheritsUntil) {
    return true;
  }
  return std::any_of(mGone.begin(), mGone.end(), [&](const Gone& g) {
    return aNow - g.mSince < mSettings.mFlowIdle &&
           OwnerRanking::Outranks(RankHash(aFlowHash), g.mIncarnation, owner);
  });
}

uint32_t
FlowDirectory::InheritedDefault(config::ServiceIndex aService,
                                uint64_t aFlowHash,
                                TimePoint aNow) const
{
  const config::UpstreamIndex index =
    DefaultUpstream(*mSnapshot, aService, RankHash(aFlowHash));
  const uint32_t now =
    index == config::kNoIndex ? 0 : mSnapshot->mUpstreams[index].mId;
  if (!mFormerSnapshot || aNow - mSnapshotSince >= kConfigSettles) {
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
  return Serves(aService, former) ? former : now;
}

ServeHere
FlowDirectory::Known(config::ServiceIndex aService,
                     uint64_t aFlowHash,
                     TimePoint aNow)
{
  if (FlowEntry* entry = mFlows.Find(aFlowHash)) {
    mFlows.Touch(*entry, aNow);
    return { Serves(aService, entry->mUpstream) ? entry->mUpstream : 0 };
  }
  const FlowEntry* record = mRecords.Find(RankHash(aFlowHash));
  const bool isUsable =
    record != nullptr && Serves(aService, record->mUpstream);
  return { isUsable ? record->mUpstream : 0 };
}

ServeHere
FlowDirectory::Lookup(const FlowKey& aFlow, uint64_t aFlowHash, TimePoint aNow)
{
  const config::ServiceIndex service = FindService(aFlow);
  if (service == config::kNoIndex) {
    return {};
  }
  const ServeHere known = Known(service, aFlowHash, aNow);
  if (known.mUpstream != 0 || !Inherited(aFlowHash, aNow)) {
    return known;
  }
  return { InheritedDefault(service, aFlowHash, aNow) };
}

// The balancer that owned the flow before this one did, if it lives and has
// not granted its flows yet; zero otherwise.
Incarnation
FlowDirectory::FormerOwner(uint64_t aFlowHash) const
{
  if (mAwaited.empty()) {
    return 0;
  }
  const Incarnation former = mElders.Owner(RankHash(aFlowHash));
  return mAwaited.contains(former) ? former : 0;
}

// Whether this balancer serves a flow that it knows although aOwner owns it.
bool
FlowDirectory::KeepsKnown(Incarnation aOwner,
                          unsigned aHops,
                          TimePoint aNow) const
{
  if (aHops > 0) {
    return true;
  }
  if (mLeaving && aNow - mLeaveSince < kLeaveIsHeard) {
    return true;
  }
  const auto peer = mPeers.find(aOwner);
  return peer != mPeers.end() && peer->second.mOwesGrant;
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
  if (!IsOwner(owner) && isKnown && KeepsKnown(owner, aHops, aNow)) {
    return Lookup(aFlow, aFlowHash, aNow);
  }
  if (!IsOwner(owner) && aHops == 0) {
    return HandTo{ owner };
  }
  const Incarnation former = FormerOwner(aFlowHash);
  if (!isKnown && former != 0 && aHops < kLastHop) {
    return HandTo{ former };
  }
  if (!IsOwner(owner) && aHops < kLateHop) {
    return HandTo{ owner };
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
  entry->mToldTag = 0;
  if (DefaultOf(aFlowHash, aUpstream) != aUpstream) {
    ++mDeviatingBinds;
  }
  TellServed(*entry);
}

} // namespace foxtail::routing

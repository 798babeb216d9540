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
// Flows looked at in one tick.
constexpr size_t kWalkStep = 4000;
// Time of one walk over all flows while nothing changes.
constexpr std::chrono::duration<double> kSlowWalk{ 30 };
// Bytes on the wire of one record and of one batch without records.
constexpr double kRecordBytes = 4;
constexpr double kBatchBytes = 70;
constexpr size_t kMaxBatchRecords = 1000;
// A changed configuration is in force everywhere after this time.
constexpr seconds kConfigSettles{ 3 };

uint32_t
TagOf(Incarnation aIncarnation)
{
  const auto tag = static_cast<uint32_t>(MixHash(aIncarnation, 1));
  return tag == 0 ? 1 : tag;
}

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

// Until a changed configuration has settled, a flow must agree with both the
// old and the new default to go untold.
bool
FlowDirectory::IsDeviating(const FlowEntry& aEntry) const
{
  const auto it = mUpstreamById.find(aEntry.mUpstream);
  if (it == mUpstreamById.end()) {
    return false;
  }
  const config::ServiceIndex service =
    mSnapshot->mUpstreams[it->second].mService;
  return DefaultOf(aEntry.mHash, aEntry.mUpstream) != aEntry.mUpstream ||
         InheritedDefault(service, aEntry.mHash, mLastTick) != aEntry.mUpstream;
}

// Tells whoever needs to know: the next owner when the flow is owned here; when
// it is not, its owner and the one after that, which may not have heard of the
// owner yet.
void
FlowDirectory::TellServed(FlowEntry& aEntry)
{
  if (!IsDeviating(aEntry)) {
    return;
  }
  const uint64_t rankHash = RankHash(aEntry.mHash);
  const Incarnation owner = mRanking.Owner(rankHash);
  const Incarnation next = mRanking.OwnerWithout(rankHash, owner);
  const uint32_t tag = IsOwner(owner) ? TagOf(next) : TagOf(owner ^ next);
  if (aEntry.mToldTag == tag) {
    return;
  }
  aEntry.mToldTag = tag;
  Tell(aEntry, next);
  Tell(aEntry, owner);
}

// A record is told on by the balancer that owns the flow, or that owned it
// before peers came that it owes a grant to.
void
FlowDirectory::TellRecord(FlowEntry& aEntry)
{
  if (IsOwner(mSettledRanking.Owner(aEntry.mHash))) {
    TellServed(aEntry);
  }
}

void
FlowDirectory::Tell(const FlowEntry& aEntry, Incarnation aTo)
{
  if (aTo != 0 && !IsOwner(aTo)) {
    mPeers[aTo].mPending.push_back(
      { FingerprintOf(aEntry.mHash), aEntry.mUpstream });
  }
}

// A sender that neither owns the flow nor tells its owner has an older view.
void
FlowDirectory::RelayRecord(const FlowEntry& aEntry, Incarnation aFrom)
{
  const Incarnation owner = mRanking.Owner(aEntry.mHash);
  if (owner == aFrom || IsOwner(owner)) {
    return;
  }
  Tell(aEntry, owner);
  mPeers[owner].mIsUrgent = true;
}

void
FlowDirectory::OnRecords(Incarnation aFrom,
                         const RecordBatch& aBatch,
                         TimePoint aNow)
{
  for (const FlowRecord& it : aBatch.mRecords) {
    FlowEntry* entry =
      mRecords.Insert(RankHash(it.mFingerprint), it.mUpstream, aNow);
    if (entry != nullptr) {
      entry->mUpstream = it.mUpstream;
      mRecords.Touch(*entry, aNow);
      RelayRecord(*entry, aFrom);
    }
  }
  // A grant by older defaults is followed by another one.
  const bool isCurrent =
    !mSnapshot || aBatch.mConfigNumber >= mSnapshot->mVersion.mNumber;
  if (aBatch.mGrant && isCurrent && mAwaited.erase(aFrom) != 0) {
    mInheritsUntil = std::max(mInheritsUntil, aNow + mSettings.mFlowIdle);
    ForgetElders();
  }
}

void
FlowDirectory::WalkFlow(FlowEntry& aEntry, TimePoint aNow)
{
  if (mFlows.IdleTime(aEntry, aNow) > mSettings.mFlowIdle) {
    mFlows.Erase(aEntry.mHash);
    return;
  }
  if (mRefreshing) {
    aEntry.mToldTag = 0;
  }
  TellServed(aEntry);
}

void
FlowDirectory::WalkRecord(FlowEntry& aEntry, TimePoint aNow)
{
  if (mRecords.IdleTime(aEntry, aNow) > 2 * mSettings.mRefresh) {
    mRecords.Erase(aEntry.mHash);
    return;
  }
  TellRecord(aEntry);
}

// After a change the walk hurries; otherwise it only forgets idle flows and
// refreshes records, and takes its time.
size_t
FlowDirectory::WalkStep(size_t aSlots, TimePoint aNow)
{
  const Duration elapsed = aNow - mLastWalk;
  mLastWalk = aNow;
  if (mWalksDone < mWalkGeneration) {
    mWalkCredit = 0;
    return kWalkStep;
  }
  mWalkCredit += static_cast<double>(aSlots) *
                 (std::chrono::duration<double>(elapsed) / kSlowWalk);
  const auto step = static_cast<size_t>(mWalkCredit);
  mWalkCredit -= static_cast<double>(step);
  return std::min(step, kWalkStep);
}

void
FlowDirectory::WalkSome(TimePoint aNow)
{
  const size_t slots = mFlows.Slots() + mRecords.Slots();
  const size_t end = std::min(mWalkSlot + WalkStep(slots, aNow), slots);
  for (; mWalkSlot < end; ++mWalkSlot) {
    const bool isRecord = mWalkSlot >= mFlows.Slots();
    FlowEntry& entry = isRecord ? mRecords.Slot(mWalkSlot - mFlows.Slots())
                                : mFlows.Slot(mWalkSlot);
    if (entry.mUpstream == 0) {
      continue;
    }
    isRecord ? WalkRecord(entry, aNow) : WalkFlow(entry, aNow);
  }
  if (mWalkSlot < slots) {
    return;
  }
  mWalksDone = mWalkGeneration;
  mWalkSlot = 0;
  mRefreshing = aNow - mLastRefresh >= mSettings.mRefresh;
  if (mRefreshing) {
    mLastRefresh = aNow;
  }
}

// Whether older balancers may still know flows that this one, new as it is,
// would have to grant.
bool
FlowDirectory::IsJoining() const
{
  return std::any_of(mAwaited.begin(), mAwaited.end(), [](const auto& it) {
    return it.second.mSinceJoin;
  });
}

void
FlowDirectory::TakeBatch(Incarnation aTo,
                         Peer& aPeer,
                         std::vector<RecordBatch>& aOut)
{
  const bool grant =
    aPeer.mOwesGrant && mWalksDone >= aPeer.mGrantAfterWalk && !IsJoining();
  if (aPeer.mPending.empty() && !grant) {
    return;
  }
  aPeer.mIsUrgent = false;
  RecordBatch batch;
  batch.mTo = aTo;
  batch.mConfigNumber = mSnapshot->mVersion.mNumber;
  mByteAllowance -= kBatchBytes;
  while (!aPeer.mPending.empty() && mByteAllowance > 0 &&
         batch.mRecords.size() < kMaxBatchRecords) {
    batch.mRecords.push_back(aPeer.mPending.front());
    aPeer.mPending.pop_front();
    mByteAllowance -= kRecordBytes;
  }
  batch.mGrant = grant && aPeer.mPending.empty();
  if (batch.mGrant) {
    aPeer.mOwesGrant = false;
    RankSettled();
  }
  aOut.push_back(std::move(batch));
}

std::vector<RecordBatch>
FlowDirectory::Tick(TimePoint aNow)
{
  std::vector<RecordBatch> batches;
  if (!mSnapshot || !mView) {
    return batches;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - mLastTick).count();
  const double rate = static_cast<double>(mSettings.mRecordBytesPerSecond);
  mByteAllowance = std::min(mByteAllowance + elapsed * rate, rate);
  mLastTick = aNow;
  WalkSome(aNow);
  ExpireWaits(aNow);
  const bool due = mLeaving || aNow - mLastSend >= mSettings.mSendInterval;
  if (due) {
    mLastSend = aNow;
  }
  TakeBatches(due, batches);
  return batches;
}

void
FlowDirectory::ExpireWaits(TimePoint aNow)
{
  const size_t awaited = mAwaited.size();
  mGone.erase(std::remove_if(mGone.begin(),
                             mGone.end(),
                             [&](const Gone& g) {
                               return aNow - g.mSince >= mSettings.mFlowIdle;
                             }),
              mGone.end());
  for (auto it = mAwaited.begin(); it != mAwaited.end();) {
    if (aNow < it->second.mUntil) {
      ++it;
      continue;
    }
    mInheritsUntil = std::max(mInheritsUntil, aNow + mSettings.mFlowIdle);
    mAwaited.erase(it++);
  }
  if (mAwaited.size() != awaited) {
    ForgetElders();
  }
}

// Goes on with the peer after the last one served, so that none has to wait
// for ever when the allowance is short.
void
FlowDirectory::TakeBatches(bool aDue, std::vector<RecordBatch>& aOut)
{
  auto it = mPeers.upper_bound(mLastServedPeer);
  for (size_t i = 0; i < mPeers.size(); ++i, ++it) {
    if (mByteAllowance < kBatchBytes + kRecordBytes) {
      return;
    }
    it = it == mPeers.end() ? mPeers.begin() : it;
    Peer& peer = it->second;
    if (aDue || peer.mOwesGrant || peer.mIsUrgent) {
      TakeBatch(it->first, peer, aOut);
      mLastServedPeer = it->first;
    }
  }
}

void
FlowDirectory::BeginLeave(TimePoint aNow)
{
  mLeaving = true;
  mLeaveSince = aNow;
  if (mView) {
    SetView(mView, aNow);
  }
  RestartWalk();
}

bool
FlowDirectory::LeaveComplete() const
{
  return mLeaving && mWalksDone >= mWalkGeneration && PendingRecords() == 0;
}

size_t
FlowDirectory::PendingRecords() const
{
  size_t n = 0;
  for (const auto& [incarnation, peer] : mPeers) {
    n += peer.mPending.size();
  }
  return n;
}

} // namespace foxtail::routing

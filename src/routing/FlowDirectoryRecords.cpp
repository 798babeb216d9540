// What a flow directory tells its peers, and what it takes from them.

#include <algorithm>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/FlowDirectory.h"

namespace foxtail::routing {

namespace {

// Flows looked at in one tick.
constexpr size_t kMaxWalkSlots = 4000;
// Time of one walk over all flows while nothing changes.
constexpr std::chrono::duration<double> kIdleWalkTime{ 30 };
// Bytes on the wire of one record and of one batch without records.
constexpr double kRecordBytes = 4;
constexpr double kBatchBytes = 70;
constexpr size_t kMaxBatchRecords = 1000;

uint32_t
TagOf(Incarnation aIncarnation)
{
  const auto tag = static_cast<uint32_t>(MixHash(aIncarnation, 1));
  return tag == 0 ? 1 : tag;
}

} // namespace

// Until a changed configuration has settled, a flow must agree with both the
// old and the new default to go untold.
bool
FlowDirectory::IsNonDefault(const FlowEntry& aEntry) const
{
  const auto it = mUpstreamById.find(aEntry.mUpstream);
  if (it == mUpstreamById.end()) {
    return false;
  }
  const config::ServiceIndex service =
    mSnapshot->mUpstreams[it->second].mService;
  return DefaultUpstreamId(aEntry.mHash, aEntry.mUpstream) !=
           aEntry.mUpstream ||
         InheritedUpstreamId(service, aEntry.mHash, mLastTick) !=
           aEntry.mUpstream;
}

// Tells whoever needs to know: the next owner when the flow is owned here; when
// it is not, its owner and the one after that, which may not have heard of the
// owner yet.
void
FlowDirectory::QueueFlowRecords(FlowEntry& aEntry)
{
  if (!IsNonDefault(aEntry)) {
    return;
  }
  const uint64_t rankHash = RankHash(aEntry.mHash);
  const Incarnation owner = mRanking.Owner(rankHash);
  const Incarnation next = mRanking.OwnerWithout(rankHash, owner);
  const uint32_t tag = IsSelf(owner) ? TagOf(next) : TagOf(owner ^ next);
  if (aEntry.mNotifiedTag == tag) {
    return;
  }
  aEntry.mNotifiedTag = tag;
  QueueRecord(aEntry, next);
  QueueRecord(aEntry, owner);
}

// A record is told on by the balancer that owns the flow, or that owned it
// before peers came that it owes a grant to.
void
FlowDirectory::QueueReceivedRecord(FlowEntry& aEntry)
{
  if (IsSelf(mSettledRanking.Owner(aEntry.mHash))) {
    QueueFlowRecords(aEntry);
  }
}

void
FlowDirectory::QueueRecord(const FlowEntry& aEntry, Incarnation aTo)
{
  if (aTo != 0 && !IsSelf(aTo)) {
    mPeers[aTo].mPending.push_back(
      { FingerprintOf(aEntry.mHash), aEntry.mUpstream });
  }
}

// A sender that neither owns the flow nor tells its owner has an older view.
void
FlowDirectory::RelayRecord(const FlowEntry& aEntry, Incarnation aFrom)
{
  const Incarnation owner = mRanking.Owner(aEntry.mHash);
  if (owner == aFrom || IsSelf(owner)) {
    return;
  }
  QueueRecord(aEntry, owner);
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
  if (aBatch.mGrant && isCurrent && mAwaitedGrants.erase(aFrom) != 0) {
    mMayInheritUntil = std::max(mMayInheritUntil, aNow + mSettings.mFlowIdle);
    PruneFormerOwners();
  }
}

void
FlowDirectory::WalkFlow(FlowEntry& aEntry, TimePoint aNow)
{
  if (mFlows.IdleTime(aEntry, aNow) > mSettings.mFlowIdle) {
    mFlows.Erase(aEntry.mHash);
    return;
  }
  if (mIsRefreshWalk) {
    aEntry.mNotifiedTag = 0;
  }
  QueueFlowRecords(aEntry);
}

void
FlowDirectory::WalkRecord(FlowEntry& aEntry, TimePoint aNow)
{
  if (mRecords.IdleTime(aEntry, aNow) > 2 * mSettings.mRefreshInterval) {
    mRecords.Erase(aEntry.mHash);
    return;
  }
  QueueReceivedRecord(aEntry);
}

// After a change the walk hurries; otherwise it only forgets idle flows and
// refreshes records, and takes its time.
size_t
FlowDirectory::SlotsToWalk(size_t aSlots, TimePoint aNow)
{
  const Duration elapsed = aNow - mLastWalk;
  mLastWalk = aNow;
  if (mWalksDone < mWalkGeneration) {
    mWalkCredit = 0;
    return kMaxWalkSlots;
  }
  mWalkCredit += static_cast<double>(aSlots) *
                 (std::chrono::duration<double>(elapsed) / kIdleWalkTime);
  const auto step = static_cast<size_t>(mWalkCredit);
  mWalkCredit -= static_cast<double>(step);
  return std::min(step, kMaxWalkSlots);
}

void
FlowDirectory::WalkSlots(TimePoint aNow)
{
  const size_t slots = mFlows.Slots() + mRecords.Slots();
  const size_t end = std::min(mNextWalkSlot + SlotsToWalk(slots, aNow), slots);
  for (; mNextWalkSlot < end; ++mNextWalkSlot) {
    const bool isRecord = mNextWalkSlot >= mFlows.Slots();
    FlowEntry& entry = isRecord ? mRecords.Slot(mNextWalkSlot - mFlows.Slots())
                                : mFlows.Slot(mNextWalkSlot);
    if (entry.mUpstream == 0) {
      continue;
    }
    isRecord ? WalkRecord(entry, aNow) : WalkFlow(entry, aNow);
  }
  if (mNextWalkSlot < slots) {
    return;
  }
  mWalksDone = mWalkGeneration;
  mNextWalkSlot = 0;
  mIsRefreshWalk = aNow - mLastRefresh >= mSettings.mRefreshInterval;
  if (mIsRefreshWalk) {
    mLastRefresh = aNow;
  }
}

// Whether older balancers may still know flows that this one, new as it is,
// would have to grant.
bool
FlowDirectory::IsJoining() const
{
  return std::any_of(mAwaitedGrants.begin(),
                     mAwaitedGrants.end(),
                     [](const auto& it) { return it.second.mPredatesSelf; });
}

void
FlowDirectory::TakeBatch(Incarnation aTo,
                         Peer& aPeer,
                         std::vector<RecordBatch>& aOut)
{
  const bool grant =
    aPeer.mGrantPending && mWalksDone >= aPeer.mGrantAfterWalk && !IsJoining();
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
    aPeer.mGrantPending = false;
    UpdateSettledRanking();
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
  WalkSlots(aNow);
  ExpireAwaitedGrants(aNow);
  const bool due = mIsLeaving || aNow - mLastSend >= mSettings.mSendInterval;
  if (due) {
    mLastSend = aNow;
  }
  TakeBatches(due, batches);
  return batches;
}

void
FlowDirectory::ExpireAwaitedGrants(TimePoint aNow)
{
  const size_t awaited = mAwaitedGrants.size();
  mDeparted.erase(std::remove_if(mDeparted.begin(),
                                 mDeparted.end(),
                                 [&](const DepartedPeer& g) {
                                   return aNow - g.mSince >=
                                          mSettings.mFlowIdle;
                                 }),
                  mDeparted.end());
  for (auto it = mAwaitedGrants.begin(); it != mAwaitedGrants.end();) {
    if (aNow < it->second.mDeadline) {
      ++it;
      continue;
    }
    mMayInheritUntil = std::max(mMayInheritUntil, aNow + mSettings.mFlowIdle);
    mAwaitedGrants.erase(it++);
  }
  if (mAwaitedGrants.size() != awaited) {
    PruneFormerOwners();
  }
}

// Goes on with the peer after the last one served, so that none has to wait
// for ever when the allowance is short.
void
FlowDirectory::TakeBatches(bool aDue, std::vector<RecordBatch>& aOut)
{
  auto it = mPeers.upper_bound(mLastBatchPeer);
  for (size_t i = 0; i < mPeers.size(); ++i, ++it) {
    if (mByteAllowance < kBatchBytes + kRecordBytes) {
      return;
    }
    it = it == mPeers.end() ? mPeers.begin() : it;
    Peer& peer = it->second;
    if (aDue || peer.mGrantPending || peer.mIsUrgent) {
      TakeBatch(it->first, peer, aOut);
      mLastBatchPeer = it->first;
    }
  }
}

void
FlowDirectory::BeginLeave(TimePoint aNow)
{
  mIsLeaving = true;
  mLeaveSince = aNow;
  if (mView) {
    SetView(mView, aNow);
  }
  RestartWalk();
}

bool
FlowDirectory::LeaveComplete() const
{
  return mIsLeaving && mWalksDone >= mWalkGeneration && PendingRecords() == 0;
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

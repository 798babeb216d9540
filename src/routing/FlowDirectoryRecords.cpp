// The part of FlowDirectory that sends and receives flow records and grants.

#include <algorithm>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/FlowDirectory.h"

namespace foxtail::routing {

namespace {

// Largest number of entries that one tick visits.
constexpr size_t kMaxWalkEntries = 4000;
// Duration of one walk over all entries while view and configuration don't
// change.
constexpr std::chrono::duration<double> kIdleWalkTime{ 30 };
// Bytes on the wire of one flow record, and of a batch without records.
constexpr double kRecordBytes = 4;
constexpr double kBatchBytes = 70;
constexpr size_t kMaxBatchRecords = 1000;

// Short, non-zero hash for FlowEntry::mNotifiedTag.
uint32_t
TagOf(Incarnation aIncarnation)
{
  const auto tag = static_cast<uint32_t>(MixHash(aIncarnation, 1));
  return tag == 0 ? 1 : tag;
}

} // namespace

// Whether a flow record must be sent for the flow. While a configuration change
// is spreading, none is needed only if the flow is at its default upstream both
// by the old and by the new configuration. None is sent if its upstream is not
// configured.
bool
FlowDirectory::NeedsRecord(const FlowEntry& aEntry) const
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

// Queues a record of the flow to the balancers that need it. If this balancer
// owns the flow, the next balancer in rank gets a record. If another balancer
// owns the flow, the owner and the next in rank get one, because the next in
// rank may not have the owner in its view yet. The tag stands for the
// receivers.
void
FlowDirectory::QueueFlowRecords(FlowEntry& aEntry)
{
  if (!NeedsRecord(aEntry)) {
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

// Passes a received record on if this balancer owns the flow, or owned the flow
// before the peers joined that still need a grant from this balancer.
void
FlowDirectory::QueueReceivedRecord(FlowEntry& aEntry)
{
  if (IsSelf(mRankingBeforeJoins.Owner(aEntry.mHash))) {
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

// Passes a received record on to the flow's owner, unless the owner is the
// sender or this balancer: a sender that doesn't address the owner has an older
// view.
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
  // A grant under an older configuration doesn't count, because its sender
  // sends another one once it has the current configuration.
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

// The number of entries to visit in this tick. After a change of the view or
// the configuration the walk runs at full speed. Otherwise it only erases idle
// flows and refreshes records, and takes kIdleWalkTime.
size_t
FlowDirectory::EntriesToWalk(size_t aEntryCount, TimePoint aNow)
{
  const Duration elapsed = aNow - mLastWalk;
  mLastWalk = aNow;
  if (mCompletedGeneration < mWalkGeneration) {
    mWalkCredit = 0;
    return kMaxWalkEntries;
  }
  mWalkCredit += static_cast<double>(aEntryCount) *
                 (std::chrono::duration<double>(elapsed) / kIdleWalkTime);
  const auto step = static_cast<size_t>(mWalkCredit);
  mWalkCredit -= static_cast<double>(step);
  return std::min(step, kMaxWalkEntries);
}

void
FlowDirectory::WalkEntries(TimePoint aNow)
{
  const size_t entryCount = mFlows.EntryCount() + mRecords.EntryCount();
  const size_t end =
    std::min(mNextWalkEntry + EntriesToWalk(entryCount, aNow), entryCount);
  for (; mNextWalkEntry < end; ++mNextWalkEntry) {
    const bool isRecord = mNextWalkEntry >= mFlows.EntryCount();
    FlowEntry& entry =
      isRecord ? mRecords.EntryAt(mNextWalkEntry - mFlows.EntryCount())
               : mFlows.EntryAt(mNextWalkEntry);
    if (entry.mUpstream == 0) {
      continue;
    }
    isRecord ? WalkRecord(entry, aNow) : WalkFlow(entry, aNow);
  }
  if (mNextWalkEntry < entryCount) {
    return;
  }
  mCompletedGeneration = mWalkGeneration;
  mNextWalkEntry = 0;
  mIsRefreshWalk = aNow - mLastRefresh >= mSettings.mRefreshInterval;
  if (mIsRefreshWalk) {
    mLastRefresh = aNow;
  }
}

// Whether this balancer still awaits grants from balancers that started
// earlier. Until these arrive, it may lack records that its own grants would
// have to cover, and therefore must not send grants.
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
  const bool grant = aPeer.mNeedsGrant &&
                     mCompletedGeneration >= aPeer.mGrantAfterWalk &&
                     !IsJoining();
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
    aPeer.mNeedsGrant = false;
    UpdateRankingBeforeJoins();
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
  WalkEntries(aNow);
  DropExpiredPeerState(aNow);
  const bool due = mIsLeaving || aNow - mLastSend >= mSettings.mSendInterval;
  if (due) {
    mLastSend = aNow;
  }
  TakeBatches(due, batches);
  return batches;
}

// Drops departed peers after mFlowIdle, and awaited grants at their deadlines.
void
FlowDirectory::DropExpiredPeerState(TimePoint aNow)
{
  const size_t awaited = mAwaitedGrants.size();
  mDeparted.erase(std::remove_if(mDeparted.begin(),
                                 mDeparted.end(),
                                 [&](const DepartedPeer& aDeparted) {
                                   return aNow - aDeparted.mSince >=
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

// Starts with the peer after the last one that was sent a batch, so that every
// peer gets its turn when the byte allowance is short.
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
    if (aDue || peer.mNeedsGrant || peer.mIsUrgent) {
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
  return mIsLeaving && mCompletedGeneration >= mWalkGeneration &&
         PendingRecords() == 0;
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

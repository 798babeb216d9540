#include "UpstreamTable.h"

#include <algorithm>

namespace foxtail::routing {

namespace {

// Backoff after an upstream has shed a request. It doubles with each
// consecutive shed request, up to kMaxShedDoublings times; an answer resets it.
constexpr milliseconds kShedBackoff{ 10 };
constexpr uint32_t kMaxShedDoublings = 6;
// Once long requests have held all slots of an upstream for this long, no slot
// is expected to become free soon.
constexpr milliseconds kMinFullTime{ 500 };

} // namespace

void
UpstreamTable::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  const bool first = mSnapshot == nullptr;
  std::vector<UpstreamState> states(aSnapshot->mUpstreams.size());
  absl::flat_hash_map<uint32_t, config::UpstreamIndex> indexes;
  for (config::UpstreamIndex it = 0; it < states.size(); ++it) {
    const uint32_t id = aSnapshot->mUpstreams[it].mId;
    indexes[id] = it;
    const config::UpstreamIndex before = Find(id);
    if (before != config::kNoIndex) {
      states[it] = std::move(mStates[before]);
    } else if (!first) {
      states[it].mSlowStart.Start(aNow);
    }
    states[it].mOwnInFlight = 0;
    states[it].mOwnLong = 0;
    states[it].mHeldByPeers =
      std::min(mPeerLoads.HeldSlots(id), aSnapshot->mUpstreams[it].mSlots);
  }
  mSnapshot = std::move(aSnapshot);
  mStates = std::move(states);
  mIndexById = std::move(indexes);
  mShare.SetSnapshot(*mSnapshot);
  mPools.assign(mSnapshot->mServices.size(), Pool{});
  for (config::ServiceIndex it = 0; it < mPools.size(); ++it) {
    RefreshPool(it);
  }
}

void
UpstreamTable::RestoreInFlight(config::UpstreamIndex aUpstream,
                               bool aLong,
                               TimePoint aNow)
{
  OnSent(aUpstream, aNow);
  if (aLong) {
    OnBecameLong(aUpstream, aNow);
  }
}

void
UpstreamTable::SetBalancers(const std::vector<uint64_t>& aIncarnations,
                            uint64_t aOwn)
{
  mShare.SetBalancers(aIncarnations, aOwn);
  if (mSnapshot) {
    mShare.SetSnapshot(*mSnapshot);
    for (config::ServiceIndex it = 0; it < mPools.size(); ++it) {
      RefreshPool(it);
    }
  }
}

void
UpstreamTable::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  const config::UpstreamIndex index = Find(aReport.mUpstream);
  if (index == config::kNoIndex) {
    return;
  }
  UpstreamState& state = mStates[index];
  state.mReports.OnReport(aReport.mInFlight, aReport.mSampledAt);
  state.mOutlier.OnReport(aReport.mHealthy, aReport.mSampledAt);
  state.mReportedDraining = aReport.mDraining;
  RefreshPool(mSnapshot->mUpstreams[index].mService);
}

void
UpstreamTable::OnPeerLoads(uint64_t aIncarnation,
                           const std::vector<LoadReport>& aLoads,
                           TimePoint aNow)
{
  UpdatePeerLoads(mPeerLoads.Set(aIncarnation, aLoads, aNow), aNow);
}

void
UpstreamTable::OnPeerGone(uint64_t aIncarnation, TimePoint aNow)
{
  UpdatePeerLoads(mPeerLoads.Remove(aIncarnation), aNow);
}

void
UpstreamTable::OnSent(config::UpstreamIndex aUpstream, TimePoint aNow)
{
  UpstreamState& state = mStates[aUpstream];
  const uint32_t borrowed = Borrowed(aUpstream);
  ++state.mOwnInFlight;
  state.mOutlier.OnSent(aNow);
  if (state.mCandidate) {
    Pool& pool = PoolOfUpstream(aUpstream);
    ++pool.mOwnInFlight;
    pool.mBorrowed += Borrowed(aUpstream) - borrowed;
  }
}

void
UpstreamTable::OnBecameLong(config::UpstreamIndex aUpstream, TimePoint aNow)
{
  UpstreamState& state = mStates[aUpstream];
  ++state.mOwnLong;
  UpdateFullSince(aUpstream, aNow);
  if (state.mCandidate) {
    ++PoolOfUpstream(aUpstream).mOwnLong;
  }
}

void
UpstreamTable::OnEnded(config::UpstreamIndex aUpstream, bool aLong)
{
  UpstreamState& state = mStates[aUpstream];
  const uint32_t ofLong = aLong ? 1 : 0;
  const uint32_t borrowed = Borrowed(aUpstream);
  --state.mOwnInFlight;
  state.mOwnLong -= ofLong;
  if (state.mOwnLong + state.mHeldByPeers < SlotsOf(aUpstream)) {
    state.mFullSince.reset();
  }
  if (state.mCandidate) {
    Pool& pool = PoolOfUpstream(aUpstream);
    --pool.mOwnInFlight;
    pool.mOwnLong -= ofLong;
    pool.mBorrowed -= borrowed - Borrowed(aUpstream);
  }
}

void
UpstreamTable::OnAnswer(config::UpstreamIndex aUpstream, TimePoint aNow)
{
  UpstreamState& state = mStates[aUpstream];
  const bool wasUnhealthy = state.mOutlier.IsUnhealthy();
  state.mConsecutiveSheds = 0;
  state.mOutlier.OnAnswer(aNow);
  if (wasUnhealthy) {
    RefreshPool(mSnapshot->mUpstreams[aUpstream].mService);
  }
}

void
UpstreamTable::OnPromptAnswer(config::UpstreamIndex aUpstream, TimePoint aSent)
{
  mStates[aUpstream].mReports.OnPromptAnswer(SlotsOf(aUpstream), aSent);
}

void
UpstreamTable::OnShed(config::UpstreamIndex aUpstream, TimePoint aNow)
{
  UpstreamState& state = mStates[aUpstream];
  const uint32_t doublings =
    std::min(state.mConsecutiveSheds, kMaxShedDoublings);
  state.mBlockedUntil = aNow + kShedBackoff * (1U << doublings);
  ++state.mConsecutiveSheds;
  state.mOutlier.OnAnswer(aNow);
}

void
UpstreamTable::OnFailure(config::UpstreamIndex aUpstream)
{
  mStates[aUpstream].mOutlier.OnFailure();
}

bool
UpstreamTable::UpdateEjections(TimePoint aNow,
                               std::vector<config::UpstreamIndex>& aEjected)
{
  UpdatePeerLoads(mPeerLoads.Expire(aNow), aNow);
  bool changed = false;
  for (config::UpstreamIndex it = 0; it < mStates.size(); ++it) {
    UpstreamState& state = mStates[it];
    const config::ServiceIndex service = mSnapshot->mUpstreams[it].mService;
    if (state.mOutlier.TryReturn(aNow)) {
      state.mSlowStart.Start(aNow);
      RefreshPool(service);
      changed = true;
    } else if (state.mOutlier.ShouldEject(aNow) && MayEject(it)) {
      state.mOutlier.Eject(aNow);
      RefreshPool(service);
      aEjected.push_back(it);
      changed = true;
    }
  }
  return changed;
}

config::UpstreamIndex
UpstreamTable::Find(uint32_t aId) const
{
  const auto it = mIndexById.find(aId);
  return it == mIndexById.end() ? config::kNoIndex : it->second;
}

int
UpstreamTable::FreeSlots(config::UpstreamIndex aUpstream, TimePoint aNow) const
{
  if (!MaySend(aUpstream, aNow)) {
    return 0;
  }
  const UpstreamState& state = mStates[aUpstream];
  const uint32_t slots = state.mSlowStart.UsableSlots(SlotsOf(aUpstream), aNow);
  const uint32_t others = std::min(SlotsHeldByPeers(aUpstream, aNow), slots);
  return static_cast<int>(slots) - static_cast<int>(others) -
         static_cast<int>(state.mOwnInFlight);
}

int
UpstreamTable::FreeOwnSlots(config::UpstreamIndex aUpstream,
                            bool aMayQueue,
                            TimePoint aNow) const
{
  if (!MaySend(aUpstream, aNow)) {
    return 0;
  }
  const UpstreamState& state = mStates[aUpstream];
  if (state.mFullSince && aNow - *state.mFullSince >= kMinFullTime) {
    return 0;
  }
  const uint32_t slots = SlotsOf(aUpstream);
  const bool mayQueue = aMayQueue && state.mOwnLong < slots;
  const uint32_t ownSlots =
    mayQueue ? mShare.OwnSlotsWithQueue(aUpstream) : mShare.OwnSlots(aUpstream);
  const uint32_t usableSlots =
    state.mSlowStart.UsableSlots(slots, aNow) + (mayQueue ? 1 : 0);
  return static_cast<int>(std::min(ownSlots, usableSlots)) -
         static_cast<int>(state.mOwnInFlight);
}

bool
UpstreamTable::MaySend(config::UpstreamIndex aUpstream, TimePoint aNow) const
{
  return mStates[aUpstream].mBlockedUntil <= aNow &&
         HasFreeConnection(aUpstream);
}

uint32_t
UpstreamTable::SlotsHeldByPeers(config::UpstreamIndex aUpstream,
                                TimePoint aNow) const
{
  const UpstreamState& state = mStates[aUpstream];
  const uint32_t reported = state.mReports.InFlight(aNow);
  const uint32_t unseen = reported - std::min(reported, state.mOwnInFlight);
  return std::max(state.mHeldByPeers, unseen);
}

bool
UpstreamTable::TakesNewFlows(config::UpstreamIndex aUpstream) const
{
  const UpstreamState& state = mStates[aUpstream];
  return !mSnapshot->mUpstreams[aUpstream].mDraining &&
         !state.mReportedDraining && !state.mOutlier.IsEjected() &&
         !state.mOutlier.IsUnhealthy();
}

bool
UpstreamTable::MayEject(config::UpstreamIndex aUpstream) const
{
  const config::Service& service =
    mSnapshot->mServices[mSnapshot->mUpstreams[aUpstream].mService];
  uint32_t live = 0;
  uint32_t ejected = 0;
  for (const config::UpstreamIndex it : service.mUpstreams) {
    const bool draining = mSnapshot->mUpstreams[it].mDraining;
    live += draining ? 0 : 1;
    ejected += !draining && mStates[it].mOutlier.IsEjected() ? 1 : 0;
  }
  // At most half of a service's upstreams are ejected: more failures than that
  // point to the network or to this balancer.
  return (ejected + 1) * 2 <= live;
}

uint32_t
UpstreamTable::Borrowed(config::UpstreamIndex aUpstream) const
{
  const uint32_t own = mStates[aUpstream].mOwnInFlight;
  return own - std::min(own, mShare.OwnSlots(aUpstream));
}

Pool&
UpstreamTable::PoolOfUpstream(config::UpstreamIndex aUpstream)
{
  return mPools[mSnapshot->mUpstreams[aUpstream].mService];
}

void
UpstreamTable::RefreshPool(config::ServiceIndex aService)
{
  const config::Service& service = mSnapshot->mServices[aService];
  const auto takesNew = [&](config::UpstreamIndex it) {
    return TakesNewFlows(it);
  };
  // Load reports and ejections must not leave a service without candidates; the
  // configuration may.
  const bool any =
    std::any_of(service.mUpstreams.begin(), service.mUpstreams.end(), takesNew);
  Pool pool;
  for (const config::UpstreamIndex it : service.mUpstreams) {
    UpstreamState& state = mStates[it];
    state.mCandidate =
      any ? takesNew(it) : !mSnapshot->mUpstreams[it].mDraining;
    if (state.mCandidate) {
      pool.mCandidates.push_back(it);
      pool.mSlots += mSnapshot->mUpstreams[it].mSlots;
      pool.mOwnInFlight += state.mOwnInFlight;
      pool.mOwnLong += state.mOwnLong;
      pool.mHeldByPeers += state.mHeldByPeers;
      pool.mBorrowed += Borrowed(it);
    }
  }
  mPools[aService] = std::move(pool);
}

void
UpstreamTable::UpdatePeerLoads(const PeerLoads::Ids& aIds, TimePoint aNow)
{
  for (const uint32_t it : aIds) {
    const config::UpstreamIndex index = Find(it);
    if (index == config::kNoIndex) {
      continue;
    }
    UpstreamState& state = mStates[index];
    const uint32_t before = state.mHeldByPeers;
    state.mHeldByPeers = std::min(mPeerLoads.HeldSlots(it), SlotsOf(index));
    UpdateFullSince(index, aNow);
    if (state.mCandidate) {
      Pool& pool = PoolOfUpstream(index);
      pool.mHeldByPeers += state.mHeldByPeers - before;
    }
  }
}

void
UpstreamTable::UpdateFullSince(config::UpstreamIndex aUpstream, TimePoint aNow)
{
  UpstreamState& state = mStates[aUpstream];
  if (state.mOwnLong + state.mHeldByPeers < SlotsOf(aUpstream)) {
    state.mFullSince.reset();
  } else if (!state.mFullSince) {
    state.mFullSince = aNow;
  }
}

uint32_t
UpstreamTable::SlotsOf(config::UpstreamIndex aUpstream) const
{
  return mSnapshot->mUpstreams[aUpstream].mSlots;
}

bool
UpstreamTable::HasFreeConnection(config::UpstreamIndex aUpstream) const
{
  const uint32_t all = mSnapshot->mUpstreams[aUpstream].mMaxConnections;
  const uint32_t own = std::max(1U, all / mShare.BalancerCount());
  return all == 0 || mStates[aUpstream].mOwnInFlight < own;
}

} // namespace foxtail::routing

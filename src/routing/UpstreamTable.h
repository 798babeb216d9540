#ifndef foxtail_routing_UpstreamTable_h
#define foxtail_routing_UpstreamTable_h

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "foxtail/config/Model.h"
#include "foxtail/routing/OutlierDetector.h"
#include "foxtail/routing/PeerLoads.h"
#include "foxtail/routing/ReportFilter.h"
#include "foxtail/routing/SlotShare.h"
#include "foxtail/routing/SlowStart.h"

namespace foxtail::routing {

// What the dispatcher knows of one upstream.
struct UpstreamState
{
  // Requests sent by this balancer and not ended, long ones included.
  uint32_t mOwnInFlight = 0;
  uint32_t mOwnLong = 0;
  uint32_t mPeersLong = 0;
  // Since when long work, of whomever, holds every slot.
  std::optional<TimePoint> mFullSince;
  // Takes new flows; only then do its requests count in the pool.
  bool mCandidate = false;
  bool mReportedDraining = false;
  // Shedding: nothing is sent before this time.
  TimePoint mBlockedUntil;
  uint32_t mConsecutiveSheds = 0;
  SlowStart mSlowStart;
  OutlierDetector mOutlier;
  ReportFilter mReports;
  // Requests that wait for this upstream alone, oldest first.
  std::deque<uint32_t> mBoundQueue;
};

// The candidates of one service, and the sums over them.
struct Pool
{
  // Upstreams that take new flows.
  std::vector<config::UpstreamIndex> mCandidates;
  uint32_t mSlots = 0;
  uint32_t mOwnInFlight = 0;
  uint32_t mOwnLong = 0;
  uint32_t mPeersLong = 0;
  // Requests at upstreams beyond this balancer's share of their slots.
  uint32_t mBorrowed = 0;
};

// All upstreams of the accepted configuration: which take new flows, and how
// many slots of each are believed free. State survives a new configuration by
// the upstream's id.
class UpstreamTable
{
public:
  // Afterwards nothing counts as in flight until it is restored.
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);
  // Counts a request that was sent under an earlier configuration.
  void RestoreInFlight(config::UpstreamIndex aUpstream,
                       bool aLong,
                       TimePoint aNow);
  void SetBalancers(const std::vector<uint64_t>& aIncarnations, uint64_t aOwn);
  void OnReport(const LoadReport& aReport, TimePoint aNow);
  void OnPeerLoads(uint64_t aIncarnation,
                   const std::vector<LoadReport>& aLoads,
                   TimePoint aNow);
  void OnPeerGone(uint64_t aIncarnation, TimePoint aNow);

  void OnSent(config::UpstreamIndex aUpstream, TimePoint aNow);
  void OnBecameLong(config::UpstreamIndex aUpstream, TimePoint aNow);
  void OnEnded(config::UpstreamIndex aUpstream, bool aLong);
  void OnAnswer(config::UpstreamIndex aUpstream, TimePoint aNow);
  // It answered a request sent at aSent at least as fast as most.
  void OnPromptAnswer(config::UpstreamIndex aUpstream, TimePoint aSent);
  // The upstream shed a request: leaves it alone for a while.
  void OnShed(config::UpstreamIndex aUpstream, TimePoint aNow);
  void OnFailure(config::UpstreamIndex aUpstream);
  // Ejects dead upstreams and lets ejected ones return; false when neither
  // happened. Ejected ones are added to aEjected.
  bool Review(TimePoint aNow, std::vector<config::UpstreamIndex>& aEjected);

  const config::SnapshotPtr& Snapshot() const { return mSnapshot; }
  const SlotShare& Share() const { return mShare; }
  UpstreamState& State(config::UpstreamIndex aIt) { return mStates[aIt]; }
  const UpstreamState& State(config::UpstreamIndex aIt) const
  {
    return mStates[aIt];
  }
  const Pool& PoolOf(config::ServiceIndex aService) const
  {
    return mPools[aService];
  }
  // kNoIndex when the id is unknown.
  config::UpstreamIndex Find(uint32_t aId) const;
  bool IsCandidate(config::UpstreamIndex aUpstream) const
  {
    return mStates[aUpstream].mCandidate;
  }
  // Slots believed free, whoever they are shared out to; below zero when more
  // is sent than there are slots.
  int FreeSlots(config::UpstreamIndex aUpstream, TimePoint aNow) const;
  // Slots of this balancer's own share that it does not use. What peers say
  // counts here only when long work has held every slot for some time: it
  // lags, and they take these slots only while others idle. aQueueOne adds
  // the places of SlotShare::OwnSlotsWithQueue while the upstream has a slot
  // that the own long work leaves.
  int FreeOwnSlots(config::UpstreamIndex aUpstream,
                   bool aQueueOne,
                   TimePoint aNow) const;

private:
  bool TakesNewFlows(config::UpstreamIndex aUpstream) const;
  bool MayEject(config::UpstreamIndex aUpstream) const;
  bool MaySend(config::UpstreamIndex aUpstream, TimePoint aNow) const;
  // Slots held by requests of peers.
  uint32_t SlotsHeldByPeers(config::UpstreamIndex aUpstream,
                            TimePoint aNow) const;
  uint32_t Borrowed(config::UpstreamIndex aUpstream) const;
  Pool& PoolOfUpstream(config::UpstreamIndex aUpstream);
  void RefreshPool(config::ServiceIndex aService);
  void UpdatePeerLoads(const PeerLoads::Ids& aIds, TimePoint aNow);
  void UpdateFullSince(config::UpstreamIndex aUpstream, TimePoint aNow);
  uint32_t SlotsOf(config::UpstreamIndex aUpstream) const;
  // The balancers share the upstream's connections evenly.
  bool HasFreeConnection(config::UpstreamIndex aUpstream) const;

  config::SnapshotPtr mSnapshot;
  std::vector<UpstreamState> mStates;
  std::vector<Pool> mPools;
  absl::flat_hash_map<uint32_t, config::UpstreamIndex> mIndexById;
  PeerLoads mPeerLoads;
  SlotShare mShare;
};

} // namespace foxtail::routing

#endif

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

// State of one upstream, as known to this balancer.
struct UpstreamState
{
  // This balancer's requests in flight at the upstream, including long ones.
  uint32_t mOwnInFlight = 0;
  // This balancer's long requests there.
  uint32_t mOwnLong = 0;
  // Slots held by requests of peers there, as the peers advertise them (see
  // DispatcherSettings::mAdvertiseOnlyLong); at most the number of slots.
  uint32_t mHeldByPeers = 0;
  // The time since which long requests of this balancer and its peers have held
  // every slot.
  std::optional<TimePoint> mFullSince;
  // Whether new flows may be sent to the upstream. If load reports and
  // ejections exclude every upstream of the service, all that are not draining
  // by configuration are candidates. Only candidates are summed in the Pool.
  bool mCandidate = false;
  bool mReportedDraining = false;
  // Backoff after a shed request: nothing is sent before this time.
  TimePoint mBlockedUntil;
  uint32_t mConsecutiveSheds = 0;
  SlowStart mSlowStart;
  OutlierDetector mOutlier;
  ReportFilter mReports;
  // Serial numbers of the requests that wait for this upstream only, oldest
  // first.
  std::deque<uint32_t> mBoundWaiting;
};

// The candidates of one service (see UpstreamState::mCandidate), with sums over
// them.
struct Pool
{
  std::vector<config::UpstreamIndex> mCandidates;
  uint32_t mSlots = 0;
  uint32_t mOwnInFlight = 0;
  uint32_t mOwnLong = 0;
  uint32_t mHeldByPeers = 0;
  // This balancer's requests beyond its share of the slots of each upstream.
  uint32_t mBorrowed = 0;
};

// The upstreams of the accepted configuration: which of them take new flows,
// and how many slots of each are believed free. A new configuration takes over
// the state of upstreams whose id it contains.
class UpstreamTable
{
public:
  // Applies a configuration and resets the counts of this balancer's requests
  // in flight; call RestoreInFlight for each of them afterwards.
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);
  // Counts a request that was sent before the latest SetSnapshot.
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
  // Call when a request that was sent at aSent has been answered within the
  // median time.
  void OnPromptAnswer(config::UpstreamIndex aUpstream, TimePoint aSent);
  // Call when the upstream has shed a request. Starts or prolongs its backoff.
  void OnShed(config::UpstreamIndex aUpstream, TimePoint aNow);
  void OnFailure(config::UpstreamIndex aUpstream);
  // Ejects failed upstreams and adds them to aEjected, ends ejections that are
  // over, and drops outdated loads of peers. Returns whether any upstream was
  // ejected or returned.
  bool UpdateEjections(TimePoint aNow,
                       std::vector<config::UpstreamIndex>& aEjected);

  const config::SnapshotPtr& Snapshot() const { return mSnapshot; }
  const SlotShare& Share() const { return mShare; }
  UpstreamState& State(config::UpstreamIndex aUpstream)
  {
    return mStates[aUpstream];
  }
  const UpstreamState& State(config::UpstreamIndex aUpstream) const
  {
    return mStates[aUpstream];
  }
  const Pool& PoolOf(config::ServiceIndex aService) const
  {
    return mPools[aService];
  }
  // The index of the upstream with this id, kNoIndex when the id is unknown.
  config::UpstreamIndex Find(uint32_t aId) const;
  bool IsCandidate(config::UpstreamIndex aUpstream) const
  {
    return mStates[aUpstream].mCandidate;
  }
  // Number of slots believed free, whichever balancer they are assigned to.
  // Zero during the upstream's backoff or when this balancer's share of its
  // connections is used up. Negative when more requests are in flight than
  // there are slots.
  int FreeSlots(config::UpstreamIndex aUpstream, TimePoint aNow) const;
  // Number of unused slots of this balancer's share; negative when it uses more
  // than its share. Zero during the backoff or at the connection limit. Ignores
  // the loads of peers, because these are outdated when they arrive and because
  // peers use slots of this share only while other slots are idle, with one
  // exception: returns zero once long requests have held every slot of the
  // upstream for kMinFullTime. With aMayQueue, the extra slot of
  // SlotShare::OwnSlotsWithQueue is included unless this balancer's long
  // requests hold every slot.
  int FreeOwnSlots(config::UpstreamIndex aUpstream,
                   bool aMayQueue,
                   TimePoint aNow) const;

private:
  bool TakesNewFlows(config::UpstreamIndex aUpstream) const;
  bool MayEject(config::UpstreamIndex aUpstream) const;
  bool MaySend(config::UpstreamIndex aUpstream, TimePoint aNow) const;
  // Number of slots that requests of peers are believed to hold.
  uint32_t SlotsHeldByPeers(config::UpstreamIndex aUpstream,
                            TimePoint aNow) const;
  uint32_t Borrowed(config::UpstreamIndex aUpstream) const;
  Pool& PoolOfUpstream(config::UpstreamIndex aUpstream);
  void RefreshPool(config::ServiceIndex aService);
  void UpdatePeerLoads(const PeerLoads::Ids& aIds, TimePoint aNow);
  void UpdateFullSince(config::UpstreamIndex aUpstream, TimePoint aNow);
  uint32_t SlotsOf(config::UpstreamIndex aUpstream) const;
  // Whether the upstream's connection limit, split evenly among the balancers,
  // allows another request of this balancer.
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

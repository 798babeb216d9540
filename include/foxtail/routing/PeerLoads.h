#ifndef foxtail_routing_PeerLoads_h
#define foxtail_routing_PeerLoads_h

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "foxtail/core/Time.h"
#include "foxtail/routing/Work.h"

namespace foxtail::routing {

// Slots held by requests of peers (by default only long ones), as advertised by
// the peers and summed for each upstream id.
class PeerLoads
{
public:
  // The loads of a peer that has sent none for this long are dropped.
  static constexpr seconds kMaxAge{ 3 };

  // Ids of upstreams whose sum may have changed.
  using Ids = std::vector<uint32_t>;

  // Replaces the loads of a peer.
  Ids Set(uint64_t aIncarnation,
          const std::vector<LoadReport>& aLoads,
          TimePoint aNow);
  Ids Remove(uint64_t aIncarnation);
  // Drops the loads of peers that have sent none for kMaxAge.
  Ids Expire(TimePoint aNow);

  // Number of slots that peers hold at the upstream with this id.
  uint32_t HeldSlots(uint32_t aUpstreamId) const;

private:
  struct Peer
  {
    std::vector<LoadReport> mLoads;
    TimePoint mLastHeard;
  };

  void Subtract(const Peer& aPeer, Ids& aChanged);

  absl::flat_hash_map<uint64_t, Peer> mPeers;
  absl::flat_hash_map<uint32_t, uint32_t> mHeldSlots;
};

} // namespace foxtail::routing

#endif

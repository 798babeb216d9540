#ifndef foxtail_routing_PeerLoads_h
#define foxtail_routing_PeerLoads_h

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "foxtail/core/Time.h"
#include "foxtail/routing/Work.h"

namespace foxtail::routing {

// The slots that peers say their long requests hold, summed by upstream id.
class PeerLoads
{
public:
  // A peer that says nothing for this long is taken to hold nothing.
  static constexpr seconds kMaxAge{ 3 };

  // Ids of upstreams whose sum may have changed.
  using Ids = std::vector<uint32_t>;

  // Replaces what the peer said before.
  Ids Set(uint64_t aIncarnation,
          const std::vector<LoadReport>& aLoads,
          TimePoint aNow);
  Ids Remove(uint64_t aIncarnation);
  // Drops peers that have been silent too long.
  Ids Expire(TimePoint aNow);

  // Slots held at the upstream with this id.
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

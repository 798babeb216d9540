#ifndef foxtail_routing_SlotShare_h
#define foxtail_routing_SlotShare_h

#include <cstdint>
#include <vector>

#include "foxtail/config/Model.h"

namespace foxtail::routing {

// Assigns the slots of all upstreams to the balancers; a slot is one request
// that an upstream can run at a time. The slots assigned to a balancer are its
// share. If all upstreams of a service have the same number of slots, the
// shares of two balancers in the service differ by at most one slot. All
// balancers with the same configuration and the same peers compute the same
// shares, so they need not exchange messages for that.
class SlotShare
{
public:
  // Sets the incarnations of all balancers. aOwn is this balancer's and may be
  // missing in aIncarnations. The slots are assigned by the next SetSnapshot.
  void SetBalancers(std::vector<uint64_t> aIncarnations, uint64_t aOwn);
  void SetSnapshot(const config::Snapshot& aSnapshot);

  uint32_t BalancerCount() const { return mBalancerCount; }
  // This balancer's share when aAmount is split evenly among all balancers.
  uint32_t ShareOf(uint32_t aAmount) const;
  // Number of the upstream's slots that are assigned to this balancer.
  uint32_t OwnSlots(config::UpstreamIndex aUpstream) const
  {
    return mOwnSlots[aUpstream];
  }
  // As OwnSlots, but including the upstream's extra slot if that is assigned to
  // this balancer. Each upstream has one extra slot, for a request that queues
  // at the upstream so that no slot idles for a round trip.
  uint32_t OwnSlotsWithQueue(config::UpstreamIndex aUpstream) const
  {
    return mOwnSlotsWithQueue[aUpstream];
  }

private:
  void AssignSlots(const config::Snapshot& aSnapshot,
                   const config::Service& aService);

  uint32_t mBalancerCount = 1;
  uint32_t mOwnRank = 0;
  std::vector<uint32_t> mOwnSlots;
  std::vector<uint32_t> mOwnSlotsWithQueue;
};

} // namespace foxtail::routing

#endif

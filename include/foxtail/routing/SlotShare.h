#ifndef foxtail_routing_SlotShare_h
#define foxtail_routing_SlotShare_h

#include <cstdint>
#include <vector>

#include "foxtail/config/Model.h"

namespace foxtail::routing {

// Shares out the slots of all upstreams among the balancers, evenly within
// one slot a service. Every balancer with the same configuration and the same
// peers computes the same shares, so no message is needed.
class SlotShare
{
public:
  // The balancers by incarnation; aOwn need not be among them.
  void SetBalancers(std::vector<uint64_t> aIncarnations, uint64_t aOwn);
  void SetSnapshot(const config::Snapshot& aSnapshot);

  uint32_t BalancerCount() const { return mBalancerCount; }
  // This balancer's part of aAmount things shared by all balancers.
  uint32_t ShareOf(uint32_t aAmount) const;
  // How many of the upstream's slots this balancer takes first.
  uint32_t OwnSlots(config::UpstreamIndex aUpstream) const
  {
    return mOwnSlots[aUpstream];
  }
  // The same with one slot more at each upstream: who may let a request wait
  // there, so that no slot idles for a round trip.
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

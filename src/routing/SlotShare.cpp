#include "foxtail/routing/SlotShare.h"

#include <algorithm>

#include "foxtail/core/Hash.h"

namespace foxtail::routing {

void
SlotShare::SetBalancers(std::vector<uint64_t> aIncarnations, uint64_t aOwn)
{
  aIncarnations.push_back(aOwn);
  std::sort(aIncarnations.begin(), aIncarnations.end());
  aIncarnations.erase(std::unique(aIncarnations.begin(), aIncarnations.end()),
                      aIncarnations.end());
  const auto own =
    std::lower_bound(aIncarnations.begin(), aIncarnations.end(), aOwn);
  mBalancerCount = static_cast<uint32_t>(aIncarnations.size());
  mOwnRank = static_cast<uint32_t>(own - aIncarnations.begin());
}

void
SlotShare::SetSnapshot(const config::Snapshot& aSnapshot)
{
  mOwnSlots.assign(aSnapshot.mUpstreams.size(), 0);
  mOwnSlotsWithQueue.assign(aSnapshot.mUpstreams.size(), 0);
  for (const config::Service& it : aSnapshot.mServices) {
    AssignSlots(aSnapshot, it);
  }
}

uint32_t
SlotShare::ShareOf(uint32_t aAmount) const
{
  // Rounded by rank so that the shares of all balancers add up to aAmount.
  return (aAmount + mOwnRank) / mBalancerCount;
}

void
SlotShare::AssignSlots(const config::Snapshot& aSnapshot,
                       const config::Service& aService)
{
  std::vector<config::UpstreamIndex> order = aService.mUpstreams;
  std::sort(order.begin(),
            order.end(),
            [&](config::UpstreamIndex a, config::UpstreamIndex b) {
              return aSnapshot.mUpstreams[a].mId < aSnapshot.mUpstreams[b].mId;
            });
  // The assignment starts at a different balancer for each service, so that the
  // slots of small services are spread over the balancers. The round with slot
  // == slots assigns the extra slot of OwnSlotsWithQueue.
  uint32_t next =
    static_cast<uint32_t>(StableHash(aService.mName) % mBalancerCount);
  bool more = true;
  for (uint32_t slot = 0; more; ++slot) {
    more = false;
    for (const config::UpstreamIndex it : order) {
      const uint32_t slots = aSnapshot.mUpstreams[it].mSlots;
      if (slot > slots) {
        continue;
      }
      more = true;
      const uint32_t own = next == mOwnRank ? 1 : 0;
      mOwnSlots[it] += slot < slots ? own : 0;
      mOwnSlotsWithQueue[it] += own;
      next = (next + 1) % mBalancerCount;
    }
  }
}

} // namespace foxtail::routing

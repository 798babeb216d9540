#ifndef foxtail_routing_UpstreamChoice_h
#define foxtail_routing_UpstreamChoice_h

#include <absl/container/inlined_vector.h>

#include "UpstreamTable.h"

namespace foxtail::routing {

// Upstreams that have shed a request.
using TriedUpstreams = absl::InlinedVector<config::UpstreamIndex, 2>;

// How a new flow's upstream is chosen.
struct ChoiceRules
{
  bool mPreferOwnSlots = true;
  // More requests may be sent than this balancer's share of the slots.
  bool mMayBorrow = true;
  // Requests wait here: those that share an upstream's extra place may let a
  // request wait there, see SlotShare::OwnSlotsWithQueue.
  bool mHasBacklog = false;
};

// Ranks the upstream as the place of a new request; zero when no slot of it
// is believed free. A slot of this balancer's own share ranks before more
// room, since peers may have taken the other slots meanwhile.
int
RankUpstream(const UpstreamTable& aTable,
             config::UpstreamIndex aUpstream,
             const TriedUpstreams& aTried,
             const ChoiceRules& aRules,
             TimePoint aNow);

// True when a slot of the flow's default upstream is believed free. More room
// elsewhere does not outweigh the record that a deviating flow costs.
bool
IsDefaultAvailable(const UpstreamTable& aTable,
                   config::UpstreamIndex aDefault,
                   const TriedUpstreams& aTried,
                   const ChoiceRules& aRules,
                   TimePoint aNow);

// The candidate of the highest rank, the default one when it is as good; ties
// are broken by aRandom. kNoIndex when none is believed free.
config::UpstreamIndex
ChooseUpstream(const UpstreamTable& aTable,
               config::ServiceIndex aService,
               config::UpstreamIndex aDefault,
               const TriedUpstreams& aTried,
               const ChoiceRules& aRules,
               uint64_t aRandom,
               TimePoint aNow);

} // namespace foxtail::routing

#endif

#ifndef foxtail_routing_UpstreamChoice_h
#define foxtail_routing_UpstreamChoice_h

#include <absl/container/inlined_vector.h>

#include "UpstreamTable.h"

namespace foxtail::routing {

// Upstreams that have shed a request.
using Tried = absl::InlinedVector<config::UpstreamIndex, 2>;

// How a new flow's upstream is chosen.
struct ChoiceRules
{
  bool mUseHomeSlots = true;
  // Requests wait here: a slot's round trip may be filled, see
  // UpstreamTable::Room.
  bool mQueueOne = false;
};

// True when the flow's default upstream is about as good as any: a slot of
// this balancer's share is believed free there, or more than one slot is.
bool
IsGoodDefault(const UpstreamTable& aTable,
              config::UpstreamIndex aDefault,
              const Tried& aTried,
              const ChoiceRules& aRules,
              TimePoint aNow);

// The candidate most likely to have a free slot, the default one when it is
// as good; ties are broken by aRandom. kNoIndex when none is believed free.
config::UpstreamIndex
ChooseUpstream(const UpstreamTable& aTable,
               config::ServiceIndex aService,
               config::UpstreamIndex aDefault,
               const Tried& aTried,
               const ChoiceRules& aRules,
               uint64_t aRandom,
               TimePoint aNow);

} // namespace foxtail::routing

#endif

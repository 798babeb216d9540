#ifndef foxtail_routing_UpstreamChoice_h
#define foxtail_routing_UpstreamChoice_h

#include <absl/container/inlined_vector.h>

#include "UpstreamTable.h"

namespace foxtail::routing {

// The upstreams that have shed a particular request.
using TriedUpstreams = absl::InlinedVector<config::UpstreamIndex, 2>;

// Rules for choosing the upstream of a new flow.
struct ChoiceRules
{
  // Rank free slots of this balancer's share before others.
  bool mPreferOwnSlots = true;
  // Slots beyond this balancer's share may be used.
  bool mMayBorrow = true;
  // Requests are queued in this balancer, so the extra slots of
  // SlotShare::OwnSlotsWithQueue may be used to let requests queue at
  // upstreams.
  bool mMayQueue = false;
};

// Ranks an upstream for a new request. Zero when the request must not be sent
// there: no usable slot is believed free, or the upstream has shed the request.
// A free slot of this balancer's share counts more than other free slots,
// because peers may have taken those in the meantime.
int
RankUpstream(const UpstreamTable& aTable,
             config::UpstreamIndex aUpstream,
             const TriedUpstreams& aTried,
             const ChoiceRules& aRules,
             TimePoint aNow);

// Whether a slot of the flow's default upstream is believed free. The default
// upstream is then used even if others have more free slots, because a flow at
// another upstream costs a flow record.
bool
IsDefaultAvailable(const UpstreamTable& aTable,
                   config::UpstreamIndex aDefault,
                   const TriedUpstreams& aTried,
                   const ChoiceRules& aRules,
                   TimePoint aNow);

// Chooses the default upstream if it is available, otherwise the candidate of
// the highest rank; aRandom breaks ties. Returns kNoIndex when no candidate has
// a usable slot that is believed free.
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

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
  // Requests may queue at upstreams, in the extra slots of
  // SlotShare::OwnSlotsWithQueue. True while requests wait in this balancer.
  bool mMayQueue = false;
};

// Ranks an upstream for a new request; higher is better. Zero when the request
// must not be sent there: no usable slot is believed free, or the upstream has
// shed the request. A free slot of this balancer's share counts more than a
// free slot of another share, which a peer may have taken in the meantime.
int
RankUpstream(const UpstreamTable& aTable,
             config::UpstreamIndex aUpstream,
             const TriedUpstreams& aTried,
             const ChoiceRules& aRules,
             TimePoint aNow);

// Whether the flow's default upstream is a candidate with a rank above zero.
// The default upstream is then used even if others have more free slots,
// because a flow at another upstream costs a flow record.
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

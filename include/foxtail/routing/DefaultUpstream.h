#ifndef foxtail_routing_DefaultUpstream_h
#define foxtail_routing_DefaultUpstream_h

#include "foxtail/config/Model.h"

namespace foxtail::routing {

// The upstream of a flow for which no flow record exists: the first by
// rendezvous hash among the service's upstreams that are not draining. All
// balancers with the same configuration compute the same result. Returns
// kNoIndex when every upstream of the service is draining or it has none.
config::UpstreamIndex
DefaultUpstream(const config::Snapshot& aSnapshot,
                config::ServiceIndex aService,
                uint64_t aRankHash);

} // namespace foxtail::routing

#endif

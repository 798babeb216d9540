#ifndef foxtail_routing_DefaultUpstream_h
#define foxtail_routing_DefaultUpstream_h

#include "foxtail/config/Model.h"

namespace foxtail::routing {

// The upstream of a flow for which no flow record exists: the first by
// rendezvous hash among the service's upstreams that are not draining.
// aRankHash is the flow's RankHash (FlowRecord.h). All balancers with the same
// configuration compute the same result. Returns kNoIndex when the service has
// no upstream or all are draining.
config::UpstreamIndex
DefaultUpstream(const config::Snapshot& aSnapshot,
                config::ServiceIndex aService,
                uint64_t aRankHash);

} // namespace foxtail::routing

#endif

#ifndef foxtail_routing_DefaultUpstream_h
#define foxtail_routing_DefaultUpstream_h

#include "foxtail/config/Model.h"

namespace foxtail::routing {

// The upstream that a flow has unless a record says otherwise: first by
// rendezvous hash among the service's upstreams that are not draining. Every
// balancer with the same configuration gives the same answer. kNoIndex when
// the service has no such upstream.
config::UpstreamIndex
DefaultUpstream(const config::Snapshot& aSnapshot,
                config::ServiceIndex aService,
                uint64_t aFlowHash);

} // namespace foxtail::routing

#endif

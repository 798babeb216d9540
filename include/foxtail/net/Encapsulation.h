#ifndef foxtail_net_Encapsulation_h
#define foxtail_net_Encapsulation_h

#include <cstdint>
#include <string>
#include <string_view>

#include "foxtail/core/FlowKey.h"

namespace foxtail::net {

// What a datagram carries in front of the caller's bytes on its way between
// the fabric and balancers and from balancer to balancer. The format is the
// PROXY protocol, version 2, for IPv4 datagrams; docs/PROTOCOLS.md.
struct Envelope
{
  FlowKey mFlow;
  // Times that the datagram was handed from balancer to balancer.
  uint8_t mHops = 0;
  // Bytes of the caller's datagram; a view into what was decoded.
  std::string_view mInner;
};

// Most times that a datagram may be handed over before it is dropped.
constexpr uint8_t kMaxHops = 4;

// Reads a datagram from the fabric (source is the caller, destination the
// service) or from a peer (the same with a hop count). Throws NetError 620
// when it is no PROXY header for IPv4 datagrams, 621 when it is cut short.
Envelope
Unwrap(std::string_view aDatagram);

// The datagram that hands aInner to a peer, or, with zero hops, what a fabric
// sends to a balancer.
void
WrapInbound(const FlowKey& aFlow,
            uint8_t aHops,
            std::string_view aInner,
            std::string& aOut);

// The datagram that returns aInner to the caller by way of the fabric: source
// is the service, destination the caller.
void
WrapReturn(const FlowKey& aFlow, std::string_view aInner, std::string& aOut);

// Reads what WrapReturn wrote; same errors as Unwrap.
Envelope
UnwrapReturn(std::string_view aDatagram);

} // namespace foxtail::net

#endif

#ifndef foxtail_net_Encapsulation_h
#define foxtail_net_Encapsulation_h

#include <cstdint>
#include <string>
#include <string_view>

#include "foxtail/core/FlowKey.h"

namespace foxtail::net {

// A datagram of a caller or an answer to it, as it travels between the fabric
// and balancers and from balancer to balancer: a header that names the flow,
// then the caller's bytes. The header's format is the PROXY protocol, version
// 2, for IPv4 datagrams; see docs/PROTOCOLS.md.
struct Envelope
{
  FlowKey mFlow;
  // Number of times the datagram was forwarded from balancer to balancer.
  uint8_t mHops = 0;
  // The datagram without the header; a view into the decoded bytes.
  std::string_view mInner;
};

// Number of times a datagram may be forwarded before it is dropped.
constexpr uint8_t kMaxHops = 4;

// Decodes a datagram from the fabric (the source is the caller, the destination
// the service) or from a peer (the same with a hop count). Throws NetError 620
// when the datagram does not start with a PROXY header for IPv4 datagrams, 621
// when the header is truncated.
Envelope
Unwrap(std::string_view aDatagram);

// Writes to aOut the datagram that forwards aInner to a peer or, with zero
// hops, the datagram that a fabric sends to a balancer.
void
WrapInbound(const FlowKey& aFlow,
            uint8_t aHops,
            std::string_view aInner,
            std::string& aOut);

// Writes to aOut the datagram that returns aInner to the caller through the
// fabric: the source is the service, the destination the caller.
void
WrapReturn(const FlowKey& aFlow, std::string_view aInner, std::string& aOut);

// Decodes a datagram that WrapReturn wrote. Throws the same errors as Unwrap.
Envelope
UnwrapReturn(std::string_view aDatagram);

} // namespace foxtail::net

#endif

#ifndef foxtail_net_FlowCodec_h
#define foxtail_net_FlowCodec_h

#include <string>
#include <string_view>

#include "foxtail/flow/PeerMessages.h"

namespace foxtail::net {

// Longest peer datagram that is sent; bytes. What exceeds it is left out and
// told later.
constexpr size_t kMaxFlowMessage = 1400;

// The datagram that carries a message between balancers of flows.
std::string
EncodeFlowMessage(const flow::PeerMessage& aMessage);

// Reads a datagram. Throws PeerError 740 when it is no such message, 741 when
// a number in it is out of range.
flow::PeerMessage
DecodeFlowMessage(std::string_view aBytes);

// A replica update as JSON, for exchange over HTTP.
std::string
EncodeReplica(const flow::ReplicaUpdate& aUpdate);

// Throws PeerError 742 when the text is no replica update.
flow::ReplicaUpdate
DecodeReplica(std::string_view aText);

} // namespace foxtail::net

#endif

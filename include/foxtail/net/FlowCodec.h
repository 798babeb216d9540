#ifndef foxtail_net_FlowCodec_h
#define foxtail_net_FlowCodec_h

#include <string>
#include <string_view>

#include "foxtail/flow/PeerMessages.h"

namespace foxtail::net {

// Maximum size of a datagram to a peer, in bytes; the sender drops longer ones.
// EncodeFlowMessage limits the lists of a slot report so that the report fits.
// The entries left out are sent in later reports.
constexpr size_t kMaxFlowMessage = 1400;

// Encodes a message between flow balancers as a datagram.
std::string
EncodeFlowMessage(const flow::PeerMessage& aMessage);

// Decodes a datagram. Throws PeerError 740 when it is not such a message, 741
// when a value in it is out of range.
flow::PeerMessage
DecodeFlowMessage(std::string_view aBytes);

// Encodes a replica update, for transfer over HTTP.
std::string
EncodeReplica(const flow::ReplicaUpdate& aUpdate);

// Returns bytes that, appended to an encoded replica update, replace its
// confirmed revision and age.
std::string
EncodeConfirmation(flow::Revision aConfirmed, milliseconds aAge);

// Decodes a replica update. Throws PeerError 742 when it is malformed.
flow::ReplicaUpdate
DecodeReplica(std::string_view aBytes);

} // namespace foxtail::net

#endif

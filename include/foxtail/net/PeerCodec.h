#ifndef foxtail_net_PeerCodec_h
#define foxtail_net_PeerCodec_h

#include <string>
#include <string_view>

#include "foxtail/net/PeerMessages.h"

// Encodes and decodes the messages of src/net/Peer.proto. Every Decode*
// function checks the size, the syntax and each field, so its result needs no
// further check of form. The Decode* functions throw PeerError:
//
//   700 the message is longer than the limit of its kind
//   701 the bytes are not a protobuf message of this type
//   702 a name, region or domain is empty, too long or not printable
//   703 an incarnation is zero where a live process must be named, or so great
//       that no greater one could follow
//   704 a member's state is out of range
//   705 a port is zero or above 65535
//   706 an IP address belongs to no VM (0.0.0.0/8, or 224.0.0.0 and
//       above, such as multicast and broadcast)
//   707 the message has more records than the limit
//   708 the kind of a gossip message is unknown
//   709 the target of a gossip message is missing or not a name
//   710 a configuration reply has both a document and patches, or a VM list
//       without its index
//   711 a revision or view sequence is zero, or a revision is so great that no
//       greater one could follow
//   712 an upstream is zero or named twice
namespace foxtail::net {

// Maximum size of a gossip datagram, in bytes. It fits one unfragmented packet.
constexpr size_t kMaxGossipSize = 1400;
// Maximum numbers of updates, members, loads and patches in one message.
// kMaxLoads also limits the upstreams in a FlowRecords message.
constexpr size_t kMaxGossipUpdates = 64;
constexpr size_t kMaxMembers = 4096;
constexpr size_t kMaxLoads = 16384;
constexpr size_t kMaxPatches = 65536;
// Maximum number of fingerprints in one FlowRecords message.
constexpr size_t kMaxFingerprints = 1 << 20;
// Maximum sizes of messages over nng, in bytes. A configuration document has at
// most 8 MiB and the VM list at most 1 MiB.
constexpr size_t kMaxConfigRequestSize = 256;
constexpr size_t kMaxConfigReplySize = 12 << 20;
constexpr size_t kMaxLocalRequestSize = 1024;
constexpr size_t kMaxLocalReplySize = 16 << 20;
constexpr size_t kMaxFlowRecordsSize = 8 << 20;
// Maximum length of a name, in bytes.
constexpr size_t kMaxNameLength = 63;
// Maximum incarnation and revision. A value near the maximum of its type would
// leave a process no greater incarnation for its next start, or no greater
// revision for its next statement.
constexpr uint64_t kMaxIncarnation = uint64_t(1) << 62;
constexpr uint32_t kMaxRevision = uint32_t(1) << 30;

std::string
Encode(const membership::Gossip& aGossip);
std::string
Encode(const ConfigRequest& aRequest);
std::string
Encode(const ConfigReply& aReply);
std::string
Encode(const LocalRequest& aRequest);
std::string
Encode(const LocalReply& aReply);
std::string
Encode(const FlowRecords& aRecords);

membership::Gossip
DecodeGossip(std::string_view aBytes);
ConfigRequest
DecodeConfigRequest(std::string_view aBytes);
ConfigReply
DecodeConfigReply(std::string_view aBytes);
LocalRequest
DecodeLocalRequest(std::string_view aBytes);
LocalReply
DecodeLocalReply(std::string_view aBytes);
FlowRecords
DecodeFlowRecords(std::string_view aBytes);

} // namespace foxtail::net

#endif

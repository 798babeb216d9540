#ifndef foxtail_net_PeerCodec_h
#define foxtail_net_PeerCodec_h

#include <string>
#include <string_view>

#include "foxtail/net/PeerMessages.h"

// Typed messages to and from the protobuf of src/net/Peer.proto. Every
// Decode* checks size, syntax and each field before it returns; what it
// returns needs no further check of form. They throw PeerError:
//
//   700 longer than the limit of its kind
//   701 no protobuf of this message
//   702 a name, region or domain that is empty, too long or not printable
//   703 an incarnation of zero where a live process must be named, or one so
//       great that no greater one could follow
//   704 a state out of range
//   705 a port that is zero or above 65535
//   706 an IP number that no VM can have (0.0.0.0/8, multicast, broadcast)
//   707 more records than the limit
//   708 an unknown kind of message
//   709 a target missing or not a name
//   710 a document that is no version's: JSON without a number, or patches
//       beside a document
//   711 a revision or view sequence of zero, or a revision so great that no
//       greater one could follow
//   712 one upstream or flow named twice, or an upstream of zero
namespace foxtail::net {

// A gossip datagram fits one unfragmented packet; bytes.
constexpr size_t kMaxGossipSize = 1400;
// Members, updates or loads in one message.
constexpr size_t kMaxGossipUpdates = 64;
constexpr size_t kMaxMembers = 4096;
constexpr size_t kMaxLoads = 16384;
constexpr size_t kMaxPatches = 65536;
// Fingerprints in one FlowRecords message.
constexpr size_t kMaxFingerprints = 1 << 20;
// Messages over nng; bytes. A configuration document is at most 8 MiB and the
// VM list at most 1 MiB.
constexpr size_t kMaxConfigRequestSize = 256;
constexpr size_t kMaxConfigReplySize = 12 << 20;
constexpr size_t kMaxLocalRequestSize = 1024;
constexpr size_t kMaxLocalReplySize = 16 << 20;
constexpr size_t kMaxFlowRecordsSize = 8 << 20;
// Length of a name; bytes.
constexpr size_t kMaxNameLength = 63;
// Greater ones would leave a process no room for its next life or statement.
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

#ifndef foxtail_flow_Packet_h
#define foxtail_flow_Packet_h

#include <cstdint>
#include <string_view>

#include "foxtail/core/FlowKey.h"

namespace foxtail::flow {

// Tells upstreams apart within a packet. Both ends of a flow repeat the last
// cookie they were sent, so any balancer can forward the flow's packets
// without a record of it. Zero is no cookie.
using Cookie = uint32_t;

// What forwarding needs to know of a caller's packet.
struct Packet
{
  FlowKey mKey;
  bool mHasSyn = false;
  bool mHasAck = false;
  bool mHasFin = false;
  bool mHasRst = false;
  uint32_t mSequence = 0;
  uint32_t mAcknowledgement = 0;
  Cookie mCookie = 0;
  // Bytes of data that it carries.
  uint32_t mPayloadLength = 0;
  // The whole packet as it came.
  std::string_view mBytes;
};

} // namespace foxtail::flow

#endif

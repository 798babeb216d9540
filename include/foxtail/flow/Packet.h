#ifndef foxtail_flow_Packet_h
#define foxtail_flow_Packet_h

#include <cstdint>
#include <string_view>

#include "foxtail/core/FlowKey.h"

namespace foxtail::flow {

// Identifies an upstream within a packet. Both ends of a flow echo the last
// cookie that they received, so every balancer can forward the packets of a
// flow without keeping state for it. Zero means that there is no cookie.
using Cookie = uint32_t;

// The fields of a caller's packet that forwarding depends on.
struct Packet
{
  FlowKey mKey;
  // Set in an opening packet, the first packet of a flow.
  bool mHasSyn = false;
  bool mHasAck = false;
  bool mHasFin = false;
  bool mHasRst = false;
  uint32_t mSequence = 0;
  uint32_t mAcknowledgement = 0;
  Cookie mCookie = 0;
  // Bytes of payload.
  uint32_t mPayloadLength = 0;
  // The complete packet as received.
  std::string_view mBytes;
};

} // namespace foxtail::flow

#endif

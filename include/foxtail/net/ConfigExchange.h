#ifndef foxtail_net_ConfigExchange_h
#define foxtail_net_ConfigExchange_h

#include "foxtail/config/Chain.h"
#include "foxtail/net/PeerMessages.h"

// Conversions between the types of the configuration chain and those of peer
// messages.
namespace foxtail::net {

membership::ConfigProgress
ToProgress(const config::ChainPoint& aPoint);

config::ChainPoint
ToPoint(const membership::ConfigProgress& aProgress);

// The VM list of the reply stays empty.
ConfigReply
ToReply(config::ChainAnswer aAnswer);

config::ChainAnswer
ToAnswer(ConfigReply aReply);

} // namespace foxtail::net

#endif

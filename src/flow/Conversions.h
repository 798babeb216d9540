#ifndef flow_Conversions_h
#define flow_Conversions_h

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"

#include "foxtail/core/FlowKey.h"
#include "foxtail/core/Hash.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/Records.h"

// Conversions shared by the source files of FlowBalancer and SlotBroker.
namespace foxtail::flow {

inline milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime);
}

// Identifies a service in peer messages. The result is the same in every
// process.
inline uint32_t
ServiceId(const std::string& aName)
{
  return static_cast<uint32_t>(StableHash(aName));
}

// Identifies a route in peer messages. The result is the same in every process.
inline uint32_t
RouteId(const Address& aService)
{
  return static_cast<uint32_t>(MixHash(aService.mIp, aService.mPort));
}

// Describes a flow in events.
inline std::string
DescribeFlow(const FlowKey& aKey)
{
  return absl::StrCat("caller=",
                      aKey.mCaller.ToString(),
                      " service_address=",
                      aKey.mService.ToString());
}

// Identifies an upstream as seen from the balancers of one failure domain.
inline uint64_t
BackoffKey(uint32_t aDomainId, Cookie aUpstream)
{
  return (static_cast<uint64_t>(aDomainId) << 32U) | aUpstream;
}

} // namespace foxtail::flow

#endif

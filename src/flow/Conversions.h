#ifndef flow_Conversions_h
#define flow_Conversions_h

#include <chrono>
#include <cstdint>
#include <string>

#include "foxtail/core/Hash.h"
#include "foxtail/core/Time.h"

// Small conversions that the parts of FlowBalancer share.
namespace foxtail::flow {

inline milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime);
}

// How messages name a service; the same in every process.
inline uint32_t
ServiceId(const std::string& aName)
{
  return static_cast<uint32_t>(StableHash(aName));
}

} // namespace foxtail::flow

#endif

#ifndef tests_FlowWorldPacket_h
#define tests_FlowWorldPacket_h

#include <cstdint>
#include <sstream>
#include <string>

#include "foxtail/core/Time.h"

namespace foxtail::test {

// Latency between a caller and a balancer or an upstream, one way.
constexpr milliseconds kCallerLatency{ 3 };

// Content of a simulated packet.
struct Content
{
  uint64_t mAttempt = 0;
  char mKind = '?';
  uint32_t mAcknowledged = 0;
};

inline std::string
Encode(const Content& aContent)
{
  std::ostringstream out;
  out << aContent.mAttempt << ' ' << aContent.mKind << ' '
      << aContent.mAcknowledged;
  return out.str();
}

inline bool
Decode(const std::string& aBytes, Content& aContent)
{
  std::istringstream in(aBytes);
  in >> aContent.mAttempt >> aContent.mKind >> aContent.mAcknowledged;
  return !in.fail() && Encode(aContent) == aBytes;
}

} // namespace foxtail::test

#endif

#ifndef flow_StateName_h
#define flow_StateName_h

#include "foxtail/flow/Records.h"

namespace foxtail::flow {

// The name of a state in log lines.
inline const char*
StateName(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::Ready:
      return "ready";
    case UpstreamState::Draining:
      return "draining";
    case UpstreamState::Unusable:
      break;
  }
  return "unusable";
}

} // namespace foxtail::flow

#endif

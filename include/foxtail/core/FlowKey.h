#ifndef foxtail_core_FlowKey_h
#define foxtail_core_FlowKey_h

#include <cstdint>
#include <utility>

#include "foxtail/core/Address.h"

namespace foxtail {

// Identifies a flow: all datagrams between one caller address and one service
// address.
struct FlowKey
{
  Address mCaller;
  Address mService;

  // Equal in all processes, so that all balancers rank the owners of a flow
  // alike.
  uint64_t Hash() const;

  friend bool operator==(const FlowKey& a, const FlowKey& b)
  {
    return a.mCaller == b.mCaller && a.mService == b.mService;
  }
  template<typename H>
  friend H AbslHashValue(H h, const FlowKey& a)
  {
    return H::combine(std::move(h), a.mCaller, a.mService);
  }
};

} // namespace foxtail

#endif

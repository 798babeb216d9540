#ifndef foxtail_core_FlowKey_h
#define foxtail_core_FlowKey_h

#include <cstdint>
#include <utility>

#include "foxtail/core/Address.h"

namespace foxtail {

// One flow: all datagrams between a caller's address and a service address.
struct FlowKey
{
  Address mCaller;
  Address mService;

  // The same in every process; ownership is ranked by it.
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

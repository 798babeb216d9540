#include "foxtail/core/FlowKey.h"

#include "foxtail/core/Hash.h"

namespace foxtail {

uint64_t
FlowKey::Hash() const
{
  const uint64_t caller = (uint64_t(mCaller.mIp) << 16) | mCaller.mPort;
  const uint64_t service = (uint64_t(mService.mIp) << 16) | mService.mPort;
  // The seed must be the same in all processes.
  return MixHash(MixHash(0x464F58, caller), service);
}

} // namespace foxtail

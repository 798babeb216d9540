#include "foxtail/config/Model.h"

#include <algorithm>

namespace foxtail::config {

ServiceIndex
Snapshot::FindService(const Address& aAddress) const
{
  const auto it =
    std::find_if(mServices.begin(), mServices.end(), [&](const Service& s) {
      return s.mAddress == aAddress;
    });
  return it == mServices.end()
           ? kNoIndex
           : static_cast<ServiceIndex>(it - mServices.begin());
}

UpstreamIndex
Snapshot::FindUpstream(uint32_t aId) const
{
  const auto it = std::find_if(mUpstreams.begin(),
                               mUpstreams.end(),
                               [&](const Upstream& u) { return u.mId == aId; });
  return it == mUpstreams.end()
           ? kNoIndex
           : static_cast<UpstreamIndex>(it - mUpstreams.begin());
}

} // namespace foxtail::config

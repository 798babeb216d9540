#include "foxtail/flow/RejectedUpstreams.h"

#include <iterator>

namespace foxtail::flow {

bool
RejectedUpstreams::Add(TimePoint aNow,
                       Cookie aUpstream,
                       Revision aNewest,
                       Revision aOwn)
{
  if (aNewest <= aOwn) {
    return false;
  }
  const auto [it, isFirst] =
    mRejections.emplace(aUpstream, Rejection{ aNewest, aNow });
  const bool isRenewed = !isFirst && (aNewest > it->second.mNewest ||
                                      aNow - it->second.mAt >= kRetention);
  if (!isFirst && !isRenewed) {
    return false;
  }
  const bool wasExcluded = isRenewed && IsExcluded(aNow, aUpstream, aOwn);
  it->second = { aNewest, aNow };
  return !wasExcluded;
}

bool
RejectedUpstreams::IsExcluded(TimePoint aNow,
                              Cookie aUpstream,
                              Revision aOwn) const
{
  const auto it = mRejections.find(aUpstream);
  return it != mRejections.end() && aOwn < it->second.mNewest &&
         aNow - it->second.mAt < kMaxExclusion;
}

void
RejectedUpstreams::Purge(TimePoint aNow)
{
  for (auto it = mRejections.begin(); it != mRejections.end();) {
    const bool isOld = aNow - it->second.mAt >= kRetention;
    it = isOld ? mRejections.erase(it) : std::next(it);
  }
}

} // namespace foxtail::flow

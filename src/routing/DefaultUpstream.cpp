#include "foxtail/routing/DefaultUpstream.h"

#include "foxtail/core/Hash.h"

namespace foxtail::routing {

config::UpstreamIndex
DefaultUpstream(const config::Snapshot& aSnapshot,
                config::ServiceIndex aService,
                uint64_t aRankHash)
{
  config::UpstreamIndex best = config::kNoIndex;
  uint64_t bestWeight = 0;
  for (const config::UpstreamIndex it :
       aSnapshot.mServices[aService].mUpstreams) {
    const config::Upstream& upstream = aSnapshot.mUpstreams[it];
    if (upstream.mDraining) {
      continue;
    }
    const uint64_t weight = MixHash(aRankHash, upstream.mId);
    if (best == config::kNoIndex || weight > bestWeight) {
      best = it;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace foxtail::routing

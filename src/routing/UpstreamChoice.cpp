#include "UpstreamChoice.h"

#include <algorithm>

namespace foxtail::routing {

namespace {

// Added to the rank of an upstream that has a free slot of this balancer's
// share, so that such a slot outweighs this many free slots elsewhere.
constexpr int kOwnSlotWeight = 2;

bool
WasTried(const TriedUpstreams& aTried, config::UpstreamIndex aUpstream)
{
  return std::find(aTried.begin(), aTried.end(), aUpstream) != aTried.end();
}

} // namespace

int
RankUpstream(const UpstreamTable& aTable,
             config::UpstreamIndex aUpstream,
             const TriedUpstreams& aTried,
             const ChoiceRules& aRules,
             TimePoint aNow)
{
  if (WasTried(aTried, aUpstream)) {
    return 0;
  }
  const int freeSlots = aTable.FreeSlots(aUpstream, aNow);
  if (aRules.mPreferOwnSlots &&
      aTable.FreeOwnSlots(aUpstream, aRules.mMayQueue, aNow) >= 1) {
    return kOwnSlotWeight + std::max(freeSlots, 0);
  }
  return aRules.mMayBorrow ? std::max(freeSlots, 0) : 0;
}

bool
IsDefaultAvailable(const UpstreamTable& aTable,
                   config::UpstreamIndex aDefault,
                   const TriedUpstreams& aTried,
                   const ChoiceRules& aRules,
                   TimePoint aNow)
{
  return aDefault != config::kNoIndex && aTable.IsCandidate(aDefault) &&
         RankUpstream(aTable, aDefault, aTried, aRules, aNow) >= 1;
}

config::UpstreamIndex
ChooseUpstream(const UpstreamTable& aTable,
               config::ServiceIndex aService,
               config::UpstreamIndex aDefault,
               const TriedUpstreams& aTried,
               const ChoiceRules& aRules,
               uint64_t aRandom,
               TimePoint aNow)
{
  if (IsDefaultAvailable(aTable, aDefault, aTried, aRules, aNow)) {
    return aDefault;
  }
  const auto& candidates = aTable.PoolOf(aService).mCandidates;
  config::UpstreamIndex best = config::kNoIndex;
  int bestScore = 0;
  for (size_t n = 0; n < candidates.size(); ++n) {
    const auto it = candidates[(aRandom + n) % candidates.size()];
    const int rank = RankUpstream(aTable, it, aTried, aRules, aNow);
    // Among equal ranks the default upstream wins, otherwise the first upstream
    // seen. A default upstream with a rank has already been returned above.
    const int score = rank == 0 ? 0 : 2 * rank + (it == aDefault ? 1 : 0);
    if (score > bestScore) {
      best = it;
      bestScore = score;
    }
  }
  return best;
}

} // namespace foxtail::routing

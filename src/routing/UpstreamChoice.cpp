#include "UpstreamChoice.h"

#include <algorithm>

namespace foxtail::routing {

namespace {

// A free slot of the own share outweighs this many others, which peers may
// have taken since.
constexpr int kHomeWeight = 2;
// Room from which on a collision with a peer's choice is unlikely.
constexpr int kSafeRoom = 2;

bool
WasTried(const Tried& aTried, config::UpstreamIndex aUpstream)
{
  return std::find(aTried.begin(), aTried.end(), aUpstream) != aTried.end();
}

bool
HasHomeSlot(const UpstreamTable& aTable, config::UpstreamIndex aUpstream)
{
  const UpstreamState& state = aTable.State(aUpstream);
  return state.mOwn < aTable.Share().Home(aUpstream);
}

} // namespace

bool
IsGoodDefault(const UpstreamTable& aTable,
              config::UpstreamIndex aDefault,
              const Tried& aTried,
              const ChoiceRules& aRules,
              TimePoint aNow)
{
  if (aDefault == config::kNoIndex || !aTable.IsCandidate(aDefault) ||
      WasTried(aTried, aDefault)) {
    return false;
  }
  const int room = aTable.Room(aDefault, aRules.mQueueOne, aNow);
  const bool home = aRules.mUseHomeSlots && HasHomeSlot(aTable, aDefault);
  return room >= kSafeRoom || (room >= 1 && home);
}

config::UpstreamIndex
ChooseUpstream(const UpstreamTable& aTable,
               config::ServiceIndex aService,
               config::UpstreamIndex aDefault,
               const Tried& aTried,
               const ChoiceRules& aRules,
               uint64_t aRandom,
               TimePoint aNow)
{
  if (IsGoodDefault(aTable, aDefault, aTried, aRules, aNow)) {
    return aDefault;
  }
  const auto& candidates = aTable.PoolOf(aService).mCandidates;
  config::UpstreamIndex best = config::kNoIndex;
  int bestScore = 0;
  for (size_t n = 0; n < candidates.size(); ++n) {
    const auto it = candidates[(aRandom + n) % candidates.size()];
    const int room = aTable.Room(it, aRules.mQueueOne, aNow);
    if (room < 1 || WasTried(aTried, it)) {
      continue;
    }
    const bool home = aRules.mUseHomeSlots && HasHomeSlot(aTable, it);
    // The default one wins ties, the first one otherwise.
    const int score =
      2 * (room + (home ? kHomeWeight : 0)) + (it == aDefault ? 1 : 0);
    if (score > bestScore) {
      best = it;
      bestScore = score;
    }
  }
  return best;
}

} // namespace foxtail::routing

#include "ServiceQueue.h"

#include <algorithm>
#include <cmath>

namespace foxtail::routing {

namespace {

// One balancer borrows at most this part of the idle slots at a time.
constexpr double kBorrowed = 0.5;

} // namespace

void
Demand::Update(uint32_t aShort, TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  const double keep =
    std::exp(-(Seconds(aNow - mUpdated) / Seconds(kAveraging)));
  mAverage = mAverage * keep + aShort * (1.0 - keep);
  mUpdated = aNow;
}

uint32_t
ShortLimit(const Pool& aPool,
           const SlotShare& aShare,
           double aDemand,
           bool aBacklog)
{
  const uint32_t held = aPool.mOwnLong + aPool.mPeersLong;
  const uint32_t open = aPool.mSlots - std::min(aPool.mSlots, held);
  const auto upstreams = static_cast<uint32_t>(aPool.mCandidates.size());
  const uint32_t extra = aBacklog ? std::min(upstreams, open) : 0;
  const double idle = open - aShare.Balancers() * aDemand;
  const auto borrowed = static_cast<uint32_t>(std::max(0.0, idle * kBorrowed));
  return std::max(1U, aShare.Part(open + extra) + borrowed);
}

} // namespace foxtail::routing

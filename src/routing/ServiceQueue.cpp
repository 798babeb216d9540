#include "ServiceQueue.h"

#include <algorithm>
#include <cmath>

namespace foxtail::routing {

namespace {

// Largest part of the idle slots that one balancer may borrow at a time.
constexpr double kMaxBorrowedShare = 0.5;

using Seconds = std::chrono::duration<double>;

} // namespace

void
Demand::OnSubmit(TimePoint aNow)
{
  mRecentRequests = RecentRequests(aNow) + 1.0;
  mUpdated = aNow;
}

double
Demand::InFlight(Duration aTook, TimePoint aNow) const
{
  return RecentRequests(aNow) * (Seconds(aTook) / Seconds(kAveragingTime));
}

double
Demand::RecentRequests(TimePoint aNow) const
{
  return mRecentRequests *
         std::exp(-(Seconds(aNow - mUpdated) / Seconds(kAveragingTime)));
}

uint32_t
BorrowLimit(const Pool& aPool, const SlotShare& aShare, double aDemand)
{
  const uint32_t held = aPool.mOwnLong + aPool.mHeldByPeers;
  const uint32_t freeOfLong = aPool.mSlots - std::min(aPool.mSlots, held);
  // At each upstream, one request may be on its way there or back without
  // keeping a slot busy.
  const size_t capacity = freeOfLong + aPool.mCandidates.size();
  const double idle = capacity - aShare.BalancerCount() * aDemand;
  const auto idleShare =
    static_cast<uint32_t>(std::max(0.0, idle * kMaxBorrowedShare));
  // Long requests occupy this balancer's own slots. The number by which it
  // exceeds the mean may be borrowed in exchange.
  const uint32_t meanLong = held / aShare.BalancerCount();
  const uint32_t excessLong =
    aPool.mOwnLong - std::min(aPool.mOwnLong, meanLong);
  return std::max({ idleShare, excessLong, aPool.mOwnInFlight == 0 ? 1U : 0U });
}

} // namespace foxtail::routing

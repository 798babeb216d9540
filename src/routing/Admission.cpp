#include "foxtail/routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace foxtail::routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Keeps the expected wait finite when nothing drains.
constexpr double kMinDrained = 0.01;
constexpr seconds kMaxExpected{ 60 };
// Stragglers among those ahead draw a wait out beyond what is expected; the
// bound is kept with this factor to spare.
constexpr double kMargin = 1.2;

} // namespace

Admission::Admission(Duration aMaxWait)
  : mMaxWait(aMaxWait)
{
}

void
Admission::OnBacklog(double aPerSecond, TimePoint aNow)
{
  mDrained = aPerSecond * Seconds(kAveraging).count();
  mUpdated = aNow;
}

void
Admission::OnDrained(TimePoint aNow)
{
  mDrained = Drained(aNow) + 1.0;
  mUpdated = aNow;
}

Duration
Admission::ExpectedWait(size_t aQueued, TimePoint aNow) const
{
  const double drained = std::max(Drained(aNow), kMinDrained);
  const Seconds wait = Seconds(kAveraging) * (aQueued / drained);
  return std::chrono::duration_cast<Duration>(
    std::min<Seconds>(wait, kMaxExpected));
}

bool
Admission::Admits(size_t aQueued, Duration aRemaining, TimePoint aNow) const
{
  const Seconds wait = ExpectedWait(aQueued, aNow);
  return wait * kMargin <= std::min(mMaxWait, aRemaining);
}

double
Admission::Drained(TimePoint aNow) const
{
  return mDrained * std::exp(-(Seconds(aNow - mUpdated) / Seconds(kAveraging)));
}

} // namespace foxtail::routing

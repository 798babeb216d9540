#include "foxtail/routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace foxtail::routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Keeps the expected wait finite when nothing drains.
constexpr double kMinDrained = 0.01;
constexpr seconds kMaxExpected{ 60 };

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
  return ExpectedWait(aQueued, aNow) <= std::min(mMaxWait, aRemaining);
}

double
Admission::Drained(TimePoint aNow) const
{
  return mDrained * std::exp(-(Seconds(aNow - mUpdated) / Seconds(kAveraging)));
}

} // namespace foxtail::routing

#include "foxtail/routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace foxtail::routing {

namespace {

using Seconds = std::chrono::duration<double>;

// Keeps the expected wait finite when no request leaves the queue.
constexpr double kMinRecentDequeues = 0.01;
constexpr seconds kMaxExpectedWait{ 60 };
// Safety factor on the expected wait: slow requests further ahead in the queue
// make the actual wait longer than expected.
constexpr double kMargin = 1.2;

} // namespace

Admission::Admission(Duration aMaxWait)
  : mMaxWait(aMaxWait)
{
}

void
Admission::OnBacklog(double aPerSecond, TimePoint aNow)
{
  mRecentDequeues = aPerSecond * Seconds(kAveragingTime).count();
  mUpdated = aNow;
}

void
Admission::OnDequeued(TimePoint aNow)
{
  mRecentDequeues = RecentDequeues(aNow) + 1.0;
  mUpdated = aNow;
}

Duration
Admission::ExpectedWait(size_t aQueued, TimePoint aNow) const
{
  const double recentDequeues =
    std::max(RecentDequeues(aNow), kMinRecentDequeues);
  const Seconds wait = Seconds(kAveragingTime) * (aQueued / recentDequeues);
  return std::chrono::duration_cast<Duration>(
    std::min<Seconds>(wait, kMaxExpectedWait));
}

bool
Admission::Admits(size_t aQueued, Duration aRemaining, TimePoint aNow) const
{
  const Seconds wait = ExpectedWait(aQueued, aNow);
  return wait * kMargin <= std::min(mMaxWait, aRemaining);
}

double
Admission::RecentDequeues(TimePoint aNow) const
{
  return mRecentDequeues *
         std::exp(-(Seconds(aNow - mUpdated) / Seconds(kAveragingTime)));
}

} // namespace foxtail::routing

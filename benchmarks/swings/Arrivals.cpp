#include "Arrivals.h"

#include <cmath>
#include <random>

namespace foxtail::swings {

namespace {

constexpr double kStragglerShare = 0.03;
constexpr int kStragglerFactor = 50;
constexpr double kCrestFactor = 5.0;
constexpr double kCrestRiseSeconds = 2.0;
constexpr double kCrestPeriodSeconds = 20.0;
// A returning request belongs to the flow of one of this many previous
// requests.
constexpr size_t kRecentRequests = 2000;

using Seconds = std::chrono::duration<double>;

// Returns the ratio of the rate to its base at aTime, in seconds since the
// start.
double
RateFactor(double aTime, bool aCrests)
{
  const double phase = std::fmod(aTime, kCrestPeriodSeconds);
  const double top = kCrestPeriodSeconds / 2;
  const double away = std::abs(phase - top) / kCrestRiseSeconds;
  return aCrests && away < 1.0 ? 1.0 + (kCrestFactor - 1.0) * (1.0 - away)
                               : 1.0;
}

double
MeanFactor(bool aCrests)
{
  return aCrests ? 1.0 + (kCrestFactor - 1.0) * kCrestRiseSeconds /
                           kCrestPeriodSeconds
                 : 1.0;
}

} // namespace

std::vector<Arrival>
MakeArrivals(const Workload& aWorkload)
{
  std::mt19937_64 random(aWorkload.mSeed);
  std::uniform_real_distribution<double> part(0.0, 1.0);
  const double mean =
    Seconds(aWorkload.mShort).count() *
    (1.0 - kStragglerShare + kStragglerShare * kStragglerFactor);
  const double base = aWorkload.mLoad * kUpstreams * kSlots / mean /
                      MeanFactor(aWorkload.mCrests);
  const double highest = base * (aWorkload.mCrests ? kCrestFactor : 1.0);
  std::exponential_distribution<double> gap(highest);
  std::vector<Arrival> arrivals;
  const double end = Seconds(aWorkload.mDuration).count();
  // Thinning: draws candidates at the highest rate and keeps each with the
  // probability of the current rate over the highest.
  for (double now = gap(random); now < end; now += gap(random)) {
    if (part(random) * highest > base * RateFactor(now, aWorkload.mCrests)) {
      continue;
    }
    Arrival& it = arrivals.emplace_back();
    it.mAt = TimePoint(std::chrono::duration_cast<Duration>(Seconds(now)));
    it.mStraggler = part(random) < kStragglerShare;
    const double size = Seconds(aWorkload.mShort).count() *
                        (it.mStraggler ? kStragglerFactor : 1) *
                        (0.5 + part(random));
    it.mSize = std::chrono::duration_cast<Duration>(Seconds(size));
    const size_t known = arrivals.size() - 1;
    const bool returning = known > 0 && part(random) < aWorkload.mReturning;
    const size_t back =
      1 + random() % std::max<size_t>(1, std::min(known, kRecentRequests));
    it.mFlow = returning ? arrivals[known - back].mFlow : random();
  }
  return arrivals;
}

} // namespace foxtail::swings

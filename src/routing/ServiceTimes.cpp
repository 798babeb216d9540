#include "foxtail/routing/ServiceTimes.h"

#include <algorithm>

namespace foxtail::routing {

namespace {

// Each answer moves the median by one part in kMedianStep of its value.
constexpr int kMedianStep = 50;
// Each answer has the weight 1 / kMeanWeight in the mean.
constexpr int kMeanWeight = 500;

} // namespace

void
ServiceTimes::OnAnswer(Duration aTook)
{
  const Duration step = mMedian / kMedianStep;
  mMedian += aTook > mMedian ? step : -step;
  mMedian = std::max<Duration>(mMedian, microseconds(1));
  mMean += (aTook - mMean) / kMeanWeight;
}

Duration
ServiceTimes::LongAge() const
{
  return std::max<Duration>(kLongFactor * mMedian, kMinLongAge);
}

} // namespace foxtail::routing

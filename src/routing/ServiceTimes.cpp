#include "foxtail/routing/ServiceTimes.h"

#include <algorithm>

namespace foxtail::routing {

namespace {

// Each answer moves the median by one part in kMedianStepDivisor of its value.
constexpr int kMedianStepDivisor = 50;
// Each answer has the weight 1 / kMeanDivisor in the mean.
constexpr int kMeanDivisor = 500;

} // namespace

void
ServiceTimes::OnAnswer(Duration aTook)
{
  const Duration step = mMedian / kMedianStepDivisor;
  mMedian += aTook > mMedian ? step : -step;
  mMedian = std::max<Duration>(mMedian, microseconds(1));
  mMean += (aTook - mMean) / kMeanDivisor;
}

Duration
ServiceTimes::LongAge() const
{
  return std::max<Duration>(kLongFactor * mMedian, kMinLongAge);
}

} // namespace foxtail::routing

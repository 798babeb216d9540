#ifndef foxtail_routing_ServiceTimes_h
#define foxtail_routing_ServiceTimes_h

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Running median and mean of how long a service's requests take, from the
// send to the answer. Stragglers move the mean but hardly the median.
class ServiceTimes
{
public:
  // Used until there are answers.
  static constexpr milliseconds kInitialTime{ 10 };
  // A request that has run for this many medians is long.
  static constexpr int kLongFactor = 3;
  static constexpr milliseconds kMinLongAge{ 2 };

  void OnAnswer(Duration aTook);

  Duration Median() const { return mMedian; }
  Duration Mean() const { return mMean; }
  // From this age on a request counts as long.
  Duration LongAge() const;

private:
  Duration mMedian = kInitialTime;
  Duration mMean = kInitialTime;
};

} // namespace foxtail::routing

#endif

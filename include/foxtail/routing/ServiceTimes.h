#ifndef foxtail_routing_ServiceTimes_h
#define foxtail_routing_ServiceTimes_h

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Running median and mean of a service's response times, from sending a request
// to its answer. A few slow requests raise the mean but hardly the median.
class ServiceTimes
{
public:
  // Initial value of median and mean.
  static constexpr milliseconds kInitialTime{ 10 };
  // A request is long once it has run for this many times the median, but not
  // before kMinLongAge.
  static constexpr int kLongFactor = 3;
  static constexpr milliseconds kMinLongAge{ 2 };

  void OnAnswer(Duration aTook);

  Duration Median() const { return mMedian; }
  Duration Mean() const { return mMean; }
  // The age from which on a request counts as long.
  Duration LongAge() const;

private:
  Duration mMedian = kInitialTime;
  Duration mMean = kInitialTime;
};

} // namespace foxtail::routing

#endif

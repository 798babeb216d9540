#ifndef foxtail_routing_Admission_h
#define foxtail_routing_Admission_h

#include <cstddef>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Admission control for one service's queue. Estimates, when a request is
// submitted, whether the request would be sent to an upstream in time. The
// estimate uses the dequeue rate, which is measured while requests wait, so
// that the estimate follows the capacity that long requests leave free.
class Admission
{
public:
  // Time constant of the moving average of the dequeue rate.
  static constexpr milliseconds kAveragingTime{ 100 };

  explicit Admission(Duration aMaxWait);

  // Call when the queue becomes non-empty. aPerSecond is the dequeue rate to
  // assume until the first requests have been sent from the queue.
  void OnBacklog(double aPerSecond, TimePoint aNow);
  // Call when a queued request has been sent to an upstream.
  void OnDequeued(TimePoint aNow);

  // Expected waiting time of a request behind aQueued others.
  Duration ExpectedWait(size_t aQueued, TimePoint aNow) const;
  // Whether a request may join aQueued others. False when its expected wait,
  // with a safety margin, exceeds the maximum wait or aRemaining, the time left
  // until its deadline.
  bool Admits(size_t aQueued, Duration aRemaining, TimePoint aNow) const;

private:
  double RecentDequeues(TimePoint aNow) const;

  Duration mMaxWait;
  // Exponentially decaying count of the requests sent from the queue, with time
  // constant kAveragingTime.
  double mRecentDequeues = 0;
  TimePoint mUpdated;
};

} // namespace foxtail::routing

#endif

#ifndef foxtail_routing_Admission_h
#define foxtail_routing_Admission_h

#include <cstddef>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Decides at submission whether a request that must queue will be sent in
// time. The drain rate is measured while there is a backlog, so the bound
// follows the capacity that long requests leave.
class Admission
{
public:
  // Time over which the drain rate is averaged.
  static constexpr milliseconds kAveragingTime{ 100 };

  explicit Admission(Duration aMaxWait);

  // The queue is no longer empty; aPerSecond is the rate expected until sends
  // have been seen.
  void OnBacklog(double aPerSecond, TimePoint aNow);
  // A queued request was sent.
  void OnDequeued(TimePoint aNow);

  // How long a request waits behind aQueued others.
  Duration ExpectedWait(size_t aQueued, TimePoint aNow) const;
  // False when the wait would pass the bound or aRemaining, the time left
  // until the request's deadline.
  bool Admits(size_t aQueued, Duration aRemaining, TimePoint aNow) const;

private:
  double RecentDequeues(TimePoint aNow) const;

  Duration mMaxWait;
  // Requests sent of late, each fading with kAveragingTime.
  double mRecentDequeues = 0;
  TimePoint mUpdated;
};

} // namespace foxtail::routing

#endif

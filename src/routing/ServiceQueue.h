#ifndef foxtail_routing_ServiceQueue_h
#define foxtail_routing_ServiceQueue_h

#include <deque>

#include "UpstreamTable.h"
#include "foxtail/routing/Admission.h"
#include "foxtail/routing/RetryBudget.h"
#include "foxtail/routing/ServiceTimes.h"

namespace foxtail::routing {

// Estimates the rate at which requests are submitted to this balancer. Flows
// are spread evenly over the balancers, so the estimate holds for each peer as
// well.
class Demand
{
public:
  static constexpr milliseconds kAveragingTime{ 100 };

  void OnSubmit(TimePoint aNow);
  // Expected number of requests in flight when each takes aTook: the rate times
  // aTook.
  double InFlight(Duration aTook, TimePoint aNow) const;

private:
  double RecentRequests(TimePoint aNow) const;

  // Exponentially decaying count of submitted requests, with time constant
  // kAveragingTime.
  double mRecentRequests = 0;
  TimePoint mUpdated;
};

// The queue of one service's requests that wait for any upstream, with the
// state on which decisions about them depend.
struct ServiceQueue
{
  explicit ServiceQueue(Duration aMaxWait)
    : mAdmission(aMaxWait)
  {
  }

  // Serial numbers, oldest first.
  std::deque<uint32_t> mWaiting;
  // Number of requests that wait for their bound upstream, summed over the
  // service's upstreams.
  uint32_t mBoundWaitingCount = 0;
  Admission mAdmission;
  RetryBudget mRetries;
  ServiceTimes mTimes;
  Demand mDemand;
};

// How many requests this balancer may have in flight beyond its share of the
// slots. The result is the largest of three numbers. The first is a part
// (kMaxBorrowedShare) of the slots that all balancers together leave idle when
// each has aDemand short requests in flight. The second is the number of long
// requests by which this balancer exceeds the mean. The third is one if this
// balancer has no request in flight, because its share may be empty.
uint32_t
BorrowLimit(const Pool& aPool, const SlotShare& aShare, double aDemand);

} // namespace foxtail::routing

#endif

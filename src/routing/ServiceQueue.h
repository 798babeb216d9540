#ifndef foxtail_routing_ServiceQueue_h
#define foxtail_routing_ServiceQueue_h

#include <deque>

#include "UpstreamTable.h"
#include "foxtail/routing/Admission.h"
#include "foxtail/routing/RetryBudget.h"
#include "foxtail/routing/ServiceTimes.h"

namespace foxtail::routing {

// The rate at which this balancer is given requests. Flows are spread evenly
// over the balancers, so it tells what each peer is given as well.
class Demand
{
public:
  static constexpr milliseconds kAveragingTime{ 100 };

  void OnSubmit(TimePoint aNow);
  // Requests in flight at one time when each takes aTook.
  double InFlight(Duration aTook, TimePoint aNow) const;

private:
  double RecentRequests(TimePoint aNow) const;

  // Requests given of late, each fading with kAveragingTime.
  double mRecentRequests = 0;
  TimePoint mUpdated;
};

// Requests of one service that wait for any upstream, and what the decisions
// about them need.
struct ServiceQueue
{
  explicit ServiceQueue(Duration aMaxWait)
    : mAdmission(aMaxWait)
  {
  }

  // Oldest first.
  std::deque<uint32_t> mWaiting;
  // Requests that wait for one upstream, over all upstreams.
  uint32_t mBoundQueued = 0;
  Admission mAdmission;
  RetryBudget mRetries;
  ServiceTimes mTimes;
  Demand mDemand;
};

// How many requests this balancer may have beyond its share of the slots: a
// part of those that all balancers together leave idle, when each has aDemand
// short requests in flight. One when it runs
// nothing at all, since its share may be empty.
uint32_t
BorrowLimit(const Pool& aPool, const SlotShare& aShare, double aDemand);

} // namespace foxtail::routing

#endif

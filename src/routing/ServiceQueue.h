#ifndef foxtail_routing_ServiceQueue_h
#define foxtail_routing_ServiceQueue_h

#include <deque>

#include "UpstreamTable.h"
#include "foxtail/routing/Admission.h"
#include "foxtail/routing/RetryBudget.h"
#include "foxtail/routing/ServiceTimes.h"

namespace foxtail::routing {

// The running average of this balancer's short requests, waiting and sent.
// Flows are spread evenly, so it tells what each peer has as well.
class Demand
{
public:
  static constexpr milliseconds kAveraging{ 100 };

  void Update(uint32_t aShort, TimePoint aNow);
  double Average() const { return mAverage; }

private:
  double mAverage = 0;
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
  uint32_t mBound = 0;
  Admission mAdmission;
  RetryBudget mRetries;
  ServiceTimes mTimes;
  Demand mDemand;
};

// How many short requests this balancer may have at the pool's upstreams: its
// part of the slots that long work leaves, and a part of those that all
// balancers together leave idle.
uint32_t
ShortLimit(const Pool& aPool,
           const SlotShare& aShare,
           double aDemand,
           bool aBacklog);

} // namespace foxtail::routing

#endif

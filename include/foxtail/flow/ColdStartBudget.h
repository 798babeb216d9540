#ifndef foxtail_flow_ColdStartBudget_h
#define foxtail_flow_ColdStartBudget_h

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"

namespace foxtail::flow {

// Bounds for new flows at a cold upstream in any one second over all balancers:
// the rate that the service's configuration states, times mOverage, plus
// mSlack.
struct ColdStartSettings
{
  double mOverage = 1;
  double mSlack = 0;
};

// Limits the grants that one broker gives for cold upstreams of a service. The
// limits bind the sum over all brokers. Therefore each broker uses only the
// share of the balancers that report to it, and brokers with partial views
// together stay within the limit. Not thread-safe.
class ColdStartBudget
{
public:
  // Grants are counted over one second and the time by which the delays between
  // a grant and the arrival of the flow may differ.
  static constexpr milliseconds kWindow{ 1250 };
  // A balancer counts for a broker when its reports have arrived for this time.
  // Its last broker counts it for one second after its last report there, and
  // grants that it then gave count for one window more.
  static constexpr milliseconds kReporterDelay{ 2250 };

  // Sets the share of all known balancers that report to this broker, from zero
  // to one.
  void SetShare(double aShare) { mShare = aShare; }

  // Returns how many more flows the upstream may get now. aLimit is the limit
  // for one second over all balancers.
  uint64_t Remaining(TimePoint aNow, Cookie aUpstream, double aLimit) const;

  void AddGrant(TimePoint aNow, Cookie aUpstream);

  // Drops grants that no longer count.
  void Expire(TimePoint aNow);

private:
  double mShare = 0;
  // Times of the grants, the oldest first.
  std::unordered_map<Cookie, std::deque<TimePoint>> mGrants;
};

// Returns the limit of new flows at a cold upstream in one second over all
// balancers. aRequestsPerSecond is the rate that the service states.
double
ColdFlowLimit(const ColdStartSettings& aSettings, double aRequestsPerSecond);

// Returns how much longer requests take at an upstream that is cold for
// aRemaining of aColdTime. The factor falls linearly to one.
double
ColdSlowness(Duration aRemaining, Duration aColdTime);

} // namespace foxtail::flow

#endif

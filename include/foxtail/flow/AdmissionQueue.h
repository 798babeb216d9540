#ifndef foxtail_flow_AdmissionQueue_h
#define foxtail_flow_AdmissionQueue_h

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// A flow that waits for a grant.
struct QueuedFlow
{
  // The balancer that requests the grant.
  VmIp mFrom = 0;
  SlotRequest mRequest;
  // When the flow arrived, and when the caller's first try of the same request
  // arrived. They differ only after a refusal.
  TimePoint mArrivedAt;
  TimePoint mFirstTriedAt;
  bool mMissesObjective = false;
};

// The flows of a service that wait at its broker, and the decision which of
// them come first when upstreams have less room than callers ask for. It
// answers crowds above the capacity of the service that last for seconds.
//
// Most grants follow urgency. One in kGrantsPerFairGrant goes to the group of
// callers that has got the fewest lately, so that no crowd leaves others
// without service. A group is a route and the /24 network of the caller. Not
// thread-safe.
class AdmissionQueue
{
public:
  // A flow is expected to miss its objective when less time is left than the
  // mean answer time of the service multiplied by this factor. Three of four
  // answers take less.
  static constexpr double kAnswerTimeMargin = 1.25;
  // The queue becomes a standing queue once a flow has waited for its objective
  // divided by this number. A shorter wait does no harm. In a standing queue,
  // flows of the same priority are served newest first, see Prioritize.
  static constexpr int kStandingQueueDivisor = 4;
  // One in this number of grants is given by fair share.
  static constexpr uint32_t kGrantsPerFairGrant = 4;
  // Time after which the grants of a group count half.
  static constexpr milliseconds kFairShareHalfLife{ 2000 };
  // The rate of grants is measured over periods of this length in which flows
  // waited all the time.
  static constexpr milliseconds kRatePeriod{ 250 };
  // Periods of measurement before the rate is relied on.
  static constexpr uint32_t kMinRatePeriods = 2;

  std::vector<QueuedFlow>& Flows() { return mFlows; }
  const std::vector<QueuedFlow>& Flows() const { return mFlows; }

  // Moves the aCount flows with the highest precedence to the front, in order.
  // aAnswerMs is the mean answer time of the service in milliseconds.
  //
  // Flows that can still meet their objective come before those that can't, and
  // lower values of mPriority before higher ones. Then the oldest flow comes
  // first; in a standing queue, among flows that can meet their objective, the
  // newest. If not all flows are among the aCount, some places go to the groups
  // that have got the fewest grants.
  void Prioritize(TimePoint aNow, double aAnswerMs, size_t aCount);

  // Counts a grant for a flow that was waiting.
  void CountGrant(TimePoint aNow, const QueuedFlow& aFlow);

  // Removes and returns the flows that certainly can't be served: at the
  // present rate of grants, their turn comes when no answer can reach the
  // caller any more. aTimeoutOf returns the time from the first try until the
  // caller of a route gives up, zero if it is unknown.
  std::vector<QueuedFlow> TakeHopeless(
    TimePoint aNow,
    double aAnswerMs,
    const std::function<milliseconds(uint32_t)>& aTimeoutOf);

  // Grants per second while flows wait; empty if it isn't known.
  std::optional<double> GrantRate() const;

  // Number of grants given by fair share.
  uint64_t FairGrants() const { return mFairGrants; }

private:
  // The grants of a group, decayed as of mDecayedAt.
  struct Share
  {
    double mGrants = 0;
    TimePoint mDecayedAt;
  };

  static uint64_t GroupOf(const SlotRequest& aRequest);
  double GrantsOf(TimePoint aNow, uint64_t aGroup) const;
  // Determines which flows miss their objective. Returns whether the queue is a
  // standing queue.
  bool UpdateObjectives(TimePoint aNow, double aAnswerMs);
  // Moves the first flow of the group with the fewest grants to aPlace.
  void PlaceFairly(TimePoint aNow, size_t aPlace, bool aIsQueueStanding);
  void MeasureRate(TimePoint aNow, bool aIsShort);
  void PurgeShares(TimePoint aNow);

  std::vector<QueuedFlow> mFlows;
  std::unordered_map<uint64_t, Share> mShares;
  uint32_t mGrantsUntilFair = kGrantsPerFairGrant;
  uint64_t mFairGrants = 0;
  // The present period of measurement; empty while no flow has to wait.
  std::optional<TimePoint> mPeriodStart;
  uint32_t mPeriodGrants = 0;
  uint32_t mPeriods = 0;
  double mGrantsPerSecond = 0;
};

} // namespace foxtail::flow

#endif

#ifndef foxtail_routing_Work_h
#define foxtail_routing_Work_h

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "foxtail/config/Model.h"
#include "foxtail/core/Time.h"

namespace foxtail::routing {

// A request, as the Dispatcher sees it: it waits for an upstream or runs there.
// The serial number is unique within one incarnation of the balancer. A request
// is long once it has run for several times the median response time of its
// service; see ServiceTimes::LongAge.
struct Work
{
  uint32_t mSerial = 0;
  config::ServiceIndex mService = config::kNoIndex;
  // The upstream to which the flow is bound, or kNoIndex for a new flow.
  config::UpstreamIndex mBoundUpstream = config::kNoIndex;
  // The flow's rank hash; see RankHash in FlowRecord.h.
  uint64_t mRankHash = 0;
  TimePoint mDeadline;
  // Not used by the Dispatcher.
  bool mIdempotent = true;
};

// How a request ended at the upstream.
enum class Outcome
{
  Answered,
  // The upstream answered 5.03 (Service Unavailable) and did not run it.
  Shed,
  // No answer until the deadline.
  TimedOut,
  // It was cancelled by its caller or at its deadline before an answer arrived.
  Cancelled
};

enum class RefusalReason
{
  NoUpstream,
  Overloaded,
  DeadlinePassed,
  // An upstream shed the request, and it could not be retried.
  ShedNotRetried
};

constexpr size_t kRefusalReasonCount = 4;

// Send the request to this upstream now.
struct SendWork
{
  uint32_t mSerial;
  config::UpstreamIndex mUpstream;
};

// Tell the caller that the request was not run. Used only for requests that
// were sent to no upstream, or that every upstream they were sent to has shed.
struct RefuseWork
{
  uint32_t mSerial;
  RefusalReason mReason;
  seconds mRetryAfter;
};

// Cancel the request at this upstream, because its deadline has passed or its
// caller has abandoned it. The upstream may have run the request already; for a
// request that is not idempotent, the outcome is therefore unknown.
struct ExpireWork
{
  uint32_t mSerial;
  config::UpstreamIndex mUpstream;
};

using WorkAction = std::variant<SendWork, RefuseWork, ExpireWork>;
using WorkActions = std::vector<WorkAction>;

// A load report from an upstream's load endpoint, or the load that a peer
// advertises for an upstream.
struct LoadReport
{
  // Upstream::mId.
  uint32_t mUpstream = 0;
  uint32_t mInFlight = 0;
  bool mHealthy = true;
  bool mDraining = false;
  // The earliest time at which the load may have been measured.
  TimePoint mSampledAt;
};

} // namespace foxtail::routing

#endif

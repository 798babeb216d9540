#ifndef foxtail_routing_Work_h
#define foxtail_routing_Work_h

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "foxtail/config/Model.h"
#include "foxtail/core/Time.h"

namespace foxtail::routing {

// One request that waits for, or runs at, an upstream. The serial number is
// unique in one incarnation.
struct Work
{
  uint32_t mSerial = 0;
  config::ServiceIndex mService = config::kNoIndex;
  // The flow's upstream, or kNoIndex for a new flow.
  config::UpstreamIndex mBoundUpstream = config::kNoIndex;
  uint64_t mFlowHash = 0;
  TimePoint mDeadline;
  bool mIdempotent = true;
};

// How the upstream ended a request.
enum class Outcome
{
  Answered,
  // 5.03: it was not run there.
  Shed,
  // No answer until the deadline.
  TimedOut,
  // The caller or the deadline ended it before the answer.
  Cancelled
};

enum class RefusalReason
{
  NoUpstream,
  Overloaded,
  DeadlinePassed,
  ShedEverywhere
};

constexpr size_t kRefusalReasonCount = 4;

// Send the request to this upstream now.
struct SendWork
{
  uint32_t mSerial;
  config::UpstreamIndex mUpstream;
};

// Tell the caller that the request was not run. Only given for requests that
// no upstream has been sent, or that every one sent to has shed.
struct RefuseWork
{
  uint32_t mSerial;
  RefusalReason mReason;
  seconds mRetryAfter;
};

// The request's deadline has passed at the upstream: cancel it there. The
// outcome is unknown when the request is not idempotent.
struct ExpireWork
{
  uint32_t mSerial;
  config::UpstreamIndex mUpstream;
};

using WorkAction = std::variant<SendWork, RefuseWork, ExpireWork>;
using WorkActions = std::vector<WorkAction>;

// What an upstream's load endpoint or a peer says.
struct LoadReport
{
  // Upstream::mId.
  uint32_t mUpstream = 0;
  uint32_t mInFlight = 0;
  bool mHealthy = true;
  bool mDraining = false;
  // When the figure was true at the earliest.
  TimePoint mSampledAt;
};

} // namespace foxtail::routing

#endif

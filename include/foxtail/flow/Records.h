#ifndef foxtail_flow_Records_h
#define foxtail_flow_Records_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"
#include "foxtail/flow/Revision.h"

// The published records of upstreams and routes, in the form that balancers
// exchange. Each record carries the revision of its last change. The publisher
// numbers all changes with one counter.
namespace foxtail::flow {

enum class UpstreamState
{
  // Takes new flows.
  Ready,
  // Keeps its open flows and takes no new ones.
  Draining,
  // The published record is malformed.
  Unusable
};

struct UpstreamRecord
{
  std::string mId;
  Revision mRevision = 0;
  UpstreamState mState = UpstreamState::Unusable;
  // Number by which packets name this instance of the upstream.
  uint64_t mInstance = 0;
  Address mAddress;
  std::string mService;
  std::string mDomain;
  // Requests that the upstream processes at a time.
  uint32_t mSlots = 1;
  // Time for which the upstream is still slower than usual after a cold start.
  milliseconds mRemainingWarmUp{ 0 };
  // Start time of this instance, milliseconds since the Unix epoch; zero if it
  // is unknown.
  int64_t mStartedUnixMs = 0;
  // Revision at which the record was created; zero if it is unknown.
  Revision mCreatedRevision = 0;
  // Grows with each record that this instance publishes.
  int64_t mSequence = 0;
  // Only between balancers: the record is newer than the one of a publisher
  // that was restored. Whatever the publisher has next is a change.
  bool mIsAheadOfPublisher = false;
};

struct RemovedRecord
{
  std::string mId;
  Revision mRevision = 0;
  // Time that has passed since the sender learned of the removal.
  milliseconds mAge{ 0 };
};

// Request of the operators that no new flow goes to the upstreams of a failure
// domain, until the record is removed.
struct Evacuation
{
  std::string mDomain;
  Revision mRevision = 0;
  // Only between balancers: the publisher was restored and lacks the record,
  // and the evacuation ends after this time. Zero if it has the record.
  milliseconds mRemainingHold{ 0 };
};

struct RouteTarget
{
  std::string mService;
  uint32_t mWeight = 1;
};

struct Route
{
  std::string mName;
  Address mServiceAddress;
  std::vector<RouteTarget> mTargets;
  // Whether requests may be repeated without harm.
  bool mIsIdempotent = true;
  milliseconds mTimeout{ 0 };
  // Latency objective: the time within which an answer has its full value.
  milliseconds mObjective{ 0 };
  // Zero is the most urgent.
  uint32_t mPriority = 0;
};

struct ServiceSettings
{
  std::string mName;
  // Time after its start for which an upstream is cold.
  milliseconds mColdTime{ 0 };
  // New flows per second that a cold upstream bears; zero if no limit is set.
  double mColdRequestsPerSecond = 0;
};

struct Configuration
{
  uint64_t mVersion = 0;
  Revision mRevision = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceSettings> mServices;
  milliseconds mIdleTimeout{ 0 };
};

// A set of changes, from the publisher or from a peer.
struct ReplicaUpdate
{
  // The sender knows all changes up to this revision.
  Revision mConfirmed = 0;
  // Time that has passed since the publisher confirmed mConfirmed.
  milliseconds mAge{ 0 };
  // The update is a full listing: it has all published records, and a record
  // that it lacks has been removed.
  bool mIsFullListing = false;
  // The update lists every change after the requested revision, including those
  // that a later change undoes. If false, a record may have changed and changed
  // back between the two revisions.
  bool mHasEveryChange = false;
  std::vector<UpstreamRecord> mUpstreams;
  std::vector<RemovedRecord> mRemoved;
  std::vector<Evacuation> mEvacuations;
  // Evacuations that ended, with the revisions of their removals.
  std::vector<Evacuation> mEndedEvacuations;
  std::optional<Configuration> mConfiguration;
};

} // namespace foxtail::flow

#endif

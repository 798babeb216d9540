#ifndef foxtail_flow_Records_h
#define foxtail_flow_Records_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"

// What is published about upstreams and routes, as balancers exchange it. Each
// record carries the revision of its last change; the publisher orders all
// changes by one counter.
namespace foxtail::flow {

using Revision = uint64_t;

enum class UpstreamState
{
  // Takes new flows.
  Ready,
  // Keeps its flows and takes no new ones.
  Draining,
  // Published in a form that cannot be used.
  Unusable
};

struct UpstreamRecord
{
  std::string mId;
  Revision mRevision = 0;
  UpstreamState mState = UpstreamState::Unusable;
  // Number that the upstream itself goes by in packets.
  uint64_t mInstance = 0;
  Address mAddress;
  std::string mService;
  std::string mDomain;
  uint32_t mSlots = 1;
  // How much longer it stays slow after its start.
  milliseconds mRemainingWarmUp{ 0 };
  // Start of this life of the upstream, milliseconds since the Unix epoch.
  int64_t mStartedUnixMs = 0;
};

struct RemovedRecord
{
  std::string mId;
  Revision mRevision = 0;
};

struct RouteTarget
{
  std::string mService;
  uint32_t mWeight = 1;
};

struct Route
{
  std::string mName;
  Address mService;
  std::vector<RouteTarget> mTargets;
  // May be repeated without harm.
  bool mIsIdempotent = true;
  milliseconds mTimeout{ 0 };
  // Latency up to which an answer has its full worth.
  milliseconds mObjective{ 0 };
  // Zero is the most urgent.
  uint32_t mPriority = 0;
};

struct Configuration
{
  uint64_t mVersion = 0;
  Revision mRevision = 0;
  std::vector<Route> mRoutes;
  milliseconds mIdleTimeout{ 0 };
};

// A set of changes, from the publisher or from a peer.
struct ReplicaUpdate
{
  // Every change up to this revision is known to whoever sends this.
  Revision mConfirmed = 0;
  // How long ago the publisher said so.
  milliseconds mAge{ 0 };
  // The records are everything that is published: what is absent is gone.
  bool mIsComplete = false;
  // The records name every change since the revision that was asked for, also
  // those that a later one undoes. Otherwise a record may have changed and
  // changed back unseen.
  bool mHasEveryChange = false;
  std::vector<UpstreamRecord> mUpstreams;
  std::vector<RemovedRecord> mRemoved;
  std::optional<Configuration> mConfiguration;
};

} // namespace foxtail::flow

#endif

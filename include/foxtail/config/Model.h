#ifndef foxtail_config_Model_h
#define foxtail_config_Model_h

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::config {

// Index of an upstream in Snapshot::mUpstreams.
using UpstreamIndex = uint32_t;
// Index of a service in Snapshot::mServices.
using ServiceIndex = uint32_t;

constexpr uint32_t kNoIndex = UINT32_MAX;

// One endpoint that serves the requests of a service.
struct Upstream
{
  std::string mName;
  std::string mDomain;
  Address mAddress;
  // HTTP address of the upstream's health and load endpoint.
  Address mReportAddress;
  // Number of requests that the upstream runs concurrently.
  uint32_t mSlots = 1;
  // Number of flows that the upstream holds at most; 0 means no limit.
  uint32_t mMaxConnections = 0;
  // A draining upstream keeps its flows and gets no new flows.
  bool mDraining = false;
  ServiceIndex mService = kNoIndex;
  // Stable hash of the name, by which peers refer to the upstream.
  uint32_t mId = 0;
};

// One service: an address to which callers send, and the upstreams behind it.
struct Service
{
  std::string mName;
  Address mAddress;
  // Longest time that a request may take if the caller sets no deadline.
  milliseconds mTimeout{ 0 };
  // Idle time after which a flow is removed.
  milliseconds mFlowIdle{ 0 };
  std::vector<UpstreamIndex> mUpstreams;
};

// Identity of a configuration version: its number, and a digest chained over
// this version and all before it. Equal identities therefore mean equal
// histories.
struct Version
{
  uint64_t mNumber = 0;
  uint64_t mDigest = 0;

  friend bool operator==(const Version& a, const Version& b)
  {
    return a.mNumber == b.mNumber && a.mDigest == b.mDigest;
  }
  friend bool operator!=(const Version& a, const Version& b)
  {
    return !(a == b);
  }
};

// One accepted configuration version. Immutable, and shared between threads.
struct Snapshot
{
  Version mVersion;
  std::vector<Service> mServices;
  std::vector<Upstream> mUpstreams;

  // Both return kNoIndex if there is no such service or upstream.
  ServiceIndex FindService(const Address& aAddress) const;
  UpstreamIndex FindUpstream(uint32_t aId) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace foxtail::config

#endif

#ifndef foxtail_agent_PlatformFeed_h
#define foxtail_agent_PlatformFeed_h

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "foxtail/agent/SharedCore.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Supervisor.h"
#include "foxtail/net/PlatformClient.h"

namespace foxtail::agent {

// Keeps one value of the platform up to date. While the agent is one of the
// watchers of its failure domain, the feed watches the value. In addition every
// agent reads the value periodically, so that the effect of a change missed by
// a watch, or of wrong data from a peer, is limited in time. While the platform
// is down, the feed retries with exponential backoff.
class PlatformFeed
{
public:
  // Maximum duration of one watch call.
  static constexpr seconds kWatchTimeout{ 20 };
  // Mean time between two reads by one agent; each interval is random between
  // half and one and a half of this time.
  static constexpr seconds kReadPeriod{ 90 };
  // The first reads of agents that start together are spread over this time.
  static constexpr milliseconds kFirstReadSpread{ 2000 };
  static constexpr milliseconds kInitialBackoff{ 500 };
  static constexpr seconds kMaxBackoff{ 15 };

  PlatformFeed(SharedCore& aCore,
               daemon::Metrics& aMetrics,
               const Address& aPlatform,
               std::string aName,
               uint64_t aSeed);

  const std::string& Name() const { return mName; }

  void Run(const daemon::StopToken& aStop);

  // Cancels the platform call that Run waits for.
  void Interrupt();

private:
  void Step(net::PlatformClient& aClient, const daemon::StopToken& aStop);
  void ReadValue(net::PlatformClient& aClient);
  void Apply(net::PlatformClient& aClient, const net::PlatformValue& aValue);
  void CountBytes(const net::PlatformClient& aClient);
  void OnFailure(const Error& aError);
  void OnSuccess();
  Duration Jittered(Duration aTime);

  SharedCore& mCore;
  daemon::Metrics& mMetrics;
  const Address mPlatform;
  const std::string mName;
  std::mt19937_64 mRandom;
  uint64_t mIndex = 0;
  TimePoint mNextReadAt;
  TimePoint mNextFullReadAt;
  Duration mBackoff{ 0 };

  std::mutex mMutex;
  std::shared_ptr<net::PlatformClient> mClient;
};

} // namespace foxtail::agent

#endif

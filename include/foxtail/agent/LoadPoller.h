#ifndef foxtail_agent_LoadPoller_h
#define foxtail_agent_LoadPoller_h

#include "foxtail/agent/SharedCore.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Supervisor.h"

namespace foxtail::agent {

// Polls the upstreams' load endpoints one at a time, in the order and at the
// times that the core's LoadTable gives.
class LoadPoller
{
public:
  // An endpoint that takes longer is skipped until its next poll.
  static constexpr milliseconds kConnectTimeout{ 100 };
  static constexpr milliseconds kAnswerTimeout{ 150 };

  LoadPoller(SharedCore& aCore, daemon::Metrics& aMetrics);

  void Run(const daemon::StopToken& aStop);

private:
  void Poll(const LoadPoll& aPoll);
  void CountBytes(const char* aDirection, size_t aBytes);

  SharedCore& mCore;
  daemon::Metrics& mMetrics;
};

} // namespace foxtail::agent

#endif

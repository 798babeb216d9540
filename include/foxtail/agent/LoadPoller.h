#ifndef foxtail_agent_LoadPoller_h
#define foxtail_agent_LoadPoller_h

#include "foxtail/agent/SharedCore.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Supervisor.h"

namespace foxtail::agent {

// Asks one load endpoint after the other, as the core's table says.
class LoadPoller
{
public:
  // An endpoint that takes longer is left for the next time.
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

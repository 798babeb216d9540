#ifndef foxtail_agent_SharedCore_h
#define foxtail_agent_SharedCore_h

#include <chrono>
#include <mutex>
#include <vector>

#include "foxtail/agent/AgentCore.h"
#include "foxtail/daemon/Log.h"

namespace foxtail::agent {

// An agent's core with a mutex, shared by the threads of the agent's parts.
class SharedCore
{
public:
  explicit SharedCore(const membership::DetectorSettings& aSettings)
    : mCore(aSettings)
  {
  }

  // Calls aUse with the core and the time under the mutex, then logs the core's
  // events. Returns the result of aUse.
  template<typename Use>
  auto With(Use aUse)
  {
    const EventLogger logger(*this);
    const std::lock_guard<std::mutex> lock(mMutex);
    return aUse(mCore, std::chrono::steady_clock::now());
  }

private:
  // Logs the core's events after the mutex is released, also when aUse throws.
  class EventLogger
  {
  public:
    explicit EventLogger(SharedCore& aCore)
      : mShared(aCore)
    {
    }
    ~EventLogger()
    {
      for (const Event& it : mShared.TakeEvents()) {
        daemon::LogEvent(it);
      }
    }
    EventLogger(const EventLogger&) = delete;
    EventLogger& operator=(const EventLogger&) = delete;

  private:
    SharedCore& mShared;
  };

  std::vector<Event> TakeEvents()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mCore.TakeEvents();
  }

  std::mutex mMutex;
  AgentCore mCore;
};

} // namespace foxtail::agent

#endif

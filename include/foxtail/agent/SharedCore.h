#ifndef foxtail_agent_SharedCore_h
#define foxtail_agent_SharedCore_h

#include <chrono>
#include <mutex>
#include <vector>

#include "foxtail/agent/AgentCore.h"
#include "foxtail/daemon/Log.h"

namespace foxtail::agent {

// The core of an agent, shared by the threads of its parts.
class SharedCore
{
public:
  explicit SharedCore(const membership::DetectorSettings& aSettings)
    : mCore(aSettings)
  {
  }

  // Calls aUse with the core and the time while no other part uses it, then
  // logs what the core reports. Returns what aUse returns.
  template<typename Use>
  auto With(Use aUse)
  {
    const EventLogger logger(*this);
    const std::lock_guard<std::mutex> lock(mMutex);
    return aUse(mCore, std::chrono::steady_clock::now());
  }

private:
  // Logs outside the lock, also when aUse throws.
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

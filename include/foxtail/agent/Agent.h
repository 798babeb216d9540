#ifndef foxtail_agent_Agent_h
#define foxtail_agent_Agent_h

#include <memory>
#include <string>

#include "foxtail/daemon/Settings.h"

namespace foxtail::agent {

// The agent of one VM: its parts under a supervisor.
class Agent
{
public:
  explicit Agent(const daemon::Settings& aSettings);
  ~Agent();

  // Runs until a stop signal, then tells the peers that the VM leaves, waits
  // until the balancer has ended or the drain time has passed, and returns.
  // Throws DaemonError when a part was given up or the status address cannot
  // be bound.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace foxtail::agent

#endif

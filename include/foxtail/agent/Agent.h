#ifndef foxtail_agent_Agent_h
#define foxtail_agent_Agent_h

#include <memory>
#include <string>

#include "foxtail/daemon/Settings.h"

namespace foxtail::agent {

// The agent process of one VM: gossip, servers, fetcher, load poller and
// platform feeds under supervisors.
class Agent
{
public:
  explicit Agent(const daemon::Settings& aSettings);
  ~Agent();

  // Runs until a stop signal. Then waits until the balancer has ended or the
  // drain time has passed, tells the peers that the VM leaves, and returns.
  // Throws DaemonError when the supervisor has given up a part or the status
  // address cannot be bound.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace foxtail::agent

#endif

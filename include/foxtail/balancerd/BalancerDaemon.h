#ifndef foxtail_balancerd_BalancerDaemon_h
#define foxtail_balancerd_BalancerDaemon_h

#include <memory>

#include "foxtail/daemon/Settings.h"

namespace foxtail::balancerd {

// The balancer process of one VM: data path, peer sender, peer receiver and
// agent link under a supervisor.
class BalancerDaemon
{
public:
  // Throws NetError when a socket cannot be opened, DaemonError when the status
  // address cannot be bound.
  explicit BalancerDaemon(const daemon::Settings& aSettings);
  ~BalancerDaemon();

  // Runs until a stop signal. Then hands its flows over, finishes the running
  // requests and returns, at the latest after the drain time. Throws
  // DaemonError 930 when the supervisor has given up a part.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace foxtail::balancerd

#endif

#ifndef foxtail_balancerd_BalancerDaemon_h
#define foxtail_balancerd_BalancerDaemon_h

#include <memory>

#include "foxtail/daemon/Settings.h"

namespace foxtail::balancerd {

// The data path of one VM: its parts under a supervisor.
class BalancerDaemon
{
public:
  // Throws NetError when a socket cannot be had, DaemonError when the status
  // address cannot be bound.
  explicit BalancerDaemon(const daemon::Settings& aSettings);
  ~BalancerDaemon();

  // Runs until a stop signal; then finishes what runs, hands its flows over
  // and returns, at the latest when the drain time has passed. Throws
  // DaemonError 930 when a part was given up.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace foxtail::balancerd

#endif

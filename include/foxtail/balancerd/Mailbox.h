#ifndef foxtail_balancerd_Mailbox_h
#define foxtail_balancerd_Mailbox_h

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "foxtail/balancer/Balancer.h"

namespace foxtail::balancerd {

// Passes tasks from other threads to the data path's thread, the only one that
// uses the balancer.
class Mailbox
{
public:
  using Task = std::function<void(balancer::Balancer&, TimePoint)>;

  // Queues aTask for the data path's thread.
  void Post(Task aTask);

  // Runs aTask on the data path's thread and waits until it has run. Rethrows
  // the exceptions of aTask. If aTask has not run within one second, throws
  // DaemonError 940; aTask is then never run.
  void PostAndWait(Task aTask);

  // Runs the queued tasks. A task may replace the balancer in aBalancer; later
  // tasks get the new one.
  void RunTasks(const std::unique_ptr<balancer::Balancer>& aBalancer,
                TimePoint aNow);

private:
  std::mutex mMutex;
  std::vector<Task> mTasks;
  std::vector<Task> mRunning;
};

} // namespace foxtail::balancerd

#endif

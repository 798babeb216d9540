#ifndef foxtail_balancerd_Mailbox_h
#define foxtail_balancerd_Mailbox_h

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "foxtail/balancer/Balancer.h"

namespace foxtail::balancerd {

// How other threads reach the balancer, which belongs to the data path's
// thread alone.
class Mailbox
{
public:
  using Task = std::function<void(balancer::Balancer&, TimePoint)>;

  void Post(Task aTask);

  // Runs aTask on the data path and waits for it. Throws DaemonError 940 when
  // it has not run within a second.
  void PostAndWait(Task aTask);

  // Called by the data path. A task may put another balancer in aBalancer;
  // those after it get the new one.
  void RunTasks(const std::unique_ptr<balancer::Balancer>& aBalancer,
                TimePoint aNow);

private:
  std::mutex mMutex;
  std::vector<Task> mTasks;
  std::vector<Task> mRunning;
};

} // namespace foxtail::balancerd

#endif

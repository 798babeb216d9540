#include "foxtail/balancerd/Mailbox.h"

#include <future>
#include <memory>

#include "foxtail/core/Error.h"

namespace foxtail::balancerd {

namespace {

constexpr seconds kCallTimeout{ 1 };

} // namespace

void
Mailbox::Post(Task aTask)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTasks.push_back(std::move(aTask));
}

void
Mailbox::PostAndWait(Task aTask)
{
  // Shared with the queued task, because the data path may take the task from
  // the queue after this function has timed out and returned. The mutex keeps
  // the task from running then.
  struct PendingCall
  {
    std::mutex mMutex;
    bool mIsAbandoned = false;
    std::promise<void> mDone;
  };
  const auto call = std::make_shared<PendingCall>();
  std::future<void> done = call->mDone.get_future();
  Post([call, task = std::move(aTask)](balancer::Balancer& b, TimePoint t) {
    const std::lock_guard<std::mutex> lock(call->mMutex);
    if (call->mIsAbandoned) {
      return;
    }
    try {
      task(b, t);
      call->mDone.set_value();
    } catch (...) {
      call->mDone.set_exception(std::current_exception());
    }
  });
  if (done.wait_for(kCallTimeout) != std::future_status::ready) {
    const std::lock_guard<std::mutex> lock(call->mMutex);
    if (done.wait_for(seconds(0)) != std::future_status::ready) {
      call->mIsAbandoned = true;
      throw DaemonError(940, "data path", "did not run the task within 1 s");
    }
  }
  done.get();
}

void
Mailbox::RunTasks(const std::unique_ptr<balancer::Balancer>& aBalancer,
                  TimePoint aNow)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRunning.swap(mTasks);
  }
  for (const Task& it : mRunning) {
    it(*aBalancer, aNow);
  }
  mRunning.clear();
}

} // namespace foxtail::balancerd

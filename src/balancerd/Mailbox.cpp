#include "foxtail/balancerd/Mailbox.h"

#include <future>
#include <memory>

#include "foxtail/core/Error.h"

namespace foxtail::balancerd {

namespace {

constexpr seconds kAskTimeout{ 1 };

} // namespace

void
Mailbox::Post(Task aTask)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTasks.push_back(std::move(aTask));
}

void
Mailbox::Ask(Task aTask)
{
  // Shared with the task, which may still run after the wait was given up.
  struct Asked
  {
    std::mutex mMutex;
    bool mIsAbandoned = false;
    std::promise<void> mDone;
  };
  const auto asked = std::make_shared<Asked>();
  std::future<void> done = asked->mDone.get_future();
  Post([asked, task = std::move(aTask)](balancer::Balancer& b, TimePoint t) {
    const std::lock_guard<std::mutex> lock(asked->mMutex);
    if (asked->mIsAbandoned) {
      return;
    }
    try {
      task(b, t);
      asked->mDone.set_value();
    } catch (...) {
      asked->mDone.set_exception(std::current_exception());
    }
  });
  if (done.wait_for(kAskTimeout) != std::future_status::ready) {
    const std::lock_guard<std::mutex> lock(asked->mMutex);
    if (done.wait_for(seconds(0)) != std::future_status::ready) {
      asked->mIsAbandoned = true;
      throw DaemonError(940, "data path", "it does not answer");
    }
  }
  done.get();
}

void
Mailbox::Drain(const std::unique_ptr<balancer::Balancer>& aBalancer,
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

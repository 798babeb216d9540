#ifndef foxtail_standins_EventLoop_h
#define foxtail_standins_EventLoop_h

#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail::standins {

// Single-threaded event loop for sockets and timers. Callbacks run with Mutex()
// held, so that an HTTP thread that locks the mutex sees a consistent state.
class EventLoop
{
public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls aCallback whenever aFd is readable.
  void Watch(int aFd, Callback aCallback);
  void Unwatch(int aFd);

  // Calls aCallback once, at aDue or as soon as possible after it.
  void At(TimePoint aDue, Callback aCallback);
  void After(Duration aDelay, Callback aCallback);

  // Ends Run on SIGTERM or SIGINT. Call before any thread is started.
  void StopOnSignals();

  void Run();
  void Stop() { mStopped = true; }

  std::mutex& Mutex() { return mMutex; }

private:
  struct Timer
  {
    TimePoint mDue;
    uint64_t mOrder;
    std::shared_ptr<Callback> mCallback;

    bool operator>(const Timer& aOther) const
    {
      return mDue != aOther.mDue ? mDue > aOther.mDue : mOrder > aOther.mOrder;
    }
  };

  void RunTimers();
  Duration UntilNextTimer() const;

  int mEpoll;
  int mSignals = -1;
  bool mStopped = false;
  uint64_t mOrder = 0;
  std::mutex mMutex;
  std::unordered_map<int, std::shared_ptr<Callback>> mWatched;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;
};

} // namespace foxtail::standins

#endif

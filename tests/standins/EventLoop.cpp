#include "EventLoop.h"

#include <algorithm>
#include <csignal>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "foxtail/core/Error.h"

namespace foxtail::standins {

namespace {

// Longest wait for events; bounds the delay until a timer that another thread
// added is noticed.
constexpr Duration kLongestWait = milliseconds(20);
constexpr int kMaxEvents = 64;

timespec
ToTimespec(Duration aDuration)
{
  timespec ts{};
  ts.tv_sec = aDuration / seconds(1);
  ts.tv_nsec = (aDuration % seconds(1)).count();
  return ts;
}

} // namespace

EventLoop::EventLoop()
  : mEpoll(epoll_create1(EPOLL_CLOEXEC))
{
  if (mEpoll < 0) {
    throw NetError(602, "epoll", "cannot be created");
  }
}

EventLoop::~EventLoop()
{
  if (mSignals >= 0) {
    close(mSignals);
  }
  close(mEpoll);
}

void
EventLoop::Watch(int aFd, Callback aCallback)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = aFd;
  if (epoll_ctl(mEpoll, EPOLL_CTL_ADD, aFd, &event) != 0) {
    throw NetError(602, "epoll", "cannot watch a socket");
  }
  mWatched[aFd] = std::make_shared<Callback>(std::move(aCallback));
}

void
EventLoop::Unwatch(int aFd)
{
  epoll_ctl(mEpoll, EPOLL_CTL_DEL, aFd, nullptr);
  mWatched.erase(aFd);
}

void
EventLoop::At(TimePoint aDue, Callback aCallback)
{
  mTimers.push(
    { aDue, mOrder++, std::make_shared<Callback>(std::move(aCallback)) });
}

void
EventLoop::After(Duration aDelay, Callback aCallback)
{
  At(std::chrono::steady_clock::now() + aDelay, std::move(aCallback));
}

void
EventLoop::StopOnSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  mSignals = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  Watch(mSignals, [this] { Stop(); });
}

void
EventLoop::Run()
{
  epoll_event events[kMaxEvents];
  while (!mStopped) {
    timespec wait{};
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      RunTimers();
      wait = ToTimespec(UntilNextTimer());
    }
    const int n = epoll_pwait2(mEpoll, events, kMaxEvents, &wait, nullptr);
    const std::lock_guard<std::mutex> lock(mMutex);
    for (int i = 0; i < n; ++i) {
      const auto it = mWatched.find(events[i].data.fd);
      if (it != mWatched.end()) {
        const std::shared_ptr<Callback> callback = it->second;
        (*callback)();
      }
    }
  }
}

void
EventLoop::RunTimers()
{
  const TimePoint now = std::chrono::steady_clock::now();
  while (!mTimers.empty() && mTimers.top().mDue <= now) {
    const std::shared_ptr<Callback> callback = mTimers.top().mCallback;
    mTimers.pop();
    (*callback)();
  }
}

Duration
EventLoop::UntilNextTimer() const
{
  if (mTimers.empty()) {
    return kLongestWait;
  }
  const Duration left = mTimers.top().mDue - std::chrono::steady_clock::now();
  return std::clamp(left, Duration::zero(), kLongestWait);
}

} // namespace foxtail::standins

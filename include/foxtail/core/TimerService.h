#ifndef foxtail_core_TimerService_h
#define foxtail_core_TimerService_h

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail {

// Periodic timers with callbacks. The owner of the event loop calls RunDue with
// the current time; the class itself never reads a clock. Not thread-safe: use
// one instance per event loop.
class TimerService
{
public:
  using Callback = std::function<void(TimePoint)>;
  using Subscription = uint64_t;

  // Calls aCallback every aPeriod, first at aStart. If RunDue is called more
  // than aPeriod late, the timer is due again immediately, then every aPeriod
  // from there; further missed periods are dropped.
  Subscription Subscribe(TimePoint aStart,
                         Duration aPeriod,
                         Callback aCallback);

  // Unknown subscriptions are ignored.
  void Cancel(Subscription aSubscription);

  // Runs all timers that are due. Returns how many ran.
  size_t RunDue(TimePoint aNow);

  // The time at which the next timer is due; empty if there are no
  // subscriptions.
  std::optional<TimePoint> NextDue() const;

private:
  struct Timer
  {
    Subscription mId;
    TimePoint mDue;
    Duration mPeriod;
    Callback mCallback;
  };
  std::vector<Timer> mTimers;
  Subscription mLastId = 0;
};

} // namespace foxtail

#endif

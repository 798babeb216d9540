#ifndef foxtail_core_TimerService_h
#define foxtail_core_TimerService_h

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail {

// Periodic timers that parts subscribe to. The owner of the event loop calls
// RunDue with the current time; nothing in here reads a clock. Not
// thread-safe: one service per event loop.
class TimerService
{
public:
  using Callback = std::function<void(TimePoint)>;
  using Subscription = uint64_t;

  // Calls aCallback every aPeriod, first at aStart. A late run does not make
  // up for missed periods.
  Subscription Subscribe(TimePoint aStart,
                         Duration aPeriod,
                         Callback aCallback);

  // Unknown subscriptions are ignored.
  void Cancel(Subscription aSubscription);

  // Runs every timer that is due; returns how many ran.
  size_t RunDue(TimePoint aNow);

  // When the next timer is due; empty without subscriptions.
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

#ifndef foxtail_balancer_PauseGuard_h
#define foxtail_balancer_PauseGuard_h

#include "foxtail/core/Time.h"

namespace foxtail::balancer {

// Keeps a process that was paused from serving with what it knew before. After
// a pause it holds until the view has been confirmed and a little time has
// passed in which newer configurations arrive; without a confirmation, as in a
// domain that is cut off, it goes on after a longer time.
class PauseGuard
{
public:
  // A gap between two runs of the event loop that counts as a pause.
  static constexpr milliseconds kMinPause{ 1500 };
  static constexpr milliseconds kMinHold{ 1000 };
  static constexpr milliseconds kMaxHold{ 4000 };

  explicit PauseGuard(TimePoint aNow)
    : mLastUpdate(aNow)
  {
  }

  // Called in each run of the event loop.
  void Update(TimePoint aNow)
  {
    if (aNow - mLastUpdate >= kMinPause) {
      mIsHolding = true;
      mIsConfirmed = false;
      mResumedAt = aNow;
    }
    mLastUpdate = aNow;
    const milliseconds hold = mIsConfirmed ? kMinHold : kMaxHold;
    if (mIsHolding && aNow - mResumedAt >= hold) {
      mIsHolding = false;
    }
  }

  // The agent has a view that is not in doubt.
  void Confirm() { mIsConfirmed = true; }

  // True while nothing new must be served.
  bool IsHolding() const { return mIsHolding; }

private:
  TimePoint mLastUpdate;
  TimePoint mResumedAt;
  bool mIsHolding = false;
  bool mIsConfirmed = false;
};

} // namespace foxtail::balancer

#endif

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
  static constexpr milliseconds kPause{ 1500 };
  static constexpr milliseconds kShortestHold{ 1000 };
  static constexpr milliseconds kLongestHold{ 4000 };

  explicit PauseGuard(TimePoint aNow)
    : mLastRun(aNow)
  {
  }

  // Called in each run of the event loop.
  void Run(TimePoint aNow)
  {
    if (aNow - mLastRun >= kPause) {
      mIsHolding = true;
      mIsConfirmed = false;
      mWoke = aNow;
    }
    mLastRun = aNow;
    const milliseconds hold = mIsConfirmed ? kShortestHold : kLongestHold;
    if (mIsHolding && aNow - mWoke >= hold) {
      mIsHolding = false;
    }
  }

  // The agent has a view that is not in doubt.
  void Confirm() { mIsConfirmed = true; }

  // True while nothing new must be served.
  bool IsHolding() const { return mIsHolding; }

private:
  TimePoint mLastRun;
  TimePoint mWoke;
  bool mIsHolding = false;
  bool mIsConfirmed = false;
};

} // namespace foxtail::balancer

#endif

#ifndef foxtail_balancer_PauseGuard_h
#define foxtail_balancer_PauseGuard_h

#include "foxtail/core/Time.h"

namespace foxtail::balancer {

// Keeps a process that was paused from serving with an outdated view or
// configuration. After a pause the guard holds until the view is confirmed and
// kMinHold has passed, in which newer configurations can arrive. Without a
// confirmation, as in a failure domain that is cut off, the hold ends after
// kMaxHold.
class PauseGuard
{
public:
  // Minimum gap between two updates that counts as a pause.
  static constexpr milliseconds kMinPause{ 1500 };
  // Hold after a pause when the view is confirmed.
  static constexpr milliseconds kMinHold{ 1000 };
  // Hold after a pause when the view is not confirmed.
  static constexpr milliseconds kMaxHold{ 4000 };

  explicit PauseGuard(TimePoint aNow)
    : mLastUpdate(aNow)
  {
  }

  // Must be called in each iteration of the event loop.
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

  // Called when the agent sent a view that is not in doubt.
  void Confirm() { mIsConfirmed = true; }

  // True while the process must not handle or send datagrams.
  bool IsHolding() const { return mIsHolding; }

private:
  TimePoint mLastUpdate;
  TimePoint mResumedAt;
  bool mIsHolding = false;
  bool mIsConfirmed = false;
};

} // namespace foxtail::balancer

#endif

#include "foxtail/core/TimerService.h"

#include <algorithm>

namespace foxtail {

TimerService::Subscription
TimerService::Subscribe(TimePoint aStart, Duration aPeriod, Callback aCallback)
{
  mTimers.push_back({ ++mLastId, aStart, aPeriod, std::move(aCallback) });
  return mLastId;
}

void
TimerService::Cancel(Subscription aSubscription)
{
  mTimers.erase(
    std::remove_if(mTimers.begin(),
                   mTimers.end(),
                   [&](const Timer& t) { return t.mId == aSubscription; }),
    mTimers.end());
}

size_t
TimerService::RunDue(TimePoint aNow)
{
  // Callbacks may subscribe or cancel, which changes mTimers, so the callbacks
  // are collected before any of them is called.
  std::vector<Callback> due;
  for (Timer& it : mTimers) {
    if (it.mDue > aNow) {
      continue;
    }
    it.mDue = std::max(it.mDue + it.mPeriod, aNow);
    due.push_back(it.mCallback);
  }
  for (const Callback& it : due) {
    it(aNow);
  }
  return due.size();
}

std::optional<TimePoint>
TimerService::NextDue() const
{
  if (mTimers.empty()) {
    return std::nullopt;
  }
  const auto it = std::min_element(
    mTimers.begin(), mTimers.end(), [](const Timer& a, const Timer& b) {
      return a.mDue < b.mDue;
    });
  return it->mDue;
}

} // namespace foxtail

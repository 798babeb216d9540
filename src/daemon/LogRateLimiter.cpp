#include "foxtail/daemon/LogRateLimiter.h"

#include "absl/strings/str_cat.h"

namespace foxtail::daemon {

bool
LogRateLimiter::Allow(TimePoint aNow, int aEventId)
{
  if (aNow - mWindowStart >= seconds(1)) {
    mWindowStart = aNow;
    mAllowed.clear();
  }
  if (mAllowed[aEventId] < kMaxLinesPerEventPerSecond) {
    ++mAllowed[aEventId];
    return true;
  }
  ++mSuppressed[aEventId];
  return false;
}

std::optional<Event>
LogRateLimiter::TakeReport(TimePoint aNow)
{
  const bool isOver = aNow - mWindowStart >= seconds(1);
  if (!isOver || (mSuppressed.empty() && mUnwritten == 0)) {
    return std::nullopt;
  }
  std::string detail = absl::StrCat("unwritten=", mUnwritten);
  for (const auto& [event, count] : mSuppressed) {
    absl::StrAppend(&detail, " event_", event, "=", count);
  }
  mSuppressed.clear();
  mUnwritten = 0;
  return Event{ 1104, detail };
}

} // namespace foxtail::daemon

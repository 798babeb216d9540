#include "foxtail/daemon/LogBudget.h"

#include "absl/strings/str_cat.h"

namespace foxtail::daemon {

bool
LogBudget::Take(TimePoint aNow, int aEvent)
{
  if (aNow - mSecond >= seconds(1)) {
    mSecond = aNow;
    mWritten.clear();
  }
  if (mWritten[aEvent] < kLinesPerSecond) {
    ++mWritten[aEvent];
    return true;
  }
  ++mLeftOut[aEvent];
  return false;
}

std::optional<Event>
LogBudget::Report(TimePoint aNow)
{
  const bool isOver = aNow - mSecond >= seconds(1);
  if (!isOver || (mLeftOut.empty() && mUnwritten == 0)) {
    return std::nullopt;
  }
  std::string detail = absl::StrCat("unwritten=", mUnwritten);
  for (const auto& [event, count] : mLeftOut) {
    absl::StrAppend(&detail, " event_", event, "=", count);
  }
  mLeftOut.clear();
  mUnwritten = 0;
  return Event{ 1104, detail };
}

} // namespace foxtail::daemon

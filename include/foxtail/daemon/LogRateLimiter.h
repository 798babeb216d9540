#ifndef foxtail_daemon_LogRateLimiter_h
#define foxtail_daemon_LogRateLimiter_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Limits the log lines of each event number in windows of one second, so that
// an overloaded process does not spend its processor time on logging.
// Suppressed lines are counted; TakeReport gives the counts once the window is
// over. Not thread-safe.
class LogRateLimiter
{
public:
  // A balancer of the size that the system is designed for logs about 65 new
  // flows per second, and three times as many in a load peak.
  static constexpr uint32_t kMaxLinesPerEventPerSecond = 200;

  // Returns whether a line of this event number may be written at aNow, and
  // counts the line as allowed or suppressed.
  bool Allow(TimePoint aNow, int aEventId);

  // Counts a line that was allowed but could not be written, because the reader
  // of standard output did not accept it.
  void CountUnwritten() { ++mUnwritten; }

  // Returns event 1104 with the counts of suppressed and unwritten lines, and
  // resets them. Empty while the current window lasts or if both counts are
  // zero.
  std::optional<Event> TakeReport(TimePoint aNow);

private:
  TimePoint mWindowStart;
  std::map<int, uint32_t> mAllowed;
  std::map<int, uint32_t> mSuppressed;
  uint64_t mUnwritten = 0;
};

} // namespace foxtail::daemon

#endif

#ifndef foxtail_daemon_LogRateLimiter_h
#define foxtail_daemon_LogRateLimiter_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Limits the log lines of each event number within a second, so that an
// overloaded process does not spend its processor time on logging. Suppressed
// lines are counted; TakeReport gives the counts once the second is over. Not
// thread-safe.
class LogRateLimiter
{
public:
  // Lines per event number and second. At its design size a balancer places
  // about 65 new flows per second, and three times as many in a load peak.
  static constexpr uint32_t kMaxLinesPerSecond = 200;

  // Returns whether a line of this event number may be written at aNow, and
  // counts the line as written or suppressed.
  bool Allow(TimePoint aNow, int aEvent);

  // Counts a line that was allowed but could not be written, because the reader
  // of standard output did not accept it.
  void CountUnwritten() { ++mUnwritten; }

  // Returns event 1104 with the counts of suppressed and unwritten lines, and
  // resets them. Empty while the current second lasts or if both counts are
  // zero.
  std::optional<Event> TakeReport(TimePoint aNow);

private:
  TimePoint mWindowStart;
  std::map<int, uint32_t> mWritten;
  std::map<int, uint32_t> mSuppressed;
  uint64_t mUnwritten = 0;
};

} // namespace foxtail::daemon

#endif

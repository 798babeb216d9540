#ifndef foxtail_daemon_LogRateLimiter_h
#define foxtail_daemon_LogRateLimiter_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Bounds the lines of each event number within a second, so that an overload
// does not spend its processor time on saying so. What was left out is counted
// and said once the second is over. Not thread-safe.
class LogRateLimiter
{
public:
  // Lines of one event number a second. A balancer places about 65 new flows
  // a second at the size that it is designed for; three times that in a crest.
  static constexpr uint32_t kMaxLinesPerSecond = 200;

  // Whether a line of this event may be written now.
  bool Allow(TimePoint aNow, int aEvent);

  // A line was not taken by the reader of the log.
  void CountUnwritten() { ++mUnwritten; }

  // What was left out in the second that ended before aNow; empty when that
  // was nothing or the second is not over.
  std::optional<Event> TakeReport(TimePoint aNow);

private:
  TimePoint mWindowStart;
  std::map<int, uint32_t> mWritten;
  std::map<int, uint32_t> mSuppressed;
  uint64_t mUnwritten = 0;
};

} // namespace foxtail::daemon

#endif

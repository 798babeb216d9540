#ifndef foxtail_core_Time_h
#define foxtail_core_Time_h

#include <chrono>

namespace foxtail {

// Monotonic time. The code that makes decisions never reads a clock; the
// current time is passed to it with each event.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
// Wall-clock time, used only where a protocol carries it.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace foxtail

#endif

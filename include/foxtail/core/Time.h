#ifndef foxtail_core_Time_h
#define foxtail_core_Time_h

#include <chrono>

namespace foxtail {

// Monotonic time. The decision code never reads a clock; it is handed one of
// these with every event.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
// Time of day, only used where a protocol carries it.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace foxtail

#endif

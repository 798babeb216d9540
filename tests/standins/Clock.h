#ifndef foxtail_standins_Clock_h
#define foxtail_standins_Clock_h

#include "foxtail/core/Time.h"

namespace foxtail::standins {

// Returns the time in milliseconds since the Unix epoch, as journals and
// reports record it.
inline int64_t
WallMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace foxtail::standins

#endif

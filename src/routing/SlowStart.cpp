#include "foxtail/routing/SlowStart.h"

#include <algorithm>

namespace foxtail::routing {

void
SlowStart::Start(TimePoint aNow)
{
  mStart = aNow;
}

uint32_t
SlowStart::UsableSlots(uint32_t aSlots, TimePoint aNow) const
{
  if (!mStart || aNow - *mStart >= kRampTime) {
    return aSlots;
  }
  const Duration ramp = kRampTime;
  const auto used = aSlots * (aNow - *mStart) / ramp;
  return std::clamp<uint32_t>(static_cast<uint32_t>(used), 1U, aSlots);
}

} // namespace foxtail::routing

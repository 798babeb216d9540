#ifndef foxtail_routing_SlowStart_h
#define foxtail_routing_SlowStart_h

#include <cstdint>
#include <optional>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Slow start: limits the slots of an upstream that is new or has returned from
// ejection, and raises the limit linearly.
class SlowStart
{
public:
  static constexpr seconds kRampTime{ 5 };

  void Start(TimePoint aNow);
  // How many of an upstream's aSlots slots may be used: one at first, all after
  // kRampTime.
  uint32_t UsableSlots(uint32_t aSlots, TimePoint aNow) const;

private:
  std::optional<TimePoint> mStart;
};

} // namespace foxtail::routing

#endif

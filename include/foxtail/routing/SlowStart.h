#ifndef foxtail_routing_SlowStart_h
#define foxtail_routing_SlowStart_h

#include <cstdint>
#include <optional>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Lets an upstream that is new or has returned take up its slots by and by.
class SlowStart
{
public:
  static constexpr seconds kRampTime{ 5 };

  void Start(TimePoint aNow);
  // How many of aSlots may be used: one at first, all after kRampTime.
  uint32_t UsableSlots(uint32_t aSlots, TimePoint aNow) const;

private:
  std::optional<TimePoint> mStart;
};

} // namespace foxtail::routing

#endif

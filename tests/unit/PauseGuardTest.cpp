#include <catch2/catch.hpp>

#include "foxtail/balancer/PauseGuard.h"

using namespace foxtail;
using foxtail::balancer::PauseGuard;

// A process that resumes after a pause must not serve with an outdated view.
TEST_CASE("PauseGuard holds after a pause", "[balancer]")
{
  const TimePoint start{ seconds(100) };
  PauseGuard guard(start);
  const auto runUntil = [&](TimePoint aFrom, TimePoint aTo) {
    for (TimePoint t = aFrom; t <= aTo; t += milliseconds(5)) {
      guard.Update(t);
    }
  };

  SECTION("a slow iteration of the event loop is no pause")
  {
    guard.Update(start + PauseGuard::kMinPause - milliseconds(1));
    CHECK_FALSE(guard.IsHolding());
  }
  SECTION("holds for the minimum when confirmed, else for the maximum")
  {
    const bool isConfirmed = GENERATE(true, false);
    const milliseconds hold =
      isConfirmed ? PauseGuard::kMinHold : PauseGuard::kMaxHold;
    const TimePoint resumed = start + seconds(6);
    guard.Update(resumed);
    REQUIRE(guard.IsHolding());
    if (isConfirmed) {
      guard.Confirm();
    }
    runUntil(resumed, resumed + hold - milliseconds(5));
    CHECK(guard.IsHolding());
    runUntil(resumed + hold, resumed + hold);
    CHECK_FALSE(guard.IsHolding());
  }
}

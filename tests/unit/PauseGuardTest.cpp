#include <catch2/catch.hpp>

#include "foxtail/balancer/PauseGuard.h"

using namespace foxtail;
using foxtail::balancer::PauseGuard;

TEST_CASE("PauseGuard holds after a pause", "[balancer]")
{
  const TimePoint start{ seconds(100) };
  PauseGuard guard(start);
  const auto runUntil = [&](TimePoint aFrom, TimePoint aTo) {
    for (TimePoint t = aFrom; t <= aTo; t += milliseconds(5)) {
      guard.Run(t);
    }
  };

  SECTION("a slow run of the loop is no pause")
  {
    guard.Run(start + PauseGuard::kPause - milliseconds(1));
    CHECK_FALSE(guard.IsHolding());
  }
  SECTION("confirmed or not")
  {
    const bool isConfirmed = GENERATE(true, false);
    const milliseconds hold =
      isConfirmed ? PauseGuard::kShortestHold : PauseGuard::kLongestHold;
    const TimePoint woke = start + seconds(6);
    guard.Run(woke);
    REQUIRE(guard.IsHolding());
    if (isConfirmed) {
      guard.Confirm();
    }
    runUntil(woke, woke + hold - milliseconds(5));
    CHECK(guard.IsHolding());
    runUntil(woke + hold, woke + hold);
    CHECK_FALSE(guard.IsHolding());
  }
}

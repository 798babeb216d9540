#include <catch2/catch.hpp>

#include "foxtail/core/Address.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/FlowKey.h"
#include "foxtail/core/TimerService.h"

using namespace foxtail;
using namespace std::chrono_literals;

TEST_CASE("Address reads and writes text", "[core]")
{
  SECTION("accepted")
  {
    const std::string text = GENERATE("127.0.0.1:1", "10.1.2.3:65535");
    CHECK(Address::Parse(text).ToString() == text);
  }
  SECTION("refused with its number")
  {
    const std::string text =
      GENERATE("", ":", "127.0.0.1", "127.0.0.1:65536", "1.2.3:4", "a:b");
    try {
      Address::Parse(text);
      FAIL("accepted " << text);
    } catch (const NetError& e) {
      CHECK(e.Id() == 601);
    }
  }
}

TEST_CASE("FlowKey hashes the same in every process", "[core]")
{
  const FlowKey flow{ Address::Parse("127.0.0.1:5000"),
                      Address::Parse("127.0.0.2:5683") };
  CHECK(flow.Hash() == 0x3a10976bc5519e10);
}

TEST_CASE("TimerService runs what is due", "[core]")
{
  TimerService timers;
  const TimePoint start{ 1s };
  int runs = 0;
  const auto id = timers.Subscribe(start, 10ms, [&](TimePoint) { ++runs; });

  SECTION("not before its time")
  {
    CHECK(timers.RunDue(start - 1ns) == 0);
    CHECK(timers.NextDue() == start);
  }
  SECTION("a late run does not make up for missed periods")
  {
    CHECK(timers.RunDue(start + 1s) == 1);
    CHECK(runs == 1);
    CHECK(timers.NextDue() == start + 1s);
  }
  SECTION("cancelled")
  {
    timers.Cancel(id);
    CHECK(timers.RunDue(start) == 0);
    CHECK_FALSE(timers.NextDue());
  }
}

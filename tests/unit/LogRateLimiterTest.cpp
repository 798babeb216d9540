#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/LogRateLimiter.h"

using namespace foxtail;
using namespace foxtail::daemon;
using namespace std::chrono_literals;

TEST_CASE("Log lines are limited per event number and second", "[daemon][log]")
{
  const TimePoint start{ 100s };
  LogRateLimiter limiter;
  for (uint32_t i = 0; i < LogRateLimiter::kMaxLinesPerEventPerSecond; ++i) {
    REQUIRE(limiter.Allow(start, 5101));
  }
  CHECK_FALSE(limiter.Allow(start + 10ms, 5101));
  CHECK_FALSE(limiter.Allow(start + 20ms, 5101));
  // The limit of one event number does not affect another.
  CHECK(limiter.Allow(start + 30ms, 5102));
  CHECK_FALSE(limiter.TakeReport(start + 500ms));
  const auto report = limiter.TakeReport(start + 1s);
  REQUIRE(report);
  CHECK(report->mDetail == "unwritten=0 event_5101=2");
  CHECK_FALSE(limiter.TakeReport(start + 1s));
  CHECK(limiter.Allow(start + 1s, 5101));
}

// Guards against a process that blocks in LogEvent because the reader of its
// standard output has stopped reading and the pipe is full.
TEST_CASE("LogEvent does not block when the reader of the log has stopped",
          "[daemon][log]")
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  StartLog("test", "vm-1");
  // 200 lines of 2000 bytes exceed the pipe's capacity; if LogEvent blocks, the
  // test exceeds its time limit.
  for (int i = 0; i < 200; ++i) {
    LogEvent({ 1001, std::string(2000, 'x') });
  }
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[1]);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  std::string text(1 << 20, '\0');
  size_t got = 0;
  for (ssize_t n = 1; n > 0 && got<text.size(); got += n> 0 ? n : 0) {
    n = read(ends[0], text.data() + got, text.size() - got);
  }
  close(ends[0]);
  // Some lines were written, and some were dropped.
  CHECK(got > 2000);
  CHECK(got < 400000);
  // The output ends with a whole line.
  CHECK(text[got - 1] == '\n');
}

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "foxtail/core/Event.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Trace.h"

using namespace foxtail;
using namespace foxtail::daemon;
using namespace std::chrono_literals;

TEST_CASE("docs/EVENTS.md and the event catalogue list the same events",
          "[daemon]")
{
  std::ifstream in(FOXTAIL_SOURCE_DIR "/docs/EVENTS.md");
  std::stringstream page;
  page << in.rdbuf();
  const auto& catalogue = EventCatalogue();
  CHECK(std::is_sorted(
    catalogue.begin(), catalogue.end(), [](const auto& a, const auto& b) {
      return a.mId < b.mId;
    }));
  size_t rows = 0;
  for (std::string line; std::getline(page, line);) {
    // Counts the rows that start with an event number: with a digit from 1
    // to 9.
    rows +=
      line.rfind("| 1", 0) == 0 || line.rfind("| 2", 0) == 0 ||
      (line.size() > 3 && line[0] == '|' && line[2] >= '3' && line[2] <= '9');
  }
  CHECK(rows == catalogue.size());
  for (const EventInfo& it : catalogue) {
    const std::string row =
      "| " + std::to_string(it.mId) + " | " + std::string(it.mName) + " |";
    INFO(row);
    CHECK(page.str().find(row) != std::string::npos);
  }
}

TEST_CASE("FormatEvent escapes newlines and replaces invalid UTF-8", "[daemon]")
{
  const std::string line = FormatEvent({ 6001, "error=\"\n\xFF\"" });
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.find("\"event\":6001") != std::string::npos);
}

TEST_CASE("Metrics keep one series per name and labels", "[daemon]")
{
  Metrics metrics;
  metrics.Counter("foxtail_x_total", "Help.", { { "a", "1" } }).Increment();
  metrics.Counter("foxtail_x_total", "Help.", { { "a", "1" } }).Increment();
  metrics.SetCounter("foxtail_x_total", "Help.", { { "a", "2" } }, 7);
  CHECK(metrics.Text().find("foxtail_x_total{a=\"1\"} 2") != std::string::npos);
  CHECK(metrics.Text().find("foxtail_x_total{a=\"2\"} 7") != std::string::npos);
}

TEST_CASE("Trace samples by key and writes spans as JSON", "[daemon]")
{
  std::string file = "/tmp/foxtail-trace-XXXXXX";
  ::close(::mkstemp(file.data()));
  Trace trace(file, "vm-1", 10);
  CHECK(trace.IsSampled(9));
  CHECK_FALSE(trace.IsSampled(10));
  const TimePoint now{ 1s };
  trace.Record("forward", 9, now, now + 1ms, "vm-2");
  std::ifstream in(file);
  std::string line;
  std::getline(in, line);
  CHECK(line.find("forward") != std::string::npos);
  CHECK(line.find("0000000000000009") != std::string::npos);
  std::remove(file.c_str());
}

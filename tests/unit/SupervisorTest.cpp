#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "foxtail/core/Error.h"
#include "foxtail/daemon/Supervisor.h"

using namespace foxtail;
using namespace foxtail::daemon;
using namespace std::chrono_literals;

namespace {

// Waits up to 10 s for aCondition to hold. Returns whether it holds.
template<typename Condition>
bool
HoldsSoon(Condition aCondition)
{
  for (int i = 0; i < 2000 && !aCondition(); ++i) {
    std::this_thread::sleep_for(5ms);
  }
  return aCondition();
}

struct ReportedEvents
{
  std::mutex mMutex;
  std::vector<int> mIds;

  void operator()(const Event& aEvent)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIds.push_back(aEvent.mId);
  }
  // Counts reports of event aId: 1004 part-failed, 1005 part-gave-up.
  size_t Count(int aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return std::count(mIds.begin(), mIds.end(), aId);
  }
};

} // namespace

TEST_CASE("RestartPolicy backs off and gives up", "[daemon]")
{
  RestartPolicy policy({ 100ms, 500ms, 4, 60s });
  const TimePoint start{ 1000s };
  CHECK(policy.OnFailure(start) == Duration(100ms));
  CHECK(policy.OnFailure(start + 1s) == Duration(200ms));
  CHECK(policy.OnFailure(start + 2s) == Duration(400ms));
  CHECK(policy.OnFailure(start + 3s) == Duration(500ms));
  SECTION("too often")
  {
    CHECK_FALSE(policy.OnFailure(start + 4s));
  }
  SECTION("old failures do not count")
  {
    CHECK(policy.OnFailure(start + 100s) == Duration(100ms));
  }
}

TEST_CASE("A failing part is restarted, and given up after too many failures",
          "[daemon]")
{
  ReportedEvents reports;
  Supervisor supervisor("test", std::ref(reports), { 1ms, 4ms, 5, 60s });
  std::atomic<int> failingStarts{ 0 };
  std::atomic<int> siblingStarts{ 0 };
  std::atomic<bool> siblingEnded{ false };
  StopToken stop;
  const int failures = GENERATE(3, 100);
  const bool byReturn = GENERATE(false, true);
  supervisor.Add("failing", [&](const StopToken& aStop) {
    if (++failingStarts > failures) {
      aStop.WaitFor(60s);
    } else if (!byReturn) {
      throw DaemonError(999, "test", "fails");
    }
  });
  supervisor.Add("sibling", [&](const StopToken& aStop) {
    ++siblingStarts;
    aStop.WaitFor(60s);
    siblingEnded = true;
  });

  if (failures < 5) {
    std::thread runner([&] { supervisor.Run(stop); });
    CHECK(HoldsSoon([&] { return failingStarts > failures; }));
    CHECK(siblingStarts == 1);
    CHECK_FALSE(siblingEnded);
    stop.Request();
    runner.join();
    CHECK(reports.Count(1004) == size_t(failures));
    CHECK(reports.Count(1005) == 0);
  } else {
    CHECK_THROWS_AS(supervisor.Run(stop), DaemonError);
    CHECK(reports.Count(1004) == 5);
    CHECK(reports.Count(1005) == 1);
  }
  CHECK(siblingStarts == 1);
  CHECK(siblingEnded);
}

TEST_CASE("A supervisor that gave up a part is restarted by its parent",
          "[daemon]")
{
  ReportedEvents reports;
  Supervisor inner("inner", std::ref(reports), { 1ms, 1ms, 2, 60s });
  Supervisor outer("outer", std::ref(reports), { 1ms, 1ms, 2, 60s });
  std::atomic<int> starts{ 0 };
  inner.Add("part", [&](const StopToken& aStop) {
    if (++starts <= 3) {
      throw DaemonError(999, "test", "fails");
    }
    aStop.WaitFor(60s);
  });
  outer.Add("inner", [&](const StopToken& aStop) { inner.Run(aStop); });
  StopToken stop;
  std::thread runner([&] { outer.Run(stop); });
  CHECK(HoldsSoon([&] { return starts == 4; }));
  stop.Request();
  runner.join();
  CHECK(reports.Count(1005) == 1);
}

TEST_CASE("Stopping a supervisor stops the parts of a nested one", "[daemon]")
{
  ReportedEvents reports;
  Supervisor inner("inner", std::ref(reports));
  Supervisor outer("outer", std::ref(reports));
  std::atomic<bool> started{ false };
  std::atomic<bool> interrupted{ false };
  inner.Add(
    "part",
    [&](const StopToken& aStop) {
      started = true;
      aStop.WaitFor(60s);
    },
    [&] { interrupted = true; });
  outer.Add("inner", [&](const StopToken& aStop) { inner.Run(aStop); });
  StopToken stop;
  std::thread runner([&] { outer.Run(stop); });
  CHECK(HoldsSoon([&] { return started.load(); }));
  stop.Request();
  runner.join();
  CHECK(interrupted);
  CHECK(reports.mIds.empty());
}

#include <catch2/catch.hpp>

#include "foxtail/routing/Admission.h"
#include "foxtail/routing/OutlierDetector.h"
#include "foxtail/routing/PeerLoads.h"
#include "foxtail/routing/ReportFilter.h"
#include "foxtail/routing/RetryBudget.h"
#include "foxtail/routing/ServiceTimes.h"
#include "foxtail/routing/SlotShare.h"
#include "foxtail/routing/SlowStart.h"

using namespace foxtail;
using namespace foxtail::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

} // namespace

TEST_CASE("RetryBudget bounds retries to a tenth of the requests", "[routing]")
{
  RetryBudget budget;
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries <=
        1000 * RetryBudget::kRetriesPerRequest + RetryBudget::kMaxSavedRetries);
  CHECK(retries >= 100);
}

TEST_CASE("SlowStart ramps the slots up", "[routing]")
{
  SlowStart slowStart;
  CHECK(slowStart.UsableSlots(3, kStart) == 3);
  slowStart.Start(kStart);
  const auto [after, slots] = GENERATE(table<milliseconds, uint32_t>(
    { { 0ms, 1 }, { 1000ms, 1 }, { 3500ms, 2 }, { 4999ms, 2 }, { 5s, 3 } }));
  CHECK(slowStart.UsableSlots(3, kStart + after) == slots);
}

// Guards against the ejection of a live upstream: failures, silence or a bad
// report alone must not eject it.
TEST_CASE("OutlierDetector needs two signs", "[routing]")
{
  struct Case
  {
    const char* mName;
    int mFailures;
    bool mHealthy;
    // Time from the send to an answer, if any, and to the call of ShouldEject.
    milliseconds mAnsweredAfter;
    milliseconds mCheckedAfter;
    bool mEjected;
  };
  const auto it = GENERATE(values<Case>({
    { "failures and silence", 3, true, 0ms, 600ms, true },
    { "failures, too early", 3, true, 0ms, 400ms, false },
    { "too few failures", 2, true, 0ms, 5s, false },
    { "failures, then an answer", 3, true, 300ms, 600ms, false },
    { "silence alone", 0, true, 0ms, 60s, false },
    { "silence and a bad report", 0, false, 0ms, 2s, true },
    { "a bad report, but it answers", 0, false, 1900ms, 2s, false },
  }));
  INFO(it.mName);
  OutlierDetector detector;
  detector.OnSent(kStart);
  for (int n = 0; n < it.mFailures; ++n) {
    detector.OnFailure();
  }
  detector.OnReport(it.mHealthy, kStart);
  if (it.mAnsweredAfter > 0ms) {
    detector.OnAnswer(kStart + it.mAnsweredAfter);
    detector.OnReport(it.mHealthy, kStart);
  }
  CHECK(detector.ShouldEject(kStart + it.mCheckedAfter) == it.mEjected);
}

TEST_CASE("OutlierDetector ejects for longer each time", "[routing]")
{
  OutlierDetector detector;
  detector.Eject(kStart);
  CHECK_FALSE(detector.TryReturn(kStart + 4999ms));
  CHECK(detector.TryReturn(kStart + 5s));
  detector.Eject(kStart + 6s);
  CHECK_FALSE(detector.TryReturn(kStart + 15s));
  CHECK(detector.TryReturn(kStart + 16s));
  // After a return, one failure is enough.
  detector.OnSent(kStart + 17s);
  detector.OnFailure();
  CHECK(detector.ShouldEject(kStart + 18s));
}

TEST_CASE("ReportFilter weights reports by age and trust", "[routing]")
{
  ReportFilter filter;
  SECTION("a report fades")
  {
    filter.OnReport(4, kStart);
    const auto [age, inFlight] = GENERATE(table<milliseconds, uint32_t>(
      { { 0ms, 4 }, { 125ms, 2 }, { 250ms, 0 }, { 1s, 0 } }));
    CHECK(filter.InFlight(kStart + age) == inFlight);
  }
  SECTION("a prompt answer contradicts a report of full slots")
  {
    for (int n = 0; n < 4; ++n) {
      const TimePoint taken = kStart + n * 100ms;
      filter.OnReport(1000, taken);
      filter.OnPromptAnswer(3, taken + 1ms);
    }
    CHECK_FALSE(filter.IsTrusted());
    CHECK(filter.InFlight(kStart + 300ms) == 0);
    filter.OnReport(1, kStart + 1s);
    filter.OnReport(1, kStart + 2s);
    filter.OnReport(1, kStart + 3s);
    CHECK(filter.IsTrusted());
  }
}

TEST_CASE("ServiceTimes: stragglers move the mean, not the median", "[routing]")
{
  ServiceTimes times;
  for (int n = 0; n < 20000; ++n) {
    times.OnAnswer(n % 33 == 0 ? 250ms : 5ms);
  }
  CHECK(times.Median() >= 4500us);
  CHECK(times.Median() <= 5500us);
  CHECK(times.Mean() > 9ms);
  CHECK(times.LongAge() < 17ms);
}

TEST_CASE("Admission follows the rate at which the queue drains", "[routing]")
{
  Admission admission(100ms);
  admission.OnBacklog(1000, kStart);
  SECTION("by the expected rate at first")
  {
    const auto [queued, remaining, admitted] =
      GENERATE(table<size_t, milliseconds, bool>({ { 0, 1s, true },
                                                   { 80, 1s, true },
                                                   { 90, 1s, false },
                                                   { 40, 20ms, false } }));
    CHECK(admission.Admits(queued, remaining, kStart) == admitted);
  }
  SECTION("by the measured rate afterwards")
  {
    TimePoint now = kStart;
    for (int n = 0; n < 100; ++n) {
      now += 10ms;
      admission.OnDequeued(now);
    }
    CHECK(admission.Admits(7, 1s, now));
    CHECK_FALSE(admission.Admits(12, 1s, now));
  }
  SECTION("not at all when no request is dequeued")
  {
    CHECK_FALSE(admission.Admits(1, 10s, kStart + 10s));
  }
}

TEST_CASE("SlotShare gives each slot to one balancer", "[routing]")
{
  const auto [balancers, upstreams] = GENERATE(
    table<uint32_t, uint32_t>({ { 1, 15 }, { 7, 15 }, { 8, 4 }, { 50, 4 } }));
  config::Snapshot snapshot;
  snapshot.mServices.resize(1);
  for (uint32_t n = 0; n < upstreams; ++n) {
    snapshot.mUpstreams.emplace_back().mSlots = 3;
    // Ids in no particular order.
    snapshot.mUpstreams[n].mId = n * 7919 % 31;
    snapshot.mServices[0].mUpstreams.push_back(n);
  }
  std::vector<uint64_t> incarnations;
  for (uint32_t n = 0; n < balancers; ++n) {
    incarnations.push_back(1000 - n);
  }
  std::vector<uint32_t> ownSlots(upstreams);
  std::vector<uint32_t> withQueue(upstreams);
  uint32_t shares = 0;
  for (const uint64_t own : incarnations) {
    SlotShare share;
    share.SetBalancers(incarnations, own);
    share.SetSnapshot(snapshot);
    uint32_t sum = 0;
    for (uint32_t n = 0; n < upstreams; ++n) {
      ownSlots[n] += share.OwnSlots(n);
      withQueue[n] += share.OwnSlotsWithQueue(n);
      sum += share.OwnSlots(n);
    }
    CHECK(sum >= upstreams * 3 / balancers);
    CHECK(sum <= upstreams * 3 / balancers + 1);
    shares += share.ShareOf(100);
  }
  CHECK(ownSlots == std::vector<uint32_t>(upstreams, 3));
  CHECK(withQueue == std::vector<uint32_t>(upstreams, 4));
  CHECK(shares == 100);
}

TEST_CASE("PeerLoads sums the loads of live peers", "[routing]")
{
  PeerLoads loads;
  const auto held = [](uint32_t aId, uint32_t aCount) {
    LoadReport report;
    report.mUpstream = aId;
    report.mInFlight = aCount;
    return report;
  };
  loads.Set(1, { held(10, 2), held(10, 0), held(11, 0) }, kStart);
  loads.Set(2, { held(10, 1) }, kStart + 1s);
  CHECK(loads.HeldSlots(10) == 3);
  SECTION("new loads replace the old ones")
  {
    loads.Set(1, {}, kStart + 1s);
    CHECK(loads.HeldSlots(10) == 1);
  }
  SECTION("a peer that is gone")
  {
    CHECK(loads.Remove(2) == PeerLoads::Ids{ 10 });
    CHECK(loads.HeldSlots(10) == 2);
    CHECK(loads.Remove(2).empty());
  }
  SECTION("a silent peer")
  {
    CHECK_FALSE(loads.Expire(kStart + 3s).empty());
    CHECK(loads.HeldSlots(10) == 1);
  }
}

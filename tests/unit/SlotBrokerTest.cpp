#include <catch2/catch.hpp>

#include <map>

#include "SlotBrokerFixture.h"

using namespace foxtail;
using namespace foxtail::flow;
using namespace foxtail::test;
using namespace std::chrono_literals;

TEST_CASE("New flows go where all balancers together hold the fewest",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(4, 3);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  TestBalancer far(kFar, "far");
  // The other balancer holds two flows at each upstream except upstream 3.
  SlotReport& heldReport = far.NextReport();
  heldReport.mHeld = { { 1, 2 }, { 2, 2 }, { 4, 2 } };
  broker.HandleReport(kStart, far.Ip(), heldReport, "s", directory, 0);
  SlotReport& requestReport = near.NextReport();
  requestReport.mRequests = { MakeRequest(1), MakeRequest(2) };
  const auto grants = near.ReceiveGrants(
    broker.HandleReport(kStart, near.Ip(), requestReport, "s", directory, 0));
  REQUIRE(grants.size() == 2);
  CHECK(grants.at(1) == 3);
  CHECK(grants.at(2) == 3);
}

TEST_CASE("All balancers together get no more grants than the limit",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 2);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  TestBalancer far(kFar, "far");
  std::map<Cookie, int> load;
  size_t mostGranted = 0;
  for (uint64_t i = 1; i <= 20; ++i) {
    TestBalancer& balancer = i % 2 == 0 ? near : far;
    SlotReport report = balancer.NextReport();
    report.mGrantsSeen = 0;
    report.mRequests = { MakeRequest(i) };
    const auto replies =
      broker.HandleReport(kStart, balancer.Ip(), report, "s", directory, 0);
    mostGranted = std::max(mostGranted, balancer.ReceiveGrants(replies).size());
  }
  // Two upstreams with two slots each. Grants that were not confirmed are
  // repeated in each reply.
  const auto limit = static_cast<size_t>(2 * 2 * SlotBroker::kFlowsPerSlot);
  CHECK(mostGranted <= limit);
  CHECK(broker.WaitingFlows() == 20 - limit);
}

TEST_CASE("A lost reply is sent again and a repeated request counts once",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  SlotReport firstReport = near.NextReport();
  firstReport.mRequests = { MakeRequest(1) };
  broker.HandleReport(kStart, near.Ip(), firstReport, "s", directory, 0);
  SlotReport repeatedReport = near.NextReport();
  repeatedReport.mRequests = { MakeRequest(1) };
  repeatedReport.mListsAllRequests = true;
  const auto grants = near.ReceiveGrants(
    broker.HandleReport(kStart, near.Ip(), repeatedReport, "s", directory, 0));
  CHECK(grants.size() == 1);
  CHECK(broker.WaitingFlows() == 0);
}

TEST_CASE("A report with an old incarnation or sequence number gets no reply",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  SlotReport oldReport = near.NextReport();
  oldReport.mRequests = { MakeRequest(1) };
  SlotReport newerReport = near.NextReport();
  newerReport.mRequests = { MakeRequest(2) };
  CHECK_FALSE(
    broker.HandleReport(kStart, kNear, newerReport, "s", directory, 0).empty());
  CHECK(
    broker.HandleReport(kStart, kNear, oldReport, "s", directory, 0).empty());
  SlotReport earlierReport = near.NextReport();
  earlierReport.mIncarnation = 0;
  CHECK(broker.HandleReport(kStart, kNear, earlierReport, "s", directory, 0)
          .empty());
}

TEST_CASE("Slots of a balancer that stops reporting become free",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  TestBalancer far(kFar, "far");
  SlotReport& heldReport = far.NextReport();
  heldReport.mHeld = { { 1, 2 } };
  broker.HandleReport(kStart, far.Ip(), heldReport, "s", directory, 0);
  SlotReport& requestReport = near.NextReport();
  requestReport.mRequests = { MakeRequest(1) };
  const TimePoint later = kStart + SlotBroker::kReportTimeout;
  CHECK(near
          .ReceiveGrants(broker.HandleReport(
            later - 1ms, near.Ip(), requestReport, "s", directory, 0))
          .empty());
  CHECK(near.ReceiveGrants(broker.Tick(later, directory)).size() == 1);
}

TEST_CASE("The flow with the highest precedence gets a free slot",
          "[flow][broker]")
{
  struct Case
  {
    const char* mName;
    std::vector<SlotRequest> mRequests;
    uint64_t mFirst;
  };
  const auto it = GENERATE(values<Case>({
    { "the more urgent flow", { MakeRequest(1, 2), MakeRequest(2, 1) }, 2 },
    { "the older of flows with the same priority",
      { MakeRequest(1, 1, 10ms), MakeRequest(2, 1, 30ms) },
      2 },
    { "a flow that can meet its objective before an older one that can't",
      { MakeRequest(1, 1, 400ms), MakeRequest(2, 2, 10ms) },
      2 },
    { "the newest flow in a standing queue",
      { MakeRequest(1, 1, 100ms), MakeRequest(2, 1, 20ms) },
      2 },
  }));
  INFO(it.mName);
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  const auto full = static_cast<uint32_t>(SlotBroker::kFlowsPerSlot);
  SlotReport& heldReport = near.NextReport();
  heldReport.mHeld = { { 1, full } };
  heldReport.mRequests = it.mRequests;
  CHECK(near
          .ReceiveGrants(broker.HandleReport(
            kStart, near.Ip(), heldReport, "s", directory, 0))
          .empty());
  SlotReport& releaseReport = near.NextReport();
  releaseReport.mHeld = { { 1, full - 1 } };
  const auto grants = near.ReceiveGrants(
    broker.HandleReport(kStart, near.Ip(), releaseReport, "s", directory, 0));
  REQUIRE(grants.size() == 1);
  CHECK(grants.begin()->first == it.mFirst);
}

TEST_CASE("A flow that cannot be served is refused", "[flow][broker]")
{
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  std::vector<uint64_t> refused;
  SECTION("at once when no upstream takes new flows")
  {
    const Directory directory = MakeDirectory(0, 1);
    SlotReport& requestReport = near.NextReport();
    requestReport.mRequests = { MakeRequest(1) };
    near.ReceiveGrants(
      broker.HandleReport(kStart, near.Ip(), requestReport, "s", directory, 0),
      &refused);
  }
  SECTION("after the longest wait for a slot")
  {
    const Directory directory = MakeDirectory(1, 1);
    SlotReport& requestReport = near.NextReport();
    requestReport.mHeld = { { 1, 5 } };
    requestReport.mRequests = { MakeRequest(
      1, 1, SlotBroker::kMaxQueueWait - 100ms) };
    near.ReceiveGrants(
      broker.HandleReport(kStart, near.Ip(), requestReport, "s", directory, 0));
    near.ReceiveGrants(broker.Tick(kStart + 100ms, directory), &refused);
  }
  CHECK(refused == std::vector<uint64_t>{ 1 });
}

TEST_CASE("A refused caller that tries again keeps the age of its request",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  const auto full = static_cast<uint32_t>(SlotBroker::kFlowsPerSlot);
  SlotReport& requestReport = near.NextReport();
  requestReport.mHeld = { { 1, full } };
  requestReport.mRequests = { MakeRequest(1, 1, SlotBroker::kMaxQueueWait) };
  broker.HandleReport(kStart, near.Ip(), requestReport, "s", directory, 0);
  broker.Tick(kStart, directory);
  // The caller that was refused tries again. Its request is late by now, so a
  // less urgent one that can still meet its objective is served first.
  SlotReport& repeatedReport = near.NextReport();
  SlotRequest retriedRequest = MakeRequest(2, 1);
  retriedRequest.mCallerIp = 1;
  repeatedReport.mRequests = { retriedRequest, MakeRequest(3, 2) };
  broker.HandleReport(
    kStart + 10ms, near.Ip(), repeatedReport, "s", directory, 0);
  SlotReport& releaseReport = near.NextReport();
  releaseReport.mHeld = { { 1, full - 1 } };
  const auto grants = near.ReceiveGrants(broker.HandleReport(
    kStart + 20ms, near.Ip(), releaseReport, "s", directory, 0));
  REQUIRE(grants.size() == 1);
  CHECK(grants.begin()->first == 3);
}

TEST_CASE("Silent upstreams are left out, tried with one flow, and come back",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  SlotReport& unresponsiveReport = near.NextReport();
  unresponsiveReport.mUnresponsive = { 1 };
  unresponsiveReport.mRequests = { MakeRequest(1),
                                   MakeRequest(2),
                                   MakeRequest(3) };
  for (const auto& [id, upstream] : near.ReceiveGrants(broker.HandleReport(
         kStart, near.Ip(), unresponsiveReport, "s", directory, 0))) {
    CHECK(upstream == 2);
  }
  const TimePoint later = kStart + SlotBroker::kInitialBackoff;
  SlotReport& retryReport = near.NextReport();
  retryReport.mHeld = { { 2, 3 } };
  retryReport.mRequests = { MakeRequest(4), MakeRequest(5) };
  std::map<Cookie, int> counts;
  for (const auto& [id, upstream] : near.ReceiveGrants(broker.HandleReport(
         later, near.Ip(), retryReport, "s", directory, 0))) {
    ++counts[upstream];
  }
  CHECK(counts[1] == 1);
  CHECK(counts[2] == 1);
  SlotReport& answerReport = near.NextReport();
  answerReport.mHeld = { { 2, 4 }, { 1, 1 } };
  answerReport.mAnswerTimes = { { 1, 50ms } };
  answerReport.mRequests = { MakeRequest(6), MakeRequest(7) };
  for (const auto& [id, upstream] : near.ReceiveGrants(broker.HandleReport(
         later + 60ms, near.Ip(), answerReport, "s", directory, 0))) {
    CHECK(upstream == 1);
  }
}

TEST_CASE("A slow upstream gets fewer flows", "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  std::map<Cookie, int> counts;
  for (uint64_t i = 1; i <= 60; ++i) {
    SlotReport& report = near.NextReport();
    report.mAnswerTimes = { { 1, 250ms }, { 2, 50ms } };
    report.mRequests = { MakeRequest(i) };
    for (const auto& [id, upstream] : near.ReceiveGrants(broker.HandleReport(
           kStart + i * 10ms, near.Ip(), report, "s", directory, 0))) {
      ++counts[upstream];
    }
  }
  CHECK(counts[2] > 5 * counts[1]);
}

TEST_CASE("A new broker waits for the reports of all balancers",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  TestBalancer far(kFar, "far");
  SlotReport& requestReport = near.NextReport();
  requestReport.mRequests = { MakeRequest(1) };
  CHECK(near
          .ReceiveGrants(broker.HandleReport(
            kStart, near.Ip(), requestReport, "s", directory, 2))
          .empty());
  SECTION("until all have reported")
  {
    const auto replies = broker.HandleReport(
      kStart + 5ms, far.Ip(), far.NextReport(), "s", directory, 2);
    CHECK(near.ReceiveGrants(replies).size() == 1);
  }
  SECTION("for at most the takeover wait")
  {
    CHECK(near
            .ReceiveGrants(
              broker.Tick(kStart + SlotBroker::kTakeoverWait, directory))
            .size() == 1);
  }
}

TEST_CASE("A balancer that hears no other one grants few slots",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  broker.SetIsolated(true);
  TestBalancer near(kNear, "near");
  SlotReport& requestReport = near.NextReport();
  for (uint64_t i = 1; i <= 10; ++i) {
    requestReport.mRequests.push_back(MakeRequest(i));
  }
  CHECK(near
          .ReceiveGrants(broker.HandleReport(
            kStart, near.Ip(), requestReport, "s", directory, 0))
          .size() == 2);
}

TEST_CASE("An upstream on probation gets idempotent requests, one at a time",
          "[flow][broker][outlier]")
{
  constexpr Cookie kFailing = 1;
  constexpr Cookie kWorking = 2;
  constexpr uint32_t kRoute = 7;
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  TestBalancer near(kNear, "near");
  TimePoint now = kStart;
  const auto sendReport = [&](const SlotReport& aReport) {
    return near.ReceiveGrants(
      broker.HandleReport(now, near.Ip(), aReport, "s", directory, 0));
  };
  for (size_t i = 0; i < AnswerOutlierDetector::kBaselineAnswers; ++i) {
    now += AnswerOutlierDetector::kMinSampleInterval;
    SlotReport& report = near.NextReport();
    report.mCompleteAnswers = { { kFailing, kRoute, 50ms, 1000 },
                                { kWorking, kRoute, 50ms, 1000 } };
    sendReport(report);
  }
  SlotReport& failureReport = near.NextReport();
  failureReport.mCompleteAnswers.assign(3, { kFailing, kRoute, 1ms, 170 });
  sendReport(failureReport);
  CHECK(broker.Ejections() == 1);
  const std::vector<Event> events = broker.TakeEvents();
  REQUIRE(events.size() == 1);
  CHECK(events[0].mId == 4104);

  // During the ejection the other upstream is preferred, although it has more
  // flows and is in another failure domain.
  SlotReport& reportDuringEjection = near.NextReport();
  reportDuringEjection.mHeld = { { kWorking, 3 } };
  reportDuringEjection.mRequests = { MakeRequest(1) };
  CHECK(sendReport(reportDuringEjection).at(1) == kWorking);

  now += AnswerOutlierDetector::kBaseEjectionTime;
  SlotReport& notIdempotentReport = near.NextReport();
  notIdempotentReport.mRequests = { MakeRequest(2) };
  notIdempotentReport.mRequests[0].mIsIdempotent = false;
  CHECK(sendReport(notIdempotentReport).at(2) == kWorking);
  SlotReport& idempotentReport = near.NextReport();
  idempotentReport.mRequests = { MakeRequest(3) };
  CHECK(sendReport(idempotentReport).at(3) == kFailing);
  // An upstream on probation gets one flow at a time.
  SlotReport& secondReport = near.NextReport();
  secondReport.mHeld = { { kFailing, 1 }, { kWorking, 3 } };
  secondReport.mRequests = { MakeRequest(4) };
  CHECK(sendReport(secondReport).at(4) == kWorking);
}

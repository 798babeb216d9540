#include <catch2/catch.hpp>

#include <map>

#include "foxtail/flow/SlotBroker.h"

using namespace foxtail;
using namespace foxtail::flow;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };
constexpr VmIp kNear = 1;
constexpr VmIp kFar = 2;

Directory
MakeDirectory(size_t aUpstreams, uint32_t aSlots)
{
  ReplicaUpdate update;
  update.mIsComplete = true;
  update.mConfirmed = 1;
  for (size_t i = 0; i < aUpstreams; ++i) {
    UpstreamRecord record;
    record.mId = "u" + std::to_string(i);
    record.mRevision = 1;
    record.mState = UpstreamState::Ready;
    record.mInstance = i + 1;
    record.mService = "s";
    record.mDomain = i % 2 == 0 ? "near" : "far";
    record.mSlots = aSlots;
    update.mUpstreams.push_back(record);
  }
  update.mConfiguration = Configuration{};
  Directory directory;
  directory.Apply(kStart, update, "store");
  return directory;
}

// One balancer that speaks to the broker.
class Speaker
{
public:
  Speaker(VmIp aIp, const std::string& aDomain)
    : mIp(aIp)
  {
    mReport.mIncarnation = aIp;
    mReport.mDomain = aDomain;
  }

  SlotReport& Next()
  {
    ++mReport.mSequence;
    mReport.mGrantsSeen = mGrantsSeen;
    mReport.mRequests.clear();
    mReport.mUnresponsive.clear();
    mReport.mAnswerTimes.clear();
    mReport.mCompleteAnswers.clear();
    return mReport;
  }

  // Takes what the broker says to this balancer: grants by request.
  std::map<uint64_t, Cookie> Hear(
    const std::vector<SlotBroker::Reply>& aReplies,
    std::vector<uint64_t>* aRefused = nullptr)
  {
    std::map<uint64_t, Cookie> grants;
    for (const SlotBroker::Reply& it : aReplies) {
      if (it.mTo != mIp) {
        continue;
      }
      for (const SlotGrant& grant : it.mReply.mGrants) {
        grants[grant.mId] = grant.mUpstream;
        mGrantsSeen = std::max(mGrantsSeen, grant.mNumber);
      }
      if (aRefused != nullptr) {
        *aRefused = it.mReply.mRefused;
      }
    }
    return grants;
  }

  VmIp Ip() const { return mIp; }

private:
  VmIp mIp;
  SlotReport mReport;
  uint64_t mGrantsSeen = 0;
};

SlotRequest
Ask(uint64_t aId, uint32_t aPriority = 1, milliseconds aWaited = 0ms)
{
  SlotRequest request;
  request.mId = aId;
  request.mObjective = 250ms;
  request.mPriority = aPriority;
  request.mWaited = aWaited;
  request.mCallerIp = static_cast<uint32_t>(aId);
  return request;
}

} // namespace

TEST_CASE("New flows go where fewest are held, over all balancers",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(4, 3);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  Speaker far(kFar, "far");
  // The other balancer holds two flows at each upstream but one.
  SlotReport& held = far.Next();
  held.mHeld = { { 1, 2 }, { 2, 2 }, { 4, 2 } };
  broker.HandleReport(kStart, far.Ip(), held, "s", directory, 0);
  SlotReport& asked = near.Next();
  asked.mRequests = { Ask(1), Ask(2) };
  const auto grants =
    near.Hear(broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 0));
  REQUIRE(grants.size() == 2);
  CHECK(grants.at(1) == 3);
  CHECK(grants.at(2) == 3);
}

TEST_CASE("All balancers together hold no more than the limit",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 2);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  Speaker far(kFar, "far");
  std::map<Cookie, int> load;
  size_t granted = 0;
  for (uint64_t i = 1; i <= 20; ++i) {
    Speaker& speaker = i % 2 == 0 ? near : far;
    SlotReport report = speaker.Next();
    report.mGrantsSeen = 0;
    report.mRequests = { Ask(i) };
    const auto replies =
      broker.HandleReport(kStart, speaker.Ip(), report, "s", directory, 0);
    granted = std::max(granted, speaker.Hear(replies).size());
  }
  // Two upstreams of two slots; grants that were not confirmed are told again.
  const auto limit = static_cast<size_t>(2 * 2 * SlotBroker::kFlowsPerSlot);
  CHECK(granted <= limit);
  CHECK(broker.WaitingFlows() == 20 - limit);
}

TEST_CASE("A lost reply is told again and a repeated request counts once",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  SlotReport first = near.Next();
  first.mRequests = { Ask(1) };
  broker.HandleReport(kStart, near.Ip(), first, "s", directory, 0);
  SlotReport again = near.Next();
  again.mRequests = { Ask(1) };
  again.mListsAllRequests = true;
  const auto grants =
    near.Hear(broker.HandleReport(kStart, near.Ip(), again, "s", directory, 0));
  CHECK(grants.size() == 1);
  CHECK(broker.WaitingFlows() == 0);
}

TEST_CASE("A report of an earlier life or an old one changes nothing",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  SlotReport old = near.Next();
  old.mRequests = { Ask(1) };
  SlotReport newer = near.Next();
  newer.mRequests = { Ask(2) };
  CHECK_FALSE(
    broker.HandleReport(kStart, kNear, newer, "s", directory, 0).empty());
  CHECK(broker.HandleReport(kStart, kNear, old, "s", directory, 0).empty());
  SlotReport earlierLife = near.Next();
  earlierLife.mIncarnation = 0;
  CHECK(
    broker.HandleReport(kStart, kNear, earlierLife, "s", directory, 0).empty());
}

TEST_CASE("A balancer that falls silent gives its slots back", "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  Speaker far(kFar, "far");
  SlotReport& held = far.Next();
  held.mHeld = { { 1, 2 } };
  broker.HandleReport(kStart, far.Ip(), held, "s", directory, 0);
  SlotReport& asked = near.Next();
  asked.mRequests = { Ask(1) };
  const TimePoint later = kStart + SlotBroker::kReportTimeout;
  CHECK(near
          .Hear(broker.HandleReport(
            later - 1ms, near.Ip(), asked, "s", directory, 0))
          .empty());
  CHECK(near.Hear(broker.Tick(later, directory)).size() == 1);
}

TEST_CASE("Who is served first when a slot is free", "[flow][broker]")
{
  struct Case
  {
    const char* mName;
    std::vector<SlotRequest> mRequests;
    uint64_t mFirst;
  };
  const auto it = GENERATE(values<Case>({
    { "the urgent one", { Ask(1, 2), Ask(2, 1) }, 2 },
    { "the older of equals", { Ask(1, 1, 10ms), Ask(2, 1, 30ms) }, 2 },
    { "one that can be in time before an older one that is late",
      { Ask(1, 1, 400ms), Ask(2, 2, 10ms) },
      2 },
    { "the newest of equals while a queue stands",
      { Ask(1, 1, 100ms), Ask(2, 1, 20ms) },
      2 },
  }));
  INFO(it.mName);
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  const auto full = static_cast<uint32_t>(SlotBroker::kFlowsPerSlot);
  SlotReport& held = near.Next();
  held.mHeld = { { 1, full } };
  held.mRequests = it.mRequests;
  CHECK(
    near.Hear(broker.HandleReport(kStart, near.Ip(), held, "s", directory, 0))
      .empty());
  SlotReport& freed = near.Next();
  freed.mHeld = { { 1, full - 1 } };
  const auto grants =
    near.Hear(broker.HandleReport(kStart, near.Ip(), freed, "s", directory, 0));
  REQUIRE(grants.size() == 1);
  CHECK(grants.begin()->first == it.mFirst);
}

TEST_CASE("What cannot be served is refused", "[flow][broker]")
{
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  std::vector<uint64_t> refused;
  SECTION("at once when no upstream takes new flows")
  {
    const Directory directory = MakeDirectory(0, 1);
    SlotReport& asked = near.Next();
    asked.mRequests = { Ask(1) };
    near.Hear(broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 0),
              &refused);
  }
  SECTION("after the longest wait for a slot")
  {
    const Directory directory = MakeDirectory(1, 1);
    SlotReport& asked = near.Next();
    asked.mHeld = { { 1, 5 } };
    asked.mRequests = { Ask(1, 1, SlotBroker::kMaxQueueWait - 100ms) };
    near.Hear(broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 0));
    near.Hear(broker.Tick(kStart + 100ms, directory), &refused);
  }
  CHECK(refused == std::vector<uint64_t>{ 1 });
}

TEST_CASE("Another try of a refused caller keeps its age", "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  const auto full = static_cast<uint32_t>(SlotBroker::kFlowsPerSlot);
  SlotReport& asked = near.Next();
  asked.mHeld = { { 1, full } };
  asked.mRequests = { Ask(1, 1, SlotBroker::kMaxQueueWait) };
  broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 0);
  broker.Tick(kStart, directory);
  // The same caller again, and a new one that is less urgent but can be in
  // time.
  SlotReport& again = near.Next();
  SlotRequest retry = Ask(2, 1);
  retry.mCallerIp = 1;
  again.mRequests = { retry, Ask(3, 2) };
  broker.HandleReport(kStart + 10ms, near.Ip(), again, "s", directory, 0);
  SlotReport& freed = near.Next();
  freed.mHeld = { { 1, full - 1 } };
  const auto grants = near.Hear(
    broker.HandleReport(kStart + 20ms, near.Ip(), freed, "s", directory, 0));
  REQUIRE(grants.size() == 1);
  CHECK(grants.begin()->first == 3);
}

TEST_CASE("Silent upstreams are left out, tried with one flow, and come back",
          "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  SlotReport& silent = near.Next();
  silent.mUnresponsive = { 1 };
  silent.mRequests = { Ask(1), Ask(2), Ask(3) };
  for (const auto& [id, upstream] : near.Hear(
         broker.HandleReport(kStart, near.Ip(), silent, "s", directory, 0))) {
    CHECK(upstream == 2);
  }
  const TimePoint later = kStart + SlotBroker::kInitialBackoff;
  SlotReport& retried = near.Next();
  retried.mHeld = { { 2, 3 } };
  retried.mRequests = { Ask(4), Ask(5) };
  std::map<Cookie, int> counts;
  for (const auto& [id, upstream] : near.Hear(
         broker.HandleReport(later, near.Ip(), retried, "s", directory, 0))) {
    ++counts[upstream];
  }
  CHECK(counts[1] == 1);
  CHECK(counts[2] == 1);
  SlotReport& answered = near.Next();
  answered.mHeld = { { 2, 4 }, { 1, 1 } };
  answered.mAnswerTimes = { { 1, 50ms } };
  answered.mRequests = { Ask(6), Ask(7) };
  for (const auto& [id, upstream] : near.Hear(broker.HandleReport(
         later + 60ms, near.Ip(), answered, "s", directory, 0))) {
    CHECK(upstream == 1);
  }
}

TEST_CASE("A slow upstream gets less", "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  std::map<Cookie, int> counts;
  for (uint64_t i = 1; i <= 60; ++i) {
    SlotReport& report = near.Next();
    report.mAnswerTimes = { { 1, 250ms }, { 2, 50ms } };
    report.mRequests = { Ask(i) };
    for (const auto& [id, upstream] : near.Hear(broker.HandleReport(
           kStart + i * 10ms, near.Ip(), report, "s", directory, 0))) {
      ++counts[upstream];
    }
  }
  CHECK(counts[2] > 5 * counts[1]);
}

TEST_CASE("A new broker waits for the reports of all", "[flow][broker]")
{
  const Directory directory = MakeDirectory(1, 1);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  Speaker far(kFar, "far");
  SlotReport& asked = near.Next();
  asked.mRequests = { Ask(1) };
  CHECK(
    near.Hear(broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 2))
      .empty());
  SECTION("until they are there")
  {
    const auto replies = broker.HandleReport(
      kStart + 5ms, far.Ip(), far.Next(), "s", directory, 2);
    CHECK(near.Hear(replies).size() == 1);
  }
  SECTION("but not for long")
  {
    CHECK(near.Hear(broker.Tick(kStart + SlotBroker::kTakeoverWait, directory))
            .size() == 1);
  }
}

TEST_CASE("A balancer that hears no other takes little", "[flow][broker]")
{
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  broker.SetIsolated(true);
  Speaker near(kNear, "near");
  SlotReport& asked = near.Next();
  for (uint64_t i = 1; i <= 10; ++i) {
    asked.mRequests.push_back(Ask(i));
  }
  CHECK(
    near.Hear(broker.HandleReport(kStart, near.Ip(), asked, "s", directory, 0))
      .size() == 2);
}

TEST_CASE("Only flows that may be repeated try an upstream that failed",
          "[flow][broker][outlier]")
{
  constexpr Cookie kFailing = 1;
  constexpr Cookie kWorking = 2;
  constexpr uint32_t kRoute = 7;
  const Directory directory = MakeDirectory(2, 3);
  SlotBroker broker(1);
  Speaker near(kNear, "near");
  TimePoint now = kStart;
  const auto tell = [&](const SlotReport& aReport) {
    return near.Hear(
      broker.HandleReport(now, near.Ip(), aReport, "s", directory, 0));
  };
  for (size_t i = 0; i < AnswerOutlierDetector::kBaselineAnswers; ++i) {
    now += AnswerOutlierDetector::kMinSampleInterval;
    SlotReport& report = near.Next();
    report.mCompleteAnswers = { { kFailing, kRoute, 50ms, 1000 },
                                { kWorking, kRoute, 50ms, 1000 } };
    tell(report);
  }
  SlotReport& failures = near.Next();
  failures.mCompleteAnswers.assign(3, { kFailing, kRoute, 1ms, 170 });
  tell(failures);
  CHECK(broker.Ejections() == 1);
  const std::vector<Event> events = broker.TakeEvents();
  REQUIRE(events.size() == 1);
  CHECK(events[0].mId == 4104);

  // The other one is busier and farther, and still preferred while it lasts.
  SlotReport& ejected = near.Next();
  ejected.mHeld = { { kWorking, 3 } };
  ejected.mRequests = { Ask(1) };
  CHECK(tell(ejected).at(1) == kWorking);

  now += AnswerOutlierDetector::kBaseEjectionTime;
  SlotReport& posting = near.Next();
  posting.mRequests = { Ask(2) };
  posting.mRequests[0].mIsIdempotent = false;
  CHECK(tell(posting).at(2) == kWorking);
  SlotReport& lookup = near.Next();
  lookup.mRequests = { Ask(3) };
  CHECK(tell(lookup).at(3) == kFailing);
  // One at a time.
  SlotReport& another = near.Next();
  another.mHeld = { { kFailing, 1 }, { kWorking, 3 } };
  another.mRequests = { Ask(4) };
  CHECK(tell(another).at(4) == kWorking);
}

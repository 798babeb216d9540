#include <catch2/catch.hpp>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/DefaultUpstream.h"
#include "foxtail/routing/Dispatcher.h"
#include "foxtail/routing/RetryBudget.h"

using namespace foxtail;
using namespace foxtail::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

// One service whose upstreams have two slots each.
std::shared_ptr<config::Snapshot>
MakeSnapshot(const std::vector<std::string>& aNames)
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mServices.resize(1);
  snapshot->mServices[0].mName = "ledger";
  for (const std::string& name : aNames) {
    config::Upstream& it = snapshot->mUpstreams.emplace_back();
    it.mName = name;
    it.mSlots = 2;
    it.mMaxConnections = 2000;
    it.mService = 0;
    it.mId = static_cast<uint32_t>(StableHash(name));
    snapshot->mServices[0].mUpstreams.push_back(
      static_cast<uint32_t>(snapshot->mUpstreams.size() - 1));
  }
  return snapshot;
}

// The only dispatcher of some upstreams, and the actions of its last call.
struct DispatcherFixture
{
  explicit DispatcherFixture(const std::vector<std::string>& aNames)
    : mSnapshot(MakeSnapshot(aNames))
  {
    mDispatcher.SetBalancers({ 1 }, 1);
    mDispatcher.SetSnapshot(mSnapshot, mNow);
  }

  uint32_t Submit(config::UpstreamIndex aBound = config::kNoIndex,
                  milliseconds aTime = 10s,
                  uint64_t aFlow = 0)
  {
    Work work;
    work.mSerial = ++mSerial;
    work.mService = 0;
    work.mBoundUpstream = aBound;
    work.mRankHash = aFlow == 0 ? MixHash(mSerial, 3) : aFlow;
    work.mDeadline = mNow + aTime;
    work.mIdempotent = false;
    mActions.clear();
    mDispatcher.Submit(work, mNow, mActions);
    return mSerial;
  }
  bool Finish(uint32_t aSerial, Outcome aOutcome)
  {
    mActions.clear();
    return mDispatcher.Finish(aSerial, aOutcome, mNow, mActions);
  }
  // The reason for which the last call refused the request; empty if it did not
  // refuse it.
  std::optional<RefusalReason> RefusalReasonOf(uint32_t aSerial) const
  {
    const auto* refusal = Find<RefuseWork>(aSerial);
    return refusal == nullptr ? std::nullopt
                              : std::make_optional(refusal->mReason);
  }
  // Advances the time by aTime and runs every tick on the way.
  void Advance(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    mActions.clear();
    for (auto next = mDispatcher.NextTick(); next && *next <= end;
         next = mDispatcher.NextTick()) {
      mNow = std::max(mNow, *next);
      mDispatcher.Tick(mNow, mActions);
    }
    mNow = end;
  }
  // The upstream to which the last call sent the request; kNoIndex if it did
  // not send it.
  config::UpstreamIndex SentTo(uint32_t aSerial) const
  {
    for (const WorkAction& it : mActions) {
      const auto* send = std::get_if<SendWork>(&it);
      if (send != nullptr && send->mSerial == aSerial) {
        return send->mUpstream;
      }
    }
    return config::kNoIndex;
  }
  template<typename Action>
  const Action* Find(uint32_t aSerial) const
  {
    for (const WorkAction& it : mActions) {
      const auto* action = std::get_if<Action>(&it);
      if (action != nullptr && action->mSerial == aSerial) {
        return action;
      }
    }
    return nullptr;
  }
  LoadReport Report(config::UpstreamIndex aUpstream) const
  {
    LoadReport report;
    report.mUpstream = mSnapshot->mUpstreams[aUpstream].mId;
    report.mSampledAt = mNow;
    return report;
  }
  // Has the upstream ejected: three requests of a flow bound to it expire
  // without an answer.
  void EjectByTimeouts(config::UpstreamIndex aUpstream)
  {
    for (int n = 0; n < 3; ++n) {
      Submit(aUpstream, 300ms);
      Advance(300ms);
    }
    Advance(200ms);
  }

  TimePoint mNow = kStart;
  std::shared_ptr<config::Snapshot> mSnapshot;
  Dispatcher mDispatcher{ DispatcherSettings{} };
  WorkActions mActions;
  uint32_t mSerial = 0;
};

} // namespace

// Guards against overloaded upstreams and against requests that are lost while
// they wait.
TEST_CASE("Dispatcher sends what fits and holds back the rest", "[routing]")
{
  DispatcherFixture fixture({ "a", "b" });
  for (int n = 0; n < 4; ++n) {
    const uint32_t it = fixture.Submit();
    CHECK(fixture.SentTo(it) != config::kNoIndex);
  }
  CHECK(fixture.mDispatcher.InFlight(0) == 2);
  CHECK(fixture.mDispatcher.InFlight(1) == 2);
  // One more request may queue at each upstream for the next free slot.
  fixture.Submit();
  fixture.Submit();
  const uint32_t waiting = fixture.Submit();
  CHECK(fixture.SentTo(waiting) == config::kNoIndex);
  CHECK(fixture.mDispatcher.Queued(0) == 1);

  SECTION("the end of a request sends the next one")
  {
    fixture.Finish(1, Outcome::Answered);
    CHECK(fixture.SentTo(waiting) != config::kNoIndex);
  }
  SECTION("no request queues at an upstream behind long requests only")
  {
    fixture.Advance(1s);
    fixture.Finish(1, Outcome::Answered);
    fixture.Finish(2, Outcome::Answered);
    for (config::UpstreamIndex it = 0; it < 2; ++it) {
      // Two slots and one queued request at most.
      CHECK(fixture.mDispatcher.InFlight(it) <= 3);
    }
  }
  SECTION("the deadline refuses what waits and cancels what runs")
  {
    fixture.Advance(10s);
    CHECK(fixture.RefusalReasonOf(waiting) == RefusalReason::DeadlinePassed);
    CHECK(fixture.Find<ExpireWork>(1) != nullptr);
    CHECK_FALSE(fixture.mDispatcher.NextTick());
  }
  SECTION("a caller gives up")
  {
    fixture.mActions.clear();
    fixture.mDispatcher.Cancel(waiting, fixture.mNow, fixture.mActions);
    CHECK(fixture.mActions.empty());
    fixture.mDispatcher.Cancel(1, fixture.mNow, fixture.mActions);
    CHECK(fixture.Find<ExpireWork>(1) != nullptr);
    CHECK_FALSE(fixture.Finish(1, Outcome::Answered));
  }
}

TEST_CASE("Dispatcher refuses at submission when it cannot serve", "[routing]")
{
  DispatcherFixture fixture({ "a", "b" });
  SECTION("too much waits")
  {
    uint32_t last = 0;
    int refused = 0;
    for (int n = 0; n < 500; ++n) {
      last = fixture.Submit();
      refused += fixture.Find<RefuseWork>(last) != nullptr ? 1 : 0;
    }
    CHECK(refused > 300);
    CHECK(fixture.RefusalReasonOf(last) == RefusalReason::Overloaded);
    CHECK(fixture.Find<RefuseWork>(last)->mRetryAfter >= 1s);
    CHECK(fixture.mDispatcher.Refusals(RefusalReason::Overloaded) ==
          static_cast<uint64_t>(refused));
  }
  SECTION("the deadline has passed")
  {
    const uint32_t it = fixture.Submit(config::kNoIndex, 0ms);
    CHECK(fixture.RefusalReasonOf(it) == RefusalReason::DeadlinePassed);
  }
  SECTION("every upstream drains")
  {
    auto draining = MakeSnapshot({ "a", "b" });
    draining->mUpstreams[0].mDraining = true;
    draining->mUpstreams[1].mDraining = true;
    fixture.mDispatcher.SetSnapshot(draining, fixture.mNow);
    const uint32_t it = fixture.Submit();
    CHECK(fixture.RefusalReasonOf(it) == RefusalReason::NoUpstream);
    // A bound flow keeps its upstream.
    CHECK(fixture.SentTo(fixture.Submit(1)) == 1);
  }
}

TEST_CASE("Dispatcher retries what was shed, within its budget", "[routing]")
{
  SECTION("at another upstream, then refuses")
  {
    DispatcherFixture fixture({ "a", "b" });
    const uint32_t it = fixture.Submit();
    const auto first = fixture.SentTo(it);
    CHECK(fixture.Finish(it, Outcome::Shed));
    CHECK(fixture.SentTo(it) == 1 - first);
    CHECK_FALSE(fixture.Finish(it, Outcome::Shed));
    CHECK(fixture.RefusalReasonOf(it) == RefusalReason::ShedNotRetried);
  }
  SECTION("no more often than the budget allows")
  {
    DispatcherFixture fixture({ "a", "b", "c", "d" });
    int retries = 0;
    for (int n = 0; n < 300; ++n) {
      const uint32_t it = fixture.Submit();
      while (fixture.Finish(it, Outcome::Shed)) {
        ++retries;
        fixture.Advance(1s);
      }
      fixture.Advance(1s);
    }
    CHECK(retries <= 300 * RetryBudget::kRetriesPerRequest +
                       RetryBudget::kMaxSavedRetries);
  }
  SECTION("never after a timeout")
  {
    DispatcherFixture fixture({ "a", "b" });
    const uint32_t it = fixture.Submit();
    CHECK_FALSE(fixture.Finish(it, Outcome::TimedOut));
    CHECK(fixture.mActions.empty());
  }
}

TEST_CASE("Dispatcher gives no new flow to a draining upstream", "[routing]")
{
  DispatcherFixture fixture({ "a", "b" });
  const bool byReport = GENERATE(false, true);
  if (byReport) {
    LoadReport report = fixture.Report(0);
    report.mDraining = true;
    fixture.mDispatcher.OnReport(report, fixture.mNow);
  } else {
    auto draining = MakeSnapshot({ "a", "b" });
    draining->mUpstreams[0].mDraining = true;
    fixture.mDispatcher.SetSnapshot(draining, fixture.mNow);
  }
  for (int n = 0; n < 20; ++n) {
    const uint32_t it = fixture.Submit();
    CHECK(fixture.SentTo(it) == 1);
    fixture.Finish(it, Outcome::Answered);
  }
  CHECK(fixture.SentTo(fixture.Submit(0)) == 0);
}

// Guards against flows that stay bound to an upstream that has failed or was
// removed, and against requests that wait for ever.
TEST_CASE("Dispatcher handles upstreams and services that go away", "[routing]")
{
  DispatcherFixture fixture({ "a", "b", "c" });
  SECTION("ejected")
  {
    fixture.EjectByTimeouts(0);
    const auto sent = fixture.SentTo(fixture.Submit(0));
    CHECK(sent != 0);
    CHECK(sent != config::kNoIndex);
    // After the ejection, slow start allows one slot of upstream 0.
    fixture.Advance(6s);
    CHECK(fixture.SentTo(fixture.Submit(0)) == 0);
  }
  SECTION("all dead: at most half are ejected")
  {
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      fixture.EjectByTimeouts(it);
    }
    int served = 0;
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      const uint32_t serial = fixture.Submit(it);
      served += fixture.SentTo(serial) == it ? 1 : 0;
    }
    CHECK(served >= 2);
  }
  SECTION("removed while a request waits for it")
  {
    for (int n = 0; n < 3; ++n) {
      fixture.Submit(0);
    }
    const uint32_t waiting = fixture.Submit(0);
    CHECK(fixture.SentTo(waiting) == config::kNoIndex);
    fixture.mDispatcher.SetSnapshot(MakeSnapshot({ "b", "c" }), fixture.mNow);
    fixture.Advance(10ms);
    CHECK(fixture.SentTo(waiting) != config::kNoIndex);
    // A request that ran at the removed upstream ends normally.
    CHECK_FALSE(fixture.Finish(1, Outcome::Answered));
  }
  SECTION("the service is removed")
  {
    // Two slots and one queued request at each of three upstreams.
    for (int n = 0; n < 9; ++n) {
      fixture.Submit();
    }
    const uint32_t waiting = fixture.Submit();
    CHECK(fixture.mDispatcher.Queued(0) == 1);
    auto other = MakeSnapshot({ "x" });
    other->mServices[0].mName = "statements";
    fixture.mDispatcher.SetSnapshot(other, fixture.mNow);
    fixture.Advance(1ms);
    CHECK(fixture.RefusalReasonOf(waiting) == RefusalReason::NoUpstream);
  }
}

// Load reports come from the upstreams and may be wrong. Believing them could
// overload an upstream that always reports zero requests, or leave a service
// without upstreams when all report unhealthy or draining.
TEST_CASE("Dispatcher tolerates wrong load reports", "[routing]")
{
  DispatcherFixture fixture({ "a", "b", "c" });
  SECTION("an upstream that always reports zero gets no more than others")
  {
    // Two slots and one queued request.
    for (int n = 0; n < 40; ++n) {
      fixture.mDispatcher.OnReport(fixture.Report(0), fixture.mNow);
      fixture.Submit();
    }
    CHECK(fixture.mDispatcher.InFlight(0) <= 3);
  }
  SECTION("all upstreams report unhealthy: the service goes on")
  {
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      LoadReport report = fixture.Report(it);
      report.mHealthy = false;
      report.mDraining = true;
      fixture.mDispatcher.OnReport(report, fixture.mNow);
    }
    CHECK(fixture.SentTo(fixture.Submit()) != config::kNoIndex);
  }
  SECTION("unknown upstream")
  {
    LoadReport report;
    report.mUpstream = 1;
    fixture.mDispatcher.OnReport(report, fixture.mNow);
    fixture.mDispatcher.OnPeerLoads(9, { report }, fixture.mNow);
    CHECK(fixture.SentTo(fixture.Submit()) != config::kNoIndex);
  }
}

// A peer's long requests fill the flow's default upstream. A request sent there
// would wait until one of them ends.
TEST_CASE("Dispatcher avoids upstreams full of long requests", "[routing]")
{
  DispatcherFixture fixture({ "a", "b" });
  // A peer's long requests fill the flow's default upstream.
  const uint64_t flow = 4711;
  const auto preferred = DefaultUpstream(*fixture.mSnapshot, 0, flow);
  fixture.mDispatcher.SetBalancers({ 1, 2, 3, 4, 5, 6, 7 }, 1);
  LoadReport held = fixture.Report(preferred);
  held.mInFlight = 2;
  fixture.mDispatcher.OnPeerLoads(2, { held }, fixture.mNow);
  fixture.mNow += 500ms;
  const auto sent = fixture.SentTo(fixture.Submit(config::kNoIndex, 10s, flow));

  SECTION("long requests are advertised to peers")
  {
    CHECK(sent == 1 - preferred);
    CHECK(fixture.mDispatcher.LocalLoads(fixture.mNow).empty());
    const uint64_t revision = fixture.mDispatcher.LoadsRevision();
    fixture.Advance(1s);
    CHECK(fixture.mDispatcher.LoadsRevision() != revision);
    const auto loads = fixture.mDispatcher.LocalLoads(fixture.mNow);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].mUpstream == fixture.mSnapshot->mUpstreams[sent].mId);
    CHECK(loads[0].mInFlight == 1);
    fixture.Finish(1, Outcome::Answered);
    CHECK(fixture.mDispatcher.LocalLoads(fixture.mNow).empty());
  }
  SECTION("a peer that is gone holds nothing")
  {
    fixture.Finish(1, Outcome::Answered);
    fixture.mDispatcher.OnPeerGone(2);
    CHECK(fixture.SentTo(fixture.Submit(config::kNoIndex, 10s, flow)) ==
          preferred);
  }
}

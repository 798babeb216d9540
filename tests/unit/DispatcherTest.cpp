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

// One service, two slots an upstream.
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

// A dispatcher alone before its upstreams, and what it did.
struct Bench
{
  explicit Bench(const std::vector<std::string>& aNames)
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
    work.mFlowHash = aFlow == 0 ? MixHash(mSerial, 3) : aFlow;
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
  // Why the last call refused the request; empty if it did not.
  std::optional<RefusalReason> Refused(uint32_t aSerial) const
  {
    const auto* refusal = Find<RefuseWork>(aSerial);
    return refusal == nullptr ? std::nullopt
                              : std::make_optional(refusal->mReason);
  }
  // Runs every tick up to aAfter from now.
  void Pass(Duration aAfter)
  {
    const TimePoint end = mNow + aAfter;
    mActions.clear();
    for (auto next = mDispatcher.NextTick(); next && *next <= end;
         next = mDispatcher.NextTick()) {
      mNow = std::max(mNow, *next);
      mDispatcher.Tick(mNow, mActions);
    }
    mNow = end;
  }
  // Where the request was sent by the last call; kNoIndex if it was not.
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
  // A dead upstream: three requests of a flow bound there expire.
  void Kill(config::UpstreamIndex aUpstream)
  {
    for (int n = 0; n < 3; ++n) {
      Submit(aUpstream, 300ms);
      Pass(300ms);
    }
    Pass(200ms);
  }

  TimePoint mNow = kStart;
  std::shared_ptr<config::Snapshot> mSnapshot;
  Dispatcher mDispatcher{ DispatcherSettings{} };
  WorkActions mActions;
  uint32_t mSerial = 0;
};

} // namespace

TEST_CASE("Dispatcher sends what fits and holds back the rest", "[routing]")
{
  Bench bench({ "a", "b" });
  for (int n = 0; n < 4; ++n) {
    const uint32_t it = bench.Submit();
    CHECK(bench.SentTo(it) != config::kNoIndex);
  }
  CHECK(bench.mDispatcher.InFlight(0) == 2);
  CHECK(bench.mDispatcher.InFlight(1) == 2);
  // One more may wait at each upstream for the next free slot.
  bench.Submit();
  bench.Submit();
  const uint32_t waiting = bench.Submit();
  CHECK(bench.SentTo(waiting) == config::kNoIndex);
  CHECK(bench.mDispatcher.Queued(0) == 1);

  SECTION("the end of a request sends the next one")
  {
    bench.Finish(1, Outcome::Answered);
    CHECK(bench.SentTo(waiting) != config::kNoIndex);
  }
  SECTION("no request is let wait behind long ones only")
  {
    bench.Pass(1s);
    bench.Finish(1, Outcome::Answered);
    bench.Finish(2, Outcome::Answered);
    for (config::UpstreamIndex it = 0; it < 2; ++it) {
      CHECK(bench.mDispatcher.InFlight(it) <= 3);
    }
  }
  SECTION("the deadline refuses what waits and cancels what runs")
  {
    bench.Pass(10s);
    CHECK(bench.Refused(waiting) == RefusalReason::DeadlinePassed);
    CHECK(bench.Find<ExpireWork>(1) != nullptr);
    CHECK_FALSE(bench.mDispatcher.NextTick());
  }
  SECTION("a caller gives up")
  {
    bench.mActions.clear();
    bench.mDispatcher.Cancel(waiting, bench.mNow, bench.mActions);
    CHECK(bench.mActions.empty());
    bench.mDispatcher.Cancel(1, bench.mNow, bench.mActions);
    CHECK(bench.Find<ExpireWork>(1) != nullptr);
    CHECK_FALSE(bench.Finish(1, Outcome::Answered));
  }
}

TEST_CASE("Dispatcher refuses at submission when it cannot serve", "[routing]")
{
  Bench bench({ "a", "b" });
  SECTION("too much waits")
  {
    uint32_t last = 0;
    int refused = 0;
    for (int n = 0; n < 500; ++n) {
      last = bench.Submit();
      refused += bench.Find<RefuseWork>(last) != nullptr ? 1 : 0;
    }
    CHECK(refused > 300);
    CHECK(bench.Refused(last) == RefusalReason::Overloaded);
    CHECK(bench.Find<RefuseWork>(last)->mRetryAfter >= 1s);
    CHECK(bench.mDispatcher.Refusals(RefusalReason::Overloaded) ==
          static_cast<uint64_t>(refused));
  }
  SECTION("the deadline has passed")
  {
    const uint32_t it = bench.Submit(config::kNoIndex, 0ms);
    CHECK(bench.Refused(it) == RefusalReason::DeadlinePassed);
  }
  SECTION("every upstream drains")
  {
    auto draining = MakeSnapshot({ "a", "b" });
    draining->mUpstreams[0].mDraining = true;
    draining->mUpstreams[1].mDraining = true;
    bench.mDispatcher.SetSnapshot(draining, bench.mNow);
    const uint32_t it = bench.Submit();
    CHECK(bench.Refused(it) == RefusalReason::NoUpstream);
    // A flow stays where it is.
    CHECK(bench.SentTo(bench.Submit(1)) == 1);
  }
}

TEST_CASE("Dispatcher retries what was shed, within its budget", "[routing]")
{
  SECTION("at another upstream, then refuses")
  {
    Bench bench({ "a", "b" });
    const uint32_t it = bench.Submit();
    const auto first = bench.SentTo(it);
    CHECK(bench.Finish(it, Outcome::Shed));
    CHECK(bench.SentTo(it) == 1 - first);
    CHECK_FALSE(bench.Finish(it, Outcome::Shed));
    CHECK(bench.Refused(it) == RefusalReason::ShedEverywhere);
  }
  SECTION("no more often than the budget allows")
  {
    Bench bench({ "a", "b", "c", "d" });
    int retries = 0;
    for (int n = 0; n < 300; ++n) {
      const uint32_t it = bench.Submit();
      while (bench.Finish(it, Outcome::Shed)) {
        ++retries;
        bench.Pass(1s);
      }
      bench.Pass(1s);
    }
    CHECK(retries <= 300 * RetryBudget::kRetriesPerRequest +
                       RetryBudget::kMaxSavedRetries);
  }
  SECTION("never after a timeout")
  {
    Bench bench({ "a", "b" });
    const uint32_t it = bench.Submit();
    CHECK_FALSE(bench.Finish(it, Outcome::TimedOut));
    CHECK(bench.mActions.empty());
  }
}

TEST_CASE("Dispatcher gives no new flow to who leaves", "[routing]")
{
  Bench bench({ "a", "b" });
  const bool byReport = GENERATE(false, true);
  if (byReport) {
    LoadReport report = bench.Report(0);
    report.mDraining = true;
    bench.mDispatcher.OnReport(report, bench.mNow);
  } else {
    auto draining = MakeSnapshot({ "a", "b" });
    draining->mUpstreams[0].mDraining = true;
    bench.mDispatcher.SetSnapshot(draining, bench.mNow);
  }
  for (int n = 0; n < 20; ++n) {
    const uint32_t it = bench.Submit();
    CHECK(bench.SentTo(it) == 1);
    bench.Finish(it, Outcome::Answered);
  }
  CHECK(bench.SentTo(bench.Submit(0)) == 0);
}

TEST_CASE("Dispatcher rebinds the flows of a dead upstream", "[routing]")
{
  Bench bench({ "a", "b", "c" });
  SECTION("ejected")
  {
    bench.Kill(0);
    const auto sent = bench.SentTo(bench.Submit(0));
    CHECK(sent != 0);
    CHECK(sent != config::kNoIndex);
    // It comes back with one slot.
    bench.Pass(6s);
    CHECK(bench.SentTo(bench.Submit(0)) == 0);
  }
  SECTION("all dead: at most half are ejected")
  {
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      bench.Kill(it);
    }
    int served = 0;
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      const uint32_t serial = bench.Submit(it);
      served += bench.SentTo(serial) == it ? 1 : 0;
    }
    CHECK(served >= 2);
  }
  SECTION("removed while a request waits for it")
  {
    for (int n = 0; n < 3; ++n) {
      bench.Submit(0);
    }
    const uint32_t waiting = bench.Submit(0);
    CHECK(bench.SentTo(waiting) == config::kNoIndex);
    bench.mDispatcher.SetSnapshot(MakeSnapshot({ "b", "c" }), bench.mNow);
    bench.Pass(10ms);
    CHECK(bench.SentTo(waiting) != config::kNoIndex);
    // What ran there ends as it would have.
    CHECK_FALSE(bench.Finish(1, Outcome::Answered));
  }
  SECTION("the service is removed")
  {
    for (int n = 0; n < 9; ++n) {
      bench.Submit();
    }
    const uint32_t waiting = bench.Submit();
    CHECK(bench.mDispatcher.Queued(0) == 1);
    auto other = MakeSnapshot({ "x" });
    other->mServices[0].mName = "statements";
    bench.mDispatcher.SetSnapshot(other, bench.mNow);
    bench.Pass(1ms);
    CHECK(bench.Refused(waiting) == RefusalReason::NoUpstream);
  }
}

TEST_CASE("Dispatcher is not led astray by reports", "[routing]")
{
  Bench bench({ "a", "b", "c" });
  SECTION("always zero: it gets no more than its slots")
  {
    for (int n = 0; n < 40; ++n) {
      bench.mDispatcher.OnReport(bench.Report(0), bench.mNow);
      bench.Submit();
    }
    CHECK(bench.mDispatcher.InFlight(0) <= 3);
  }
  SECTION("all say that they are ill: the service goes on")
  {
    for (config::UpstreamIndex it = 0; it < 3; ++it) {
      LoadReport report = bench.Report(it);
      report.mHealthy = false;
      report.mDraining = true;
      bench.mDispatcher.OnReport(report, bench.mNow);
    }
    CHECK(bench.SentTo(bench.Submit()) != config::kNoIndex);
  }
  SECTION("unknown upstream")
  {
    LoadReport report;
    report.mUpstream = 1;
    bench.mDispatcher.OnReport(report, bench.mNow);
    bench.mDispatcher.OnPeerLoads(9, { report }, bench.mNow);
    CHECK(bench.SentTo(bench.Submit()) != config::kNoIndex);
  }
}

TEST_CASE("Dispatcher keeps short work from slots held by long", "[routing]")
{
  Bench bench({ "a", "b" });
  // The flow's default upstream is the one that a peer fills.
  const uint64_t flow = 4711;
  const auto preferred = DefaultUpstream(*bench.mSnapshot, 0, flow);
  bench.mDispatcher.SetBalancers({ 1, 2, 3, 4, 5, 6, 7 }, 1);
  LoadReport held = bench.Report(preferred);
  held.mInFlight = 2;
  bench.mDispatcher.OnPeerLoads(2, { held }, bench.mNow);
  bench.mNow += 500ms;
  const auto sent = bench.SentTo(bench.Submit(config::kNoIndex, 10s, flow));

  SECTION("own long work is told to peers")
  {
    CHECK(sent == 1 - preferred);
    CHECK(bench.mDispatcher.LocalLoads(bench.mNow).empty());
    const uint64_t revision = bench.mDispatcher.LoadsRevision();
    bench.Pass(1s);
    CHECK(bench.mDispatcher.LoadsRevision() != revision);
    const auto loads = bench.mDispatcher.LocalLoads(bench.mNow);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].mUpstream == bench.mSnapshot->mUpstreams[sent].mId);
    CHECK(loads[0].mInFlight == 1);
    bench.Finish(1, Outcome::Answered);
    CHECK(bench.mDispatcher.LocalLoads(bench.mNow).empty());
  }
  SECTION("a peer that is gone holds nothing")
  {
    bench.Finish(1, Outcome::Answered);
    bench.mDispatcher.OnPeerGone(2);
    CHECK(bench.SentTo(bench.Submit(config::kNoIndex, 10s, flow)) == preferred);
  }
}

#include <benchmark/benchmark.h>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/Dispatcher.h"

namespace foxtail::routing {
namespace {

// Requests timed together; all of them end before the next batch starts.
constexpr uint32_t kBatchSize = 8;
constexpr milliseconds kDeadline{ 1000 };
constexpr milliseconds kAnswerTime{ 5 };
// Minimum timed duration, enough for the median. The ends of requests are not
// timed but take longer than the timed part.
constexpr double kMinSeconds = 0.005;

config::SnapshotPtr
MakeSnapshot(uint32_t aServices, uint32_t aUpstreams)
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mServices.resize(aServices);
  for (uint32_t n = 0; n < aServices; ++n) {
    snapshot->mServices[n].mName = "service-" + std::to_string(n);
  }
  for (uint32_t n = 0; n < aUpstreams; ++n) {
    config::Upstream& it = snapshot->mUpstreams.emplace_back();
    it.mName = "upstream-" + std::to_string(n);
    it.mSlots = 3;
    it.mMaxConnections = 2000;
    it.mService = n % aServices;
    it.mId = static_cast<uint32_t>(StableHash(it.mName));
    snapshot->mServices[it.mService].mUpstreams.push_back(n);
  }
  return snapshot;
}

// Arguments: services, upstreams, balancers. Measures one Submit of the first
// request of a flow that is sent.
void
NewFlow(benchmark::State& aState)
{
  using Clock = std::chrono::steady_clock;
  const auto services = static_cast<uint32_t>(aState.range(0));
  Dispatcher dispatcher(DispatcherSettings{});
  std::vector<uint64_t> balancers(aState.range(2));
  for (size_t n = 0; n < balancers.size(); ++n) {
    balancers[n] = n + 1;
  }
  dispatcher.SetBalancers(balancers, 1);
  TimePoint now(seconds(1));
  dispatcher.SetSnapshot(
    MakeSnapshot(services, static_cast<uint32_t>(aState.range(1))), now);
  WorkActions actions;
  uint32_t serial = 0;
  uint64_t sent = 0;
  for (auto _ : aState) {
    actions.clear();
    const auto start = Clock::now();
    for (uint32_t n = 0; n < kBatchSize; ++n) {
      Work work;
      work.mSerial = ++serial;
      work.mService = serial % services;
      work.mRankHash = MixHash(serial, 1);
      work.mDeadline = now + kDeadline;
      dispatcher.Submit(work, now, actions);
    }
    const std::chrono::duration<double> took = Clock::now() - start;
    aState.SetIterationTime(took.count() / kBatchSize);
    now += kAnswerTime;
    dispatcher.Tick(now, actions);
    // Each finished request may let a queued one be sent, which appends to the
    // list during the loop.
    for (size_t n = 0; n < actions.size(); ++n) {
      if (const auto* send = std::get_if<SendWork>(&actions[n])) {
        ++sent;
        dispatcher.Finish(send->mSerial, Outcome::Answered, now, actions);
      }
    }
  }
  aState.counters["sent"] = double(sent) / serial;
}

BENCHMARK(NewFlow)
  ->Args({ 2, 19, 7 })
  ->Args({ 770, 6100, 7 })
  ->Args({ 770, 6100, 720 })
  ->MinTime(kMinSeconds)
  ->UseManualTime();

} // namespace
} // namespace foxtail::routing

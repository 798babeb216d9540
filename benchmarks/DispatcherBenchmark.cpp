#include <benchmark/benchmark.h>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/Dispatcher.h"

namespace foxtail::routing {
namespace {

// Requests timed together; all are ended before the next ones.
constexpr uint32_t kBatch = 8;
constexpr milliseconds kDeadline{ 1000 };
constexpr milliseconds kAnswered{ 5 };
// Enough for the median; ends of requests are not timed but take longer.
constexpr double kMinTime = 0.005;

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

// Arguments: services, upstreams, balancers. Time is that of one Submit of a
// new flow that is sent.
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
    for (uint32_t n = 0; n < kBatch; ++n) {
      Work work;
      work.mSerial = ++serial;
      work.mService = serial % services;
      work.mRankHash = MixHash(serial, 1);
      work.mDeadline = now + kDeadline;
      dispatcher.Submit(work, now, actions);
    }
    const std::chrono::duration<double> took = Clock::now() - start;
    aState.SetIterationTime(took.count() / kBatch);
    now += kAnswered;
    dispatcher.Tick(now, actions);
    // Every end may send a request that waits, so the list grows meanwhile.
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
  ->MinTime(kMinTime)
  ->UseManualTime();

} // namespace
} // namespace foxtail::routing

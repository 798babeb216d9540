// Benchmarks of the flow path: forwarding a packet of an open flow, a plain
// copy of a packet as baseline, and the broker's decision by number of
// upstreams.

#include <benchmark/benchmark.h>

#include "foxtail/flow/FlowBalancer.h"

namespace foxtail {

namespace {

using namespace flow;

const TimePoint kStart{ seconds(100) };

ReplicaUpdate
MakeUpdate(size_t aUpstreams)
{
  ReplicaUpdate update;
  update.mIsFullListing = true;
  update.mConfirmed = 1;
  for (size_t i = 0; i < aUpstreams; ++i) {
    UpstreamRecord record;
    record.mId = "u" + std::to_string(i);
    record.mRevision = 1;
    record.mState = UpstreamState::Ready;
    record.mInstance = i + 1;
    record.mService = "s";
    record.mSlots = 3;
    update.mUpstreams.push_back(record);
  }
  Configuration configuration;
  configuration.mRoutes = {
    { "r", { 9, 80 }, { { "s", 1 } }, true, seconds(1), milliseconds(250), 1 }
  };
  update.mConfiguration = configuration;
  return update;
}

// Baseline: the copy of a packet that every forwarder makes.
void
BareCopy(benchmark::State& aState)
{
  const std::string bytes(136, 'x');
  for (auto _ : aState) {
    ForwardPacket out{ { 1, 80 }, 1, 1, bytes };
    benchmark::DoNotOptimize(out);
  }
  aState.SetItemsProcessed(aState.iterations());
}
BENCHMARK(BareCopy);

void
ForwardOpenFlow(benchmark::State& aState)
{
  FlowBalancerSettings settings;
  settings.mSelf = { 1, 1, 0, "a", false };
  FlowBalancer balancer(kStart, settings);
  balancer.OnReadResult(
    kStart, MakeUpdate(static_cast<size_t>(aState.range(0))), "store");
  const std::string bytes(136, 'x');
  Packet packet;
  packet.mKey = { { 500, 1024 }, { 9, 80 } };
  packet.mHasAck = true;
  packet.mCookie = 1;
  packet.mPayloadLength = 100;
  packet.mBytes = bytes;
  const TimePoint now = kStart + seconds(1);
  for (auto _ : aState) {
    auto actions = balancer.OnPacket(now, packet);
    benchmark::DoNotOptimize(actions);
  }
  aState.SetItemsProcessed(aState.iterations());
}
BENCHMARK(ForwardOpenFlow)->Arg(19)->Arg(150)->Arg(6100);

void
BrokerDecision(benchmark::State& aState)
{
  Directory directory;
  directory.Apply(
    kStart, MakeUpdate(static_cast<size_t>(aState.range(0))), "store");
  SlotBroker broker(1);
  SlotReport report;
  report.mIncarnation = 1;
  report.mDomain = "a";
  TimePoint now = kStart;
  for (auto _ : aState) {
    now += milliseconds(1);
    report.mGrantsSeen = report.mSequence;
    ++report.mSequence;
    SlotRequest request;
    request.mId = report.mSequence;
    request.mObjective = milliseconds(250);
    report.mRequests = { request };
    auto replies = broker.HandleReport(now, 1, report, "s", directory, 0);
    benchmark::DoNotOptimize(replies);
  }
}
BENCHMARK(BrokerDecision)->Arg(19)->Arg(150)->Arg(6100);

// Arguments: upstreams of the service, balancers that hold three flows each,
// and requests in each report. A decision takes the difference between reports
// with one request and without.
void
BrokerDecisionInFleet(benchmark::State& aState)
{
  constexpr uint32_t kHeldEach = 3;
  const auto upstreams = static_cast<size_t>(aState.range(0));
  const auto balancers = static_cast<VmIp>(aState.range(1));
  Directory directory;
  directory.Apply(kStart, MakeUpdate(upstreams), "store");
  const std::vector<Cookie> cookies = directory.UpstreamsOf("s");
  SlotBroker broker(1);
  SlotReport report;
  report.mIncarnation = 1;
  report.mDomain = "a";
  // The work and the speeds are known.
  for (const Cookie it : cookies) {
    report.mCompleteAnswers.push_back({ it, 1, milliseconds(50), 1000 });
  }
  for (int i = 0; i < 10; ++i) {
    ++report.mSequence;
    broker.HandleReport(kStart, 1, report, "s", directory, 0);
  }
  report.mCompleteAnswers.clear();
  VmIp from = 0;
  for (auto _ : aState) {
    from = from % balancers + 1;
    ++report.mSequence;
    report.mGrantsSeen = report.mSequence;
    report.mHeld.clear();
    for (uint32_t i = 0; i < kHeldEach; ++i) {
      report.mHeld.push_back({ cookies[(from * kHeldEach + i) % cookies.size()],
                               1,
                               milliseconds(30) });
    }
    SlotRequest request;
    request.mId = report.mSequence;
    request.mObjective = milliseconds(250);
    request.mRoute = 1;
    report.mRequests.assign(static_cast<size_t>(aState.range(2)), request);
    auto replies = broker.HandleReport(kStart, from, report, "s", directory, 0);
    benchmark::DoNotOptimize(replies);
  }
}
BENCHMARK(BrokerDecisionInFleet)
  ->Args({ 60, 30, 1 })
  ->Args({ 234, 183, 1 })
  ->Args({ 380, 300, 1 })
  ->Args({ 6100, 720, 0 })
  ->Args({ 6100, 720, 1 });

} // namespace

} // namespace foxtail

#include <benchmark/benchmark.h>

#include <malloc.h>

#include "InMemoryFleet.h"

// Cost of membership for one VM. The argument is the number of VMs; rates are
// per VM and second of simulated time, including IP and UDP headers.

using namespace foxtail;
using namespace foxtail::tests;
using namespace std::chrono_literals;

namespace {

struct Totals
{
  double mMessages = 0;
  double mBytes = 0;
};

Totals
Count(InMemoryFleet& aFleet)
{
  Totals totals;
  for (const InMemoryFleet::Vm& it : aFleet.Vms()) {
    totals.mMessages += static_cast<double>(it.mSentMessages);
    totals.mBytes += static_cast<double>(it.mSentBytes + it.mReceivedBytes);
  }
  return totals;
}

// Returns true when the view of every running agent has aMembers members.
bool
AllViewsHave(InMemoryFleet& aFleet, size_t aMembers)
{
  for (size_t i = 0; i < aFleet.Vms().size(); ++i) {
    const bool runs = aFleet.At(i).mAgent == InMemoryFleet::Process::Runs;
    if (runs && aFleet.ViewOf(i).mMembers.size() != aMembers) {
      return false;
    }
  }
  return true;
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Sets counters of the messages sent, and of the bytes sent and received, per
// VM and second of aTime.
void
ReportRates(benchmark::State& aState,
            const std::string& aName,
            const Totals& aBefore,
            const Totals& aAfter,
            Duration aTime)
{
  const double share = static_cast<double>(aState.range(0)) * Seconds(aTime);
  aState.counters[aName + "_sent_msgs_per_s"] =
    (aAfter.mMessages - aBefore.mMessages) / share;
  aState.counters[aName + "_bytes_per_s"] =
    (aAfter.mBytes - aBefore.mBytes) / share;
}

void
MembershipTraffic(benchmark::State& aState)
{
  const size_t vms = aState.range(0);
  for (auto it : aState) {
    InMemoryFleet fleet(vms);
    for (size_t i = 0; i < vms; ++i) {
      fleet.Start(i);
    }
    Totals before = Count(fleet);
    const TimePoint start = fleet.Now();
    const Duration join =
      fleet.RunUntil([&] { return AllViewsHave(fleet, vms); }, 120s);
    aState.counters["cold_start_s"] = Seconds(join);
    ReportRates(
      aState, "cold_start", before, Count(fleet), fleet.Now() - start);

    // Lets gossip about the start be passed on often enough to cease.
    fleet.Run(300s);
    before = Count(fleet);
    fleet.Run(60s);
    ReportRates(aState, "idle", before, Count(fleet), 60s);

    before = Count(fleet);
    fleet.Kill(1);
    aState.counters["kill_seen_s"] = Seconds(
      fleet.RunUntil([&] { return AllViewsHave(fleet, vms - 1); }, 60s));
    fleet.Run(10s);
    ReportRates(aState, "after_kill", before, Count(fleet), 10s);
  }
}
BENCHMARK(MembershipTraffic)
  ->Arg(7)
  ->Arg(70)
  ->Arg(210)
  ->Arg(720)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// CPU time and memory of one idle VM: the cost of running the whole fleet, in
// steps of 50 ms, divided by the number of VMs.
void
MembershipStep(benchmark::State& aState)
{
  const size_t vms = aState.range(0);
  const size_t before = HeapBytes();
  InMemoryFleet fleet(vms);
  fleet.StartAll(150s);
  aState.counters["bytes_per_vm"] =
    static_cast<double>(HeapBytes() - before) / static_cast<double>(vms);
  for (auto it : aState) {
    fleet.Run(1s);
  }
  aState.counters["core_share_per_vm"] = benchmark::Counter(
    static_cast<double>(vms * aState.iterations()),
    benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(MembershipStep)
  ->Arg(7)
  ->Arg(70)
  ->Arg(210)
  ->Arg(720)
  ->Unit(benchmark::kMillisecond);

} // namespace

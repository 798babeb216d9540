#include <benchmark/benchmark.h>

#include <malloc.h>

#include "../tests/unit/Sample.h"
#include "foxtail/config/Chain.h"

using namespace foxtail::config;
using nlohmann::json;

namespace {

// Upstreams per service at the design size: 6,160 upstreams for 770 services.
constexpr size_t kUpstreamsPerService = 8;

json
DocumentOf(int64_t aServices)
{
  return foxtail::test::MakeDocument(static_cast<size_t>(aServices),
                                     kUpstreamsPerService);
}

Chain
ChainOf(int64_t aServices)
{
  Chain chain;
  chain.Offer(Base{ { { 1, 1 }, 0 }, DocumentOf(aServices) });
  return chain;
}

// Makes a patch that sets or clears the draining flag of one upstream.
json
MakeDrainPatch(uint64_t aAgainst, size_t aService, bool aDraining)
{
  const std::string path =
    absl::StrCat("/services/", aService, "/upstreams/0/draining");
  return {
    { "against", aAgainst },
    { "patch",
      { { { "op", "add" }, { "path", path }, { "value", aDraining } } } }
  };
}

// Makes the next published patch; patches alternately set and clear the
// draining flag.
PatchList
NextPatch(const Chain& aChain, size_t aService)
{
  const uint64_t number = aChain.Point().mVersion.mNumber;
  return { aChain.Point().mPosition,
           { MakeDrainPatch(number, aService, number % 2 == 1) } };
}

// Applies one published patch: patch, check, digest and snapshot.
void
PatchFromPlatform(benchmark::State& aState)
{
  Chain chain = ChainOf(aState.range(0));
  const auto last = static_cast<size_t>(aState.range(0)) - 1;
  for (auto unused : aState) {
    benchmark::DoNotOptimize(chain.Offer(NextPatch(chain, last)));
  }
}

// The same patch from a peer, which is tried on a copy of the document first.
void
PatchFromPeer(benchmark::State& aState)
{
  Chain chain = ChainOf(aState.range(0));
  Chain peer = chain;
  for (auto unused : aState) {
    aState.PauseTiming();
    peer.Offer(NextPatch(peer, 0));
    const ChainAnswer answer = peer.Answer(chain.Point());
    aState.ResumeTiming();
    benchmark::DoNotOptimize(chain.Offer(answer));
  }
}

// A patch that changes all services, the most expensive kind.
void
PatchOfAllServices(benchmark::State& aState)
{
  Chain chain = ChainOf(aState.range(0));
  const json all = DocumentOf(aState.range(0))["services"];
  for (auto unused : aState) {
    const ChainPoint& point = chain.Point();
    const json operation = { { "op", "replace" },
                             { "path", "/services" },
                             { "value", all } };
    const json entry = { { "against", point.mVersion.mNumber },
                         { "patch", { operation } } };
    benchmark::DoNotOptimize(
      chain.Offer(PatchList{ point.mPosition, { entry } }));
  }
}

// Baseline for one patch: copy the document, patch the copy, check all of it.
void
PatchNaive(benchmark::State& aState)
{
  const json document = DocumentOf(aState.range(0));
  const json patch = MakeDrainPatch(1, 0, true)["patch"];
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ParseDocument(document.patch(patch), {}));
  }
}

// A restarted VM reads the base and a day's list of patches.
void
BaseAndDayOfPatches(benchmark::State& aState)
{
  constexpr uint64_t kChangesPerDay = 2500;
  const Base base{ { { 1, 1 }, 0 }, DocumentOf(aState.range(0)) };
  PatchList patches;
  for (uint64_t it = 0; it < kChangesPerDay; ++it) {
    patches.mEntries.push_back(
      MakeDrainPatch(it + 1, it % static_cast<size_t>(aState.range(0)), true));
  }
  for (auto unused : aState) {
    Chain chain;
    chain.Offer(base);
    benchmark::DoNotOptimize(chain.Offer(patches));
  }
}

// One new patch at the end of a day's list, because a watch returns the whole
// list.
void
PatchAtEndOfDay(benchmark::State& aState)
{
  PatchList patches;
  size_t bytes = 0;
  for (int64_t it = 0; it < aState.range(0); ++it) {
    const auto number = static_cast<uint64_t>(it) + 1;
    patches.mEntries.push_back(MakeDrainPatch(number, 0, it % 2 == 0));
    bytes += patches.mEntries.back().dump().size() + 1;
  }
  PatchList before = patches;
  before.mEntries.pop_back();
  Chain start = ChainOf(2);
  start.Offer(before);
  for (auto unused : aState) {
    aState.PauseTiming();
    Chain chain = start;
    aState.ResumeTiming();
    benchmark::DoNotOptimize(chain.Offer(patches));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

// Parses a complete document from text.
void
ParseDocument(benchmark::State& aState)
{
  const std::string text = DocumentOf(aState.range(0)).dump();
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ParseDocumentText(text, {}));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}

// Heap bytes of a chain with its snapshot.
void
ChainMemory(benchmark::State& aState)
{
  size_t bytes = 0;
  for (auto unused : aState) {
    const auto before = mallinfo2();
    const Chain chain = ChainOf(aState.range(0));
    const auto after = mallinfo2();
    bytes = after.uordblks + after.hblkhd - before.uordblks - before.hblkhd;
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(PatchFromPlatform)
  ->Arg(2)
  ->Arg(77)
  ->Arg(770)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(PatchFromPeer)->Arg(2)->Arg(770)->Unit(benchmark::kMicrosecond);
BENCHMARK(PatchOfAllServices)->Arg(770)->Unit(benchmark::kMicrosecond);
BENCHMARK(PatchNaive)->Arg(770)->Unit(benchmark::kMicrosecond);
BENCHMARK(BaseAndDayOfPatches)->Arg(770)->Unit(benchmark::kMillisecond);
BENCHMARK(PatchAtEndOfDay)
  ->Arg(25)
  ->Arg(250)
  ->Arg(2500)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ChainMemory)
  ->Arg(2)
  ->Arg(77)
  ->Arg(770)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ParseDocument)
  ->Arg(2)
  ->Arg(77)
  ->Arg(770)
  ->Unit(benchmark::kMicrosecond);

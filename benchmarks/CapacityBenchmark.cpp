#include <benchmark/benchmark.h>

#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "foxtail/agent/LoadTable.h"
#include "foxtail/core/Hash.h"
#include "foxtail/net/PeerCodec.h"
#include "foxtail/routing/DefaultUpstream.h"
#include "foxtail/routing/FlowDirectory.h"

// Benchmarks for docs/CAPACITY.md: each series runs at three or more sizes, and
// scripts/capacity fits a line to the results. The first argument is the size.
// Wire bytes exclude the headers of IP, UDP, TCP and nng.

namespace foxtail::routing {
namespace {

// Services and upstreams per service of a deployment at the design size.
constexpr uint32_t kUpstreamsPerService = 8;
constexpr uint32_t kServices = 770;
constexpr milliseconds kTick{ 5 };
constexpr seconds kRecordTime{ 10 };
constexpr seconds kGrantTime{ 20 };
constexpr size_t kUnlimited = size_t(1) << 30;
constexpr char kRegion[] = "region-1";
const TimePoint kStart{ seconds(1000) };

size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<Incarnation>
MakeIncarnations(size_t aCount)
{
  std::vector<Incarnation> incarnations(aCount);
  for (size_t n = 0; n < aCount; ++n) {
    incarnations[n] = (1'700'000'000'000 + n) << 16;
  }
  return incarnations;
}

std::vector<membership::Member>
MakeMembers(size_t aCount)
{
  std::vector<membership::Member> members(aCount);
  const std::vector<Incarnation> incarnations = MakeIncarnations(aCount);
  for (size_t n = 0; n < aCount; ++n) {
    membership::Member& it = members[n];
    it.mName = "entry-vm-" + std::to_string(n);
    it.mRegion = kRegion;
    it.mDomain = "domain-1";
    it.mIncarnation = incarnations[n];
    const uint32_t ip = 0x0A000001 + static_cast<uint32_t>(n);
    it.mHandoffAddress = { ip, 5691 };
    it.mPeerAddress = { ip, 5692 };
    it.mAgentAddress = { ip, 5693 };
  }
  return members;
}

config::SnapshotPtr
MakeSnapshot()
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mVersion.mNumber = 1;
  for (uint32_t n = 0; n < kServices; ++n) {
    config::Service& service = snapshot->mServices.emplace_back();
    service.mName = "service-" + std::to_string(n);
    service.mAddress = { 0x0A640001 + n, 5683 };
    for (uint32_t i = 0; i < kUpstreamsPerService; ++i) {
      service.mUpstreams.push_back(
        static_cast<uint32_t>(snapshot->mUpstreams.size()));
      config::Upstream& it = snapshot->mUpstreams.emplace_back();
      it.mName = service.mName + "-" + std::to_string(i);
      it.mSlots = 3;
      it.mMaxConnections = 2000;
      it.mService = n;
      it.mId = static_cast<uint32_t>(StableHash(it.mName));
    }
  }
  return snapshot;
}

// A flow directory of the oldest of several balancers, which owns every flow
// that the benchmark binds.
class DirectoryBench
{
public:
  DirectoryBench(size_t aBalancers, size_t aBytesPerSecond)
    : mMembers(MakeMembers(aBalancers))
    , mSnapshot(MakeSnapshot())
  {
    FlowDirectorySettings settings;
    settings.mSelf = mMembers[0].mIncarnation;
    settings.mRegion = kRegion;
    settings.mRecordBytesPerSecond = aBytesPerSecond;
    // No flow expires and no record is sent again during the measurement.
    settings.mFlowIdle = settings.mRefreshInterval = seconds(1'000'000);
    mDirectory = std::make_unique<FlowDirectory>(settings, mNow);
    mDirectory->SetSnapshot(mSnapshot, mNow);
    auto view = std::make_shared<membership::View>();
    view->mSequence = 1;
    view->mMembers = mMembers;
    mDirectory->SetView(view, mNow);
    // Lets the wait for grants of the first view pass.
    mNow += seconds(10);
    Tick();
  }

  // Binds a new flow that this balancer owns, to its default upstream or to
  // another one.
  void Bind(bool aNonDefault)
  {
    FlowKey flow;
    uint64_t hash = 0;
    do {
      ++mSerial;
      flow.mCaller = { 0x0B000000 + mSerial, 4000 };
      flow.mService = mSnapshot->mServices[mSerial % kServices].mAddress;
      hash = flow.Hash();
    } while (mDirectory->Ranking().Owner(RankHash(hash)) !=
             mMembers[0].mIncarnation);
    const config::ServiceIndex service = mSerial % kServices;
    const config::UpstreamIndex defaultUpstream =
      DefaultUpstream(*mSnapshot, service, RankHash(hash));
    const uint32_t first = mSnapshot->mServices[service].mUpstreams[0];
    const uint32_t other =
      first + (defaultUpstream - first + 1) % kUpstreamsPerService;
    const uint32_t chosen = aNonDefault ? other : defaultUpstream;
    mDirectory->Bind(flow, hash, mSnapshot->mUpstreams[chosen].mId, mNow);
  }

  std::vector<RecordBatch> Tick()
  {
    mNow += kTick;
    return mDirectory->Tick(mNow);
  }

  FlowDirectory& Directory() { return *mDirectory; }

private:
  std::vector<membership::Member> mMembers;
  config::SnapshotPtr mSnapshot;
  TimePoint mNow = kStart;
  uint32_t mSerial = 0;
  std::unique_ptr<FlowDirectory> mDirectory;
};

// Argument: balancers. Measures one look-up of a flow's owner.
void
OwnerLookup(benchmark::State& aState)
{
  const OwnerRanking ranking(MakeIncarnations(aState.range(0)));
  uint64_t hash = 1;
  for (auto _ : aState) {
    hash = MixHash(hash, 1);
    benchmark::DoNotOptimize(ranking.Owner(hash));
  }
}
BENCHMARK(OwnerLookup)->Arg(8)->Arg(72)->Arg(360)->Arg(720);

// Argument: flows. Measures the time to fill an empty table and the heap bytes
// of the filled table.
void
FlowTableFill(benchmark::State& aState)
{
  const auto flows = static_cast<uint64_t>(aState.range(0));
  size_t bytes = 0;
  for (auto _ : aState) {
    const size_t before = HeapBytes();
    FlowTable table(1'000'000, kStart);
    for (uint64_t n = 1; n <= flows; ++n) {
      table.Insert(MixHash(n, 1), 7, kStart);
    }
    bytes = HeapBytes() - before;
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(FlowTableFill)
  ->Arg(30'000)
  ->Arg(100'000)
  ->Arg(300'000)
  ->Unit(benchmark::kNanosecond);

// Argument: flows in the table. Measures one look-up of a flow.
void
FlowTableFind(benchmark::State& aState)
{
  const auto flows = static_cast<uint64_t>(aState.range(0));
  FlowTable table(1'000'000, kStart);
  for (uint64_t n = 1; n <= flows; ++n) {
    table.Insert(MixHash(n, 1), 7, kStart);
  }
  uint64_t n = 0;
  for (auto _ : aState) {
    n = (n + 7919) % flows;
    benchmark::DoNotOptimize(table.Find(MixHash(n + 1, 1)));
  }
}
BENCHMARK(FlowTableFind)->Arg(30'000)->Arg(100'000)->Arg(300'000);

// Arguments: balancers, whether the flows are bound to non-default upstreams.
// Measures one tick of the directory's walk over 4,000 flows, the maximum for
// one tick.
void
DirectoryTick(benchmark::State& aState)
{
  constexpr int kFlows = 4000;
  DirectoryBench bench(aState.range(0), kUnlimited);
  for (int n = 0; n < kFlows; ++n) {
    bench.Bind(aState.range(1) != 0);
  }
  while (bench.Directory().PendingRecords() != 0) {
    bench.Tick();
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(bench.Tick());
  }
}
BENCHMARK(DirectoryTick)
  ->ArgsProduct({ { 8, 72, 360 }, { 0, 1 } })
  ->Unit(benchmark::kNanosecond);

std::string
EncodeBatch(const RecordBatch& aBatch, Incarnation aSelf)
{
  net::FlowRecords message;
  message.mSender = aSelf;
  message.mConfigNumber = aBatch.mConfigNumber;
  std::map<uint32_t, std::vector<uint32_t>> groups;
  for (const FlowRecord& it : aBatch.mRecords) {
    groups[it.mUpstream].push_back(it.mFingerprint);
  }
  for (auto& [upstream, fingerprints] : groups) {
    message.mRecords.push_back({ upstream, std::move(fingerprints) });
  }
  return net::Encode(message);
}

// Arguments: new flows per second bound to non-default upstreams, balancers,
// whether grants to discovered peers are still pending when the flows are
// bound. Counters are per second of simulated time; `waiting` counts the
// records that the byte limit kept from being sent within ten seconds.
void
DirectoryRecords(benchmark::State& aState)
{
  double bytes = 0;
  double messages = 0;
  double sentRecords = 0;
  double waiting = 0;
  for (auto _ : aState) {
    DirectoryBench bench(aState.range(1),
                         FlowDirectorySettings().mRecordBytesPerSecond);
    bytes = messages = sentRecords = 0;
    for (Duration at(0); aState.range(2) == 0 && at < kGrantTime; at += kTick) {
      bench.Tick();
    }
    double due = 0;
    for (Duration at(0); at < kRecordTime; at += kTick) {
      due += static_cast<double>(aState.range(0)) * 0.005;
      for (; due >= 1; --due) {
        bench.Bind(true);
      }
      for (const RecordBatch& it : bench.Tick()) {
        bytes += static_cast<double>(EncodeBatch(it, 1ULL << 56).size());
        sentRecords += static_cast<double>(it.mRecords.size());
        ++messages;
      }
    }
    waiting = static_cast<double>(bench.Directory().PendingRecords());
  }
  const double time = std::chrono::duration<double>(kRecordTime).count();
  aState.counters["bytes"] = bytes / time;
  aState.counters["messages"] = messages / time;
  aState.counters["told"] = sentRecords / time;
  aState.counters["waiting"] = waiting;
}
BENCHMARK(DirectoryRecords)
  ->ArgsProduct({ { 16, 65, 260 }, { 8, 72, 360 }, { 0, 1 } })
  ->Iterations(1)
  ->Unit(benchmark::kNanosecond);

template<typename Message>
void
RunCodec(benchmark::State& aState, const Message& aMessage)
{
  size_t bytes = 0;
  for (auto _ : aState) {
    const std::string encoded = net::Encode(aMessage);
    bytes = encoded.size();
    benchmark::DoNotOptimize(encoded);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

std::vector<net::UpstreamLoad>
MakeLoads(int64_t aCount)
{
  std::vector<net::UpstreamLoad> loads(aCount);
  for (size_t n = 0; n < loads.size(); ++n) {
    loads[n].mUpstream = static_cast<uint32_t>(MixHash(n + 1, 1)) | 1;
    loads[n].mInFlight = 1 + n % 3;
  }
  return loads;
}

// Argument: flow records, spread over the upstreams of one service.
void
FlowRecordsMessage(benchmark::State& aState)
{
  RecordBatch batch;
  for (int64_t n = 0; n < aState.range(0); ++n) {
    batch.mRecords.push_back(
      { static_cast<uint32_t>(n + 1),
        1 + static_cast<uint32_t>(n) % kUpstreamsPerService });
  }
  size_t bytes = 0;
  for (auto _ : aState) {
    bytes = EncodeBatch(batch, 1ULL << 56).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(FlowRecordsMessage)->Arg(10)->Arg(100)->Arg(1000);

// Argument: upstreams with requests in flight.
void
LoadsMessage(benchmark::State& aState)
{
  net::FlowRecords message;
  message.mSender = 1ULL << 56;
  message.mHasLoads = true;
  message.mLoads = MakeLoads(aState.range(0));
  RunCodec(aState, message);
}
BENCHMARK(LoadsMessage)->Arg(8)->Arg(64)->Arg(512);

// Argument: member records piggybacked on a gossip message.
void
GossipMessage(benchmark::State& aState)
{
  const std::vector<membership::Member> members =
    MakeMembers(aState.range(0) + 1);
  membership::Gossip message;
  message.mSequence = 1;
  for (const membership::Member& it : members) {
    membership::MemberRecord record;
    record.mMember = it;
    record.mMember.mRegion.clear();
    record.mMember.mDomain.clear();
    record.mAgentIncarnation = it.mIncarnation;
    record.mRevision = 3;
    message.mUpdates.push_back(record);
  }
  message.mSender = message.mUpdates.back();
  message.mUpdates.pop_back();
  message.mConfig = { 1000, 1ULL << 56, 1000 };
  message.mVmsIndex = 1000;
  RunCodec(aState, message);
}
BENCHMARK(GossipMessage)->Arg(1)->Arg(4)->Arg(16);

// Argument: members of a new view, which an agent sends in its reply to its
// balancer.
void
LocalReplyMembers(benchmark::State& aState)
{
  net::LocalReply message;
  message.mMembers = MakeMembers(aState.range(0));
  message.mViewSequence = 1000;
  RunCodec(aState, message);
}
BENCHMARK(LocalReplyMembers)->Arg(7)->Arg(70)->Arg(720);

// Argument: upstreams polled since the agent's previous reply.
void
LocalReplyLoads(benchmark::State& aState)
{
  net::LocalReply message;
  message.mViewSequence = 1000;
  message.mLoads = MakeLoads(aState.range(0));
  RunCodec(aState, message);
}
BENCHMARK(LocalReplyLoads)->Arg(1)->Arg(61)->Arg(610);

// Argument: upstreams. Measures the time to add one load report for each
// upstream and the heap bytes of the table, which keeps reports younger than a
// minute.
void
LoadTableTake(benchmark::State& aState)
{
  constexpr char kReport[] =
    R"({"healthy":true,"draining":false,"in_flight":2,"slots":3})";
  size_t bytes = 0;
  for (auto _ : aState) {
    const size_t before = HeapBytes();
    agent::LoadTable table(1);
    for (uint32_t n = 1; n <= aState.range(0); ++n) {
      table.AddReport(kStart, n, kReport);
    }
    bytes = HeapBytes() - before;
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["report_bytes"] = sizeof(kReport) - 1;
}
BENCHMARK(LoadTableTake)->Arg(61)->Arg(610)->Arg(6100);

} // namespace
} // namespace foxtail::routing

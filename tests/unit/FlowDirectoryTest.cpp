#include <catch2/catch.hpp>

#include <set>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/FlowDirectory.h"

using namespace foxtail;
using namespace foxtail::routing;

namespace {

constexpr milliseconds kTick{ 5 };
const TimePoint kStart{ seconds(1000) };
const Address kService = Address::Parse("127.0.0.1:5683");

membership::ViewPtr
MakeView(int aBalancers)
{
  auto view = std::make_shared<membership::View>();
  for (int i = 1; i <= aBalancers; ++i) {
    membership::Member member;
    member.mName = "vm-" + std::to_string(i);
    member.mRegion = "souss";
    member.mIncarnation = static_cast<Incarnation>(i);
    view->mMembers.push_back(member);
  }
  return view;
}

config::SnapshotPtr
MakeSnapshot()
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mServices.push_back(
    { "ledger", kService, seconds(30), seconds(120), {} });
  for (uint32_t i = 0; i < 4; ++i) {
    config::Upstream upstream;
    upstream.mId = i + 1;
    upstream.mService = 0;
    snapshot->mServices[0].mUpstreams.push_back(i);
    snapshot->mUpstreams.push_back(upstream);
  }
  return snapshot;
}

FlowDirectory
MakeDirectory(int aBalancers)
{
  FlowDirectorySettings settings;
  settings.mSelf = 1;
  settings.mRegion = "souss";
  FlowDirectory directory(settings, kStart);
  directory.SetSnapshot(MakeSnapshot(), kStart);
  directory.SetView(MakeView(aBalancers), kStart);
  return directory;
}

} // namespace

// The limit on bytes per second allows only a few messages at a time. Guards
// against peers that never get their records or their grant, however many peers
// there are, and against empty messages that use up the limit.
TEST_CASE("FlowDirectory sends to every peer within its byte rate", "[flows]")
{
  const int balancers = GENERATE(2, 7, 72, 360);
  FlowDirectory directory = MakeDirectory(balancers);
  for (uint16_t port = 1; port <= 500; ++port) {
    const FlowKey flow{ { 0x7F000002, port }, kService };
    directory.Bind(flow, flow.Hash(), 1, kStart);
  }
  std::set<Incarnation> granted;
  size_t empty = 0;
  for (TimePoint t = kStart; t < kStart + seconds(30); t += kTick) {
    for (const RecordBatch& it : directory.Tick(t)) {
      empty += it.mRecords.empty() && !it.mGrant ? 1 : 0;
      if (it.mGrant) {
        granted.insert(it.mTo);
      }
    }
  }
  INFO(balancers << " balancers");
  CHECK(empty == 0);
  CHECK(directory.PendingRecords() == 0);
  CHECK(granted.size() == static_cast<size_t>(balancers) - 1);
}

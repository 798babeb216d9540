// Two balancers share the ownership of the flows. When one of them dies, the
// other keeps a flow on its upstream, because it has the flow's record.
#include <map>

#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

namespace {

constexpr milliseconds kStep{ 100 };

membership::ViewPtr
MakeView(uint64_t aSequence, const std::vector<routing::Incarnation>& aAlive)
{
  auto view = std::make_shared<membership::View>();
  view->mSequence = aSequence;
  for (const routing::Incarnation it : aAlive) {
    view->mMembers.push_back(MakeMember("vm-" + std::to_string(it), it));
  }
  return view;
}

using Directories = std::map<routing::Incarnation, routing::FlowDirectory>;

// Delivers flow records between the balancers for aTime, and advances aNow.
void
ExchangeRecords(Directories& aDirectories, Duration aTime, TimePoint& aNow)
{
  for (const TimePoint end = aNow + aTime; aNow < end; aNow += kStep) {
    for (auto& [from, directory] : aDirectories) {
      for (const routing::RecordBatch& it : directory.Tick(aNow)) {
        aDirectories.at(it.mTo).OnRecords(from, it, aNow);
      }
    }
  }
}

} // namespace

int
main()
{
  TimePoint now{ seconds(1000) };
  const config::SnapshotPtr snapshot = MakeSnapshot();
  Directories directories;
  for (const routing::Incarnation it : { 1, 2 }) {
    routing::FlowDirectorySettings settings;
    settings.mSelf = it;
    settings.mRegion = "souss";
    auto& directory =
      directories.emplace(it, routing::FlowDirectory(settings, now))
        .first->second;
    directory.SetSnapshot(snapshot, now);
    directory.SetView(MakeView(1, { 1, 2 }), now);
  }
  // In the first 120 s (the flow idle time-out) a new directory assumes that
  // each unknown flow already exists and is bound to the flow's default
  // upstream. Wait until this time has passed.
  ExchangeRecords(directories, seconds(130), now);

  const FlowKey flow = MakeFlow();
  const uint64_t hash = flow.Hash();
  const routing::Incarnation owner =
    directories.at(1).Ranking().Owner(routing::RankHash(hash));
  const routing::Incarnation other = owner == 1 ? 2 : 1;
  const auto routeAtOther =
    directories.at(other).Route(flow, hash, /*aHops=*/0, now);
  Require(std::get<routing::ForwardTo>(routeAtOther).mOwner == owner,
          "the other balancer forwards to the owner");
  const auto routeAtOwner =
    directories.at(owner).Route(flow, hash, /*aHops=*/1, now);
  Require(std::get<routing::ServeHere>(routeAtOwner).mUpstream == 0,
          "the owner serves a new flow");

  // Binds the flow to the upstream that is not its default one.
  const auto byDefault =
    routing::DefaultUpstream(*snapshot, 0, routing::RankHash(hash));
  const uint32_t upstream = snapshot->mUpstreams[1 - byDefault].mId;
  directories.at(owner).Bind(flow, hash, upstream, now);
  ExchangeRecords(directories, seconds(1), now);

  directories.erase(owner);
  directories.at(other).SetView(MakeView(2, { other }), now);
  const auto routeAfterFailure =
    directories.at(other).Route(flow, hash, /*aHops=*/0, now);
  Require(std::get<routing::ServeHere>(routeAfterFailure).mUpstream == upstream,
          "the flow keeps its upstream after the owner's death");
}

// Two balancers share the flows; when one dies, the other keeps the upstream
// of a flow that it was told of.
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

// Passes records between the balancers.
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
  // Until then unknown flows are taken for old ones at their default.
  ExchangeRecords(directories, seconds(130), now);

  const FlowKey flow = MakeFlow();
  const uint64_t hash = flow.Hash();
  const routing::Incarnation owner =
    directories.at(1).Ranking().Owner(routing::RankHash(hash));
  const routing::Incarnation other = owner == 1 ? 2 : 1;
  const auto routeAtOther = directories.at(other).Route(flow, hash, 0, now);
  Require(std::get<routing::ForwardTo>(routeAtOther).mOwner == owner,
          "handed to owner");
  const auto routeAtOwner = directories.at(owner).Route(flow, hash, 1, now);
  Require(std::get<routing::ServeHere>(routeAtOwner).mUpstream == 0,
          "a new flow");

  // The upstream that is not the flow's default.
  const auto byDefault =
    routing::DefaultUpstream(*snapshot, 0, routing::RankHash(hash));
  const uint32_t upstream = snapshot->mUpstreams[1 - byDefault].mId;
  directories.at(owner).Bind(flow, hash, upstream, now);
  ExchangeRecords(directories, seconds(1), now);

  directories.erase(owner);
  directories.at(other).SetView(MakeView(2, { other }), now);
  const auto routeAfterFailure =
    directories.at(other).Route(flow, hash, 0, now);
  Require(std::get<routing::ServeHere>(routeAfterFailure).mUpstream == upstream,
          "the same upstream after the owner's death");
}

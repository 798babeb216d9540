#include <catch2/catch.hpp>

#include "foxtail/flow/Directory.h"

using namespace foxtail;
using namespace foxtail::flow;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

UpstreamRecord
MakeRecord(const std::string& aId,
           Revision aRevision,
           UpstreamState aState = UpstreamState::Ready,
           uint64_t aInstance = 0x10)
{
  UpstreamRecord record;
  record.mId = aId;
  record.mRevision = aRevision;
  record.mState = aState;
  record.mInstance = aInstance;
  record.mAddress = { 1, 80 };
  record.mService = "s";
  record.mDomain = "a";
  return record;
}

Configuration
MakeConfiguration(uint64_t aVersion, Revision aRevision)
{
  Configuration configuration;
  configuration.mVersion = aVersion;
  configuration.mRevision = aRevision;
  Route route;
  route.mServiceAddress = { 9, static_cast<uint16_t>(aVersion) };
  route.mTargets = { { "s", 1 } };
  configuration.mRoutes = { route };
  return configuration;
}

ReplicaUpdate
FullListing()
{
  ReplicaUpdate update;
  update.mIsFullListing = true;
  update.mConfirmed = 10;
  update.mUpstreams = { MakeRecord("x", 5) };
  update.mConfiguration = MakeConfiguration(3, 6);
  return update;
}

ReplicaUpdate
Changes(Revision aConfirmed,
        std::vector<UpstreamRecord> aUpstreams,
        std::vector<RemovedRecord> aRemoved = {})
{
  ReplicaUpdate update;
  update.mConfirmed = aConfirmed;
  update.mUpstreams = std::move(aUpstreams);
  update.mRemoved = std::move(aRemoved);
  return update;
}

struct OrderCase
{
  const char* mName;
  std::vector<ReplicaUpdate> mUpdates;
  bool mTakesNewFlows;
};

} // namespace

TEST_CASE("The newest revision of a record holds, in whatever order it comes",
          "[flow][replica]")
{
  const auto it = GENERATE(values<OrderCase>({
    { "nothing else", {}, true },
    { "draining",
      { Changes(11, { MakeRecord("x", 11, UpstreamState::Draining) }) },
      false },
    { "an older draining that comes late",
      { Changes(9, { MakeRecord("x", 4, UpstreamState::Draining) }) },
      true },
    { "removed after it drained",
      { Changes(12,
                { MakeRecord("x", 11, UpstreamState::Draining) },
                { { "x", 12 } }) },
      false },
    { "removed and back in one update",
      { Changes(14, { MakeRecord("x", 13) }, { { "x", 12 } }) },
      true },
    { "removed, back and removed again in one update",
      { Changes(16, { MakeRecord("x", 13) }, { { "x", 12 }, { "x", 15 } }) },
      false },
    { "an older removal that comes late",
      { Changes(14, { MakeRecord("x", 14) }), Changes(9, {}, { { "x", 9 } }) },
      true },
    { "malformed now",
      { Changes(11, { MakeRecord("x", 11, UpstreamState::Unusable) }) },
      false },
    { "malformed, then valid again",
      { Changes(11, { MakeRecord("x", 11, UpstreamState::Unusable) }),
        Changes(12, { MakeRecord("x", 12) }) },
      true },
  }));
  INFO(it.mName);
  Directory directory;
  directory.Apply(kStart, FullListing(), "store");
  for (const ReplicaUpdate& update : it.mUpdates) {
    directory.Apply(kStart + 10s, update, "store");
  }
  const Upstream* upstream = directory.FindUpstream(CookieOf(0x10));
  REQUIRE(upstream != nullptr);
  // By this time the grace time of a removed record is over.
  CHECK(Directory::TakesNewFlows(*upstream, kStart + 20s) == it.mTakesNewFlows);
}

TEST_CASE("A removed upstream that was ready still takes new flows for a while",
          "[flow][replica]")
{
  Directory directory;
  directory.Apply(kStart, FullListing(), "store");
  directory.Apply(kStart, Changes(11, {}, { { "x", 11 } }), "store");
  const Upstream* upstream = directory.FindUpstream(CookieOf(0x10));
  REQUIRE(upstream != nullptr);
  CHECK(Directory::TakesNewFlows(*upstream, kStart + 2s));
  CHECK_FALSE(
    Directory::TakesNewFlows(*upstream, kStart + Directory::kRemovalGraceTime));
  // Open flows are forwarded up to the longest lifetime of a flow.
  directory.Expire(kStart + 60s);
  CHECK(directory.FindUpstream(CookieOf(0x10)) != nullptr);
  directory.Expire(kStart + Directory::kRemovedRetention);
  CHECK(directory.FindUpstream(CookieOf(0x10)) == nullptr);
}

TEST_CASE("A configuration never goes back", "[flow][replica]")
{
  Directory directory;
  directory.Apply(kStart, FullListing(), "store");
  ReplicaUpdate newer = Changes(20, {});
  newer.mConfiguration = MakeConfiguration(5, 20);
  directory.Apply(kStart, newer, "peer 1");
  ReplicaUpdate older = FullListing();
  older.mConfirmed = 30;
  older.mConfiguration = MakeConfiguration(4, 19);
  const auto events = directory.Apply(kStart, older, "peer 2");
  CHECK(directory.CurrentConfiguration()->mVersion == 5);
  CHECK(directory.FindRoute({ 9, 5 }) != nullptr);
  CHECK(directory.FindRoute({ 9, 4 }) == nullptr);
  CHECK(std::any_of(events.begin(), events.end(), [](const Event& e) {
    return e.mId == 2003;
  }));
}

TEST_CASE("Upstreams that a full listing lacks are removed", "[flow][replica]")
{
  Directory directory;
  directory.Apply(kStart, FullListing(), "store");
  ReplicaUpdate listing = FullListing();
  listing.mConfirmed = 40;
  listing.mUpstreams = { MakeRecord("y", 30, UpstreamState::Ready, 0x20) };
  directory.Apply(kStart, listing, "store");
  CHECK(directory.FindUpstream(CookieOf(0x10))->mIsRemoved);
  CHECK_FALSE(directory.FindUpstream(CookieOf(0x20))->mIsRemoved);
}

TEST_CASE("Two upstreams with one cookie: the second gets no new flows",
          "[flow][replica]")
{
  Directory directory;
  ReplicaUpdate update = FullListing();
  update.mUpstreams = { MakeRecord("x", 5), MakeRecord("y", 6) };
  directory.Apply(kStart, update, "store");
  CHECK(directory.UpstreamsOf("s").size() == 1);
  CHECK(directory.FindUpstream(CookieOf(0x10))->mRecord.mId == "x");
  CHECK_FALSE(Directory::TakesNewFlows(directory.Upstreams().at("y"), kStart));
}

TEST_CASE("Cookies are never zero, also for instances above 32 bits",
          "[flow][replica]")
{
  const auto instance =
    GENERATE(values<uint64_t>({ 0, 1, 0xFFFFFFFF, 0x100000000, 0x51385b0168 }));
  CHECK(CookieOf(instance) != 0);
  if (instance != 0 && instance <= 0xFFFFFFFF) {
    CHECK(CookieOf(instance) == instance);
  }
}

TEST_CASE("Changes read from a peer give the same replica", "[flow][replica]")
{
  Directory leader;
  Directory follower;
  leader.Apply(kStart, FullListing(), "store");
  follower.Apply(kStart, leader.ChangesSince(kStart, 0), "peer");
  CHECK(follower.IsUsable());
  leader.Apply(kStart,
               Changes(15,
                       { MakeRecord("y", 12, UpstreamState::Ready, 0x20) },
                       { { "x", 15 } }),
               "store");
  const ReplicaUpdate update =
    leader.ChangesSince(kStart, follower.ConfirmedRevision());
  CHECK_FALSE(update.mIsFullListing);
  follower.Apply(kStart, update, "peer");
  CHECK(follower.ConfirmedRevision() == 15);
  CHECK(follower.FindUpstream(CookieOf(0x10))->mIsRemoved);
  CHECK_FALSE(follower.FindUpstream(CookieOf(0x20))->mIsRemoved);
}

// A replica that reads a change and its undoing at once must not treat the
// record as unchanged: a peer that read between the two would never ask for the
// undoing.
TEST_CASE("A change that is undone in the same update is told to peers",
          "[flow][replica]")
{
  struct UndoneCase
  {
    const char* mName;
    ReplicaUpdate mFirstChange;
    ReplicaUpdate mBothChanges;
  };
  const UpstreamRecord back = MakeRecord("x", 13);
  const UpstreamRecord bad = MakeRecord("x", 12, UpstreamState::Unusable);
  const auto it = GENERATE_COPY(values<UndoneCase>({
    { "removed, then back",
      Changes(12, {}, { { "x", 12 } }),
      Changes(13, { back }, { { "x", 12 } }) },
    { "malformed, then valid again",
      Changes(12, { bad }),
      Changes(13, { bad, back }) },
  }));
  INFO(it.mName);
  Directory sawFirstChange;
  Directory readBothAtOnce;
  sawFirstChange.Apply(kStart, FullListing(), "store");
  readBothAtOnce.Apply(kStart, FullListing(), "store");
  sawFirstChange.Apply(kStart, it.mFirstChange, "store");
  ReplicaUpdate changes = it.mBothChanges;
  changes.mHasEveryChange = true;
  readBothAtOnce.Apply(kStart, changes, "store");
  CHECK(readBothAtOnce.NewestRevision() == 13);
  // A peer's answer has only the newest state of each record.
  Directory readFromPeer;
  readFromPeer.Apply(kStart, FullListing(), "store");
  readFromPeer.Apply(
    kStart,
    readBothAtOnce.ChangesSince(kStart, readFromPeer.ConfirmedRevision()),
    "peer");
  CHECK(readFromPeer.NewestRevision() == 13);
  const Directory& source =
    GENERATE(false, true) ? readBothAtOnce : readFromPeer;
  sawFirstChange.Apply(
    kStart,
    source.ChangesSince(kStart, sawFirstChange.ConfirmedRevision()),
    "peer");
  const Upstream* upstream = sawFirstChange.FindUpstream(CookieOf(0x10));
  REQUIRE(upstream != nullptr);
  CHECK(Directory::TakesNewFlows(*upstream, kStart + 10s));
}

TEST_CASE("A peer that may have missed a dropped removal gets a full listing",
          "[flow][replica]")
{
  Directory leader;
  leader.Apply(kStart, FullListing(), "store");
  leader.Apply(kStart, Changes(15, {}, { { "x", 15 } }), "store");
  leader.Expire(kStart + Directory::kRemovedRetention);
  CHECK(leader.ChangesSince(kStart, 12).mIsFullListing);
  const Directory& replica = leader;
  CHECK(replica.ChangesSince(kStart, 15).mUpstreams.empty());
}

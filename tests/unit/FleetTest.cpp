#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "foxtail/flow/Fleet.h"

using namespace foxtail;
using namespace foxtail::flow;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

Heartbeat
MakeHeartbeat(VmIp aIp,
              uint64_t aHeartbeatCount,
              bool aIsReady = true,
              uint64_t aIncarnation = 1)
{
  Heartbeat heartbeat;
  heartbeat.mSelf = {
    aIp, aIncarnation, aHeartbeatCount, aIp % 2 == 0 ? "even" : "odd", aIsReady
  };
  return heartbeat;
}

Fleet
MakeFleet(VmIp aSelf, const std::vector<VmIp>& aSeeds)
{
  return Fleet(
    { aSelf, 1, 0, aSelf % 2 == 0 ? "even" : "odd", true }, aSeeds, aSelf);
}

// Fleets of several balancers that exchange heartbeats without loss, in time
// steps of 50 ms.
class Mesh
{
public:
  Mesh(size_t aCount, const std::vector<VmIp>& aSeeds)
  {
    for (size_t i = 1; i <= aCount; ++i) {
      const auto ip = static_cast<VmIp>(i);
      mFleets.emplace(ip, MakeFleet(ip, aSeeds));
    }
  }
  void Run(milliseconds aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 50ms) {
      for (auto& [ip, fleet] : mFleets) {
        mFalseAlarms += fleet.Expire(mNow).size();
        if (const auto round = fleet.TakeDueRound(mNow)) {
          mMaxTargets = std::max(mMaxTargets, round->mTargets.size());
          for (const VmIp it : round->mTargets) {
            const auto to = mFleets.find(it);
            if (to != mFleets.end()) {
              to->second.OnHeartbeat(mNow, ip, round->mHeartbeat);
            }
          }
        }
      }
    }
  }

  std::map<VmIp, Fleet> mFleets;
  TimePoint mNow = kStart;
  size_t mFalseAlarms = 0;
  size_t mMaxTargets = 0;
};

} // namespace

TEST_CASE("VMs with more processor share are the brokers of most services",
          "[flow][fleet]")
{
  constexpr VmIp kMembers = 60;
  constexpr uint32_t kServices = 500;
  // Every fifth member has four times the share of the others.
  const auto isStrong = [](VmIp aIp) { return aIp % 5 == 0; };
  Fleet fleet = MakeFleet(1, {});
  for (VmIp it = 2; it <= kMembers; ++it) {
    Heartbeat heartbeat = MakeHeartbeat(it, 1);
    heartbeat.mSelf.mProcessorShare = isStrong(it) ? 480 : 120;
    fleet.OnHeartbeat(kStart, it, heartbeat);
  }
  std::set<VmIp> brokers;
  uint32_t strong = 0;
  for (uint32_t service = 0; service < kServices; ++service) {
    const VmIp broker = fleet.BrokerOf(kStart, service);
    strong += isStrong(broker) ? 1 : 0;
    brokers.insert(broker);
  }
  CHECK(strong >= kServices * 95 / 100);
  // The services are spread over all of them.
  CHECK(brokers.size() >= kMembers / 5);
  // Without the strong ones, the others take over.
  const TimePoint later = kStart + 1s;
  for (VmIp it = 2; it <= kMembers; ++it) {
    if (isStrong(it)) {
      fleet.SuspectBroker(later, it);
    }
  }
  for (uint32_t service = 0; service < kServices; ++service) {
    CHECK_FALSE(isStrong(fleet.BrokerOf(later, service)));
  }
}

TEST_CASE("Regular heartbeats go on while many members start", "[flow][fleet]")
{
  constexpr VmIp kMembers = 60;
  Fleet fleet = MakeFleet(1, {});
  uint64_t count = 0;
  size_t regular = 0;
  size_t catchUp = 0;
  for (TimePoint now = kStart; now < kStart + 5s; now += 25ms) {
    ++count;
    // Every second member has no replica yet.
    for (VmIp it = 2; it <= kMembers; ++it) {
      Heartbeat heartbeat = MakeHeartbeat(it, count, it % 2 == 0);
      heartbeat.mConfirmed = it % 2 == 0 ? 7 : 0;
      heartbeat.mKnownMembers = kMembers;
      fleet.OnHeartbeat(now, it, heartbeat);
    }
    if (const auto round = fleet.TakeDueRound(now)) {
      const bool isRegular = round->mTargets.size() > 1;
      ++(isRegular ? regular : catchUp);
      CHECK((isRegular || round->mTargets.front() % 2 == 1));
    }
  }
  CHECK(regular >= 10);
  CHECK(catchUp >= 10);
}

TEST_CASE("A replica is asked of any ready member, first of the own domain",
          "[flow][fleet]")
{
  Fleet fleet = MakeFleet(2, { 4 });
  const auto pickOften = [&](TimePoint aNow) {
    std::set<VmIp> picked;
    for (int i = 0; i < 200; ++i) {
      picked.insert(fleet.PickReadyMember(aNow).value_or(0));
    }
    return picked;
  };
  CHECK(pickOften(kStart) == std::set<VmIp>{ 0 });
  fleet.OnHeartbeat(kStart, 3, MakeHeartbeat(3, 1));
  fleet.OnHeartbeat(kStart, 5, MakeHeartbeat(5, 1));
  CHECK(pickOften(kStart) == std::set<VmIp>{ 3, 5 });
  fleet.OnHeartbeat(kStart, 4, MakeHeartbeat(4, 1));
  fleet.OnHeartbeat(kStart, 6, MakeHeartbeat(6, 1));
  fleet.OnHeartbeat(kStart, 8, MakeHeartbeat(8, 1, false));
  CHECK(pickOften(kStart) == std::set<VmIp>{ 4, 6 });
  const TimePoint later = kStart + Fleet::kDirectTimeout;
  fleet.OnHeartbeat(later, 6, MakeHeartbeat(6, 2));
  CHECK(pickOften(later) == std::set<VmIp>{ 6 });
}

TEST_CASE("Balancers find one another by any living seed", "[flow][fleet]")
{
  const size_t count = GENERATE(7, 30, 120);
  // The first seed does not exist.
  Mesh mesh(count, { 9999, 1, 2 });
  // The time within which a large fleet must discover all members.
  mesh.Run(6s);
  for (const auto& [ip, fleet] : mesh.mFleets) {
    CHECK(fleet.AliveCount(mesh.mNow) == count);
    CHECK(fleet.BrokerOf(mesh.mNow, 77) ==
          mesh.mFleets.at(1).BrokerOf(mesh.mNow, 77));
  }
}

TEST_CASE(
  "A large fleet raises no false alarm and sends heartbeats to few peers",
  "[flow][fleet]")
{
  Mesh mesh(150, { 1, 2, 3 });
  mesh.Run(6s);
  mesh.mMaxTargets = 0;
  mesh.mFalseAlarms = 0;
  mesh.Run(20s);
  CHECK(mesh.mFalseAlarms == 0);
  CHECK(mesh.mMaxTargets <=
        Fleet::kFanoutInDomain + Fleet::kFanoutOutsideDomain);
}

TEST_CASE("A silent balancer is excluded, a later incarnation returns at once",
          "[flow][fleet]")
{
  Fleet fleet = MakeFleet(1, {});
  fleet.OnHeartbeat(kStart, 2, MakeHeartbeat(2, 5));
  CHECK(fleet.IsAlive(kStart + Fleet::kDirectTimeout - 1ms, 2));
  CHECK_FALSE(fleet.IsAlive(kStart + Fleet::kDirectTimeout, 2));
  CHECK(fleet.Expire(kStart + Fleet::kDirectTimeout).size() == 1);
  // A heartbeat with an old count changes nothing.
  fleet.OnHeartbeat(kStart + 1s, 2, MakeHeartbeat(2, 5));
  CHECK_FALSE(fleet.IsAlive(kStart + 1s, 2));
  fleet.OnHeartbeat(kStart + 1s, 2, MakeHeartbeat(2, 1, true, 2));
  CHECK(fleet.IsAlive(kStart + 1s, 2));
}

TEST_CASE("Only ready members that answer are brokers", "[flow][fleet]")
{
  Fleet fleet = MakeFleet(1, {});
  const TimePoint now = kStart;
  // Finds a service whose broker is the other member.
  fleet.OnHeartbeat(now, 2, MakeHeartbeat(2, 1));
  uint32_t service = 0;
  while (fleet.BrokerOf(now, service) != 2) {
    ++service;
  }
  SECTION("not ready")
  {
    fleet.OnHeartbeat(now, 2, MakeHeartbeat(2, 2, false));
    CHECK(fleet.BrokerOf(now, service) == 1);
  }
  SECTION("silent")
  {
    CHECK(fleet.BrokerOf(now + 1s, service) == 1);
  }
  SECTION("suspected, for longer each time")
  {
    TimePoint at = now;
    for (const milliseconds time : { 1000ms, 2000ms, 4000ms, 8000ms, 8000ms }) {
      fleet.SuspectBroker(at, 2);
      fleet.OnHeartbeat(
        at + time, 2, MakeHeartbeat(2, at.time_since_epoch().count()));
      CHECK(fleet.BrokerOf(at + time - 1ms, service) == 1);
      CHECK(fleet.BrokerOf(at + time, service) == 2);
      at += time;
    }
  }
}

TEST_CASE("A heartbeat in another's name is refused", "[flow][fleet]")
{
  Fleet fleet = MakeFleet(1, {});
  const auto events = fleet.OnHeartbeat(kStart, 3, MakeHeartbeat(2, 1));
  REQUIRE(events.size() == 1);
  CHECK(events[0].mId == 7001);
  CHECK(fleet.AliveCount(kStart) == 1);
}

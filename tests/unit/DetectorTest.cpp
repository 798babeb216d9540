#include <catch2/catch.hpp>

#include <algorithm>

#include "InMemoryFleet.h"

using namespace foxtail;
using namespace foxtail::membership;
using namespace foxtail::tests;
using namespace std::chrono_literals;

namespace {

using Vm = InMemoryFleet::Vm;
using Process = InMemoryFleet::Process;

constexpr size_t kVms = 7;

bool
IsUp(const Vm& aVm)
{
  return aVm.mAgent == Process::Runs && aVm.mBalancer == Process::Runs;
}

// True when the view of every running agent has exactly the VMs for which
// aIsExpected holds.
bool
AllViewsShow(const InMemoryFleet& aFleet,
             std::vector<Vm>& aVms,
             const std::function<bool(const Vm&)>& aIsExpected)
{
  const std::vector<std::string> expected = aFleet.ExpectedNames(aIsExpected);
  for (size_t i = 0; i < aVms.size(); ++i) {
    if (aVms[i].mAgent == Process::Runs && aFleet.Names(i) != expected) {
      return false;
    }
  }
  return true;
}

bool
AllViewsMatch(InMemoryFleet& aFleet)
{
  return AllViewsShow(aFleet, aFleet.Vms(), IsUp);
}

size_t
CountInDoubt(InMemoryFleet& aFleet)
{
  size_t count = 0;
  for (size_t i = 0; i < aFleet.Vms().size(); ++i) {
    count += aFleet.At(i).mAgent == Process::Runs && aFleet.ViewOf(i).mInDoubt;
  }
  return count;
}

PublishedVmList
WithoutVms(PublishedVmList aList, size_t aFirst, size_t aCount)
{
  const auto it = aList.mVms.begin() + static_cast<long>(aFirst);
  aList.mVms.erase(it, it + static_cast<long>(aCount));
  return aList;
}

} // namespace

TEST_CASE("Every view shows a change of a VM within its time limit",
          "[membership]")
{
  using Change = void (*)(InMemoryFleet&);
  struct Row
  {
    const char* mName;
    Change mChange;
    // Longest time until every view shows the change.
    milliseconds mLimit;
  };
  const Row row = GENERATE(values<Row>({
    { "kill", [](InMemoryFleet& f) { f.Kill(3); }, 3s },
    { "kill two at once",
      [](InMemoryFleet& f) {
        f.Kill(3);
        f.Kill(5);
      },
      4s },
    { "freeze a VM", [](InMemoryFleet& f) { f.Freeze(3); }, 3s },
    { "freeze a balancer beside a living agent",
      [](InMemoryFleet& f) { f.At(3).mBalancer = Process::Frozen; },
      3s },
    { "restart a balancer",
      [](InMemoryFleet& f) { f.At(3).mIncarnation += 1000; },
      1s },
    { "restart a VM", [](InMemoryFleet& f) { f.Start(3); }, 3s },
    { "planned leave",
      [](InMemoryFleet& f) { f.At(3).mBalancerLeaves = true; },
      1s },
    { "planned stop of a VM",
      [](InMemoryFleet& f) {
        f.Feed(f.At(3), Stopped{});
        f.Kill(3);
      },
      1s },
    { "start a VM that was away",
      [](InMemoryFleet& f) {
        f.Kill(3);
        f.Run(10s);
        f.Start(3);
      },
      3s },
  }));
  const uint64_t seed = GENERATE(range(1, 6));
  InMemoryFleet fleet(kVms, seed);
  fleet.StartAll();
  REQUIRE(AllViewsMatch(fleet));
  REQUIRE(CountInDoubt(fleet) == 0);

  INFO(row.mName << ", seed " << seed);
  row.mChange(fleet);
  const Duration took =
    fleet.RunUntil([&] { return AllViewsMatch(fleet); }, row.mLimit + 1s);
  CHECK(took <= row.mLimit);
  fleet.Run(20s);
  CHECK(AllViewsMatch(fleet));
  CHECK(CountInDoubt(fleet) == 0);
}

TEST_CASE("An agent that restarts alone keeps its balancer in all views",
          "[membership]")
{
  const uint64_t seed = GENERATE(range(1, 11));
  InMemoryFleet fleet(kVms, seed);
  fleet.StartAll();
  fleet.StartAgent(3);
  const std::vector<std::string> expected = fleet.ExpectedNames(IsUp);
  size_t shown = 0;
  for (int i = 0; i < 60; ++i) {
    fleet.Run(InMemoryFleet::kStep);
    for (size_t v = 0; v < kVms; ++v) {
      shown += v == 3 || fleet.Names(v) == expected ? 1 : 0;
    }
  }
  CHECK(shown == 60 * kVms);
  CHECK(AllViewsMatch(fleet));
}

TEST_CASE("Domains that are cut off keep their own members and rejoin",
          "[membership]")
{
  const uint64_t seed = GENERATE(range(1, 6));
  InMemoryFleet fleet(kVms, seed);
  fleet.StartAll();
  const std::vector<std::string> before = fleet.Names(0);
  fleet.Partition([](const Vm& v) { return v.mDomain == 0 ? 0 : 1; });
  fleet.Run(6s);
  size_t minority = 0;
  for (size_t i = 0; i < kVms; ++i) {
    const size_t domain = fleet.At(i).mDomain;
    CHECK(fleet.Names(i) == fleet.ExpectedNames([&](const Vm& v) {
      return (v.mDomain == 0) == (domain == 0);
    }));
    CHECK(fleet.ViewOf(i).mInDoubt == (domain == 0));
    minority += domain == 0 ? 1 : 0;
  }
  CHECK(minority == 3);

  SECTION("healed: the same incarnations, nobody in doubt")
  {
    fleet.Run(60s);
    fleet.Heal();
    fleet.Run(5s);
    CHECK(AllViewsMatch(fleet));
    CHECK(fleet.Names(0) == before);
    CHECK(CountInDoubt(fleet) == 0);
  }
  SECTION("a VM dies in each half before the cut is healed")
  {
    fleet.Kill(0);
    fleet.Kill(1);
    fleet.Run(6s);
    fleet.Heal();
    fleet.Run(8s);
    CHECK(AllViewsMatch(fleet));
  }
}

TEST_CASE("A resumed process is in doubt and its dead incarnation stays hidden",
          "[membership]")
{
  InMemoryFleet fleet(kVms);
  fleet.StartAll();
  const Incarnation old = fleet.At(3).mIncarnation;
  const auto seesOld = [&] {
    bool found = false;
    for (size_t i = 0; i < kVms; ++i) {
      found |= i != 3 && fleet.ViewOf(i).FindIncarnation(old) != nullptr;
    }
    return found;
  };

  SECTION("whole VM, a minute")
  {
    fleet.Freeze(3);
    fleet.Run(60s);
    fleet.Kill(5);
    fleet.Run(5s);
    CHECK_FALSE(seesOld());
    fleet.Resume(3);
    fleet.Run(InMemoryFleet::kStep);
    CHECK(fleet.ViewOf(3).mInDoubt);
    // The resumed agent does not declare members dead whose messages it could
    // not receive during the pause.
    CHECK(fleet.ViewOf(3).mMembers.size() >= kVms - 2);
    for (int i = 0; i < 100; ++i) {
      fleet.Run(InMemoryFleet::kStep);
      CHECK_FALSE(seesOld());
    }
    CHECK(fleet.At(3).mIncarnation > old);
    CHECK(AllViewsMatch(fleet));
    CHECK(CountInDoubt(fleet) == 0);
  }
  SECTION("balancer alone")
  {
    fleet.At(3).mBalancer = Process::Frozen;
    fleet.Run(10s);
    CHECK_FALSE(seesOld());
    // The agent restarts meanwhile; it learns from its peers which incarnation
    // was withdrawn.
    fleet.StartAgent(3);
    fleet.Run(3s);
    fleet.At(3).mBalancer = Process::Runs;
    for (int i = 0; i < 100; ++i) {
      fleet.Run(InMemoryFleet::kStep);
      CHECK_FALSE(seesOld());
    }
    CHECK(AllViewsMatch(fleet));
  }
  SECTION("balancer alone, at the moment that its agent restarts")
  {
    fleet.At(3).mBalancer = Process::Frozen;
    fleet.Run(10s);
    fleet.At(3).mBalancer = Process::Runs;
    fleet.StartAgent(3);
    for (int i = 0; i < 100; ++i) {
      fleet.Run(InMemoryFleet::kStep);
      CHECK_FALSE(seesOld());
    }
    CHECK(AllViewsMatch(fleet));
  }
  SECTION("a pause too short for the peers to notice only causes doubt")
  {
    fleet.Freeze(3);
    fleet.Run(1200ms);
    fleet.Resume(3);
    fleet.Run(InMemoryFleet::kStep);
    CHECK(fleet.ViewOf(3).mInDoubt);
    fleet.Run(5s);
    CHECK(fleet.At(3).mIncarnation == old);
    CHECK(AllViewsMatch(fleet));
    CHECK(CountInDoubt(fleet) == 0);
  }
}

TEST_CASE("The published list adds and removes members but never removes all",
          "[membership]")
{
  InMemoryFleet fleet(kVms);
  const PublishedVmList full = fleet.FullList(5);
  fleet.Publish(full);

  SECTION("a VM that no agent saw in a list is refused")
  {
    fleet.Publish(WithoutVms(fleet.FullList(6), 6, 1));
    // No agent had started when the full list was published, so none has read
    // it.
    fleet.StartAll();
    CHECK(fleet.Names(0) == fleet.ExpectedNames([](const Vm& v) {
      return v.mName != "vm-1006";
    }));
    CHECK(fleet.At(0).mRefusedGossip + fleet.At(1).mRefusedGossip > 0);
  }
  SECTION("a list that lags: the VM joins once it is published")
  {
    fleet.Publish(WithoutVms(fleet.FullList(6), 6, 1));
    fleet.StartAll();
    fleet.Publish(fleet.FullList(7));
    fleet.Run(4s);
    CHECK(AllViewsMatch(fleet));
  }
  SECTION("published as leaving")
  {
    fleet.StartAll();
    PublishedVmList list = fleet.FullList(6);
    list.mVms[2].mLeaving = true;
    fleet.Publish(list);
    CHECK(fleet.ViewOf(0).Find("vm-1002")->mState == MemberState::Leaving);
    CHECK(fleet.ViewOf(2).Find("vm-1002")->mState == MemberState::Leaving);
  }
  SECTION(
    "missing from fresh lists: removed after a while although it is alive")
  {
    fleet.StartAll();
    fleet.Publish(WithoutVms(fleet.FullList(6), 6, 1));
    fleet.Run(25s);
    CHECK(fleet.ViewOf(0).Find("vm-1006") != nullptr);
    fleet.Run(20s);
    CHECK(fleet.ViewOf(0).Find("vm-1006") == nullptr);
  }
  SECTION("lists that must not remove members")
  {
    const auto list = GENERATE_COPY(table<const char*, PublishedVmList>({
      { "empty", PublishedVmList{ 6, {} } },
      { "shrunken", WithoutVms(full, 2, 5) },
      { "stale", WithoutVms(PublishedVmList{ 4, full.mVms }, 3, 1) },
      { "stale and empty", PublishedVmList{ 1, {} } },
    }));
    INFO(std::get<0>(list));
    fleet.StartAll();
    PublishedVmList offered = std::get<1>(list);
    if (offered.mIndex == full.mIndex) {
      offered.mIndex += 1;
    }
    fleet.Publish(offered);
    fleet.Run(120s);
    CHECK(AllViewsMatch(fleet));
    CHECK(CountInDoubt(fleet) == 0);
  }
  SECTION("a name that moves to another VM")
  {
    fleet.StartAll();
    PublishedVmList list = fleet.FullList(6);
    list.mVms[6].mIp += 100;
    fleet.Publish(list);
    CHECK(fleet.ViewOf(0).Find("vm-1006") == nullptr);
    fleet.Run(5s);
    CHECK(fleet.ViewOf(0).Find("vm-1006") == nullptr);
  }
  SECTION("no list at all: alone and in doubt")
  {
    InMemoryFleet lonely(2);
    lonely.Publish(PublishedVmList{ 0, {} });
    lonely.StartAll();
    CHECK(lonely.ViewOf(0).mMembers.size() == 1);
    CHECK(CountInDoubt(lonely) == 2);
  }
}

TEST_CASE("With packet loss, live members stay and a killed one is removed",
          "[membership]")
{
  const double loss = GENERATE(0.05, 0.2);
  const uint64_t seed = GENERATE(range(1, 4));
  InMemoryFleet fleet(kVms, seed);
  fleet.SetLossRate(loss);
  fleet.StartAll(15s);
  INFO("loss " << loss << ", seed " << seed);
  SECTION("a kill is still seen")
  {
    fleet.Kill(2);
    CHECK(fleet.RunUntil([&] { return AllViewsMatch(fleet); }, 20s) < 20s);
  }
  SECTION("live members are missing only for moments")
  {
    size_t missing = 0;
    size_t checked = 0;
    for (int i = 0; i < 1200; ++i) {
      fleet.Run(InMemoryFleet::kStep);
      for (size_t v = 0; v < kVms; ++v) {
        missing += kVms - fleet.Names(v).size();
        checked += kVms;
      }
    }
    CHECK(missing * 1000 < checked);
    CHECK(fleet.RunUntil([&] { return AllViewsMatch(fleet); }, 20s) < 20s);
  }
}

namespace {

// Reference for the final views: every member sends a heartbeat to every other
// each half second, and a member without a heartbeat for three seconds is not
// in the view.
class AllToAll
{
public:
  explicit AllToAll(InMemoryFleet& aFleet)
    : mFleet(aFleet)
    , mLastHeartbeats(kVms)
  {
  }

  void SendHeartbeats(const std::function<int(const Vm&)>& aSide)
  {
    for (size_t to = 0; to < kVms; ++to) {
      for (size_t from = 0; from < kVms; ++from) {
        const Vm& sender = mFleet.At(from);
        if (IsUp(sender) && IsUp(mFleet.At(to)) &&
            aSide(sender) == aSide(mFleet.At(to))) {
          mLastHeartbeats[to][from] = { mFleet.Now(), sender.mIncarnation };
        }
      }
    }
  }

  std::vector<std::string> Names(size_t aVm)
  {
    std::vector<std::string> names;
    for (const auto& [from, heard] : mLastHeartbeats[aVm]) {
      if (mFleet.Now() - heard.first <= 3s) {
        names.push_back(absl::StrCat(mFleet.At(from).mName, "@", heard.second));
      }
    }
    return names;
  }

private:
  InMemoryFleet& mFleet;
  std::vector<std::map<size_t, std::pair<TimePoint, Incarnation>>>
    mLastHeartbeats;
};

} // namespace

TEST_CASE("Final views equal those of all-to-all heartbeats", "[membership]")
{
  const uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  std::mt19937_64 random(seed);
  InMemoryFleet fleet(kVms, seed);
  AllToAll reference(fleet);
  std::function<int(const Vm&)> side = [](const Vm&) { return 0; };
  fleet.StartAll();

  for (int change = 0; change < 12; ++change) {
    const size_t vm = random() % kVms;
    switch (random() % 5) {
      case 0:
        fleet.Kill(vm);
        break;
      case 1:
        fleet.Start(vm);
        break;
      case 2:
        fleet.At(vm).mAgent == Process::Runs ? fleet.Freeze(vm) : void();
        break;
      case 3: {
        const size_t domain = random() % InMemoryFleet::kDomains;
        side = [=](const Vm& v) { return v.mDomain == domain ? 0 : 1; };
        break;
      }
      default:
        side = [](const Vm&) { return 0; };
        for (size_t i = 0; i < kVms; ++i) {
          fleet.At(i).mAgent == Process::Frozen ? fleet.Resume(i) : void();
        }
        break;
    }
    fleet.Partition(side);
    fleet.Run(milliseconds(random() % 6000));
  }
  for (int i = 0; i < 40; ++i) {
    fleet.Run(500ms);
    reference.SendHeartbeats(side);
  }
  for (size_t i = 0; i < kVms; ++i) {
    if (IsUp(fleet.At(i))) {
      CHECK(fleet.Names(i) == reference.Names(i));
    }
  }
}

TEST_CASE("A newer configuration is announced to every agent", "[membership]")
{
  InMemoryFleet fleet(kVms);
  fleet.StartAll();
  fleet.Feed(fleet.At(0), ConfigChanged{ { 7, 42, 9 } });
  const auto allNotified = [&] {
    return std::all_of(fleet.Vms().begin() + 1,
                       fleet.Vms().end(),
                       [](const Vm& v) { return v.mHeardOfNewerConfig; });
  };
  CHECK(fleet.RunUntil(allNotified, 8s) < 8s);
}

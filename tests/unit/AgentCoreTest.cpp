#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

#include "absl/strings/str_cat.h"
#include "foxtail/agent/AgentCore.h"
#include "foxtail/agent/WatchDuty.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/PeerCodec.h"
#include "foxtail/net/VmList.h"

using namespace foxtail;
using namespace foxtail::agent;
using namespace foxtail::net;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr uint32_t kNetwork = 0x7F3E0100; // 127.62.1.0
constexpr uint16_t kAgentPort = 5693;

Address
AgentAddress(size_t aVm)
{
  return { kNetwork + static_cast<uint32_t>(aVm) + 1, kAgentPort };
}

std::string
Name(size_t aVm)
{
  return absl::StrCat("vm-", aVm);
}

json
VmList(size_t aVms)
{
  json list = json::array();
  for (size_t i = 0; i < aVms; ++i) {
    list.push_back({ { "name", Name(i) },
                     { "region", "souss" },
                     { "domain", "agadir-a" },
                     { "address", AgentAddress(i).IpString() },
                     { "state", "live" } });
  }
  return { { "vms", list } };
}

json
BaseValue(uint64_t aNumber)
{
  const json upstream = { { "name", "ledger-1" },
                          { "domain", "agadir-a" },
                          { "address", "127.62.1.101:5683" },
                          { "report_address", "127.62.1.101:8080" },
                          { "slots", 3 },
                          { "max_connections", 2000 },
                          { "draining", false } };
  const json service = { { "name", "ledger" },
                         { "address", "127.62.0.10:5683" },
                         { "timeout_ms", 30000 },
                         { "flow_idle_ms", 120000 },
                         { "upstreams", { upstream } } };
  return { { "number", aNumber },
           { "digest", "00f1e2d3c4b5a697" },
           { "position", aNumber },
           { "config", { { "services", { service } } } } };
}

// The cores of a few agents. Datagrams and fetches are delivered at once.
class Agents
{
public:
  explicit Agents(size_t aVms)
  {
    for (size_t i = 0; i < aVms; ++i) {
      membership::DetectorSettings settings;
      settings.mName = Name(i);
      settings.mRegion = "souss";
      settings.mDomain = "agadir-a";
      settings.mAgentAddress = AgentAddress(i);
      settings.mIncarnation = 100 + i;
      settings.mSeed = i;
      mCores.push_back(std::make_unique<AgentCore>(settings));
    }
  }

  AgentCore& operator[](size_t i) { return *mCores[i]; }
  TimePoint Now() const { return mNow; }

  LocalReply Heartbeat(size_t aVm, const LocalRequest& aRequest)
  {
    return DecodeLocalReply(
      mCores[aVm]->AnswerBalancer(mNow, AgentAddress(aVm), Encode(aRequest)));
  }

  LocalReply Heartbeat(size_t aVm, uint64_t aIncarnation)
  {
    return Heartbeat(aVm, Request(aVm, aIncarnation));
  }

  static LocalRequest Request(size_t aVm, uint64_t aIncarnation)
  {
    LocalRequest request;
    request.mSelf.mName = Name(aVm);
    request.mSelf.mRegion = "souss";
    request.mSelf.mDomain = "agadir-a";
    request.mSelf.mIncarnation = aIncarnation;
    request.mSelf.mAgentAddress = AgentAddress(aVm);
    request.mSelf.mHandoffAddress = { AgentAddress(aVm).mIp, 5691 };
    request.mSelf.mPeerAddress = { AgentAddress(aVm).mIp, 5692 };
    return request;
  }

  // Runs all agents; each balancer sends a heartbeat every 50 ms.
  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 50ms) {
      for (size_t i = 0; i < mCores.size(); ++i) {
        Heartbeat(i, 500 + i);
        mCores[i]->Tick(mNow);
        Deliver(i);
        Fetch(i);
      }
    }
  }

private:
  void Deliver(size_t aFrom)
  {
    for (const OutgoingDatagram& it : mCores[aFrom]->TakeOutgoing()) {
      const size_t to = it.mTo.mIp - kNetwork - 1;
      if (to < mCores.size()) {
        mCores[to]->OnDatagram(mNow, AgentAddress(aFrom), it.mBytes);
      }
    }
  }

  void Fetch(size_t aVm)
  {
    const std::optional<PeerFetch> fetch = mCores[aVm]->NextFetch(mNow);
    if (!fetch) {
      return;
    }
    const size_t peer = fetch->mPeer.mIp - kNetwork - 1;
    try {
      mCores[aVm]->OnFetchReply(
        mNow,
        fetch->mPeer,
        mCores.at(peer)->AnswerPeer(AgentAddress(aVm), fetch->mRequest));
    } catch (const PeerError&) {
      mCores[aVm]->OnFetchFailed(mNow);
    }
  }

  TimePoint mNow{ 1000s };
  std::vector<std::unique_ptr<AgentCore>> mCores;
};

} // namespace

// An agent that cannot read the platform must get VM list and configuration
// from its peers, but must not adopt a list that does not name its VM.
TEST_CASE("Agents without the platform learn from their peers", "[agent]")
{
  Agents agents(3);
  agents[0].ApplyVmList(agents.Now(), VmList(3), 7);
  agents[1].ApplyVmList(agents.Now(), VmList(3), 7);
  agents[0].ApplyBase(agents.Now(), BaseValue(12));

  SECTION("an agent that reads nothing at all")
  {
    agents.Run(6s);
    for (size_t i = 0; i < 3; ++i) {
      INFO(i);
      CHECK(agents[i].Chain().Point().mVersion.mNumber == 12);
      CHECK(agents[i].Members().CurrentView()->mMembers.size() == 3);
      CHECK_FALSE(agents[i].Members().CurrentView()->mInDoubt);
    }
  }
  SECTION("a list that does not name this VM is not taken")
  {
    Agents stranger(3);
    stranger[0].ApplyVmList(stranger.Now(), VmList(2), 7);
    stranger.Run(3s);
    CHECK(stranger[2].Members().Registry().Entries().empty());
  }
  SECTION("the platform's list takes the place of a peer's first one")
  {
    agents.Run(6s);
    agents[2].ApplyVmList(agents.Now(), VmList(2), 1);
    CHECK(agents[2].Members().Registry().Index() >= 1);
  }
}

// The balancer must get each view, configuration and load report once, and must
// learn when its incarnation has been removed from the view.
TEST_CASE("An agent answers its balancer", "[agent]")
{
  Agents agents(2);
  agents[0].ApplyVmList(agents.Now(), VmList(2), 1);
  agents[1].ApplyVmList(agents.Now(), VmList(2), 1);
  agents[0].ApplyBase(agents.Now(), BaseValue(12));

  SECTION("no view before it has joined: the balancer keeps its own")
  {
    LocalRequest request = Agents::Request(0, 500);
    request.mViewSequence = 77;
    const LocalReply reply = agents.Heartbeat(0, request);
    CHECK(reply.mMembers.empty());
    CHECK(reply.mViewSequence == 77);
    CHECK(reply.mViewInDoubt);
  }
  SECTION("view and configuration once, then only what is new")
  {
    agents.Run(4s);
    LocalRequest request = Agents::Request(0, 500);
    const LocalReply first = agents.Heartbeat(0, request);
    CHECK(first.mMembers.size() == 2);
    CHECK_FALSE(first.mConfig.mDocumentJson.empty());
    request.mViewSequence = first.mViewSequence;
    request.mConfig = first.mConfig.mVersion;
    const LocalReply second = agents.Heartbeat(0, request);
    CHECK(second.mMembers.empty());
    CHECK(second.mViewSequence == first.mViewSequence);
    CHECK(second.mConfig.mDocumentJson.empty());
  }
  SECTION("a withdrawn incarnation is refused, a greater one is not")
  {
    agents.Run(2s);
    // Tick without heartbeats until the detector removes the balancer.
    for (int i = 0; i < 40; ++i) {
      agents[0].Tick(agents.Now() + i * 50ms);
    }
    agents.Run(2s);
    CHECK(agents.Heartbeat(0, 500).mRefusedIncarnation == 500);
    CHECK(agents.Heartbeat(0, 501).mRefusedIncarnation == 0);
  }
  SECTION("load reports are given once to each incarnation")
  {
    const auto poll = agents[0].Loads().NextPoll(agents.Now());
    REQUIRE(poll);
    CHECK_FALSE(agents[0].Loads().NextPoll(agents.Now() + 1ms));
    agents[0].OnLoadReport(
      agents.Now(),
      *poll,
      R"({"healthy":true,"draining":false,"in_flight":2,"slots":3})");
    const LocalReply reply = agents.Heartbeat(0, 500);
    REQUIRE(reply.mLoads.size() == 1);
    CHECK(reply.mLoads[0].mInFlight == 2);
    CHECK(agents.Heartbeat(0, 500).mLoads.empty());
    CHECK(agents.Heartbeat(0, 501).mLoads.size() == 1);
  }
}

// A malformed report must neither reach the balancer nor stop the agent.
TEST_CASE("Malformed load reports are counted and dropped", "[agent]")
{
  const std::string body = GENERATE(
    "",
    "{",
    "[]",
    "null",
    R"({"draining":false,"in_flight":2,"slots":3})",
    R"({"healthy":"yes","draining":false,"in_flight":2,"slots":3})",
    R"({"healthy":true,"draining":0,"in_flight":2,"slots":3})",
    R"({"healthy":true,"draining":false,"in_flight":-1,"slots":3})",
    R"({"healthy":true,"draining":false,"in_flight":1.5,"slots":3})",
    R"({"healthy":true,"draining":false,"in_flight":99999999,"slots":3})",
    R"({"healthy":true,"draining":false,"in_flight":2})",
    std::string(5000, ' '));
  INFO(body);
  Agents agents(1);
  agents[0].ApplyBase(agents.Now(), BaseValue(12));
  const auto poll = agents[0].Loads().NextPoll(agents.Now());
  REQUIRE(poll);
  agents[0].OnLoadReport(agents.Now(), *poll, body);
  CHECK(agents[0].Counters().mLoadReportsDropped == 1);
  CHECK(agents.Heartbeat(0, 500).mLoads.empty());
}

// A malformed list must not replace the list in force.
TEST_CASE("Malformed VM lists are counted and dropped", "[agent]")
{
  const auto vm = [](const char* aKey, const json& aValue) {
    json list = VmList(2);
    list["vms"][1][aKey] = aValue;
    return list;
  };
  const json value = GENERATE_COPY(values<json>({
    json(),
    json::array(),
    json{ { "vms", 3 } },
    json{ { "vms", { 1 } } },
    vm("name", ""),
    vm("name", 3),
    vm("name", std::string(64, 'x')),
    vm("name", "vm-0"),
    vm("domain", nullptr),
    vm("address", "127.62.1.300"),
    vm("address", AgentAddress(0).IpString()),
    vm("state", "dead"),
    VmList(kMaxVms + 1),
  }));
  INFO(value.dump().substr(0, 200));
  Agents agents(1);
  agents[0].ApplyVmList(agents.Now(), VmList(1), 1);
  agents[0].ApplyVmList(agents.Now(), value, 2);
  CHECK(agents[0].Counters().mPlatformAnswersDropped == 1);
  CHECK(agents[0].Members().Registry().Index() == 1);
}

// A domain without a watcher would learn of changes only by periodic reads, so
// a watcher that ends must be replaced.
TEST_CASE("Two agents of a domain watch the platform", "[agent]")
{
  std::vector<membership::Member> all(6);
  for (size_t i = 0; i < all.size(); ++i) {
    all[i].mName = Name(i);
    all[i].mDomain = i < 5 ? "agadir-a" : "taroudant";
  }
  const auto watchers = [&](const std::vector<membership::Member>& aMembers) {
    std::vector<std::string> names;
    for (const membership::Member& it : aMembers) {
      std::vector<membership::Member> others;
      for (const membership::Member& other : aMembers) {
        if (other.mName != it.mName) {
          others.push_back(other);
        }
      }
      if (agent::IsPlatformWatcher(it.mName, it.mDomain, others)) {
        names.push_back(it.mName);
      }
    }
    return names;
  };
  const std::vector<std::string> before = watchers(all);
  // Two of agadir-a and the only agent of taroudant.
  REQUIRE(before.size() == 3);
  CHECK(before.back() == Name(5));
  // When one watcher dies, the other remains and a third agent replaces the
  // dead one.
  std::vector<membership::Member> rest;
  for (const membership::Member& it : all) {
    if (it.mName != before[0]) {
      rest.push_back(it);
    }
  }
  const std::vector<std::string> after = watchers(rest);
  CHECK(after.size() == 3);
  CHECK(std::count(after.begin(), after.end(), before[1]) == 1);
}

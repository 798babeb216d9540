#include <catch2/catch.hpp>

#include <functional>
#include <random>

#include "Peer.pb.h"

#include "foxtail/agent/AgentCore.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/PeerCodec.h"

using namespace foxtail;
using namespace foxtail::net;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kOwnIp = 0x7F3F0101;  // 127.63.1.1
constexpr uint32_t kPeerIp = 0x7F3F0102; // 127.63.1.2
constexpr uint16_t kAgentPort = 5693;
const Address kPeer{ kPeerIp, kAgentPort };

wire::MemberInfo
MakeMemberInfo(const std::string& aName, uint32_t aIp)
{
  wire::MemberInfo info;
  info.set_name(aName);
  info.set_region("souss");
  info.set_domain("agadir-a");
  info.set_incarnation(7);
  info.set_ip(aIp);
  info.set_handoff_port(5691);
  info.set_peer_port(5692);
  info.set_agent_port(kAgentPort);
  info.set_revision(1);
  info.set_agent_incarnation(9);
  return info;
}

wire::Gossip
MakeProbe()
{
  wire::Gossip gossip;
  gossip.set_sequence(1);
  *gossip.mutable_sender() = MakeMemberInfo("vm-1", kPeerIp);
  return gossip;
}

// An agent, vm-0, that knows one peer, vm-1.
struct Receiver
{
  agent::AgentCore mCore;
  TimePoint mNow{ 1000s };

  Receiver()
    : mCore(Settings())
  {
    const auto vm = [](const char* aName, const char* aAddress) {
      return nlohmann::json{ { "name", aName },
                             { "region", "souss" },
                             { "domain", "agadir-a" },
                             { "address", aAddress },
                             { "state", "live" } };
    };
    mCore.ApplyVmList(
      mNow,
      { { "vms", { vm("vm-0", "127.63.1.1"), vm("vm-1", "127.63.1.2") } } },
      1);
    for (int i = 0; i < 30; ++i) {
      mNow += 50ms;
      mCore.Tick(mNow);
    }
    mCore.TakeEvents();
    mCore.TakeOutgoing();
  }

  static membership::DetectorSettings Settings()
  {
    membership::DetectorSettings settings;
    settings.mName = "vm-0";
    settings.mRegion = "souss";
    settings.mDomain = "agadir-a";
    settings.mAgentAddress = { kOwnIp, kAgentPort };
    settings.mIncarnation = 5;
    return settings;
  }

  // Delivers a datagram to the agent. Returns the number of the error for which
  // it is dropped; zero when it is accepted.
  int Deliver(const std::string& aBytes, const Address& aFrom = kPeer)
  {
    mCore.OnDatagram(mNow, aFrom, aBytes);
    for (const Event& it : mCore.TakeEvents()) {
      const size_t at = it.mDetail.find("[foxtail.peer.");
      if (it.mId == 7001 && at != std::string::npos) {
        return std::stoi(it.mDetail.substr(at + 14));
      }
    }
    return 0;
  }
};

struct GossipRow
{
  const char* mName;
  int mError;
  std::function<void(wire::Gossip&)> mChange;
};

struct DecodeRow
{
  const char* mName;
  int mError;
  std::function<void()> mDecode;
};

template<typename Call>
int
ErrorOf(Call aCall)
{
  try {
    aCall();
  } catch (const PeerError& e) {
    return e.Id();
  }
  return 0;
}

wire::LocalRequest
MakeLocalRequest()
{
  wire::LocalRequest request;
  *request.mutable_self() = MakeMemberInfo("vm-0", kOwnIp);
  return request;
}

template<typename Message>
std::string
SerializeChanged(Message aMessage, const std::function<void(Message&)>& aChange)
{
  aChange(aMessage);
  return aMessage.SerializeAsString();
}

} // namespace

TEST_CASE("Malformed gossip is counted and reported, and changes nothing",
          "[peer]")
{
  const GossipRow row = GENERATE(values<GossipRow>({
    { "no sender", 702, [](auto& g) { g.clear_sender(); } },
    { "no name", 702, [](auto& g) { g.mutable_sender()->clear_name(); } },
    { "a name too long",
      702,
      [](auto& g) { g.mutable_sender()->set_name(std::string(64, 'x')); } },
    { "a name with a control character",
      702,
      [](auto& g) { g.mutable_sender()->set_name("vm\n1"); } },
    { "a domain that is not a name",
      702,
      [](auto& g) { g.mutable_sender()->set_domain("a b"); } },
    { "no agent incarnation",
      703,
      [](auto& g) { g.mutable_sender()->clear_agent_incarnation(); } },
    { "an agent incarnation above the limit",
      703,
      [](auto& g) { g.mutable_sender()->set_agent_incarnation(UINT64_MAX); } },
    { "a balancer incarnation above the limit",
      703,
      [](auto& g) { g.mutable_sender()->set_incarnation(UINT64_MAX); } },
    { "an unknown state",
      704,
      [](auto& g) { g.mutable_sender()->set_state(4); } },
    { "leaving as a state",
      704,
      [](auto& g) { g.mutable_sender()->set_state(2); } },
    { "port zero",
      705,
      [](auto& g) { g.mutable_sender()->set_agent_port(0); } },
    { "a port beyond 16 bits",
      705,
      [](auto& g) { g.mutable_sender()->set_handoff_port(65536); } },
    { "no IP address", 706, [](auto& g) { g.mutable_sender()->clear_ip(); } },
    { "a multicast IP address",
      706,
      [](auto& g) { g.mutable_sender()->set_ip(0xE0000001); } },
    { "an unknown kind of message",
      708,
      [](auto& g) { g.set_kind(static_cast<wire::Gossip::Kind>(6)); } },
    { "a negative kind",
      708,
      [](auto& g) { g.set_kind(static_cast<wire::Gossip::Kind>(-1)); } },
    { "an acknowledgement without a target",
      709,
      [](auto& g) { g.set_kind(wire::Gossip::ACK); } },
    { "an indirect probe without a target",
      709,
      [](auto& g) { g.set_kind(wire::Gossip::INDIRECT_PROBE); } },
    { "a target that is not a name",
      709,
      [](auto& g) { g.set_target("\x01"); } },
    { "revision zero",
      711,
      [](auto& g) { g.mutable_sender()->set_revision(0); } },
    { "a revision above the limit",
      711,
      [](auto& g) { g.mutable_sender()->set_revision(UINT32_MAX); } },
    { "a malformed update beside a good sender",
      703,
      [](auto& g) {
        *g.add_updates() = MakeMemberInfo("vm-0", kOwnIp);
        g.mutable_updates(0)->clear_agent_incarnation();
      } },
    { "updates beyond the size limit",
      700,
      [](auto& g) {
        for (size_t i = 0; i <= kMaxGossipUpdates; ++i) {
          *g.add_updates() = MakeMemberInfo("vm-1", kPeerIp);
        }
      } },
    { "too many empty updates",
      707,
      [](auto& g) {
        for (size_t i = 0; i <= kMaxGossipUpdates; ++i) {
          g.add_updates();
        }
      } },
    { "too long", 700, [](auto& g) { g.set_target(std::string(1400, 'x')); } },
    { "a sender that is not published",
      720,
      [](auto& g) { g.mutable_sender()->set_name("vm-9"); } },
    { "an address that is not the sender's",
      721,
      [](auto& g) { g.mutable_sender()->set_ip(kOwnIp); } },
    { "a port that is not the sender's",
      721,
      [](auto& g) { g.mutable_sender()->set_agent_port(1); } },
    { "this VM's own name",
      722,
      [](auto& g) { g.mutable_sender()->set_name("vm-0"); } },
  }));
  INFO(row.mName);
  Receiver receiver;
  REQUIRE(receiver.Deliver(MakeProbe().SerializeAsString()) == 0);
  receiver.mCore.Tick(receiver.mNow);
  const membership::ViewPtr before = receiver.mCore.Members().CurrentView();
  receiver.mCore.TakeOutgoing();

  wire::Gossip gossip = MakeProbe();
  row.mChange(gossip);
  CHECK(receiver.Deliver(gossip.SerializeAsString()) == row.mError);
  CHECK(receiver.mCore.Counters().mPeerMessagesDropped == 1);
  CHECK(receiver.mCore.TakeOutgoing().empty());
  receiver.mCore.Tick(receiver.mNow);
  CHECK(receiver.mCore.Members().CurrentView() == before);
}

TEST_CASE("Gossip from unknown senders and truncated gossip is dropped",
          "[peer]")
{
  Receiver receiver;
  const std::string bytes = MakeProbe().SerializeAsString();
  SECTION("not from a published VM")
  {
    CHECK(receiver.Deliver(bytes, { kPeerIp + 7, kAgentPort }) == 720);
  }
  SECTION("truncated at any length")
  {
    for (size_t n = 0; n < bytes.size(); ++n) {
      INFO(n);
      CHECK(receiver.Deliver(bytes.substr(0, n)) >= 700);
    }
  }
  SECTION("records about VMs that are not published")
  {
    wire::Gossip gossip = MakeProbe();
    *gossip.add_updates() = MakeMemberInfo("vm-9", kPeerIp + 7);
    *gossip.add_updates() = MakeMemberInfo("vm-1", kPeerIp + 7);
    CHECK(receiver.Deliver(gossip.SerializeAsString()) == 0);
    CHECK(receiver.mCore.Members().RefusedRecords() == 2);
    CHECK(receiver.mCore.Members().LiveAgents().size() == 1);
  }
  SECTION("a statement that this VM is dead is refuted")
  {
    wire::Gossip gossip = MakeProbe();
    *gossip.add_updates() = MakeMemberInfo("vm-0", kOwnIp);
    gossip.mutable_updates(0)->set_state(3);
    gossip.mutable_updates(0)->set_agent_incarnation(5);
    gossip.mutable_updates(0)->set_revision(1000);
    CHECK(receiver.Deliver(gossip.SerializeAsString()) == 0);
    const auto outgoing = receiver.mCore.TakeOutgoing();
    REQUIRE_FALSE(outgoing.empty());
    const auto answer = DecodeGossip(outgoing.front().mBytes);
    CHECK(answer.mSender.mRevision > 1000);
  }
}

TEST_CASE("Malformed requests and replies are refused by error number",
          "[peer]")
{
  using Change = std::function<void(wire::LocalRequest&)>;
  const auto local = [](const Change& aChange) {
    return [=] {
      DecodeLocalRequest(SerializeChanged(MakeLocalRequest(), aChange));
    };
  };
  const auto reply = [](const std::function<void(wire::LocalReply&)>& f) {
    return [=] { DecodeLocalReply(SerializeChanged(wire::LocalReply(), f)); };
  };
  const auto config = [](const std::function<void(wire::ConfigReply&)>& f) {
    return [=] { DecodeConfigReply(SerializeChanged(wire::ConfigReply(), f)); };
  };
  const auto flows = [](const std::function<void(wire::FlowRecords&)>& f) {
    wire::FlowRecords records;
    records.set_sender(7);
    return [=] { DecodeFlowRecords(SerializeChanged(records, f)); };
  };
  const DecodeRow row = GENERATE_COPY(values<DecodeRow>({
    { "local request: empty", 702, [] { DecodeLocalRequest(""); } },
    { "local request: no protobuf",
      701,
      [] { DecodeLocalRequest("\xff\xff\xff"); } },
    { "local request: too long",
      700,
      [] { DecodeLocalRequest(std::string(1025, 'x')); } },
    { "local request: no balancer", 703, local([](auto& r) {
        r.mutable_self()->clear_incarnation();
      }) },
    { "local request: no domain", 702, local([](auto& r) {
        r.mutable_self()->clear_domain();
      }) },
    { "local request: no peer port", 705, local([](auto& r) {
        r.mutable_self()->clear_peer_port();
      }) },
    { "local reply: a member without a name", 702, reply([](auto& r) {
        r.add_members();
      }) },
    { "local reply: members without a sequence", 711, reply([](auto& r) {
        *r.add_members() = MakeMemberInfo("vm-0", kOwnIp);
      }) },
    { "local reply: an upstream twice", 712, reply([](auto& r) {
        r.add_loads()->set_upstream(3);
        r.add_loads()->set_upstream(3);
      }) },
    { "config request: too long",
      700,
      [] { DecodeConfigRequest(std::string(257, 'x')); } },
    { "config request: no protobuf",
      701,
      [] { DecodeConfigRequest("\x0a\x10"); } },
    { "config reply: a document and patches", 710, config([](auto& r) {
        r.set_document_json("{}");
        r.add_patches_json("{}");
      }) },
    { "config reply: a VM list without its index", 710, config([](auto& r) {
        r.set_vms_json("{}");
      }) },
    { "config reply: too many patches", 707, config([](auto& r) {
        for (size_t i = 0; i <= kMaxPatches; ++i) {
          r.add_patches_json("");
        }
      }) },
    { "flow records: no sender", 703, flows([](auto& r) {
        r.clear_sender();
      }) },
    { "flow records: upstream zero", 712, flows([](auto& r) {
        r.add_records();
      }) },
    { "flow records: an upstream twice", 712, flows([](auto& r) {
        r.add_records()->set_upstream(3);
        r.add_records()->set_upstream(3);
      }) },
    { "flow records: too many fingerprints", 707, flows([](auto& r) {
        auto* records = r.add_records();
        records->set_upstream(3);
        for (size_t i = 0; i <= kMaxFingerprints; ++i) {
          records->add_fingerprints(1);
        }
      }) },
  }));
  INFO(row.mName);
  CHECK(ErrorOf(row.mDecode) == row.mError);
}

TEST_CASE("An agent refuses requests from unauthorized senders", "[peer]")
{
  Receiver receiver;
  const std::string request = Encode(ConfigRequest{});
  const std::string heartbeat = MakeLocalRequest().SerializeAsString();
  const auto requestConfigAs = [&](uint32_t aIp) {
    return ErrorOf([&] { receiver.mCore.AnswerPeer({ aIp, 1 }, request); });
  };
  const auto sendHeartbeatAs = [&](uint32_t aIp, const std::string& aBytes) {
    return ErrorOf([&] {
      receiver.mCore.AnswerBalancer(receiver.mNow, { aIp, 1 }, aBytes);
    });
  };
  CHECK(requestConfigAs(kPeerIp) == 0);
  CHECK(requestConfigAs(kPeerIp + 7) == 720);
  CHECK(sendHeartbeatAs(kOwnIp, heartbeat) == 0);
  CHECK(sendHeartbeatAs(kPeerIp, heartbeat) == 723);
  wire::LocalRequest other = MakeLocalRequest();
  other.mutable_self()->set_name("vm-1");
  CHECK(sendHeartbeatAs(kOwnIp, other.SerializeAsString()) == 724);
  CHECK(receiver.mCore.Counters().mPeerMessagesDropped == 3);
}

TEST_CASE("Gossip that decodes can be encoded again within its size bound",
          "[peer]")
{
  std::mt19937_64 random(1);
  const std::string good = MakeProbe().SerializeAsString();
  size_t taken = 0;
  Receiver receiver;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (uint64_t n = random() % 4; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    receiver.Deliver(bytes);
    try {
      const membership::Gossip gossip = DecodeGossip(bytes);
      const std::string again = Encode(gossip);
      CHECK(Encode(DecodeGossip(again)) == again);
      CHECK(Encode(gossip).size() <=
            WireSizeBound(gossip.mSender) + gossip.mTarget.size() + 64);
      ++taken;
    } catch (const PeerError&) {
      // The receiver drops such a message and counts it.
    }
  }
  CHECK(taken > 0);
  CHECK(taken < 20000);
}

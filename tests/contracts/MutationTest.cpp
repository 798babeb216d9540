#include <catch2/catch.hpp>

#include <functional>
#include <random>

#include "BalancerFixture.h"
#include "foxtail/core/Error.h"
#include "foxtail/membership/Detector.h"
#include "foxtail/net/Encapsulation.h"
#include "foxtail/net/PeerCodec.h"

using namespace foxtail;
using namespace foxtail::tests;

namespace {

constexpr int kMutantCount = 100'000;
constexpr uint64_t kSeed = 20'261;
constexpr size_t kMaxMutantBytes = 4096;

using Corpus = std::vector<std::string>;

// Applies one to four random changes to valid inputs. The same seed gives the
// same mutants.
class Mutator
{
public:
  Mutator(Corpus aCorpus, uint64_t aSeed)
    : mCorpus(std::move(aCorpus))
    , mRandom(aSeed)
  {
  }

  std::string Next()
  {
    std::string bytes = AnyInput();
    const size_t changes = 1 + Below(4);
    for (size_t i = 0; i < changes; ++i) {
      Change(bytes);
    }
    bytes.resize(std::min(bytes.size(), kMaxMutantBytes));
    return bytes;
  }

  size_t Below(size_t aBound) { return mRandom() % aBound; }

private:
  const std::string& AnyInput() { return mCorpus[Below(mCorpus.size())]; }

  char Byte()
  {
    // Values at which length and number fields change their meaning.
    constexpr uint8_t kBoundaryValues[] = { 0,    1,    0x0D, 0x0E,
                                            0x0F, 0x7F, 0x80, 0xFF };
    return static_cast<char>(Below(2) == 0
                               ? kBoundaryValues[Below(sizeof(kBoundaryValues))]
                               : Below(256));
  }

  void Change(std::string& aBytes)
  {
    const size_t at = Below(aBytes.size() + 1);
    switch (Below(6)) {
      case 0:
        if (at < aBytes.size()) {
          aBytes[at] = static_cast<char>(aBytes[at] ^ 1 << Below(8));
        }
        break;
      case 1:
        if (at < aBytes.size()) {
          aBytes[at] = Byte();
        }
        break;
      case 2:
        aBytes.insert(at, 1 + Below(8), Byte());
        break;
      case 3:
        aBytes.erase(at, 1 + Below(8));
        break;
      case 4:
        aBytes.resize(at);
        break;
      default: {
        const std::string& other = AnyInput();
        aBytes = aBytes.substr(0, at) + other.substr(Below(other.size() + 1));
        break;
      }
    }
  }

  Corpus mCorpus;
  std::mt19937_64 mRandom;
};

// True if aCall threw a LayerError. Any other exception propagates and fails
// the test.
template<typename LayerError, typename Call>
bool
IsRefused(Call aCall)
{
  try {
    aCall();
  } catch (const LayerError&) {
    return true;
  }
  return false;
}

Corpus
Requests(BalancerFixture& aFixture)
{
  Corpus corpus;
  for (uint8_t code = coap::kGet; code <= coap::kIPatch; ++code) {
    RequestBytes request;
    request.mCode = code;
    request.mMessageId = code;
    corpus.push_back(Encode(request));
    request.mConfirmable = false;
    request.mMoreBlocks = true;
    corpus.push_back(Encode(request));
  }
  RequestBytes posting;
  posting.mMessageId = 30;
  aFixture.Receive(Encode(posting));
  const std::string challenge = aFixture.LastBytes<balancer::ToCaller>();
  posting.mEcho = std::string(*coap::Decode(challenge).mEcho);
  corpus.push_back(Encode(posting));
  corpus.push_back(challenge);
  corpus.push_back(std::string("\x70\x00\x00\x1E", 4));
  corpus.push_back(std::string("\x41\x01\x00\x09"
                               "a\xE6\xFC\xDD\x01\x8B\xCF\xE5\x68\x00",
                               14));
  return corpus;
}

Corpus
Answers(BalancerFixture& aFixture)
{
  Corpus corpus;
  for (uint16_t id = 40; id < 44; ++id) {
    const auto sent = aFixture.Start(Request(coap::kGet, id));
    const coap::Message message = coap::Decode(sent->mBytes);
    for (const uint8_t code : { coap::kContent, coap::kUnavailable }) {
      corpus.push_back(EncodeReply(message, code, "done"));
      corpus.push_back(EncodeReply(message, code, "", coap::Type::Confirmable));
    }
  }
  return corpus;
}

// Starts a POST request from another caller whose flow this balancer serves.
std::optional<BalancerFixture::Sent>
StartFromOtherCaller(BalancerFixture& aFixture)
{
  aFixture.mFlow.mCaller = { 0x0A9A5A5A, 0x5A5A };
  std::optional<BalancerFixture::Sent> sent;
  for (int i = 0; i < 16 && !sent; ++i) {
    ++aFixture.mFlow.mCaller.mIp;
    sent = aFixture.Start(Request(coap::kPost, 60));
  }
  return sent;
}

// True if the bytes decode to a message with this token. Such a mutant is not
// delivered as an upstream's message: it would be the answer to the request.
bool
HasToken(const std::string& aBytes, const coap::Token& aToken)
{
  try {
    return coap::Decode(aBytes).mToken == aToken;
  } catch (const NetError&) {
    return false;
  }
}

Corpus
Envelopes(const FlowKey& aFlow, const Corpus& aInner)
{
  Corpus corpus;
  for (const std::string& it : aInner) {
    for (const uint8_t hops : { 0, 1, 4 }) {
      std::string out;
      net::WrapInbound(aFlow, hops, it, out);
      corpus.push_back(out);
    }
  }
  return corpus;
}

membership::MemberRecord
Record(const std::string& aName, uint32_t aIp)
{
  membership::MemberRecord record;
  record.mMember.mName = aName;
  record.mMember.mRegion = "souss";
  record.mMember.mDomain = "agadir-a";
  record.mMember.mIncarnation = 7;
  record.mMember.mHandoffAddress = { aIp, 5691 };
  record.mMember.mPeerAddress = { aIp, 5692 };
  record.mMember.mAgentAddress = { aIp, 5693 };
  record.mAgentIncarnation = 9;
  record.mRevision = 1;
  return record;
}

Corpus
PeerMessages()
{
  Corpus corpus;
  membership::Gossip gossip;
  gossip.mSender = Record("vm-2", 0x7F280202);
  gossip.mTarget = "vm-3";
  gossip.mConfig = { 12, 99, 15 };
  gossip.mVmsIndex = 4;
  for (int kind = 0; kind < membership::kGossipKindCount; ++kind) {
    gossip.mKind = static_cast<membership::GossipKind>(kind);
    gossip.mSequence = 100 + kind;
    gossip.mUpdates.push_back(Record("vm-3", 0x7F280203));
    corpus.push_back(net::Encode(gossip));
  }
  net::ConfigReply config;
  config.mVersion = { 12, 99, 15 };
  config.mPatchesJson = { R"({"against": 11, "patch": []})" };
  config.mVmsJson = R"({"vms": []})";
  config.mVmsIndex = 4;
  net::LocalRequest request;
  request.mSelf = Record("vm-1", 0x7F280201).mMember;
  net::LocalReply reply;
  reply.mMembers = { request.mSelf };
  reply.mViewSequence = 3;
  reply.mConfig = config;
  reply.mLoads = { { 11, 2 }, { 12, 1, false, true, milliseconds(7) } };
  net::FlowRecords records;
  records.mSender = 7;
  records.mRecords = { { 11, { 1, 2, 3 } }, { 12, { 4 } } };
  records.mGrantTo = 8;
  records.mConfigNumber = 12;
  records.mHasLoads = true;
  records.mLoads = reply.mLoads;
  corpus.push_back(net::Encode(net::ConfigRequest{ { 12, 99, 15 }, 4 }));
  corpus.push_back(net::Encode(config));
  corpus.push_back(net::Encode(request));
  corpus.push_back(net::Encode(reply));
  corpus.push_back(net::Encode(records));
  return corpus;
}

membership::DetectorSettings
DetectorSettingsOfVm1()
{
  membership::DetectorSettings settings;
  settings.mName = "vm-1";
  settings.mRegion = "souss";
  settings.mDomain = "agadir-a";
  settings.mAgentAddress = { 0x7F280201, 5693 };
  settings.mIncarnation = 5;
  settings.mSeed = 1;
  return settings;
}

membership::PublishedVmList
ThreeVms()
{
  membership::PublishedVmList vms;
  vms.mIndex = 4;
  for (uint32_t i = 1; i <= 3; ++i) {
    vms.mVms.push_back(
      { "vm-" + std::to_string(i), "souss", "agadir-a", 0x7F280200 + i });
  }
  return vms;
}

} // namespace

TEST_CASE("Mutated datagrams are refused or harmless", "[mutation]")
{
  BalancerFixture fixture(true);
  const Corpus requests = Requests(fixture);
  const Corpus answers = Answers(fixture);
  Mutator envelopes(Envelopes(fixture.mFlow, requests), kSeed);
  Mutator inner(requests, kSeed + 1);
  Mutator upstream(answers, kSeed + 2);
  // This request is accepted before the first mutant arrives. Its deadline is
  // after the last mutant, and no mutant comes from its caller.
  const FlowKey mutantFlow = fixture.mFlow;
  const auto accepted = StartFromOtherCaller(fixture);
  REQUIRE(accepted);
  const coap::Token token = coap::Decode(accepted->mBytes).mToken;
  fixture.mFlow = mutantFlow;
  int refused = 0;
  for (int i = 0; i < kMutantCount; ++i) {
    // 100,000 mutants take 25 s of simulated time.
    fixture.mNow += microseconds(250);
    if (i % 4 == 0) {
      const std::string bytes = envelopes.Next();
      refused += IsRefused<NetError>([&] {
        const net::Envelope envelope = net::Unwrap(bytes);
        fixture.Receive(envelope.mFlow, envelope.mInner, envelope.mHops);
      });
    } else if (i % 4 == 1) {
      const Address from{ 0x7F280301 + static_cast<uint32_t>(i / 4 % 3), 5683 };
      const std::string bytes = upstream.Next();
      if (!HasToken(bytes, token)) {
        fixture.ReceiveFromUpstream(from, bytes);
      }
    } else {
      const std::string bytes = inner.Next();
      refused += IsRefused<NetError>([&] { coap::Decode(bytes); });
      fixture.Receive(bytes, static_cast<uint8_t>(inner.Below(8)));
    }
    if (i % 20 == 0) {
      fixture.mActions.Clear();
      fixture.mBalancer.Tick(fixture.mNow, fixture.mActions);
    }
  }
  // The test proves nothing if almost no mutant or almost every one is refused.
  CHECK(refused > kMutantCount / 100);
  CHECK(refused < kMutantCount * 9 / 10);
  CHECK(fixture.mBalancer.Counters().mMalformed > 0);
  CHECK(fixture.mBalancer.Counters().mAnswered > 0);
  CHECK(fixture.Finish(*accepted));
  // After 40 s all requests that mutants started are past their deadlines.
  fixture.mNow += seconds(40);
  fixture.mBalancer.Tick(fixture.mNow, fixture.mActions);
  CHECK(fixture.Serves(coap::kGet, 1000));
  CHECK(fixture.Serves(coap::kPost, 2000));
}

TEST_CASE("Mutated peer messages are refused or harmless", "[mutation]")
{
  Mutator mutator(PeerMessages(), kSeed + 3);
  membership::Detector detector(DetectorSettingsOfVm1());
  TimePoint now{ seconds(1000) };
  detector.Handle(now, membership::VmListRead{ ThreeVms() });
  const std::vector<std::function<void(const std::string&)>> decoders = {
    [&](const std::string& aBytes) {
      const membership::Gossip gossip = net::DecodeGossip(aBytes);
      detector.Handle(
        now, membership::GossipReceived{ { 0x7F280202, 5693 }, gossip });
    },
    [](const std::string& aBytes) { net::DecodeConfigRequest(aBytes); },
    [](const std::string& aBytes) { net::DecodeConfigReply(aBytes); },
    [](const std::string& aBytes) { net::DecodeLocalRequest(aBytes); },
    [](const std::string& aBytes) { net::DecodeLocalReply(aBytes); },
    [](const std::string& aBytes) { net::DecodeFlowRecords(aBytes); },
  };
  std::vector<int> acceptedCounts(decoders.size());
  for (int i = 0; i < kMutantCount; ++i) {
    const std::string bytes = mutator.Next();
    for (size_t k = 0; k < decoders.size(); ++k) {
      acceptedCounts[k] += !IsRefused<PeerError>([&] { decoders[k](bytes); });
    }
    if (i % 50 == 0) {
      now += milliseconds(50);
      detector.Handle(now, membership::Tick{});
    }
  }
  for (const int it : acceptedCounts) {
    CHECK(it > 0);
    CHECK(it < kMutantCount * 9 / 10);
  }
  // A valid probe is still answered.
  const std::string probe = [] {
    membership::Gossip gossip;
    gossip.mSequence = 77;
    gossip.mSender = Record("vm-2", 0x7F280202);
    gossip.mSender.mAgentIncarnation = uint64_t(1) << 61;
    return net::Encode(gossip);
  }();
  bool answered = false;
  const auto actions =
    detector.Handle(now,
                    membership::GossipReceived{ { 0x7F280202, 5693 },
                                                net::DecodeGossip(probe) });
  for (const membership::DetectorAction& it : actions) {
    const auto* send = std::get_if<membership::SendGossip>(&it);
    answered |= send != nullptr && send->mGossip.mSequence == 77 &&
                send->mGossip.mKind == membership::GossipKind::Ack;
  }
  CHECK(answered);
}

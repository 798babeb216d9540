#ifndef foxtail_tests_BalancerFixture_h
#define foxtail_tests_BalancerFixture_h

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CoapBytes.h"
#include "foxtail/balancer/Balancer.h"

namespace foxtail::tests {

inline RequestBytes
Request(uint8_t aCode, uint16_t aMessageId)
{
  RequestBytes request;
  request.mCode = aCode;
  request.mMessageId = aMessageId;
  return request;
}

// A balancer with one service, two upstreams and, if aWithPeer, one peer.
class BalancerFixture
{
public:
  static constexpr uint64_t kSelf = uint64_t(2) << 32;
  static constexpr uint64_t kPeer = uint64_t(3) << 32;

  const Address mService{ 0x7F280001, 5683 };
  // Flow of requests for which a test names no other flow.
  FlowKey mFlow{ { 0x7F280101, 4000 }, mService };
  TimePoint mNow{ seconds(1000) };
  WallTime mWall{ seconds(1'700'000'000) };
  balancer::Actions mActions;
  balancer::Balancer mBalancer;

  explicit BalancerFixture(bool aWithPeer = false)
    : mBalancer(Settings(), mNow)
  {
    mBalancer.SetSnapshot(MakeSnapshot(), mNow);
    mBalancer.SetView(MakeView(1, false), mNow);
    if (aWithPeer) {
      mBalancer.SetView(MakeView(2, true), mNow);
    }
  }

  void Receive(std::string_view aBytes, uint8_t aHops = 0)
  {
    Receive(mFlow, aBytes, aHops);
  }

  void Receive(const FlowKey& aFlow, std::string_view aBytes, uint8_t aHops)
  {
    mActions.Clear();
    mBalancer.OnInbound(aFlow, aHops, aBytes, mNow, mWall, mActions);
  }

  void ReceiveFromUpstream(const Address& aFrom, std::string_view aBytes)
  {
    mActions.Clear();
    mBalancer.OnUpstream(aFrom, aBytes, mNow, mActions);
  }

  // The last action of a kind, or null; valid until the next datagram.
  template<typename Kind>
  const Kind* Last() const
  {
    const Kind* last = nullptr;
    for (const balancer::Action& it : mActions.Items()) {
      const auto* action = std::get_if<Kind>(&it);
      last = action != nullptr ? action : last;
    }
    return last;
  }

  // Bytes of the last datagram for the caller or an upstream; empty when
  // there is none.
  template<typename Kind>
  std::string LastBytes() const
  {
    const Kind* last = Last<Kind>();
    return last != nullptr ? std::string(mActions.Bytes(last->mBytes)) : "";
  }

  // A request that was sent to an upstream.
  struct Sent
  {
    Address mUpstream;
    std::string mBytes;
  };

  // Sends a request; when the balancer answers with an Echo value, sends the
  // request again with that value. Empty when no upstream gets the request.
  std::optional<Sent> Start(RequestBytes aRequest)
  {
    Receive(Encode(aRequest));
    const std::string answer = LastBytes<balancer::ToCaller>();
    if (!answer.empty()) {
      const coap::Message message = coap::Decode(answer);
      aRequest.mEcho = std::string(message.mEcho.value_or(""));
      ++aRequest.mMessageId;
      Receive(Encode(aRequest));
    }
    const auto* sent = Last<balancer::ToUpstream>();
    if (sent == nullptr) {
      return std::nullopt;
    }
    return Sent{ sent->mUpstream, LastBytes<balancer::ToUpstream>() };
  }

  // Answers as the upstream; true when the caller gets that answer.
  bool Finish(const Sent& aSent)
  {
    const std::string answer =
      EncodeReply(coap::Decode(aSent.mBytes), coap::kContent, "done");
    ReceiveFromUpstream(aSent.mUpstream, answer);
    const std::string delivered = LastBytes<balancer::ToCaller>();
    return !delivered.empty() && coap::Decode(delivered).mPayload == "done";
  }

  // Sends a request and its answer; true when the caller gets the answer.
  bool Serves(uint8_t aCode, uint16_t aMessageId)
  {
    RequestBytes request = Request(aCode, aMessageId);
    request.mToken = 'z';
    const auto sent = Start(request);
    return sent && Finish(*sent);
  }

private:
  static balancer::BalancerSettings Settings()
  {
    balancer::BalancerSettings settings;
    settings.mVm = "vm-1";
    settings.mFlows.mSelf = kSelf;
    settings.mFlows.mRegion = "souss";
    settings.mDispatcher.mSeed = 1;
    settings.mRequests.mEcho.mIncarnation = kSelf;
    settings.mRequests.mEcho.mKey = { 1 };
    return settings;
  }

  static membership::Member MakeMember(const std::string& aName,
                                       uint32_t aIp,
                                       uint64_t aIncarnation)
  {
    membership::Member member;
    member.mName = aName;
    member.mRegion = "souss";
    member.mDomain = "agadir-a";
    member.mIncarnation = aIncarnation;
    member.mHandoffAddress = { aIp, 5691 };
    member.mPeerAddress = { aIp, 5692 };
    member.mAgentAddress = { aIp, 5693 };
    return member;
  }

  static membership::ViewPtr MakeView(uint64_t aSequence, bool aWithPeer)
  {
    membership::View view;
    view.mSequence = aSequence;
    view.mMembers.push_back(MakeMember("vm-1", 0x7F280201, kSelf));
    if (aWithPeer) {
      view.mMembers.push_back(MakeMember("vm-2", 0x7F280202, kPeer));
    }
    return std::make_shared<const membership::View>(view);
  }

  config::SnapshotPtr MakeSnapshot() const
  {
    config::Snapshot snapshot;
    snapshot.mVersion = { 1, 1 };
    snapshot.mServices.push_back(
      { "ledger", mService, seconds(30), seconds(120), { 0, 1 } });
    for (uint32_t i = 0; i < 2; ++i) {
      config::Upstream upstream;
      upstream.mName = "ledger-" + std::to_string(i);
      upstream.mDomain = "agadir-a";
      upstream.mAddress = { 0x7F280301 + i, 5683 };
      upstream.mReportAddress = { 0x7F280301 + i, 8080 };
      upstream.mSlots = 4;
      upstream.mService = 0;
      upstream.mId = 11 + i;
      snapshot.mUpstreams.push_back(upstream);
    }
    return std::make_shared<const config::Snapshot>(snapshot);
  }
};

} // namespace foxtail::tests

#endif

#include "Machines.h"

#include <map>

#include "CoapBytes.h"
#include "foxtail/requests/RequestTable.h"

namespace foxtail::tests {

using namespace requests;

namespace {

constexpr seconds kTick{ 10 };

Address
CallerAddress(uint8_t aFlow)
{
  return Address{ 0x7F010000U + aFlow, 4000 };
}

Address
UpstreamAddress(uint8_t aUpstream)
{
  return Address{ 0x7F020000U + aUpstream, 5683 };
}

uint8_t
LowByte(const Address& aAddress)
{
  return static_cast<uint8_t>(aAddress.mIp);
}

class EchoMachine : public Machine
{
public:
  explicit EchoMachine(uint8_t aIncarnation)
    : mTable(Settings(aIncarnation))
  {
  }

  Outputs Handle(const Input& aInput) override
  {
    mOut.clear();
    mNow = TimePoint{ seconds(1000) + aInput.mNow * kTick };
    mTable.RemoveExpired(mNow);
    switch (aInput.mKind) {
      case Input::Request:
        OnRequest(aInput);
        break;
      case Input::FromPeer:
        break;
      case Input::FromUpstream:
        OnUpstream(aInput);
        break;
      case Input::Send:
        OnSend(aInput);
        break;
      case Input::Refuse:
        if (!mTable.SentTo(aInput.mSerial)) {
          OnEnded(aInput.mSerial, mTable.Refuse(aInput.mSerial, {}, mNow));
        }
        break;
      case Input::Expire:
        OnEnded(aInput.mSerial, *mTable.Expire(aInput.mSerial, mNow));
        break;
    }
    return mOut;
  }

private:
  static RequestSettings Settings(uint8_t aIncarnation)
  {
    RequestSettings settings;
    settings.mEcho.mIncarnation = aIncarnation;
    settings.mEcho.mKey = { aIncarnation };
    settings.mEcho.mValidity = kTick;
    settings.mEcho.mWindowSize = 64;
    settings.mNonIdempotentAnswerLifetime = kTick;
    return settings;
  }

  void OnRequest(const Input& aInput)
  {
    const FlowKey flow{ CallerAddress(aInput.mWhere), Address{ 1, 1 } };
    const auto presence = aInput.mPresent ? EchoIssuerPresence::Present
                                          : EchoIssuerPresence::Absent;
    const auto action = mTable.OnRequest(
      flow, coap::Decode(aInput.mBytes), presence, mNow, mNow + kTick);
    std::visit([&](const auto& a) { ApplyAction(a, aInput); }, action);
  }

  void ApplyAction(const StartRequest& aStart, const Input&)
  {
    mOut.push_back({ Output::Open, 0, aStart.mSerial, "" });
  }
  void ApplyAction(const InProgress&, const Input&) {}
  void ApplyAction(const ForwardToOwner&, const Input&) {}
  void ApplyAction(const ForwardToIssuer& aForward, const Input& aInput)
  {
    const auto to = static_cast<uint8_t>(aForward.mIncarnation);
    mOut.push_back({ Output::HandOver, to, 0, aInput.mBytes });
  }
  template<typename Answer>
  void ApplyAction(const Answer& aAnswer, const Input& aInput)
  {
    const std::string bytes(aAnswer.mBytes);
    mOut.push_back({ Output::ToCaller, aInput.mWhere, 0, bytes });
  }

  void OnSend(const Input& aInput)
  {
    const auto bytes =
      mTable.Send(aInput.mSerial, UpstreamAddress(aInput.mWhere), mNow);
    if (bytes) {
      mOut.push_back({ Output::ToUpstream,
                       aInput.mWhere,
                       aInput.mSerial,
                       std::string(*bytes) });
    }
  }

  void OnUpstream(const Input& aInput)
  {
    const auto result = mTable.OnUpstream(
      UpstreamAddress(aInput.mWhere), coap::Decode(aInput.mBytes), mNow);
    if (const auto* deliver = std::get_if<Deliver>(&result.mAction)) {
      Answer(deliver->mSerial, deliver->mFlow, deliver->mBytes);
    }
  }

  void OnEnded(uint32_t aSerial, const EndedRequest& aEnded)
  {
    Answer(aSerial, aEnded.mFlow, aEnded.mBytes);
  }

  void Answer(uint32_t aSerial, const FlowKey& aFlow, std::string_view aBytes)
  {
    if (!aBytes.empty()) {
      const uint8_t to = LowByte(aFlow.mCaller);
      mOut.push_back({ Output::ToCaller, to, aSerial, std::string(aBytes) });
    }
    mOut.push_back({ Output::Close, 0, aSerial, "" });
  }

  RequestTable mTable;
  TimePoint mNow;
  Outputs mOut;
};

// Base class of the two simple models: pending requests by serial number, and
// the answers for their callers.
class SimpleMachine : public Machine
{
protected:
  struct Pending
  {
    uint8_t mFlow;
    std::string mRequest;
  };

  Output ToUpstream(const Input& aSend, uint64_t aToken) const
  {
    std::string out;
    coap::EncodeRelayed(coap::Decode(mPending.at(aSend.mSerial).mRequest),
                        coap::Type::Confirmable,
                        static_cast<uint16_t>(aSend.mSerial),
                        coap::Token::FromValue(aToken),
                        out);
    return { Output::ToUpstream, aSend.mWhere, aSend.mSerial, out };
  }

  void Finish(uint32_t aSerial, const std::string& aBytes, Outputs& aOut)
  {
    if (!aBytes.empty()) {
      aOut.push_back(
        { Output::ToCaller, mPending.at(aSerial).mFlow, aSerial, aBytes });
    }
    aOut.push_back({ Output::Close, 0, aSerial, "" });
    mPending.erase(aSerial);
  }

  std::string RelayAnswer(uint32_t aSerial, const std::string& aAnswer) const
  {
    const auto request = coap::Decode(mPending.at(aSerial).mRequest);
    std::string out;
    coap::EncodeRelayed(coap::Decode(aAnswer),
                        coap::Type::Acknowledgement,
                        request.mMessageId,
                        request.mToken,
                        out);
    return out;
  }

  std::string MakeAnswer(uint32_t aSerial,
                         uint8_t aCode,
                         const char* aText) const
  {
    const std::string& request = mPending.at(aSerial).mRequest;
    return EncodeReply(coap::Decode(request), aCode, aText);
  }

  std::map<uint32_t, Pending> mPending;
  uint32_t mLastSerial = 0;
};

class NaiveMachine : public SimpleMachine
{
public:
  explicit NaiveMachine(NaiveExpiry aExpiry)
    : mExpiry(aExpiry)
  {
  }

  Outputs Handle(const Input& aInput) override
  {
    Outputs out;
    switch (aInput.mKind) {
      case Input::Request:
        mPending[++mLastSerial] = { aInput.mWhere, aInput.mBytes };
        out.push_back({ Output::Open, 0, mLastSerial, "" });
        break;
      case Input::FromPeer:
      case Input::Refuse:
        break;
      case Input::Send:
        out.push_back(ToUpstream(aInput, aInput.mSerial));
        break;
      case Input::FromUpstream: {
        const auto token = coap::Decode(aInput.mBytes).mToken.Value();
        const auto serial = static_cast<uint32_t>(*token);
        if (mPending.count(serial) > 0) {
          Finish(serial, RelayAnswer(serial, aInput.mBytes), out);
        }
        break;
      }
      case Input::Expire: {
        const bool silent = mExpiry == NaiveExpiry::SaysNothing;
        const std::string answer = silent ? ""
                                          : MakeAnswer(aInput.mSerial,
                                                       coap::kUnavailable,
                                                       "not run: timeout");
        Finish(aInput.mSerial, answer, out);
        break;
      }
    }
    return out;
  }

private:
  NaiveExpiry mExpiry;
};

class LeaseMachine : public SimpleMachine
{
public:
  LeaseMachine(uint8_t aNode, CutPolicy aPolicy)
    : mNode(aNode)
    , mPolicy(aPolicy)
  {
  }

  Outputs Handle(const Input& aInput) override
  {
    Outputs out;
    switch (aInput.mKind) {
      case Input::Request:
        OnRequest(aInput, out);
        break;
      case Input::FromPeer:
        OnPeer(aInput, out);
        break;
      case Input::Send:
        OnSend(aInput, out);
        break;
      case Input::Refuse:
        break;
      case Input::FromUpstream:
        OnAnswer(aInput, out);
        break;
      case Input::Expire:
        Finish(aInput.mSerial,
               MakeAnswer(aInput.mSerial, coap::kGatewayTimeout, "unknown"),
               out);
        break;
    }
    return out;
  }

private:
  uint8_t Owner() const { return mNode < 2 ? 0 : 2; }
  uint8_t Backup() const { return Owner() + 1; }

  void OnRequest(const Input& aInput, Outputs& aOut)
  {
    if (mNode != Owner()) {
      // Incarnations are numbered from one, balancers from zero.
      const uint8_t to = Owner() + 1;
      aOut.push_back({ Output::HandOver, to, 0, aInput.mBytes });
      return;
    }
    if (!mReceivedRequests.emplace(aInput.mBytes, true).second) {
      return;
    }
    mPending[++mLastSerial] = { aInput.mWhere, aInput.mBytes };
    aOut.push_back({ Output::Open, 0, mLastSerial, "" });
    if (mPolicy == CutPolicy::ServeMajority) {
      // Two of four balancers are not a majority.
      const auto refusal =
        MakeAnswer(mLastSerial, coap::kUnavailable, "not run: cut");
      Finish(mLastSerial, refusal, aOut);
      return;
    }
    aOut.push_back({ Output::ToPeer, Backup(), 0, aInput.mBytes });
  }

  // The backup logs the intent and acknowledges with the same bytes.
  void OnPeer(const Input& aInput, Outputs& aOut)
  {
    if (mNode == Owner()) {
      mAcknowledged[aInput.mBytes] = true;
      return;
    }
    aOut.push_back({ Output::ToPeer, aInput.mWhere, 0, aInput.mBytes });
  }

  void OnSend(const Input& aInput, Outputs& aOut)
  {
    const std::string& request = mPending.at(aInput.mSerial).mRequest;
    if (mAcknowledged[request] && !mSent[request]) {
      mSent[request] = true;
      const uint64_t token = uint64_t(mNode + 1) << 32 | aInput.mSerial;
      aOut.push_back(ToUpstream(aInput, token));
    }
  }

  void OnAnswer(const Input& aInput, Outputs& aOut)
  {
    const auto token = coap::Decode(aInput.mBytes).mToken.Value();
    const auto serial = static_cast<uint32_t>(*token);
    if (mPending.count(serial) > 0) {
      Finish(serial, RelayAnswer(serial, aInput.mBytes), aOut);
    }
  }

  uint8_t mNode;
  CutPolicy mPolicy;
  std::map<std::string, bool> mReceivedRequests;
  std::map<std::string, bool> mAcknowledged;
  std::map<std::string, bool> mSent;
};

} // namespace

MachineFactory
EchoBalancer()
{
  return [](uint8_t, uint8_t aIncarnation) {
    return std::make_unique<EchoMachine>(aIncarnation);
  };
}

MachineFactory
NaiveBalancer(NaiveExpiry aExpiry)
{
  return [aExpiry](uint8_t, uint8_t) {
    return std::make_unique<NaiveMachine>(aExpiry);
  };
}

MachineFactory
LeaseBalancer(CutPolicy aPolicy)
{
  return [aPolicy](uint8_t aNode, uint8_t) {
    return std::make_unique<LeaseMachine>(aNode, aPolicy);
  };
}

} // namespace foxtail::tests

#include <catch2/catch.hpp>

#include "CoapBytes.h"
#include "foxtail/core/Error.h"
#include "foxtail/requests/RequestTable.h"

using namespace foxtail;
using namespace foxtail::requests;
using namespace foxtail::tests;

namespace {

const FlowKey kFlow{ Address::Parse("127.1.0.1:4000"),
                     Address::Parse("127.1.0.9:5683") };
const FlowKey kOtherFlow{ Address::Parse("127.1.0.2:4000"), kFlow.mService };
const Address kUpstream = Address::Parse("127.1.0.20:5683");
const Address kSecondUpstream = Address::Parse("127.1.0.21:5683");
constexpr Incarnation kSelf = 7;
constexpr Incarnation kPeer = 8;

RequestSettings
Settings(Incarnation aIncarnation)
{
  RequestSettings settings;
  settings.mEcho.mIncarnation = aIncarnation;
  settings.mEcho.mKey = { static_cast<uint8_t>(aIncarnation) };
  return settings;
}

// A table with the clock and the caller that the cases need.
struct Fixture
{
  explicit Fixture(const RequestSettings& aSettings = Settings(kSelf))
    : mTable(aSettings)
  {
  }

  RequestAction Receive(const RequestBytes& aRequest,
                        const FlowKey& aFlow = kFlow)
  {
    mDatagram = Encode(aRequest);
    return mTable.OnRequest(aFlow,
                            coap::Decode(mDatagram),
                            EchoIssuerPresence::Absent,
                            mNow,
                            mNow + seconds(30));
  }

  // Takes the challenge and returns the repeated request.
  RequestBytes Admit(RequestBytes aRequest)
  {
    const RequestAction action = Receive(aRequest);
    const auto& challenge = std::get<Challenge>(action);
    aRequest.mEcho = std::string(*coap::Decode(challenge.mBytes).mEcho);
    ++aRequest.mMessageId;
    return aRequest;
  }

  uint32_t Start(const RequestBytes& aRequest)
  {
    return std::get<StartRequest>(Receive(aRequest)).mSerial;
  }

  std::string Send(uint32_t aSerial, const Address& aUpstream = kUpstream)
  {
    return std::string(mTable.Send(aSerial, aUpstream, mNow).value());
  }

  UpstreamAction Reply(const std::string& aSent,
                       uint8_t aCode,
                       const std::string& aText,
                       const Address& aFrom = kUpstream,
                       coap::Type aType = coap::Type::Acknowledgement)
  {
    mReply = EncodeReply(coap::Decode(aSent), aCode, aText, aType);
    return mTable.OnUpstream(aFrom, coap::Decode(mReply), mNow);
  }

  RequestTable mTable;
  TimePoint mNow{ seconds(1000) };
  std::string mDatagram;
  std::string mReply;
};

} // namespace

TEST_CASE("A posting runs once and its duplicates get its answer", "[requests]")
{
  Fixture f;
  const RequestBytes posting = f.Admit({});
  const uint32_t serial = f.Start(posting);
  const std::string sent = f.Send(serial);
  CHECK_FALSE(coap::Decode(sent).mEcho);
  CHECK_FALSE(f.mTable.Send(serial, kUpstream, f.mNow));
  CHECK_FALSE(f.mTable.Resend(serial, f.mNow));
  CHECK(std::holds_alternative<InProgress>(f.Receive(posting)));

  const UpstreamAction answer = f.Reply(sent, coap::kContent, "done");
  const std::string bytes(std::get<Deliver>(answer.mAction).mBytes);
  const coap::Message delivered = coap::Decode(bytes);
  CHECK(delivered.mMessageId == posting.mMessageId);
  CHECK(delivered.mToken.mLength == 1);
  CHECK(delivered.mPayload == "done");
  CHECK(std::get<ReplayAnswer>(f.Receive(posting)).mBytes == bytes);
}

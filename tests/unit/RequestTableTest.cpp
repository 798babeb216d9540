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
constexpr seconds kTimeout{ 30 };
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

// A table with a clock and a caller.
struct Fixture
{
  explicit Fixture(const RequestSettings& aSettings = Settings(kSelf))
    : mTable(aSettings)
  {
  }

  RequestAction Receive(const RequestBytes& aRequest,
                        const FlowKey& aFlow = kFlow,
                        bool aPresent = false)
  {
    mDatagram = Encode(aRequest);
    return mTable.OnRequest(aFlow,
                            coap::Decode(mDatagram),
                            aPresent ? EchoIssuerPresence::Present
                                     : EchoIssuerPresence::Absent,
                            mNow,
                            mNow + kTimeout);
  }

  // Receives a request; returns Summary of the answer, or the name of the
  // action.
  std::string Answer(const RequestBytes& aRequest, const FlowKey& aFlow = kFlow)
  {
    return std::visit([this](const auto& a) { return Text(a); },
                      Receive(aRequest, aFlow));
  }

  // Gets a challenge for a request; returns the repeat with its Echo value and
  // the next message id.
  RequestBytes RequestWithEcho(RequestBytes aRequest)
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

  template<typename Action>
  std::string Text(const Action& aAction)
  {
    if constexpr (std::is_same_v<Action, StartRequest>) {
      return "start";
    } else if constexpr (std::is_same_v<Action, InProgress>) {
      return "in progress";
    } else if constexpr (std::is_same_v<Action, ForwardToIssuer>) {
      return "forward to issuer " + std::to_string(aAction.mIncarnation);
    } else if constexpr (std::is_same_v<Action, ForwardToOwner>) {
      return "forward to owner";
    } else {
      return Summary(aAction.mBytes);
    }
  }

  // The code of an answer, and its text up to the first colon.
  static std::string Summary(std::string_view aBytes)
  {
    const coap::Message m = coap::Decode(aBytes);
    const std::string text(m.mPayload);
    return std::to_string(m.mCode >> 5) + "." + std::to_string(m.mCode & 31) +
           " " + text.substr(0, text.find(':'));
  }

  RequestTable mTable;
  TimePoint mNow{ seconds(1000) };
  std::string mDatagram;
  std::string mReply;
};

} // namespace

TEST_CASE("A POST runs once and its duplicates get its answer", "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  const uint32_t serial = f.Start(post);
  const std::string sent = f.Send(serial);
  CHECK_FALSE(coap::Decode(sent).mEcho);
  CHECK_FALSE(f.mTable.Send(serial, kUpstream, f.mNow));
  CHECK_FALSE(f.mTable.Resend(serial, f.mNow));
  CHECK(std::holds_alternative<InProgress>(f.Receive(post)));

  const UpstreamAction answer = f.Reply(sent, coap::kContent, "done");
  const std::string bytes(std::get<Deliver>(answer.mAction).mBytes);
  const coap::Message delivered = coap::Decode(bytes);
  CHECK(delivered.mMessageId == post.mMessageId);
  CHECK(delivered.mToken.mLength == 1);
  CHECK(delivered.mPayload == "done");
  CHECK(std::get<ReplayAnswer>(f.Receive(post)).mBytes == bytes);
}

TEST_CASE("A copy that arrives before the request is sent starts nothing",
          "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  const uint32_t serial = f.Start(post);
  CHECK(f.Answer(post) == "in progress");
  f.Send(serial);
  CHECK(f.Answer(post) == "in progress");
}

TEST_CASE("An invalid or used Echo value never starts a POST", "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  RequestBytes changed = post;
  SECTION("none, cut short, forged or of another request: challenged anew")
  {
    const auto change = GENERATE(0, 1, 2, 3);
    changed.mEcho = change == 0 ? "" : post.mEcho;
    changed.mEcho.resize(change == 1 ? 39 : changed.mEcho.size());
    if (change == 2) {
      changed.mEcho[20] ^= 1;
    }
    changed.mPayload = change == 3 ? "6" : "5";
    CHECK(f.Answer(changed) == "4.1 not run");
    CHECK(f.Answer(post) == "start");
  }
  SECTION("expired: revoked before a new one is issued")
  {
    f.mNow += seconds(15);
    CHECK(f.Answer(post) == "4.1 not run");
    f.mNow -= seconds(15);
    CHECK(f.Answer(post) == "5.3 not run");
  }
  SECTION("from another flow: unknown, and still valid for its own flow")
  {
    CHECK(f.Answer(post, kOtherFlow) == "5.4 unknown");
    CHECK(f.Answer(post) == "start");
  }
  SECTION("used by another message: unknown")
  {
    f.Send(f.Start(post));
    ++changed.mMessageId;
    CHECK(f.Answer(changed) == "5.4 unknown");
  }
  SECTION("its answer was removed: unknown")
  {
    f.Reply(f.Send(f.Start(post)), coap::kContent, "done");
    f.mNow += seconds(247);
    f.mTable.RemoveExpired(f.mNow);
    CHECK(f.Answer(post) == "5.4 unknown");
  }
  SECTION("of a peer: forwarded to it, or unknown when it is gone")
  {
    Fixture peer(Settings(kPeer));
    CHECK(peer.Answer(post) == "5.4 unknown");
    const auto action = peer.Receive(post, kFlow, true);
    CHECK(std::get<ForwardToIssuer>(action).mIncarnation == kSelf);
  }
  SECTION("of the incarnation before a restart: unknown")
  {
    Fixture restarted(Settings(kSelf + 10));
    CHECK(restarted.Answer(post) == "5.4 unknown");
  }
  SECTION("more than one block: refused, with or without an Echo value")
  {
    changed.mMoreBlocks = true;
    changed.mEcho = GENERATE_COPY(std::string(), post.mEcho);
    CHECK(f.Answer(changed) == "4.13 not run");
  }
}

TEST_CASE("A request must fit one datagram to an upstream", "[requests]")
{
  Fixture f;
  RequestBytes request;
  request.mCode = GENERATE(coap::kGet, coap::kPost);
  // Uri-Path and payload marker take 5 bytes, header and token 12.
  request.mPayload.assign(coap::kMaxDatagram - 17, '5');
  CHECK(f.Answer(request) != "4.13 not run");
  request.mPayload.push_back('5');
  CHECK(f.Answer(request) == "4.13 not run");
}

TEST_CASE("A stray answer is not delivered and changes no request",
          "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  const uint32_t serial = f.Start(post);
  const std::string sent = f.Send(serial);
  std::string modified(sent);
  const auto isStale = [&](const std::string& aSent, const Address& aFrom) {
    const auto result =
      f.Reply(aSent, coap::kContent, "done", aFrom, coap::Type::Confirmable);
    CHECK(coap::Decode(result.mReply).mType == coap::Type::Reset);
    return std::holds_alternative<Stale>(result.mAction);
  };
  SECTION("from another upstream")
  {
    CHECK(isStale(sent, kSecondUpstream));
  }
  SECTION("for another incarnation")
  {
    modified[4] ^= 1;
    CHECK(isStale(modified, kUpstream));
  }
  SECTION("for the same serial number of the previous incarnation")
  {
    Fixture restarted(Settings(kSelf + 10));
    restarted.Send(restarted.Start(restarted.RequestWithEcho({})));
    const auto late = restarted.Reply(sent, coap::kContent, "done");
    CHECK(std::holds_alternative<Stale>(late.mAction));
  }
  SECTION("for another serial number")
  {
    modified[11] ^= 1;
    CHECK(isStale(modified, kUpstream));
  }
  SECTION("after the request was removed and its slot reused")
  {
    f.Reply(sent, coap::kContent, "done");
    f.mNow += seconds(247);
    RequestBytes next;
    next.mMessageId = 9;
    f.Send(f.Start(f.RequestWithEcho(next)));
    CHECK(isStale(sent, kUpstream));
  }
  SECTION("a late copy of a 5.03 for an earlier attempt at the same upstream")
  {
    f.Reply(sent, coap::kUnavailable, "busy");
    const std::string second = f.Send(serial);
    CHECK(f.mTable.SentTo(serial) == kUpstream);
    const auto copy = f.Reply(sent, coap::kUnavailable, "busy");
    CHECK(std::holds_alternative<Stale>(copy.mAction));
    CHECK_FALSE(f.mTable.Send(serial, kSecondUpstream, f.mNow));
    const auto answer = f.Reply(second, coap::kContent, "done");
    CHECK(std::holds_alternative<Deliver>(answer.mAction));
  }
  SECTION("a reset of a restarted upstream leaves the outcome open")
  {
    std::string reset;
    coap::EncodeEmpty(coap::Type::Reset, coap::Decode(sent).mMessageId, reset);
    f.mTable.OnUpstream(kUpstream, coap::Decode(reset), f.mNow);
    CHECK(f.mTable.Expire(serial, f.mNow)->mMayHaveRun);
  }
}

TEST_CASE(
  "Requests that end without an answer: not run, or unknown after a send",
  "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  const uint32_t serial = f.Start(post);
  SECTION("refused before a send: not run, now and later")
  {
    const auto cause =
      GENERATE(RefusalCause::Unavailable, RefusalCause::NoService);
    const EndedRequest ended =
      f.mTable.Refuse(serial, { cause, "full", seconds(3) }, f.mNow);
    const std::string summary = f.Summary(ended.mBytes);
    CHECK(summary ==
          (cause == RefusalCause::NoService ? "4.4 not run" : "5.3 not run"));
    CHECK(f.Answer(post) == summary);
    CHECK_FALSE(f.mTable.Send(serial, kUpstream, f.mNow));
    f.mNow += seconds(247);
    f.mTable.RemoveExpired(f.mNow);
    CHECK(f.Answer(post) == "5.3 not run");
  }
  SECTION("refused while an upstream has it: an error")
  {
    f.Send(serial);
    CHECK_THROWS_AS(f.mTable.Refuse(serial, {}, f.mNow), RequestError);
  }
  SECTION("the deadline passes before the send: not run")
  {
    f.mNow += kTimeout;
    CHECK_FALSE(f.mTable.Send(serial, kUpstream, f.mNow));
    const auto ended = f.mTable.Expire(serial, f.mNow);
    CHECK(f.Summary(ended->mBytes) == "5.3 not run");
    CHECK_FALSE(ended->mCancel);
  }
  SECTION(
    "the deadline passes after the send: unknown, until the late response")
  {
    const std::string sent = f.Send(serial);
    const auto ended = f.mTable.Expire(serial, f.mNow);
    CHECK(f.Summary(ended->mBytes) == "5.4 unknown");
    CHECK(ended->mCancel->mUpstream == kUpstream);
    CHECK(coap::Decode(ended->mCancel->mBytes).mMessageId ==
          coap::Decode(sent).mMessageId);
    CHECK_FALSE(f.mTable.Expire(serial, f.mNow));
    const bool ran = GENERATE(true, false);
    const auto late = f.Reply(
      sent, ran ? coap::kContent : coap::kUnavailable, "done", kUpstream);
    CHECK(std::holds_alternative<LateAnswerStored>(late.mAction));
    CHECK(f.Answer(post) == (ran ? "2.5 done" : "5.3 not run"));
  }
  SECTION("the caller cancels it: it gets no answer")
  {
    f.Send(serial);
    const auto ended = f.mTable.OnCallerReset(kFlow, post.mMessageId, f.mNow);
    CHECK(ended->mBytes.empty());
    CHECK(ended->mCancel);
    CHECK_FALSE(f.mTable.OnCallerReset(kFlow, post.mMessageId, f.mNow));
    CHECK(f.Answer(post) == "5.4 unknown");
  }
}

TEST_CASE("An answer never goes to the next user of a caller's port",
          "[requests]")
{
  Fixture f;
  const bool confirmable = GENERATE(true, false);
  RequestBytes old;
  old.mConfirmable = confirmable;
  old = f.RequestWithEcho(old);
  const std::string sent = f.Send(f.Start(old));
  RequestBytes next = old;
  next.mConfirmable = true;
  // The caller matches a non-confirmable answer by token alone.
  next.mMessageId += confirmable ? 0 : 5;
  SECTION("another request")
  {
    next.mCode = coap::kGet;
  }
  SECTION("the same request anew")
  {
    next.mEcho.clear();
  }
  f.Receive(next);
  const auto answer = f.Reply(sent, coap::kContent, "done");
  CHECK(std::get<Deliver>(answer.mAction).mBytes.empty());
  CHECK(f.mTable.Counters().mSuperseded == 1);
}

TEST_CASE("Idempotent requests need no Echo and may be repeated", "[requests]")
{
  Fixture f;
  RequestBytes get;
  get.mCode = coap::kGet;
  get.mEcho = GENERATE("", "left over");
  const uint32_t serial = f.Start(get);
  SECTION("a duplicate repeats the same datagram")
  {
    const std::string sent = f.Send(serial);
    CHECK(std::get<InProgress>(f.Receive(get)).mMayResend);
    CHECK(f.mTable.Resend(serial, f.mNow) == sent);
    f.Reply(sent, coap::kContent, "42");
    CHECK(f.Answer(get) == "2.5 42");
    f.mNow += seconds(10);
    f.mTable.RemoveExpired(f.mNow);
    CHECK(f.Answer(get) == "start");
  }
  SECTION("a refusal does not say whether a copy ran at another balancer")
  {
    const EndedRequest ended = f.mTable.Refuse(serial, {}, f.mNow);
    CHECK(f.Summary(ended.mBytes) == "5.3 retry");
  }
  SECTION("a separate answer is acknowledged and delivered once")
  {
    const std::string sent = f.Send(serial);
    for (const bool first : { true, false }) {
      const auto result =
        f.Reply(sent, coap::kContent, "42", kUpstream, coap::Type::Confirmable);
      CHECK(std::holds_alternative<Deliver>(result.mAction) == first);
      CHECK(coap::Decode(result.mReply).mType == coap::Type::Acknowledgement);
    }
  }
}

TEST_CASE("A leaving balancer accepts its own Echo values and issues no more",
          "[requests]")
{
  Fixture f;
  const RequestBytes post = f.RequestWithEcho({});
  f.mTable.Leave();
  CHECK(f.Answer({}) == "forward to owner");
  CHECK(f.mTable.HasOutstandingWork(f.mNow));
  SECTION("a value that is never used expires")
  {
    f.mNow += seconds(15);
    // The flow's owner would forward it back, because the Echo value names this
    // balancer.
    CHECK(f.Answer(post) == "5.3 not run");
    CHECK_FALSE(f.mTable.HasOutstandingWork(f.mNow));
  }
  SECTION("a POST is finished and its answer is kept for a while")
  {
    const std::string sent = f.Send(f.Start(post));
    f.mNow += seconds(20);
    CHECK(f.mTable.HasOutstandingWork(f.mNow));
    f.Reply(sent, coap::kContent, "done");
    CHECK(f.mTable.HasOutstandingWork(f.mNow));
    f.mNow += seconds(5);
    CHECK_FALSE(f.mTable.HasOutstandingWork(f.mNow));
  }
}

TEST_CASE("Memory is bounded and an evicted request is not run again",
          "[requests]")
{
  RequestSettings settings = Settings(kSelf);
  settings.mMaxRequests = 2;
  Fixture f(settings);
  const auto post = [&f](uint16_t aMessageId) {
    RequestBytes request;
    request.mMessageId = aMessageId;
    return f.RequestWithEcho(request);
  };
  const RequestBytes first = post(10);
  const uint32_t serial = f.Start(first);
  f.Start(post(20));
  const RequestBytes third = post(30);
  CHECK(f.Answer(third) == "5.3 not run");
  f.Reply(f.Send(serial), coap::kContent, "done");
  // There is room now, but the refusal has revoked the Echo value.
  CHECK(f.Answer(third) == "5.3 not run");
  CHECK(f.Answer(post(40)) == "start");
  CHECK(f.mTable.Counters().mEvicted == 1);
  CHECK(f.Answer(first) == "5.4 unknown");
  CHECK(f.mTable.OpenRequests() == 2);
}

TEST_CASE("Stored bytes are bounded and answers to POSTs are evicted last",
          "[requests]")
{
  RequestSettings settings = Settings(kSelf);
  settings.mMaxBytes = 6000;
  Fixture f(settings);
  const RequestBytes post = f.RequestWithEcho({});
  const std::string answer(1000, 'x');
  f.Reply(f.Send(f.Start(post)), coap::kContent, answer);
  RequestBytes get;
  get.mCode = coap::kGet;
  for (get.mMessageId = 10; get.mMessageId < 60; ++get.mMessageId) {
    f.Reply(f.Send(f.Start(get)), coap::kContent, answer);
    CHECK(f.mTable.StoredBytes() <= settings.mMaxBytes);
  }
  CHECK(f.mTable.Counters().mEvicted > 0);
  CHECK(f.Answer(post) == "2.5 " + answer);
}

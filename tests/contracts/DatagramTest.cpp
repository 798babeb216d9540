#include <catch2/catch.hpp>

#include "BalancerFixture.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/Encapsulation.h"

using namespace foxtail;
using namespace foxtail::tests;
using namespace std::string_literals;

namespace {

constexpr uint8_t kPlainGet[] = { 0x41, 0x01, 0x00, 0x01, 'a' };
const std::string kGetHeader(std::begin(kPlainGet), std::end(kPlainGet));
const std::string kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
const std::string kAddresses("\x7F\x28\x01\x01\x7F\x28\x00\x01"
                             "\x0F\xA0\x16\x33",
                             12);

template<typename Call>
int
ErrorOf(Call aCall)
{
  try {
    aCall();
  } catch (const NetError& e) {
    return e.Id();
  }
  return 0;
}

struct Row
{
  const char* mName;
  int mError;
  std::string mBytes;
};

// True if the only action is the report of this error.
bool
OnlyReports(const BalancerFixture& aFixture, int aError)
{
  const auto* report = aFixture.Last<balancer::ReportEvent>();
  const std::string expected = "[foxtail.net." + std::to_string(aError) + "]";
  return aFixture.mActions.Items().size() == 1 && report != nullptr &&
         report->mEvent.mId == 6001 &&
         report->mEvent.mDetail.find(expected) == 0;
}

std::string
Sized(size_t aSize)
{
  std::string out = kGetHeader + '\xFF';
  out.resize(aSize, 'x');
  return out;
}

} // namespace

TEST_CASE("A bad CoAP datagram is refused, counted and dropped", "[badinput]")
{
  const Row row = GENERATE(values<Row>({
    { "nothing", 610, "" },
    { "one byte", 610, "\x40" },
    { "header cut after the code", 610, "\x40\x01" },
    { "header cut in the message id", 610, "\x40\x01\x01" },
    { "version 0", 610, "\x01\x01\x00\x01"s + "a" },
    { "version 2", 610, "\x81\x01\x00\x01"s + "a" },
    { "version 3", 610, "\xC1\x01\x00\x01"s + "a" },
    { "token cut short", 610, "\x44\x01\x00\x01"s + "abc" },
    { "token absent", 610, "\x48\x01\x00\x01"s },
    { "token of 9 bytes", 610, "\x49\x01\x00\x01"s + "abcdefghi" },
    { "token length 13", 610, "\x4D\x01\x00\x01"s + Sized(40) },
    { "token length 14", 610, "\x4E\x01\x00\x01"s + Sized(400) },
    { "token length 15", 610, "\x4F\x01\x00\x01"s + "abcdefghijklmno" },
    { "empty message with a token", 610, "\x41\x00\x00\x01"s + "a" },
    { "empty message with a payload", 610, "\x40\x00\x00\x01\xFF"s + "x" },
    { "payload marker without a payload", 610, kGetHeader + "\xFF" },
    { "option delta 15", 610, kGetHeader + "\xF1" + "x" },
    { "option length 15", 610, kGetHeader + "\xBF" + "pay" },
    { "option cut short", 610, kGetHeader + "\xB3" + "pa" },
    { "option without its value", 610, kGetHeader + "\xB1" },
    { "one-byte delta missing", 610, kGetHeader + "\xD0" },
    { "two-byte delta cut", 610, kGetHeader + "\xE0\x01" },
    { "one-byte length missing", 610, kGetHeader + "\xBD" },
    { "two-byte length cut", 610, kGetHeader + "\xBE\x01" },
    { "option longer than the datagram", 610, kGetHeader + "\xBE\xFF\xFF" },
    { "option number past 65535", 610, kGetHeader + "\xE0\xFF\xFF" },
    { "option numbers that sum to past 65535",
      610,
      kGetHeader + "\xE0\xFE\x00\xE0\x01\x00"s },
    { "Echo cut short", 610, kGetHeader + "\xDD\xEF\x1B" + "x" },
    { "deadline cut short", 610, kGetHeader + "\xE8\xFC\xDD" + "1234567" },
    { "Block1 of four bytes", 610, kGetHeader + "\xD4\x0E" + "abcd" },
    { "Block2 of four bytes", 610, kGetHeader + "\xD4\x0A" + "abcd" },
    { "Max-Age of five bytes", 610, kGetHeader + "\xD5\x01" + "abcde" },
    { "one byte too long", 611, Sized(coap::kMaxDatagram + 1) },
    { "as long as UDP receives", 611, Sized(2020) },
    { "as long as UDP can carry", 611, Sized(65507) },
  }));
  INFO(row.mName);
  CHECK(ErrorOf([&] { coap::Decode(row.mBytes); }) == row.mError);

  BalancerFixture fixture;
  RequestBytes posting;
  const auto accepted = fixture.Start(posting);
  REQUIRE(accepted);
  const uint8_t hops = GENERATE(uint8_t{ 0 }, uint8_t{ 1 }, uint8_t{ 255 });
  fixture.Receive(row.mBytes, hops);
  CHECK(OnlyReports(fixture, row.mError));
  fixture.ReceiveFromUpstream(accepted->mUpstream, row.mBytes);
  CHECK(OnlyReports(fixture, row.mError));
  CHECK(fixture.mBalancer.Counters().mMalformed == 2);

  CHECK(fixture.Finish(*accepted));
  CHECK(fixture.Serves(coap::kGet, 100));
  CHECK(fixture.Serves(coap::kPost, 200));
}

TEST_CASE("A bad PROXY header is refused", "[badinput]")
{
  const std::string start = kSignature + "\x21\x12";
  const Row row = GENERATE_COPY(values<Row>({
    { "nothing", 620, "" },
    { "no signature", 620, Sized(64) },
    { "signature cut short", 620, kSignature.substr(0, 11) },
    { "fixed part cut short", 620, start + "\0"s },
    { "signature with a wrong byte",
      620,
      kSignature.substr(0, 11) + "\r\x21\x12\0\x0C"s + kAddresses },
    { "version 1", 620, "PROXY UDP4 127.40.1.1 127.40.0.1 4000 5683\r\n" },
    { "version 3", 620, kSignature + "\x31\x12\0\x0C"s + kAddresses },
    { "LOCAL command", 620, kSignature + "\x20\x12\0\x0C"s + kAddresses },
    { "unknown command", 620, kSignature + "\x22\x12\0\x0C"s + kAddresses },
    { "IPv4 stream", 620, kSignature + "\x21\x11\0\x0C"s + kAddresses },
    { "IPv6 datagram",
      620,
      kSignature + "\x21\x22\0\x24"s + kAddresses + kAddresses + kAddresses },
    { "Unix socket", 620, kSignature + "\x21\x32\0\x0C"s + kAddresses },
    { "unspecified family", 620, kSignature + "\x21\x02\0\x0C"s + kAddresses },
    { "no addresses", 621, start + "\0\0"s },
    { "addresses one byte short", 621, start + "\0\x0B"s + kAddresses },
    { "addresses cut", 621, start + "\0\x0C"s + kAddresses.substr(1) },
    { "length past the end", 621, start + "\xFF\xFF" + kAddresses },
    { "TLV of one byte", 621, start + "\0\x0D"s + kAddresses + "\xE0" },
    { "TLV of two bytes", 621, start + "\0\x0E"s + kAddresses + "\xE0\0"s },
    { "TLV longer than the header",
      621,
      start + "\0\x0F"s + kAddresses + "\xE0\0\x01\x01"s },
    { "TLV length of 65535",
      621,
      start + "\0\x10"s + kAddresses + "\xE0\xFF\xFF\x01"s },
    { "second TLV cut",
      621,
      start + "\0\x11"s + kAddresses + "\x04\0\0\xE0\0"s },
  }));
  INFO(row.mName);
  CHECK(ErrorOf([&] { net::Unwrap(row.mBytes); }) == row.mError);
  CHECK(ErrorOf([&] { net::UnwrapReturn(row.mBytes); }) == row.mError);

  BalancerFixture fixture;
  try {
    net::Unwrap(row.mBytes);
  } catch (const NetError& e) {
    fixture.mBalancer.Drop(e, fixture.mActions);
  }
  CHECK(OnlyReports(fixture, row.mError));
  CHECK(fixture.mBalancer.Counters().mMalformed == 1);
}

TEST_CASE("A well-formed datagram out of place does no harm", "[badinput]")
{
  BalancerFixture fixture;
  const auto accepted = fixture.Start({});
  REQUIRE(accepted);
  const balancer::BalancerCounters& counters = fixture.mBalancer.Counters();
  const auto& requests = fixture.mBalancer.Requests().Counters();

  SECTION("a message of a caller that is neither request nor empty")
  {
    const auto code = GENERATE(as<int>{}, 0x20, 0x3F, 0x45, 0x80, 0xA3, 0xC0);
    fixture.Receive("\x40"s + static_cast<char>(code) + "\x00\x07"s);
    CHECK(OnlyReports(fixture, 612));
    CHECK(counters.mMalformed == 1);
  }
  SECTION("a message of an upstream that is neither answer nor empty")
  {
    const auto code = GENERATE(as<int>{}, 0x01, 0x02, 0x1F, 0x20, 0x3F, 0xC0);
    std::string bytes = accepted->mBytes;
    bytes[1] = static_cast<char>(code);
    fixture.ReceiveFromUpstream(accepted->mUpstream, bytes);
    CHECK(fixture.Last<balancer::ToCaller>() == nullptr);
    CHECK(requests.mStaleAnswers == 1);
  }
  SECTION("an answer from an address that was not asked")
  {
    const std::string answer =
      EncodeReply(coap::Decode(accepted->mBytes), coap::kContent, "forged");
    const Address from = GENERATE_COPY(Address{ 0x7F280399, 5683 },
                                       Address{ accepted->mUpstream.mIp, 1 });
    fixture.ReceiveFromUpstream(from, answer);
    CHECK(fixture.Last<balancer::ToCaller>() == nullptr);
    CHECK(requests.mStaleAnswers == 1);
  }
  SECTION("an answer with a token that is not ours")
  {
    const std::string token =
      GENERATE(""s, "a"s, "1234567"s, "12345678"s, "\0\0\0\2\xFF\xFF\xFF\xFF"s);
    std::string answer(1, static_cast<char>(0x50 | token.size()));
    answer += "\x45\x00\x07"s + token + "\xFFx";
    fixture.ReceiveFromUpstream(accepted->mUpstream, answer);
    CHECK(fixture.Last<balancer::ToCaller>() == nullptr);
    CHECK(requests.mStaleAnswers == 1);
  }
  SECTION("an Echo value that was not issued here never runs")
  {
    std::string unknownIssuer(requests::kEchoValueSize, '\0');
    const std::string echo =
      GENERATE_COPY("x"s, "12345678"s, unknownIssuer, std::string(40, '\xFF'));
    RequestBytes posting;
    posting.mMessageId = 50;
    posting.mEcho = echo;
    fixture.Receive(Encode(posting));
    CHECK(fixture.Last<balancer::ToUpstream>() == nullptr);
  }
  SECTION("a block of a larger posting is not run")
  {
    RequestBytes posting;
    posting.mMessageId = 60;
    posting.mMoreBlocks = true;
    fixture.Receive(Encode(posting));
    const std::string answer = fixture.LastBytes<balancer::ToCaller>();
    REQUIRE(!answer.empty());
    CHECK(coap::Decode(answer).mCode == coap::kTooLarge);
  }
  SECTION("a service that doesn't exist")
  {
    RequestBytes get;
    get.mCode = coap::kGet;
    const FlowKey flow{ fixture.mFlow.mCaller, { 0x7F280001, 1 } };
    fixture.Receive(flow, Encode(get), 0);
    const std::string answer = fixture.LastBytes<balancer::ToCaller>();
    REQUIRE(!answer.empty());
    CHECK(+coap::Decode(answer).mCode == coap::kNotFound);
  }
  SECTION("a deadline that passed or never comes")
  {
    // 1 ms after the epoch, and the greatest 64-bit number of milliseconds.
    const std::string value = GENERATE("\x01"s, std::string(8, '\xFF'));
    const bool passed = value.size() == 1;
    std::string get = kGetHeader;
    get.push_back(static_cast<char>(0xE0 | value.size()));
    get += "\xFC\xDD" + value;
    fixture.Receive(get);
    CHECK((fixture.Last<balancer::ToUpstream>() == nullptr) == passed);
  }
  CHECK(fixture.Finish(*accepted));
  CHECK(fixture.Serves(coap::kPost, 200));
}

TEST_CASE("Datagrams are not forwarded in loops or if they are too long",
          "[badinput]")
{
  BalancerFixture fixture(true);
  // Finds a flow that the peer owns.
  FlowKey flow = fixture.mFlow;
  const std::string get = Encode(Request(coap::kGet, 1));
  do {
    ++flow.mCaller.mPort;
    fixture.Receive(flow, get, 0);
  } while (fixture.Last<balancer::ToPeer>() == nullptr);
  const uint64_t forwarded = fixture.mBalancer.Counters().mForwarded;

  SECTION("too long for any balancer")
  {
    // The longest datagram from the fabric doesn't fit into one to a peer.
    fixture.Receive(flow, Sized(2020), 0);
    CHECK(OnlyReports(fixture, 611));
    CHECK(fixture.mBalancer.Counters().mMalformed == 1);
    CHECK(fixture.mBalancer.Counters().mForwarded == forwarded);
  }
  SECTION("forwarded too often")
  {
    // Only the peer that issued the Echo value can validate it.
    RequestBytes posting;
    posting.mEcho.assign(requests::kEchoValueSize, '\0');
    // The peer's incarnation in network order.
    posting.mEcho[3] = BalancerFixture::kPeer >> 32;
    fixture.Receive(fixture.mFlow, Encode(posting), 1);
    CHECK(fixture.Last<balancer::ToPeer>() != nullptr);
    CHECK(fixture.mBalancer.Counters().mUnforwardable == 0);
    const auto hops = GENERATE(as<uint8_t>{}, 6, 7, 255);
    fixture.Receive(fixture.mFlow, Encode(posting), hops);
    CHECK(fixture.mActions.Items().empty());
    CHECK(fixture.mBalancer.Counters().mUnforwardable == 1);
  }
  CHECK(fixture.Serves(coap::kPost, 200));
}

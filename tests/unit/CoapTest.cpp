#include <catch2/catch.hpp>

#include "foxtail/coap/Message.h"
#include "foxtail/core/Error.h"

using namespace foxtail;
using namespace foxtail::coap;

namespace {

// POST, token 0xAB, Uri-Path "pay", Echo "xy", payload "5".
const std::string kPostRequest("\x41\x02\x12\x34\xAB"
                               "\xB3pay"
                               "\xD2\xE4xy"
                               "\xFF"
                               "5",
                               15);

} // namespace

TEST_CASE("Decode reads a request", "[coap]")
{
  const Message m = Decode(kPostRequest);
  CHECK(m.IsRequest());
  CHECK_FALSE(m.IsIdempotent());
  CHECK(m.mMessageId == 0x1234);
  CHECK(m.mToken.mLength == 1);
  REQUIRE(m.mEcho);
  CHECK(*m.mEcho == "xy");
  CHECK(m.mPayload == "5");
}

TEST_CASE("EncodeRelayed replaces the header and removes Echo", "[coap]")
{
  std::string out;
  EncodeRelayed(Decode(kPostRequest),
                Type::Confirmable,
                7,
                Token::FromValue(0x0102030405060708),
                out);
  const Message m = Decode(out);
  CHECK(m.mMessageId == 7);
  CHECK(m.mToken.Value() == 0x0102030405060708);
  CHECK_FALSE(m.mEcho);
  CHECK(m.mPayload == "5");
  CHECK(RequestDigest(m) == RequestDigest(Decode(kPostRequest)));
}

TEST_CASE("EncodeResponse can be decoded", "[coap]")
{
  std::string out;
  EncodeResponse({ kUnavailable, "", seconds(3), "not run" },
                 Type::Acknowledgement,
                 9,
                 Token{},
                 out);
  const Message m = Decode(out);
  CHECK(m.mCode == kUnavailable);
  CHECK(m.mMaxAge == seconds(3));
  CHECK(m.mPayload == "not run");
}

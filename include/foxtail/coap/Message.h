#ifndef foxtail_coap_Message_h
#define foxtail_coap_Message_h

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtail/core/Error.h"
#include "foxtail/core/Time.h"

namespace foxtail::coap {

// The largest CoAP datagram that is accepted or sent, in bytes.
constexpr size_t kMaxDatagram = 1400;
// Number of the elective option that carries the absolute deadline of a request
// in milliseconds since the Unix epoch (unsigned integer as in RFC 7252). The
// number is in the experimental range.
constexpr uint16_t kDeadlineOption = 65002;
// Number of the Echo option (RFC 9175).
constexpr uint16_t kEchoOption = 252;

enum class Type : uint8_t
{
  Confirmable = 0,
  NonConfirmable = 1,
  Acknowledgement = 2,
  Reset = 3
};

// The CoAP code with this class and detail: Code(4, 1) is "4.01".
constexpr uint8_t
Code(int aClass, int aDetail)
{
  return static_cast<uint8_t>(aClass << 5 | aDetail);
}

constexpr uint8_t kEmpty = Code(0, 0);
constexpr uint8_t kGet = Code(0, 1);
constexpr uint8_t kPost = Code(0, 2);
constexpr uint8_t kPut = Code(0, 3);
constexpr uint8_t kDelete = Code(0, 4);
constexpr uint8_t kFetch = Code(0, 5);
constexpr uint8_t kPatch = Code(0, 6);
constexpr uint8_t kIPatch = Code(0, 7);
constexpr uint8_t kContent = Code(2, 5);
constexpr uint8_t kUnauthorized = Code(4, 1);
constexpr uint8_t kNotFound = Code(4, 4);
constexpr uint8_t kTooLarge = Code(4, 13);
constexpr uint8_t kUnavailable = Code(5, 3);
constexpr uint8_t kGatewayTimeout = Code(5, 4);

// A CoAP token of 0 to 8 bytes.
struct Token
{
  std::array<uint8_t, 8> mBytes{};
  uint8_t mLength = 0;

  // A token of the 8 bytes of aValue in network byte order.
  static Token FromValue(uint64_t aValue);
  // The value of an 8-byte token; empty for any other length.
  std::optional<uint64_t> Value() const;

  friend bool operator==(const Token& a, const Token& b)
  {
    return a.mLength == b.mLength && a.mBytes == b.mBytes;
  }
  template<typename H>
  friend H AbslHashValue(H h, const Token& a)
  {
    return H::combine(std::move(h), a.mBytes, a.mLength);
  }
};

// A Block1 or Block2 option (RFC 7959).
struct Block
{
  uint32_t mNumber = 0;
  bool mMore = false;
  // SZX of RFC 7959: the block size is 2^(mSizeExponent + 4) bytes.
  uint8_t mSizeExponent = 0;
};

// A decoded datagram. The string views point into the decoded datagram, which
// must outlive the message.
struct Message
{
  Type mType = Type::Confirmable;
  uint8_t mCode = kEmpty;
  uint16_t mMessageId = 0;
  Token mToken;
  // The encoded options, payload marker and payload: all of the datagram after
  // the header and token.
  std::string_view mOptionsAndPayload;
  std::string_view mPayload;
  std::optional<std::string_view> mEcho;
  std::optional<WallTime> mDeadline;
  std::optional<Block> mBlock1;
  std::optional<Block> mBlock2;
  std::optional<seconds> mMaxAge;

  bool IsRequest() const { return mCode >= Code(0, 1) && mCode <= Code(0, 31); }
  // Classes 6 and 7 are reserved and do not count as responses.
  bool IsResponse() const
  {
    return mCode >= Code(2, 0) && mCode <= Code(5, 31);
  }
  bool IsEmpty() const { return mCode == kEmpty; }
  // True for methods that can run more than once without further effect.
  // Unknown methods count as not idempotent.
  bool IsIdempotent() const;
};

// Decodes one datagram. Throws NetError 610 if the datagram is not a CoAP
// message, and 611 if it is longer than kMaxDatagram.
Message
Decode(std::string_view aDatagram);

// The NetError 611 that Decode throws, for code that rejects an oversized
// datagram without decoding it.
NetError
MakeDatagramTooLongError();

// Stable digest of the method, payload and options of a request, except the
// Echo and deadline options. Requests with equal digests ask for the same
// thing.
uint64_t
RequestDigest(const Message& aRequest);

// Encodes a message with a new type, message ID and token into aOut. The code,
// options and payload stay, except that the Echo option of a request is
// removed.
void
EncodeRelayed(const Message& aMessage,
              Type aType,
              uint16_t aMessageId,
              const Token& aToken,
              std::string& aOut);

// The contents of a response that this process creates itself.
struct ResponseContent
{
  uint8_t mCode = kUnavailable;
  std::string_view mEcho;
  std::optional<seconds> mMaxAge;
  // Diagnostic payload in plain text; no payload if empty.
  std::string_view mText;
};

// Encodes a response with these contents into aOut.
void
EncodeResponse(const ResponseContent& aContent,
               Type aType,
               uint16_t aMessageId,
               const Token& aToken,
               std::string& aOut);

// Encodes an empty acknowledgement or reset into aOut.
void
EncodeEmpty(Type aType, uint16_t aMessageId, std::string& aOut);

} // namespace foxtail::coap

#endif

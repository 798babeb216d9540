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

// The largest datagram that is accepted or sent, in bytes.
constexpr size_t kMaxDatagram = 1400;
// Elective option that carries a request's absolute deadline, as milliseconds
// since the Unix epoch (RFC 7252 unsigned integer, experimental range).
constexpr uint16_t kDeadlineOption = 65002;
// RFC 9175.
constexpr uint16_t kEchoOption = 252;

enum class Type : uint8_t
{
  Confirmable = 0,
  NonConfirmable = 1,
  Acknowledgement = 2,
  Reset = 3
};

// A code as class and detail, "4.01" being Code(4, 1).
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

// Token of zero to eight bytes.
struct Token
{
  std::array<uint8_t, 8> mBytes{};
  uint8_t mLength = 0;

  // The eight bytes of aValue in network order.
  static Token FromValue(uint64_t aValue);
  // The value of an eight-byte token; empty for any other length.
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

// RFC 7959 block option.
struct Block
{
  uint32_t mNumber = 0;
  bool mMore = false;
  uint8_t mSizeExponent = 0;
};

// A decoded datagram. The views point into the datagram that was decoded.
struct Message
{
  Type mType = Type::Confirmable;
  uint8_t mCode = kEmpty;
  uint16_t mMessageId = 0;
  Token mToken;
  // Options and payload as they stood, without header and token.
  std::string_view mOptionsAndPayload;
  std::string_view mPayload;
  std::optional<std::string_view> mEcho;
  std::optional<WallTime> mDeadline;
  std::optional<Block> mBlock1;
  std::optional<Block> mBlock2;
  std::optional<seconds> mMaxAge;

  bool IsRequest() const { return mCode >= Code(0, 1) && mCode <= Code(0, 31); }
  // Classes 6 and 7 are no answers.
  bool IsResponse() const
  {
    return mCode >= Code(2, 0) && mCode <= Code(5, 31);
  }
  bool IsEmpty() const { return mCode == kEmpty; }
  // True for methods that may run more than once without further effect.
  // Methods unknown here count as not idempotent.
  bool IsIdempotent() const;
};

// Reads one datagram. Throws NetError 610 when it is no CoAP message, 611 when
// it is longer than kMaxDatagram.
Message
Decode(std::string_view aDatagram);

// The NetError 611 of Decode, for datagrams that aren't decoded.
NetError
MakeDatagramTooLongError();

// Stable digest of what a request asks for: method, options except Echo and
// the deadline, and payload. Two requests with equal digests ask for the same.
uint64_t
RequestDigest(const Message& aRequest);

// The message with a new header: type, message id and token; options and
// payload stay, but for an Echo option, which is removed from requests.
void
EncodeRelayed(const Message& aMessage,
              Type aType,
              uint16_t aMessageId,
              const Token& aToken,
              std::string& aOut);

// What an answer made here carries besides its header.
struct ResponseContent
{
  uint8_t mCode = kUnavailable;
  std::string_view mEcho;
  std::optional<seconds> mMaxAge;
  // Diagnostic payload, plain text.
  std::string_view mText;
};

void
EncodeResponse(const ResponseContent& aContent,
               Type aType,
               uint16_t aMessageId,
               const Token& aToken,
               std::string& aOut);

// An empty acknowledgement or reset.
void
EncodeEmpty(Type aType, uint16_t aMessageId, std::string& aOut);

} // namespace foxtail::coap

#endif

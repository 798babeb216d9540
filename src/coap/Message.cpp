#include "foxtail/coap/Message.h"

#include <algorithm>
#include <coap3/coap.h>
#include <coap3/libcoap.h>
#include <memory>
#include <vector>

#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"

namespace foxtail::coap {

namespace {

constexpr size_t kHeaderSize = 4;
constexpr uint8_t kVersionBits = 1 << 6;
constexpr char kPayloadMarker = static_cast<char>(0xFF);

struct PduDeleter
{
  void operator()(coap_pdu_t* aPdu) const { coap_delete_pdu(aPdu); }
};
using PduPtr = std::unique_ptr<coap_pdu_t, PduDeleter>;

PduPtr
Parse(std::string_view aDatagram)
{
  // Disables the log of libcoap; a malformed datagram is reported as NetError.
  static const bool sIsLogLevelSet = (coap_set_log_level(LOG_EMERG), true);
  static_cast<void>(sIsLogLevelSet);
  PduPtr pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, kMaxDatagram));
  const auto* bytes = reinterpret_cast<const uint8_t*>(aDatagram.data());
  if (!pdu || aDatagram.size() < kHeaderSize ||
      !coap_pdu_parse(COAP_PROTO_UDP, bytes, aDatagram.size(), pdu.get())) {
    throw NetError(610, "datagram", "not a CoAP message (RFC 7252)");
  }
  return pdu;
}

uint64_t
ReadUint(std::string_view aValue)
{
  uint64_t n = 0;
  for (const char c : aValue) {
    n = n << 8 | static_cast<uint8_t>(c);
  }
  return n;
}

Block
ReadBlock(std::string_view aValue)
{
  const uint64_t n = ReadUint(aValue.substr(0, 3));
  return Block{ static_cast<uint32_t>(n >> 4),
                (n & 8) != 0,
                static_cast<uint8_t>(n & 7) };
}

// Iterates over the options of a datagram that Parse has accepted. aBytes are
// the bytes after the token, as in Message::mOptionsAndPayload.
class OptionReader
{
public:
  explicit OptionReader(std::string_view aBytes)
    : mRest(aBytes)
  {
  }

  // Moves to the next option. Returns false at the payload marker or the end.
  // Throws NetError 610 if the option is malformed.
  bool Next()
  {
    if (mRest.empty() || mRest[0] == kPayloadMarker) {
      return false;
    }
    coap_option_t option;
    const auto* bytes = reinterpret_cast<const coap_opt_t*>(mRest.data());
    const size_t size = coap_opt_parse(bytes, mRest.size(), &option);
    if (size == 0) {
      throw NetError(610, "datagram", "malformed CoAP option");
    }
    mNumber += option.delta;
    mValue = std::string_view(reinterpret_cast<const char*>(option.value),
                              option.length);
    mRest.remove_prefix(size);
    return true;
  }

  uint16_t Number() const { return static_cast<uint16_t>(mNumber); }
  std::string_view Value() const { return mValue; }
  // The payload marker and payload after Next has returned false; empty if
  // there is no payload.
  std::string_view Rest() const { return mRest; }

private:
  std::string_view mRest;
  std::string_view mValue;
  uint32_t mNumber = 0;
};

void
ReadOption(uint16_t aNumber, std::string_view aValue, Message& aMessage)
{
  switch (aNumber) {
    case kEchoOption:
      aMessage.mEcho = aValue;
      break;
    case kDeadlineOption:
      if (aValue.size() <= sizeof(uint64_t)) {
        // A deadline later than this is over a century after the epoch and has
        // the effect of no deadline.
        constexpr uint64_t kMaxDeadlineMs = 4'000'000'000'000ULL;
        const uint64_t ms = std::min(ReadUint(aValue), kMaxDeadlineMs);
        aMessage.mDeadline = WallTime(milliseconds(ms));
      }
      break;
    case COAP_OPTION_BLOCK1:
      aMessage.mBlock1 = ReadBlock(aValue);
      break;
    case COAP_OPTION_BLOCK2:
      aMessage.mBlock2 = ReadBlock(aValue);
      break;
    case COAP_OPTION_MAXAGE:
      aMessage.mMaxAge =
        seconds(static_cast<uint32_t>(ReadUint(aValue.substr(0, 4))));
      break;
    default:
      break;
  }
}

void
WriteHeader(Type aType,
            uint8_t aCode,
            uint16_t aMessageId,
            const Token& aToken,
            std::string& aOut)
{
  aOut.clear();
  aOut.push_back(static_cast<char>(
    kVersionBits | static_cast<uint8_t>(aType) << 4 | aToken.mLength));
  aOut.push_back(static_cast<char>(aCode));
  aOut.push_back(static_cast<char>(aMessageId >> 8));
  aOut.push_back(static_cast<char>(aMessageId & 0xFF));
  aOut.append(reinterpret_cast<const char*>(aToken.mBytes.data()),
              aToken.mLength);
}

// Appends one option to aOut. CoAP encodes an option number as the difference
// from the number of the previous option, aPreviousNumber, which is then set to
// aNumber.
void
WriteOption(uint16_t aNumber,
            std::string_view aValue,
            uint16_t& aPreviousNumber,
            std::string& aOut)
{
  const uint16_t delta = aNumber - aPreviousNumber;
  const size_t size = coap_opt_encode_size(delta, aValue.size());
  const size_t at = aOut.size();
  aOut.resize(at + size);
  coap_opt_encode(reinterpret_cast<coap_opt_t*>(&aOut[at]),
                  size,
                  delta,
                  reinterpret_cast<const uint8_t*>(aValue.data()),
                  aValue.size());
  aPreviousNumber = aNumber;
}

} // namespace

Token
Token::FromValue(uint64_t aValue)
{
  Token token;
  token.mLength = sizeof(aValue);
  for (size_t i = 0; i < sizeof(aValue); ++i) {
    token.mBytes[i] = static_cast<uint8_t>(aValue >> (56 - 8 * i));
  }
  return token;
}

std::optional<uint64_t>
Token::Value() const
{
  if (mLength != sizeof(uint64_t)) {
    return std::nullopt;
  }
  return ReadUint(
    { reinterpret_cast<const char*>(mBytes.data()), sizeof(uint64_t) });
}

bool
Message::IsIdempotent() const
{
  return mCode == kGet || mCode == kPut || mCode == kDelete ||
         mCode == kFetch || mCode == kIPatch;
}

NetError
MakeDatagramTooLongError()
{
  return NetError(611, "datagram", "longer than 1400 bytes");
}

Message
Decode(std::string_view aDatagram)
{
  if (aDatagram.size() > kMaxDatagram) {
    throw MakeDatagramTooLongError();
  }
  const PduPtr pdu = Parse(aDatagram);
  Message message;
  message.mType = static_cast<Type>(coap_pdu_get_type(pdu.get()));
  message.mCode = static_cast<uint8_t>(coap_pdu_get_code(pdu.get()));
  message.mMessageId = static_cast<uint16_t>(coap_pdu_get_mid(pdu.get()));
  const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
  if (token.length > message.mToken.mBytes.size()) {
    throw NetError(610, "datagram", "token longer than 8 bytes");
  }
  message.mToken.mLength = static_cast<uint8_t>(token.length);
  std::copy_n(token.s, token.length, message.mToken.mBytes.begin());
  message.mOptionsAndPayload = aDatagram.substr(kHeaderSize + token.length);

  OptionReader reader(message.mOptionsAndPayload);
  while (reader.Next()) {
    ReadOption(reader.Number(), reader.Value(), message);
  }
  if (!reader.Rest().empty()) {
    message.mPayload = reader.Rest().substr(1);
  }
  return message;
}

uint64_t
RequestDigest(const Message& aRequest)
{
  // The seed must be the same in all processes.
  uint64_t digest = MixHash(0xD16E57, aRequest.mCode);
  OptionReader reader(aRequest.mOptionsAndPayload);
  while (reader.Next()) {
    if (reader.Number() == kEchoOption || reader.Number() == kDeadlineOption) {
      continue;
    }
    digest = StableHash(reader.Value(), MixHash(digest, reader.Number()));
  }
  return StableHash(aRequest.mPayload, digest);
}

void
EncodeRelayed(const Message& aMessage,
              Type aType,
              uint16_t aMessageId,
              const Token& aToken,
              std::string& aOut)
{
  WriteHeader(aType, aMessage.mCode, aMessageId, aToken, aOut);
  if (!aMessage.IsRequest() || !aMessage.mEcho) {
    aOut.append(aMessage.mOptionsAndPayload);
    return;
  }
  OptionReader reader(aMessage.mOptionsAndPayload);
  uint16_t previousNumber = 0;
  while (reader.Next()) {
    if (reader.Number() != kEchoOption) {
      WriteOption(reader.Number(), reader.Value(), previousNumber, aOut);
    }
  }
  aOut.append(reader.Rest());
}

void
EncodeResponse(const ResponseContent& aContent,
               Type aType,
               uint16_t aMessageId,
               const Token& aToken,
               std::string& aOut)
{
  WriteHeader(aType, aContent.mCode, aMessageId, aToken, aOut);
  uint16_t previousNumber = 0;
  if (aContent.mMaxAge) {
    uint8_t buf[4];
    const size_t n = coap_encode_var_safe(
      buf, sizeof(buf), static_cast<unsigned>(aContent.mMaxAge->count()));
    WriteOption(COAP_OPTION_MAXAGE,
                { reinterpret_cast<const char*>(buf), n },
                previousNumber,
                aOut);
  }
  if (!aContent.mEcho.empty()) {
    WriteOption(kEchoOption, aContent.mEcho, previousNumber, aOut);
  }
  if (!aContent.mText.empty()) {
    aOut.push_back(kPayloadMarker);
    aOut.append(aContent.mText);
  }
}

void
EncodeEmpty(Type aType, uint16_t aMessageId, std::string& aOut)
{
  WriteHeader(aType, kEmpty, aMessageId, Token{}, aOut);
}

} // namespace foxtail::coap

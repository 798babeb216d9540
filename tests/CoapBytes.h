#ifndef foxtail_tests_CoapBytes_h
#define foxtail_tests_CoapBytes_h

#include <string>
#include <string_view>

#include "foxtail/coap/Message.h"

namespace foxtail::tests {

// Fields of one request of a caller.
struct RequestBytes
{
  uint8_t mCode = coap::kPost;
  uint16_t mMessageId = 1;
  char mToken = 'a';
  std::string mEcho;
  std::string mPayload = "5";
  bool mConfirmable = true;
  // Adds a Block1 option that announces another block.
  bool mMoreBlocks = false;
};

inline void
PutOption(std::string& aOut, int aDelta, std::string_view aValue)
{
  const auto nibble = [](size_t n) { return n < 13 ? n : 13; };
  const auto extension = [&aOut](size_t n) {
    if (n >= 13) {
      aOut.push_back(static_cast<char>(n - 13));
    }
  };
  const size_t delta = aDelta;
  aOut.push_back(static_cast<char>(nibble(delta) << 4 | nibble(aValue.size())));
  extension(delta);
  extension(aValue.size());
  aOut.append(aValue);
}

inline std::string
Encode(const RequestBytes& aRequest)
{
  std::string out;
  out.push_back(aRequest.mConfirmable ? 0x41 : 0x51);
  out.push_back(static_cast<char>(aRequest.mCode));
  out.push_back(static_cast<char>(aRequest.mMessageId >> 8));
  out.push_back(static_cast<char>(aRequest.mMessageId & 0xFF));
  out.push_back(aRequest.mToken);
  constexpr int kUriPath = 11;
  constexpr int kBlock1 = 27;
  PutOption(out, kUriPath, "pay");
  int last = kUriPath;
  if (aRequest.mMoreBlocks) {
    PutOption(out, kBlock1 - last, "\x0E");
    last = kBlock1;
  }
  if (!aRequest.mEcho.empty()) {
    PutOption(out, coap::kEchoOption - last, aRequest.mEcho);
  }
  out.push_back(static_cast<char>(0xFF));
  out.append(aRequest.mPayload);
  return out;
}

// Encodes an upstream's answer to a datagram that a balancer sent. The answer
// is piggybacked unless aType is another type.
inline std::string
EncodeReply(const coap::Message& aRequest,
            uint8_t aCode,
            std::string_view aText,
            coap::Type aType = coap::Type::Acknowledgement)
{
  std::string out;
  coap::EncodeResponse({ aCode, "", std::nullopt, aText },
                       aType,
                       aRequest.mMessageId,
                       aRequest.mToken,
                       out);
  return out;
}

} // namespace foxtail::tests

#endif

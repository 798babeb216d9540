#ifndef foxtail_standins_CoapOptions_h
#define foxtail_standins_CoapOptions_h

#include <map>
#include <string>
#include <string_view>

#include "foxtail/coap/Message.h"

namespace foxtail::standins {

constexpr uint16_t kETagOption = 4;
constexpr uint16_t kUriPathOption = 11;
constexpr uint16_t kMaxAgeOption = 14;
constexpr uint16_t kUriQueryOption = 15;
constexpr uint16_t kBlock2Option = 23;
// Elective option in responses: the name of the upstream that sent them.
constexpr uint16_t kServedByOption = 65010;

// Options by number; repeated options keep their order.
using Options = std::multimap<uint16_t, std::string>;

// Parses the options of a decoded message; stops at the first malformed one.
Options
ReadOptions(const coap::Message& aMessage);

// Returns the values of one option joined with slashes, "" when it is absent.
std::string
JoinOption(const Options& aOptions, uint16_t aNumber);

// Adds one Uri-Path option per segment of "a/b/c".
void
PutPath(std::string_view aPath, Options& aOptions);

// Adds an unsigned integer option, RFC 7252 section 3.2.
void
PutUint(uint16_t aNumber, uint64_t aValue, Options& aOptions);

void
PutBlock2(const coap::Block& aBlock, Options& aOptions);

// Encodes a complete datagram.
std::string
EncodeMessage(coap::Type aType,
              uint8_t aCode,
              uint16_t aMessageId,
              const coap::Token& aToken,
              const Options& aOptions,
              std::string_view aPayload);

// Returns aSize bytes from aOffset of the content of a download. The content
// depends on service and path only, so all upstreams of a service send the
// same.
std::string
DownloadBytes(std::string_view aService,
              std::string_view aPath,
              size_t aOffset,
              size_t aSize);

// Returns the entity tag of a download's content, eight bytes.
std::string
DownloadETag(std::string_view aService, std::string_view aPath);

} // namespace foxtail::standins

#endif

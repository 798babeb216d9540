#include "CoapOptions.h"

#include <coap3/coap.h>
#include <vector>

#include "absl/strings/str_split.h"
#include "foxtail/core/Hash.h"

namespace foxtail::standins {

namespace {

constexpr char kPayloadMarker = static_cast<char>(0xFF);
constexpr uint8_t kVersionBits = 1 << 6;

std::string
EncodeUint(uint64_t aValue)
{
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8) {
    const char c = static_cast<char>(aValue >> shift);
    if (c != 0 || !out.empty()) {
      out.push_back(c);
    }
  }
  return out;
}

void
AppendOption(uint16_t aDelta, std::string_view aValue, std::string& aOut)
{
  const size_t size = coap_opt_encode_size(aDelta, aValue.size());
  const size_t at = aOut.size();
  aOut.resize(at + size);
  coap_opt_encode(reinterpret_cast<coap_opt_t*>(&aOut[at]),
                  size,
                  aDelta,
                  reinterpret_cast<const uint8_t*>(aValue.data()),
                  aValue.size());
}

uint64_t
DownloadSeed(std::string_view aService, std::string_view aPath)
{
  return StableHash(aPath, StableHash(aService));
}

} // namespace

Options
ReadOptions(const coap::Message& aMessage)
{
  Options options;
  std::string_view rest = aMessage.mOptionsAndPayload;
  uint32_t number = 0;
  while (!rest.empty() && rest[0] != kPayloadMarker) {
    coap_option_t option;
    const auto* bytes = reinterpret_cast<const coap_opt_t*>(rest.data());
    const size_t size = coap_opt_parse(bytes, rest.size(), &option);
    if (size == 0) {
      break;
    }
    number += option.delta;
    options.emplace(
      static_cast<uint16_t>(number),
      std::string(reinterpret_cast<const char*>(option.value), option.length));
    rest.remove_prefix(size);
  }
  return options;
}

std::string
JoinOption(const Options& aOptions, uint16_t aNumber)
{
  std::string out;
  const auto range = aOptions.equal_range(aNumber);
  for (auto it = range.first; it != range.second; ++it) {
    out += (out.empty() ? "" : "/") + it->second;
  }
  return out;
}

void
PutPath(std::string_view aPath, Options& aOptions)
{
  const std::vector<std::string> segments =
    absl::StrSplit(std::string(aPath), '/');
  for (const std::string& segment : segments) {
    aOptions.emplace(kUriPathOption, segment);
  }
}

void
PutUint(uint16_t aNumber, uint64_t aValue, Options& aOptions)
{
  aOptions.emplace(aNumber, EncodeUint(aValue));
}

void
PutBlock2(const coap::Block& aBlock, Options& aOptions)
{
  const uint32_t more = aBlock.mMore ? 8 : 0;
  PutUint(
    kBlock2Option, aBlock.mNumber << 4 | more | aBlock.mSizeExponent, aOptions);
}

std::string
EncodeMessage(coap::Type aType,
              uint8_t aCode,
              uint16_t aMessageId,
              const coap::Token& aToken,
              const Options& aOptions,
              std::string_view aPayload)
{
  std::string out;
  out.push_back(static_cast<char>(
    kVersionBits | static_cast<uint8_t>(aType) << 4 | aToken.mLength));
  out.push_back(static_cast<char>(aCode));
  out.push_back(static_cast<char>(aMessageId >> 8));
  out.push_back(static_cast<char>(aMessageId & 0xFF));
  out.append(reinterpret_cast<const char*>(aToken.mBytes.data()),
             aToken.mLength);
  uint16_t last = 0;
  for (const auto& [number, value] : aOptions) {
    AppendOption(number - last, value, out);
    last = number;
  }
  if (!aPayload.empty()) {
    out.push_back(kPayloadMarker);
    out.append(aPayload);
  }
  return out;
}

std::string
DownloadBytes(std::string_view aService,
              std::string_view aPath,
              size_t aOffset,
              size_t aSize)
{
  const uint64_t seed = DownloadSeed(aService, aPath);
  std::string out(aSize, '\0');
  for (size_t i = 0; i < aSize; ++i) {
    const size_t at = aOffset + i;
    out[i] = static_cast<char>(MixHash(seed, at / 8) >> (at % 8 * 8));
  }
  return out;
}

std::string
DownloadETag(std::string_view aService, std::string_view aPath)
{
  const uint64_t seed = DownloadSeed(aService, aPath);
  return { reinterpret_cast<const char*>(&seed), sizeof(seed) };
}

} // namespace foxtail::standins

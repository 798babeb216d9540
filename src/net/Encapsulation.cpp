#include "foxtail/net/Encapsulation.h"

#include <utility>

#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr uint8_t kVersionAndCommand = 0x21;
constexpr uint8_t kIpv4Datagram = 0x12;
// Signature, version and command, family and length; in bytes.
constexpr size_t kPrefixSize = 16;
// Both addresses and ports; in bytes.
constexpr size_t kAddressesSize = 12;
// TLV type of the hop count, from the range that the protocol reserves for
// applications.
constexpr uint8_t kHopsTlv = 0xE0;
constexpr size_t kHopsTlvSize = 4;

uint32_t
ReadNumber(std::string_view aBytes)
{
  uint32_t n = 0;
  for (const char c : aBytes) {
    n = n << 8 | static_cast<uint8_t>(c);
  }
  return n;
}

void
PutNumber(uint32_t aValue, size_t aBytes, std::string& aOut)
{
  for (size_t i = aBytes; i-- > 0;) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

void
PutHeader(const Address& aSource,
          const Address& aDestination,
          size_t aTlvSize,
          std::string& aOut)
{
  aOut.assign(kSignature);
  aOut.push_back(static_cast<char>(kVersionAndCommand));
  aOut.push_back(static_cast<char>(kIpv4Datagram));
  PutNumber(static_cast<uint32_t>(kAddressesSize + aTlvSize), 2, aOut);
  PutNumber(aSource.mIp, 4, aOut);
  PutNumber(aDestination.mIp, 4, aOut);
  PutNumber(aSource.mPort, 2, aOut);
  PutNumber(aDestination.mPort, 2, aOut);
}

uint8_t
ReadHops(std::string_view aTlvs)
{
  while (!aTlvs.empty()) {
    if (aTlvs.size() < 3) {
      throw NetError(621, "PROXY header", "TLV truncated");
    }
    const size_t n = ReadNumber(aTlvs.substr(1, 2));
    if (aTlvs.size() < 3 + n) {
      throw NetError(621, "PROXY header", "TLV truncated");
    }
    if (static_cast<uint8_t>(aTlvs[0]) == kHopsTlv && n == 1) {
      return static_cast<uint8_t>(aTlvs[3]);
    }
    aTlvs.remove_prefix(3 + n);
  }
  return 0;
}

} // namespace

Envelope
Unwrap(std::string_view aDatagram)
{
  if (aDatagram.size() < kPrefixSize ||
      aDatagram.substr(0, kSignature.size()) != kSignature ||
      static_cast<uint8_t>(aDatagram[12]) != kVersionAndCommand ||
      static_cast<uint8_t>(aDatagram[13]) != kIpv4Datagram) {
    throw NetError(
      620, "PROXY header", "expected a version 2 header for IPv4 datagrams");
  }
  const size_t n = ReadNumber(aDatagram.substr(14, 2));
  if (n < kAddressesSize || aDatagram.size() < kPrefixSize + n) {
    throw NetError(621, "PROXY header", "addresses truncated");
  }
  const std::string_view part = aDatagram.substr(kPrefixSize, n);
  Envelope envelope;
  envelope.mFlow.mCaller.mIp = ReadNumber(part.substr(0, 4));
  envelope.mFlow.mService.mIp = ReadNumber(part.substr(4, 4));
  envelope.mFlow.mCaller.mPort =
    static_cast<uint16_t>(ReadNumber(part.substr(8, 2)));
  envelope.mFlow.mService.mPort =
    static_cast<uint16_t>(ReadNumber(part.substr(10, 2)));
  envelope.mHops = ReadHops(part.substr(kAddressesSize));
  envelope.mInner = aDatagram.substr(kPrefixSize + n);
  return envelope;
}

void
WrapInbound(const FlowKey& aFlow,
            uint8_t aHops,
            std::string_view aInner,
            std::string& aOut)
{
  PutHeader(aFlow.mCaller, aFlow.mService, aHops == 0 ? 0 : kHopsTlvSize, aOut);
  if (aHops != 0) {
    PutNumber(kHopsTlv, 1, aOut);
    PutNumber(1, 2, aOut);
    PutNumber(aHops, 1, aOut);
  }
  aOut.append(aInner);
}

void
WrapReturn(const FlowKey& aFlow, std::string_view aInner, std::string& aOut)
{
  PutHeader(aFlow.mService, aFlow.mCaller, 0, aOut);
  aOut.append(aInner);
}

Envelope
UnwrapReturn(std::string_view aDatagram)
{
  Envelope envelope = Unwrap(aDatagram);
  std::swap(envelope.mFlow.mCaller, envelope.mFlow.mService);
  return envelope;
}

} // namespace foxtail::net

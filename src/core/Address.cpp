#include "foxtail/core/Address.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "foxtail/core/Error.h"

namespace foxtail {

Address
Address::Parse(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  in_addr ip{};
  uint32_t port = 0;
  const bool ok =
    colon != std::string_view::npos &&
    inet_pton(AF_INET, std::string(aText.substr(0, colon)).c_str(), &ip) == 1 &&
    absl::SimpleAtoi(
      absl::string_view(aText.data() + colon + 1, aText.size() - colon - 1),
      &port) &&
    port <= UINT16_MAX;
  if (!ok) {
    throw NetError(601, aText, "expected an address like 127.0.0.1:5683");
  }
  return Address{ ntohl(ip.s_addr), static_cast<uint16_t>(port) };
}

std::string
Address::IpString() const
{
  char buf[INET_ADDRSTRLEN];
  const in_addr ip{ htonl(mIp) };
  inet_ntop(AF_INET, &ip, buf, sizeof(buf));
  return buf;
}

std::string
Address::ToString() const
{
  return absl::StrCat(IpString(), ":", mPort);
}

} // namespace foxtail

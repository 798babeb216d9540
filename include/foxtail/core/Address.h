#ifndef foxtail_core_Address_h
#define foxtail_core_Address_h

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

// An IPv4 address and port, both in host byte order.
struct Address
{
  uint32_t mIp = 0;
  uint16_t mPort = 0;

  // Parses "a.b.c.d:port". Throws NetError 601 on any other text.
  static Address Parse(std::string_view aText);

  std::string ToString() const;
  // Only the IP address, "a.b.c.d".
  std::string IpString() const;

  friend bool operator==(const Address& a, const Address& b)
  {
    return a.mIp == b.mIp && a.mPort == b.mPort;
  }
  friend bool operator!=(const Address& a, const Address& b)
  {
    return !(a == b);
  }
  friend bool operator<(const Address& a, const Address& b)
  {
    return a.mIp != b.mIp ? a.mIp < b.mIp : a.mPort < b.mPort;
  }
  template<typename H>
  friend H AbslHashValue(H h, const Address& a)
  {
    return H::combine(std::move(h), a.mIp, a.mPort);
  }
};

} // namespace foxtail

#endif

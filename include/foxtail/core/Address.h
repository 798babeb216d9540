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

  // Reads "a.b.c.d:port"; throws NetError 601 on anything else.
  static Address Parse(std::string_view aText);

  std::string ToString() const;
  // The address part alone, "a.b.c.d".
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

#ifndef foxtail_standins_UdpSocket_h
#define foxtail_standins_UdpSocket_h

#include <optional>
#include <string>
#include <string_view>

#include "foxtail/core/Address.h"

namespace foxtail::standins {

// A bound, non-blocking UDP socket with little memory of its own, so that one
// process can open thousands of them.
class UdpSocket
{
public:
  // Port zero takes any free port. Throws NetError 602 when the address
  // cannot be bound.
  explicit UdpSocket(const Address& aLocal);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  int Fd() const { return mFd; }
  const Address& Local() const { return mLocal; }

  // Returns the next datagram, valid until the next call; empty when none is
  // available.
  std::optional<std::string_view> Receive(Address& aFrom);

  // Sends a datagram; drops it silently when it cannot be sent, as a network
  // would.
  void Send(const Address& aTo, std::string_view aBytes);

private:
  int mFd;
  Address mLocal;
  std::string mBuffer;
};

} // namespace foxtail::standins

#endif

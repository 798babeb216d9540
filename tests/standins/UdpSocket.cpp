#include "UdpSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "foxtail/core/Error.h"

namespace foxtail::standins {

namespace {

constexpr size_t kLargestDatagram = 2048;
constexpr int kSocketBuffer = 4 << 20;

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(aAddress.mIp);
  sa.sin_port = htons(aAddress.mPort);
  return sa;
}

Address
FromSockaddr(const sockaddr_in& aSockaddr)
{
  return Address{ ntohl(aSockaddr.sin_addr.s_addr), ntohs(aSockaddr.sin_port) };
}

} // namespace

UdpSocket::UdpSocket(const Address& aLocal)
  : mFd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
  , mBuffer(kLargestDatagram, '\0')
{
  setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &kSocketBuffer, sizeof(kSocketBuffer));
  sockaddr_in sa = ToSockaddr(aLocal);
  if (bind(mFd, reinterpret_cast<sockaddr*>(&sa), sizeof(sa)) != 0) {
    if (mFd >= 0) {
      close(mFd);
    }
    throw NetError(602, aLocal.ToString(), "cannot be bound");
  }
  socklen_t n = sizeof(sa);
  getsockname(mFd, reinterpret_cast<sockaddr*>(&sa), &n);
  mLocal = FromSockaddr(sa);
}

UdpSocket::~UdpSocket()
{
  close(mFd);
}

std::optional<std::string_view>
UdpSocket::Receive(Address& aFrom)
{
  sockaddr_in sa{};
  socklen_t size = sizeof(sa);
  const ssize_t n = recvfrom(mFd,
                             mBuffer.data(),
                             mBuffer.size(),
                             0,
                             reinterpret_cast<sockaddr*>(&sa),
                             &size);
  if (n < 0) {
    return std::nullopt;
  }
  aFrom = FromSockaddr(sa);
  return std::string_view(mBuffer.data(), static_cast<size_t>(n));
}

void
UdpSocket::Send(const Address& aTo, std::string_view aBytes)
{
  const sockaddr_in sa = ToSockaddr(aTo);
  static_cast<void>(sendto(mFd,
                           aBytes.data(),
                           aBytes.size(),
                           0,
                           reinterpret_cast<const sockaddr*>(&sa),
                           sizeof(sa)));
}

} // namespace foxtail::standins

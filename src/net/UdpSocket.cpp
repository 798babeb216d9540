#include "foxtail/net/UdpSocket.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(aAddress.mIp);
  out.sin_port = htons(aAddress.mPort);
  return out;
}

Address
FromSockaddr(const sockaddr_in& aAddress)
{
  return { ntohl(aAddress.sin_addr.s_addr), ntohs(aAddress.sin_port) };
}

// Whether the error belongs to an earlier send, such as an ICMP message about a
// closed port. Such errors do not mean that this socket has failed.
bool
IsEarlierSendError(int aError)
{
  return aError == ECONNREFUSED || aError == EHOSTUNREACH ||
         aError == ENETUNREACH || aError == ENETDOWN || aError == EHOSTDOWN;
}

bool
IsNothingReceived(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

// Buffers of one direction and the message headers that refer to them in a
// system call.
struct MessageBuffers
{
  std::array<std::array<char, kMaxUdpDatagram>, kUdpBatch> mBuffers;
  std::array<sockaddr_in, kUdpBatch> mAddresses{};
  std::array<iovec, kUdpBatch> mVectors{};
  std::array<mmsghdr, kUdpBatch> mHeaders{};

  MessageBuffers()
  {
    for (size_t i = 0; i < kUdpBatch; ++i) {
      mVectors[i] = { mBuffers[i].data(), kMaxUdpDatagram };
      msghdr& header = mHeaders[i].msg_hdr;
      header.msg_name = &mAddresses[i];
      header.msg_namelen = sizeof(sockaddr_in);
      header.msg_iov = &mVectors[i];
      header.msg_iovlen = 1;
    }
  }
};

} // namespace

struct UdpSocket::Batch
{
  int mDescriptor = -1;
  MessageBuffers mReceiveBuffers;
  MessageBuffers mSendBuffers;
  std::array<Datagram, kUdpBatch> mDatagrams;
  size_t mReceived = 0;
  size_t mQueued = 0;
  UdpCounters mCounters;

  ~Batch()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }
};

UdpSocket::UdpSocket(const Address& aBind, size_t aKernelBuffer)
  : mBatch(std::make_unique<Batch>())
{
  mBatch->mDescriptor =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (mBatch->mDescriptor < 0) {
    throw NetError(630, aBind.ToString(), std::strerror(errno));
  }
  const int size = static_cast<int>(aKernelBuffer);
  setsockopt(mBatch->mDescriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  setsockopt(mBatch->mDescriptor, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  const sockaddr_in address = ToSockaddr(aBind);
  if (bind(mBatch->mDescriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw NetError(631, aBind.ToString(), std::strerror(errno));
  }
}

UdpSocket::~UdpSocket() = default;
UdpSocket::UdpSocket(UdpSocket&&) noexcept = default;
UdpSocket&
UdpSocket::operator=(UdpSocket&&) noexcept = default;

Address
UdpSocket::LocalAddress() const
{
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  getsockname(mBatch->mDescriptor, reinterpret_cast<sockaddr*>(&address), &n);
  return FromSockaddr(address);
}

int
UdpSocket::Descriptor() const
{
  return mBatch->mDescriptor;
}

bool
UdpSocket::Wait(milliseconds aTimeout) const
{
  pollfd item{ mBatch->mDescriptor, POLLIN, 0 };
  const int n = poll(&item, 1, static_cast<int>(aTimeout.count()));
  if (n < 0 && errno != EINTR) {
    throw NetError(632, LocalAddress().ToString(), std::strerror(errno));
  }
  return n > 0;
}

size_t
UdpSocket::Receive()
{
  Batch& batch = *mBatch;
  batch.mReceived = 0;
  for (mmsghdr& it : batch.mReceiveBuffers.mHeaders) {
    it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  const int n = recvmmsg(batch.mDescriptor,
                         batch.mReceiveBuffers.mHeaders.data(),
                         kUdpBatch,
                         MSG_DONTWAIT,
                         nullptr);
  if (n < 0) {
    if (IsNothingReceived(errno) || IsEarlierSendError(errno)) {
      return 0;
    }
    throw NetError(632, LocalAddress().ToString(), std::strerror(errno));
  }
  for (int i = 0; i < n; ++i) {
    const mmsghdr& header = batch.mReceiveBuffers.mHeaders[i];
    Datagram& out = batch.mDatagrams[i];
    out.mPeer = FromSockaddr(batch.mReceiveBuffers.mAddresses[i]);
    out.mBytes = { batch.mReceiveBuffers.mBuffers[i].data(), header.msg_len };
    out.mTruncated = (header.msg_hdr.msg_flags & MSG_TRUNC) != 0;
    batch.mCounters.mReceivedBytes += header.msg_len;
  }
  batch.mCounters.mReceived += n;
  batch.mReceived = n;
  return batch.mReceived;
}

const Datagram&
UdpSocket::At(size_t n) const
{
  return mBatch->mDatagrams[n];
}

void
UdpSocket::Queue(const Address& aPeer, std::string_view aBytes)
{
  Batch& batch = *mBatch;
  if (aBytes.size() > kMaxUdpDatagram) {
    throw NetError(633, aPeer.ToString(), "datagram exceeds the maximum size");
  }
  if (batch.mQueued == kUdpBatch) {
    Flush();
  }
  const size_t i = batch.mQueued++;
  std::memcpy(
    batch.mSendBuffers.mBuffers[i].data(), aBytes.data(), aBytes.size());
  batch.mSendBuffers.mVectors[i].iov_len = aBytes.size();
  batch.mSendBuffers.mAddresses[i] = ToSockaddr(aPeer);
}

void
UdpSocket::Flush()
{
  Batch& batch = *mBatch;
  size_t next = 0;
  while (next < batch.mQueued) {
    const int n = sendmmsg(batch.mDescriptor,
                           batch.mSendBuffers.mHeaders.data() + next,
                           static_cast<unsigned>(batch.mQueued - next),
                           MSG_DONTWAIT);
    if (n > 0) {
      for (int i = 0; i < n; ++i) {
        batch.mCounters.mSentBytes +=
          batch.mSendBuffers.mVectors[next + i].iov_len;
      }
      batch.mCounters.mSent += n;
      next += n;
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    // The kernel refused the first datagram. Drop it and send the others.
    ++batch.mCounters.mSendDropped;
    ++next;
  }
  batch.mQueued = 0;
}

const UdpCounters&
UdpSocket::Counters() const
{
  return mBatch->mCounters;
}

} // namespace foxtail::net

#ifndef foxtail_net_UdpSocket_h
#define foxtail_net_UdpSocket_h

#include <cstdint>
#include <memory>
#include <string_view>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::net {

// One datagram of a receive batch. The bytes stay valid until the next
// Receive of the same socket.
struct Datagram
{
  Address mPeer;
  std::string_view mBytes;
  // The datagram was longer than kMaxUdpDatagram and has been cut.
  bool mTruncated = false;
};

// Longest datagram that is received or sent; bytes.
constexpr size_t kMaxUdpDatagram = 2048;
// Most datagrams of one system call.
constexpr size_t kUdpBatch = 64;

// What the kernel was asked to do and what it refused.
struct UdpCounters
{
  uint64_t mReceived = 0;
  uint64_t mReceivedBytes = 0;
  uint64_t mSent = 0;
  uint64_t mSentBytes = 0;
  // Datagrams dropped because the kernel would not take them.
  uint64_t mSendDropped = 0;
};

// A non-blocking IPv4 datagram socket that receives and sends in batches
// through buffers that are allocated once. Not thread-safe.
class UdpSocket
{
public:
  // Binds to aBind; port zero takes any free port. aKernelBuffer is the size
  // asked for each of the kernel's two buffers, in bytes; the kernel may give
  // less. Throws NetError 630 when the socket cannot be made, 631 when the
  // address cannot be bound.
  explicit UdpSocket(const Address& aBind, size_t aKernelBuffer = 1 << 20);
  ~UdpSocket();
  UdpSocket(UdpSocket&& aOther) noexcept;
  UdpSocket& operator=(UdpSocket&& aOther) noexcept;

  // The address that the socket is bound to.
  Address LocalAddress() const;

  // Descriptor for poll; owned by the socket.
  int Descriptor() const;

  // Waits until a datagram can be received; false when aTimeout passed first.
  // Throws NetError 632.
  bool Wait(milliseconds aTimeout) const;

  // Takes up to kUdpBatch datagrams that are there and returns how many; read
  // them with At. Throws NetError 632 when the socket fails; errors that the
  // network reported for earlier sends are no failure of the socket.
  size_t Receive();

  // Datagram n of the last Receive.
  const Datagram& At(size_t n) const;

  // Adds a datagram to the send batch; sends the batch when it is full. Throws
  // NetError 633 when aBytes is longer than kMaxUdpDatagram.
  void Queue(const Address& aPeer, std::string_view aBytes);

  // Sends what was queued. What the kernel does not take at once is dropped
  // and counted.
  void Flush();

  const UdpCounters& Counters() const;

private:
  struct Batch;
  std::unique_ptr<Batch> mBatch;
};

} // namespace foxtail::net

#endif

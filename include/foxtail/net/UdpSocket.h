#ifndef foxtail_net_UdpSocket_h
#define foxtail_net_UdpSocket_h

#include <cstdint>
#include <memory>
#include <string_view>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::net {

// A datagram of a receive batch. The bytes stay valid until the next Receive of
// the same socket.
struct Datagram
{
  Address mPeer;
  std::string_view mBytes;
  // The datagram was longer than kMaxUdpDatagram and has been truncated.
  bool mTruncated = false;
};

// Maximum size of a datagram, in bytes.
constexpr size_t kMaxUdpDatagram = 2048;
// Maximum number of datagrams per system call.
constexpr size_t kUdpBatch = 64;

// Counters of datagrams and bytes, from the creation of the socket.
struct UdpCounters
{
  uint64_t mReceived = 0;
  uint64_t mReceivedBytes = 0;
  uint64_t mSent = 0;
  uint64_t mSentBytes = 0;
  // Datagrams dropped because the kernel refused to send them.
  uint64_t mSendDropped = 0;
};

// A non-blocking IPv4 datagram socket that receives and sends in batches
// through buffers that are allocated once. Not thread-safe.
class UdpSocket
{
public:
  // Binds to aBind; with port zero the kernel chooses a free port.
  // aKernelBuffer is the requested size of each of the kernel's send and
  // receive buffers, in bytes; the kernel may grant less. Throws NetError 630
  // when the socket cannot be created, 631 when the address cannot be bound.
  explicit UdpSocket(const Address& aBind, size_t aKernelBuffer = 1 << 20);
  ~UdpSocket();
  UdpSocket(UdpSocket&& aOther) noexcept;
  UdpSocket& operator=(UdpSocket&& aOther) noexcept;

  // Returns the address to which the socket is bound.
  Address LocalAddress() const;

  // Returns the file descriptor, for poll. The socket owns it.
  int Descriptor() const;

  // Waits until a datagram can be received. Returns false when aTimeout passes
  // first. Throws NetError 632 when the socket fails.
  bool Wait(milliseconds aTimeout) const;

  // Receives up to kUdpBatch queued datagrams without waiting and returns their
  // number; At gives access to them. Throws NetError 632 when the socket fails.
  // Errors that the network reports for earlier sends are ignored.
  size_t Receive();

  // Returns datagram n of the last Receive.
  const Datagram& At(size_t n) const;

  // Adds a datagram to the send batch. A full batch is sent first. Throws
  // NetError 633 when aBytes is longer than kMaxUdpDatagram.
  void Queue(const Address& aPeer, std::string_view aBytes);

  // Sends the queued datagrams. Datagrams that the kernel does not accept at
  // once are dropped and counted.
  void Flush();

  const UdpCounters& Counters() const;

private:
  struct Batch;
  std::unique_ptr<Batch> mBatch;
};

} // namespace foxtail::net

#endif

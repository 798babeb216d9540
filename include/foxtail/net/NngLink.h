#ifndef foxtail_net_NngLink_h
#define foxtail_net_NngLink_h

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

// Thin wrappers over nng sockets on TCP. All throw PeerError:
//
//   750 the socket cannot be made
//   751 the address cannot be listened on
//   752 no answer within the timeout
//   753 the message could not be sent
//   754 the message could not be received
namespace foxtail::net {

// A message and the TCP address that it came from.
struct NngMessage
{
  Address mPeer;
  std::string mBytes;
};

// Owns one nng socket; closed with the object.
class NngSocket
{
public:
  explicit NngSocket(uint32_t aId)
    : mId(aId)
  {
  }
  ~NngSocket();
  NngSocket(const NngSocket&) = delete;
  NngSocket& operator=(const NngSocket&) = delete;

  uint32_t Id() const { return mId; }
  void Close();

private:
  uint32_t mId;
};

// Answers requests one by one. One thread calls ServeOne in a loop; Close may
// be called from another and ends a waiting ServeOne.
class ReplyServer
{
public:
  using Handler = std::function<std::string(const NngMessage&)>;

  // Requests longer than aMaxSize bytes are dropped by nng.
  ReplyServer(const Address& aListen, size_t aMaxSize);

  // Waits up to aTimeout for a request and sends what aHandler returns; false
  // when none came. When aHandler throws, the request stays unanswered and the
  // error passes to the caller.
  bool ServeOne(milliseconds aTimeout, const Handler& aHandler);

  void Close();

private:
  NngSocket mSocket;
};

// Asks one server. The connection is made in the background and made again
// when it is lost. Not thread-safe.
class RequestClient
{
public:
  // Connects from the IP number aFromIp, by which the server knows who asks;
  // zero lets the kernel choose. Answers longer than aMaxSize bytes are
  // dropped by nng.
  RequestClient(const Address& aServer, size_t aMaxSize, uint32_t aFromIp);

  // Sends one request and waits for its answer. A request is sent at most
  // once; an answer that comes after the timeout is dropped.
  std::string Ask(std::string_view aRequest, milliseconds aTimeout);

private:
  NngSocket mSocket;
  Address mServer;
};

// Receives messages of many PushClients.
class PullServer
{
public:
  // Messages longer than aMaxSize bytes are dropped by nng.
  PullServer(const Address& aListen, size_t aMaxSize);

  // The next message, or nothing when none came within aTimeout.
  std::optional<NngMessage> Receive(milliseconds aTimeout);

  // Ends a waiting Receive.
  void Close();

private:
  NngSocket mSocket;
};

// Sends messages to one PullServer. The connection is made in the background
// and made again when it is lost. Not thread-safe.
class PushClient
{
public:
  // aQueue is how many messages may wait in memory; aFromIp as for
  // RequestClient.
  PushClient(const Address& aServer, int aQueue, uint32_t aFromIp);

  // False when the queue is full or, with an empty queue limit, when there is
  // no connection; never waits.
  bool TrySend(std::string_view aMessage);

private:
  NngSocket mSocket;
  Address mServer;
};

} // namespace foxtail::net

#endif

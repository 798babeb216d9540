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
//   750 the socket or its connection cannot be set up
//   751 the socket cannot listen on the address
//   752 the request was not sent or not answered within the time-out
//   753 the message could not be sent
//   754 the message could not be received
namespace foxtail::net {

// A message and the TCP address of its sender.
struct NngMessage
{
  Address mPeer;
  std::string mBytes;
};

// Owns an nng socket and closes it when destroyed.
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

// Answers requests one at a time. One thread calls ServeOne in a loop; another
// thread may call Close, which ends a waiting ServeOne.
class ReplyServer
{
public:
  using Handler = std::function<std::string(const NngMessage&)>;

  // nng drops requests longer than aMaxSize bytes.
  ReplyServer(const Address& aListen, size_t aMaxSize);

  // Waits up to aTimeout for a request and answers with the result of aHandler.
  // Returns false when no request arrived. When aHandler throws, the request
  // stays unanswered and the exception propagates.
  bool ServeOne(milliseconds aTimeout, const Handler& aHandler);

  void Close();

private:
  NngSocket mSocket;
};

// Sends requests to one server. The connection is opened in the background and
// reopened when it is lost. Not thread-safe.
class RequestClient
{
public:
  // Connects from the IP address aFromIp, by which the server identifies the
  // client; with zero the kernel chooses. nng drops answers longer than
  // aMaxSize bytes.
  RequestClient(const Address& aServer, size_t aMaxSize, uint32_t aFromIp);

  // Sends one request and returns its answer. A request is sent at most once;
  // an answer that arrives after the time-out is dropped. aTimeout applies to
  // sending and to waiting for the answer, each.
  std::string Ask(std::string_view aRequest, milliseconds aTimeout);

private:
  NngSocket mSocket;
  Address mServer;
};

// Receives messages of many PushClients.
class PullServer
{
public:
  // nng drops messages longer than aMaxSize bytes.
  PullServer(const Address& aListen, size_t aMaxSize);

  // Returns the next message; empty when none arrives within aTimeout.
  std::optional<NngMessage> Receive(milliseconds aTimeout);

  // Ends a waiting Receive.
  void Close();

private:
  NngSocket mSocket;
};

// Sends messages to one PullServer. The connection is opened in the background
// and reopened when it is lost. Not thread-safe.
class PushClient
{
public:
  // aMaxQueued is the maximum number of messages queued in memory. aFromIp is
  // the local IP address; with zero the kernel chooses.
  PushClient(const Address& aServer, int aMaxQueued, uint32_t aFromIp);

  // Queues a message without waiting. Returns false when the queue is full or,
  // with an aMaxQueued of zero, when there is no connection.
  bool TrySend(std::string_view aMessage);

private:
  NngSocket mSocket;
  Address mServer;
};

} // namespace foxtail::net

#endif

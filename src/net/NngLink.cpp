#include "foxtail/net/NngLink.h"

#include <arpa/inet.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include "absl/strings/str_cat.h"
#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

// Minimum and maximum delay before a lost connection is reopened, in
// milliseconds.
constexpr nng_duration kReconnectMin = 50;
constexpr nng_duration kReconnectMax = 1000;

nng_socket
ToNngSocket(const NngSocket& aSocket)
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  socket.id = aSocket.Id();
  return socket;
}

std::string
Url(const Address& aAddress)
{
  return absl::StrCat("tcp://", aAddress.ToString());
}

uint32_t
Open(int (*aOpen)(nng_socket*), size_t aMaxSize, const Address& aAddress)
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  const int ec = aOpen(&socket);
  if (ec != 0) {
    throw PeerError(750, Url(aAddress), nng_strerror(ec));
  }
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, aMaxSize);
  return socket.id;
}

void
Listen(const NngSocket& aSocket, const Address& aAddress)
{
  const int ec =
    nng_listen(ToNngSocket(aSocket), Url(aAddress).c_str(), nullptr, 0);
  if (ec != 0) {
    throw PeerError(751, Url(aAddress), nng_strerror(ec));
  }
}

void
CheckDialer(int aError, const Address& aServer)
{
  if (aError != 0) {
    throw PeerError(750, Url(aServer), nng_strerror(aError));
  }
}

void
Dial(const NngSocket& aSocket, const Address& aServer, uint32_t aFromIp)
{
  nng_dialer dialer = NNG_DIALER_INITIALIZER;
  CheckDialer(
    nng_dialer_create(&dialer, ToNngSocket(aSocket), Url(aServer).c_str()),
    aServer);
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMINT, kReconnectMin);
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMAXT, kReconnectMax);
  if (aFromIp != 0) {
    nng_sockaddr from{};
    from.s_in.sa_family = NNG_AF_INET;
    from.s_in.sa_addr = htonl(aFromIp);
    CheckDialer(nng_dialer_set_addr(dialer, NNG_OPT_LOCADDR, &from), aServer);
  }
  CheckDialer(nng_dialer_start(dialer, NNG_FLAG_NONBLOCK), aServer);
}

nng_duration
ToNngDuration(milliseconds aTime)
{
  return static_cast<nng_duration>(aTime.count());
}

Address
PeerOf(nng_msg* aMessage)
{
  nng_sockaddr address{};
  const int ec =
    nng_pipe_get_addr(nng_msg_get_pipe(aMessage), NNG_OPT_REMADDR, &address);
  if (ec != 0 || address.s_family != NNG_AF_INET) {
    return {};
  }
  return { ntohl(address.s_in.sa_addr), ntohs(address.s_in.sa_port) };
}

// Returns the next message; empty when none arrives within aTimeout or the
// socket is closed.
std::optional<NngMessage>
ReceiveMessage(const NngSocket& aSocket, milliseconds aTimeout)
{
  const nng_socket socket = ToNngSocket(aSocket);
  nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, ToNngDuration(aTimeout));
  nng_msg* message = nullptr;
  const int ec = nng_recvmsg(socket, &message, 0);
  if (ec == NNG_ETIMEDOUT || ec == NNG_ECLOSED) {
    return std::nullopt;
  }
  if (ec != 0) {
    throw PeerError(754, "nng", nng_strerror(ec));
  }
  NngMessage out{ PeerOf(message),
                  { static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message) } };
  nng_msg_free(message);
  return out;
}

int
SendBytes(const NngSocket& aSocket, std::string_view aBytes, int aFlags)
{
  // nng_send copies the bytes, although its parameter is not const.
  return nng_send(ToNngSocket(aSocket),
                  const_cast<char*>(aBytes.data()),
                  aBytes.size(),
                  aFlags);
}

} // namespace

NngSocket::~NngSocket()
{
  Close();
}

void
NngSocket::Close()
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  socket.id = mId;
  nng_close(socket);
}

ReplyServer::ReplyServer(const Address& aListen, size_t aMaxSize)
  : mSocket(Open(nng_rep0_open, aMaxSize, aListen))
{
  Listen(mSocket, aListen);
}

bool
ReplyServer::ServeOne(milliseconds aTimeout, const Handler& aHandler)
{
  const std::optional<NngMessage> request = ReceiveMessage(mSocket, aTimeout);
  if (!request) {
    return false;
  }
  const std::string reply = aHandler(*request);
  const int ec = SendBytes(mSocket, reply, 0);
  if (ec != 0) {
    throw PeerError(753, request->mPeer.ToString(), nng_strerror(ec));
  }
  return true;
}

void
ReplyServer::Close()
{
  mSocket.Close();
}

RequestClient::RequestClient(const Address& aServer,
                             size_t aMaxSize,
                             uint32_t aFromIp)
  : mSocket(Open(nng_req0_open, aMaxSize, aServer))
  , mServer(aServer)
{
  // By default, nng repeats an unanswered request.
  nng_socket_set_ms(
    ToNngSocket(mSocket), NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  Dial(mSocket, aServer, aFromIp);
}

std::string
RequestClient::Ask(std::string_view aRequest, milliseconds aTimeout)
{
  nng_socket_set_ms(
    ToNngSocket(mSocket), NNG_OPT_SENDTIMEO, ToNngDuration(aTimeout));
  const int ec = SendBytes(mSocket, aRequest, 0);
  if (ec != 0) {
    throw PeerError(
      ec == NNG_ETIMEDOUT ? 752 : 753, mServer.ToString(), nng_strerror(ec));
  }
  std::optional<NngMessage> reply = ReceiveMessage(mSocket, aTimeout);
  if (!reply) {
    throw PeerError(752, mServer.ToString(), "no answer within the time-out");
  }
  return std::move(reply->mBytes);
}

PullServer::PullServer(const Address& aListen, size_t aMaxSize)
  : mSocket(Open(nng_pull0_open, aMaxSize, aListen))
{
  Listen(mSocket, aListen);
}

std::optional<NngMessage>
PullServer::Receive(milliseconds aTimeout)
{
  return ReceiveMessage(mSocket, aTimeout);
}

void
PullServer::Close()
{
  mSocket.Close();
}

PushClient::PushClient(const Address& aServer, int aMaxQueued, uint32_t aFromIp)
  // A push socket receives nothing, so its size limit has no effect.
  : mSocket(Open(nng_push0_open, 0, aServer))
  , mServer(aServer)
{
  nng_socket_set_int(ToNngSocket(mSocket), NNG_OPT_SENDBUF, aMaxQueued);
  Dial(mSocket, aServer, aFromIp);
}

bool
PushClient::TrySend(std::string_view aMessage)
{
  const int ec = SendBytes(mSocket, aMessage, NNG_FLAG_NONBLOCK);
  if (ec == 0) {
    return true;
  }
  if (ec != NNG_EAGAIN) {
    throw PeerError(753, mServer.ToString(), nng_strerror(ec));
  }
  return false;
}

} // namespace foxtail::net

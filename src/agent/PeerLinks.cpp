#include "foxtail/agent/PeerLinks.h"

#include <chrono>
#include <optional>
#include <string>

#include "foxtail/core/Error.h"
#include "foxtail/net/NngLink.h"
#include "foxtail/net/PeerCodec.h"
#include "foxtail/net/UdpSocket.h"

namespace foxtail::agent {

namespace {

// Maximum time between two ticks.
constexpr milliseconds kTickPeriod{ 20 };
// Intervals at which the servers and the fetcher check for a stop request.
constexpr milliseconds kServerStopCheckInterval{ 100 };
constexpr milliseconds kFetcherStopCheckInterval{ 20 };
constexpr milliseconds kFetchTimeout{ 1000 };

void
Receive(SharedCore& aCore, net::UdpSocket& aSocket)
{
  for (size_t n = aSocket.Receive(); n > 0; n = aSocket.Receive()) {
    for (size_t i = 0; i < n; ++i) {
      const net::Datagram& datagram = aSocket.At(i);
      aCore.With([&](AgentCore& c, TimePoint aNow) {
        c.OnDatagram(aNow, datagram.mPeer, datagram.mBytes);
      });
    }
  }
}

void
Serve(net::ReplyServer& aServer,
      const net::ReplyServer::Handler& aHandler,
      const daemon::StopToken& aStop)
{
  while (!aStop.IsRequested()) {
    try {
      aServer.ServeOne(kServerStopCheckInterval, aHandler);
    } catch (const PeerError&) {
      // The core has counted and logged the error; the peer gets no answer.
    }
  }
}

void
Fetch(SharedCore& aCore, const PeerFetch& aFetch, uint32_t aFromIp)
{
  try {
    net::RequestClient client(aFetch.mPeer, net::kMaxConfigReplySize, aFromIp);
    const std::string reply = client.Ask(aFetch.mRequest, kFetchTimeout);
    aCore.With([&](AgentCore& c, TimePoint aNow) {
      c.OnFetchReply(aNow, aFetch.mPeer, reply);
    });
  } catch (const PeerError&) {
    aCore.With([](AgentCore& c, TimePoint aNow) { c.OnFetchFailed(aNow); });
  }
}

} // namespace

void
RunGossip(SharedCore& aCore,
          const Address& aAgentAddress,
          const daemon::StopToken& aStop)
{
  net::UdpSocket socket(aAgentAddress);
  while (!aStop.IsRequested()) {
    socket.Wait(kTickPeriod);
    Receive(aCore, socket);
    const std::vector<OutgoingDatagram> outgoing =
      aCore.With([](AgentCore& c, TimePoint aNow) {
        c.Tick(aNow);
        return c.TakeOutgoing();
      });
    for (const OutgoingDatagram& it : outgoing) {
      socket.Queue(it.mTo, it.mBytes);
    }
    socket.Flush();
  }
  // Send the remaining messages, such as the notice that this agent ends.
  for (const OutgoingDatagram& it :
       aCore.With([](AgentCore&c, TimePoint) { return c.TakeOutgoing(); })) {
    socket.Queue(it.mTo, it.mBytes);
  }
  socket.Flush();
}

void
RunPeerServer(SharedCore& aCore,
              const Address& aAgentAddress,
              const daemon::StopToken& aStop)
{
  net::ReplyServer server(aAgentAddress, net::kMaxConfigRequestSize);
  const auto answer = [&](const net::NngMessage& m) {
    return aCore.With(
      [&](AgentCore& c, TimePoint) { return c.AnswerPeer(m.mPeer, m.mBytes); });
  };
  Serve(server, answer, aStop);
}

void
RunLocalServer(SharedCore& aCore,
               const Address& aLocalAddress,
               const daemon::StopToken& aStop)
{
  net::ReplyServer server(aLocalAddress, net::kMaxLocalRequestSize);
  const auto answer = [&](const net::NngMessage& m) {
    return aCore.With([&](AgentCore& c, TimePoint aNow) {
      return c.AnswerBalancer(aNow, m.mPeer, m.mBytes);
    });
  };
  Serve(server, answer, aStop);
}

void
RunFetcher(SharedCore& aCore,
           const Address& aAgentAddress,
           const daemon::StopToken& aStop)
{
  while (!aStop.WaitFor(kFetcherStopCheckInterval)) {
    const std::optional<PeerFetch> fetch = aCore.With(
      [](AgentCore& c, TimePoint aNow) { return c.NextFetch(aNow); });
    if (fetch) {
      Fetch(aCore, *fetch, aAgentAddress.mIp);
    }
  }
}

} // namespace foxtail::agent

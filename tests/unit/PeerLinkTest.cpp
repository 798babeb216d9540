#include <catch2/catch.hpp>

#include <set>
#include <thread>

#include "foxtail/core/Error.h"
#include "foxtail/net/NngLink.h"
#include "foxtail/net/UdpSocket.h"

using namespace foxtail;
using namespace foxtail::net;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds kWait = 5s;
const Address kAnyPort = Address::Parse("127.61.0.1:0");

// Returns an address with a port that was free when the function was called,
// because nng does not accept port zero.
Address
FreeAddress()
{
  return UdpSocket(kAnyPort).LocalAddress();
}

template<typename Call>
int
ErrorOf(Call aCall)
{
  try {
    aCall();
  } catch (const Error& e) {
    return e.Id();
  }
  return 0;
}

} // namespace

TEST_CASE("UdpSocket sends and receives batches", "[net]")
{
  UdpSocket sender(kAnyPort);
  UdpSocket receiver(kAnyPort);
  REQUIRE(receiver.LocalAddress().mPort != 0);

  SECTION("more than one batch, each datagram with its sender's address")
  {
    const size_t count = kUdpBatch + 7;
    for (size_t i = 0; i < count; ++i) {
      sender.Queue(receiver.LocalAddress(), std::to_string(i));
    }
    sender.Flush();
    std::set<std::string> seen;
    while (seen.size() < count && receiver.Wait(kWait)) {
      const size_t n = receiver.Receive();
      for (size_t i = 0; i < n; ++i) {
        CHECK(receiver.At(i).mPeer == sender.LocalAddress());
        seen.emplace(receiver.At(i).mBytes);
      }
    }
    CHECK(seen.size() == count);
    CHECK(sender.Counters().mSent == count);
    CHECK(receiver.Counters().mReceived == count);
  }
  SECTION("no datagram")
  {
    CHECK_FALSE(receiver.Wait(0ms));
    CHECK(receiver.Receive() == 0);
  }
  SECTION("a closed port at the peer does not fail the socket")
  {
    sender.Queue(FreeAddress(), "x");
    sender.Flush();
    CHECK(sender.Receive() == 0);
  }
  SECTION("errors")
  {
    CHECK(ErrorOf([&] { UdpSocket again(receiver.LocalAddress()); }) == 631);
    const std::string big(kMaxUdpDatagram + 1, 'x');
    CHECK(ErrorOf([&] { sender.Queue(kAnyPort, big); }) == 633);
  }
}

TEST_CASE("nng request and reply", "[net]")
{
  const Address address = FreeAddress();
  SECTION("the server sees the client's address")
  {
    ReplyServer server(address, 1024);
    std::thread thread([&] {
      server.ServeOne(kWait, [](const NngMessage& m) {
        return m.mPeer.IpString() + " " + m.mBytes;
      });
    });
    RequestClient client(address, 1024, kAnyPort.mIp + 1);
    CHECK(client.Ask("hello", kWait) == "127.61.0.2 hello");
    thread.join();
  }
  SECTION("no server, no answer, no request, address in use")
  {
    RequestClient client(address, 1024, 0);
    CHECK(ErrorOf([&] { client.Ask("x", 20ms); }) == 752);
    ReplyServer server(address, 1024);
    CHECK_FALSE(server.ServeOne(0ms, [](const NngMessage&) { return ""; }));
    CHECK(ErrorOf([&] { ReplyServer again(address, 1024); }) == 751);
  }
}

TEST_CASE("nng push and pull", "[net]")
{
  const Address address = FreeAddress();
  PushClient client(address, 4, 0);
  SECTION("a queued message is delivered when the server starts")
  {
    REQUIRE(client.TrySend("a"));
    PullServer server(address, 1024);
    const std::optional<NngMessage> got = server.Receive(kWait);
    REQUIRE(got);
    CHECK(got->mBytes == "a");
    CHECK_FALSE(server.Receive(0ms));
  }
  SECTION("a full queue refuses messages without waiting")
  {
    int taken = 0;
    while (taken < 100 && client.TrySend("x")) {
      ++taken;
    }
    CHECK(taken < 100);
  }
}

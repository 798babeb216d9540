// Compares the throughput of a balancer's data path that forwards datagrams to
// the balancer that owns their flows with a bare loop that receives and sends
// batches. Prints the datagrams per second of CPU time of both, and their
// ratio.

#include <atomic>
#include <cstdio>
#include <ctime>
#include <pthread.h>
#include <thread>

#include "foxtail/balancerd/DataPath.h"
#include "foxtail/coap/Message.h"
#include "foxtail/core/FlowKey.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/net/Encapsulation.h"
#include "foxtail/routing/FlowRecord.h"

namespace {

using namespace foxtail;

constexpr seconds kMeasurementTime{ 3 };
constexpr milliseconds kWarmUp{ 500 };
constexpr int kFlows = 4096;
constexpr int kSenders = 3;
constexpr size_t kPayloadBytes = 64;

const Address kService = Address::Parse("127.24.0.10:5683");
const Address kSource = Address::Parse("127.24.0.2:5690");
const Address kSink = Address::Parse("127.24.0.9:5691");

// Returns the CPU time that the thread has used.
Duration
CpuTime(pthread_t aThread)
{
  clockid_t clock;
  timespec time;
  pthread_getcpuclockid(aThread, &clock);
  clock_gettime(clock, &time);
  return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Makes datagrams from the fabric whose flows the peer owns.
std::vector<std::string>
MakeDatagrams(const routing::OwnerRanking& aRanking, routing::Incarnation aPeer)
{
  std::vector<std::string> datagrams;
  std::string message;
  coap::EncodeResponse({ coap::kGet, {}, {}, std::string(kPayloadBytes, 'x') },
                       coap::Type::Confirmable,
                       1,
                       coap::Token::FromValue(1),
                       message);
  for (uint16_t port = 1; datagrams.size() < kFlows; ++port) {
    const FlowKey flow{ { kSource.mIp, port }, kService };
    if (aRanking.Owner(routing::RankHash(flow.Hash())) == aPeer) {
      datagrams.emplace_back();
      net::WrapInbound(flow, 0, message, datagrams.back());
    }
  }
  return datagrams;
}

// Sends datagrams from several threads as fast as the kernel accepts them.
class Flood
{
public:
  Flood(const Address& aTo, const std::vector<std::string>& aDatagrams)
  {
    for (int i = 0; i < kSenders; ++i) {
      mThreads.emplace_back([=, &aDatagrams] {
        net::UdpSocket socket(Address{ kSource.mIp, 0 });
        while (!mIsStopped) {
          for (const std::string& it : aDatagrams) {
            socket.Queue(aTo, it);
          }
          socket.Flush();
        }
      });
    }
  }

  ~Flood()
  {
    mIsStopped = true;
    for (std::thread& it : mThreads) {
      it.join();
    }
  }

private:
  std::atomic<bool> mIsStopped{ false };
  std::vector<std::thread> mThreads;
};

// Returns the datagrams that a thread relays per second of its CPU time; call
// while a Flood runs.
template<typename Count>
double
Measure(std::thread& aThread, Count aCount)
{
  std::this_thread::sleep_for(kWarmUp);
  const Duration cpu = CpuTime(aThread.native_handle());
  const uint64_t count = aCount();
  std::this_thread::sleep_for(kMeasurementTime);
  const double used =
    std::chrono::duration<double>(CpuTime(aThread.native_handle()) - cpu)
      .count();
  return static_cast<double>(aCount() - count) / used;
}

double
MeasureBare(const std::vector<std::string>& aDatagrams)
{
  const Address listen = Address::Parse("127.24.0.1:5699");
  net::UdpSocket in(listen);
  net::UdpSocket out(Address{ listen.mIp, 0 });
  std::atomic<bool> isStopped{ false };
  std::atomic<uint64_t> relayed{ 0 };
  std::thread thread([&] {
    while (!isStopped) {
      in.Wait(milliseconds(2));
      const size_t n = in.Receive();
      for (size_t i = 0; i < n; ++i) {
        out.Queue(kSink, in.At(i).mBytes);
      }
      out.Flush();
      relayed += n;
    }
  });
  double rate = 0;
  {
    const Flood flood(listen, aDatagrams);
    rate = Measure(thread, [&] { return relayed.load(); });
  }
  isStopped = true;
  thread.join();
  return rate;
}

daemon::Settings
MakeSettings()
{
  daemon::Settings settings;
  settings.mVm = {
    "relay", "bench", "bench", Address::Parse("127.24.0.1:1").mIp
  };
  settings.mPorts.mFabric = 5690;
  settings.mPorts.mHandoff = 5691;
  settings.mPorts.mUpstream = 5695;
  settings.mFabricReturnAddress = kSource;
  return settings;
}

membership::Member
MakeMember(const char* aName,
           routing::Incarnation aIncarnation,
           const Address& aHandoff)
{
  membership::Member member;
  member.mName = aName;
  member.mRegion = "bench";
  member.mIncarnation = aIncarnation;
  member.mHandoffAddress = aHandoff;
  member.mPeerAddress = aHandoff;
  return member;
}

config::SnapshotPtr
MakeSnapshot()
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mServices.push_back(
    { "bench", kService, seconds(30), seconds(120), { 0 } });
  config::Upstream upstream;
  upstream.mName = "bench-1";
  upstream.mId = 1;
  upstream.mService = 0;
  snapshot->mUpstreams.push_back(upstream);
  return snapshot;
}

// Measures the data path under a Flood. Fills aDatagrams, which depend on the
// incarnations of the balancers.
double
MeasureDataPath(std::vector<std::string>& aDatagrams)
{
  const daemon::Settings settings = MakeSettings();
  daemon::Metrics metrics;
  balancerd::Mailbox mailbox;
  balancerd::PeerSender sender(settings.mVm.mIp, metrics);
  balancerd::DataPath path(settings, mailbox, sender);
  auto view = std::make_shared<membership::View>();
  const routing::Incarnation self = path.Incarnation();
  const routing::Incarnation peer = self + 1;
  view->mMembers = { MakeMember("peer", peer, kSink),
                     MakeMember("relay", self, settings.OwnAddress(5691)) };
  aDatagrams = MakeDatagrams(routing::OwnerRanking({ self, peer }), peer);
  std::atomic<uint64_t> forwarded{ 0 };
  mailbox.Post([&](balancer::Balancer& b, TimePoint aNow) {
    b.SetSnapshot(MakeSnapshot(), aNow);
    b.SetView(view, aNow);
  });
  daemon::StopToken stop;
  std::thread thread([&] { path.Run(stop); });
  const auto count = [&] {
    mailbox.PostAndWait([&](balancer::Balancer& b, TimePoint) {
      forwarded = b.Counters().mForwarded;
    });
    return forwarded.load();
  };
  double rate = 0;
  {
    const Flood flood(settings.OwnAddress(5690), aDatagrams);
    rate = Measure(thread, count);
  }
  stop.Request();
  thread.join();
  return rate;
}

} // namespace

int
main()
{
  std::vector<std::string> datagrams;
  const double path = MeasureDataPath(datagrams);
  const double bare = MeasureBare(datagrams);
  std::printf("data path  %.0f datagrams a second of processor time\n", path);
  std::printf("bare loop  %.0f datagrams a second of processor time\n", bare);
  std::printf("ratio      %.2f\n", path / bare);
  return 0;
}

// Simulated network fabric: receives callers' datagrams at the service
// addresses, sends each to a random balancer, and returns the balancers'
// datagrams to the callers.

#include <iostream>
#include <random>
#include <set>

#include "AdminServer.h"
#include "EventLoop.h"
#include "UdpSocket.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "foxtail/coap/Message.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/Encapsulation.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the settings");

namespace foxtail::standins {
namespace {

struct Balancer
{
  std::string mName;
  std::string mDomain;
  Address mAddress;
};

// Injected faults for datagrams in both directions; mDrop and mDuplicate are
// probabilities.
struct Faults
{
  double mDrop = 0;
  double mDuplicate = 0;
  milliseconds mDelay{ 0 };
  milliseconds mJitter{ 0 };
};

struct Counters
{
  uint64_t mInbound = 0;
  uint64_t mReturned = 0;
  uint64_t mDropped = 0;
  uint64_t mDuplicated = 0;
  uint64_t mCut = 0;
  uint64_t mNoBalancer = 0;
  uint64_t mMalformed = 0;
  std::map<std::string, uint64_t> mPerBalancer;
};

class Fabric
{
public:
  Fabric(EventLoop& aLoop, const Json& aSettings)
    : mLoop(aLoop)
    , mRandom(aSettings.value("seed", 1U))
    , mReturnSocket(
        Address::Parse(aSettings.at("return_address").get<std::string>()))
  {
    for (const auto& service : aSettings.at("services")) {
      AddService(Address::Parse(service.get<std::string>()));
    }
    mLoop.Watch(mReturnSocket.Fd(), [this] { ReceiveReturns(); });
    SetBalancers(aSettings.value("balancers", Json::array()));
    SetFaults(aSettings.value("faults", Json::object()));
    SetCut(aSettings.value("cut", Json::array()));
  }

  void SetBalancers(const Json& aList)
  {
    std::vector<Balancer> balancers;
    for (const auto& it : aList) {
      balancers.push_back(
        { it.at("name"),
          it.at("domain"),
          Address::Parse(it.at("address").get<std::string>()) });
    }
    mBalancers = std::move(balancers);
  }

  // Absent keys keep their value.
  void SetFaults(const Json& aFaults)
  {
    mFaults.mDrop = aFaults.value("drop", mFaults.mDrop);
    mFaults.mDuplicate = aFaults.value("duplicate", mFaults.mDuplicate);
    mFaults.mDelay =
      milliseconds(aFaults.value("delay_ms", mFaults.mDelay.count()));
    mFaults.mJitter =
      milliseconds(aFaults.value("jitter_ms", mFaults.mJitter.count()));
  }

  void SetCut(const Json& aDomains)
  {
    mCutDomains = aDomains.get<std::set<std::string>>();
  }

  Json Status() const
  {
    return { { "inbound", mCounters.mInbound },
             { "returned", mCounters.mReturned },
             { "dropped", mCounters.mDropped },
             { "duplicated", mCounters.mDuplicated },
             { "cut", mCounters.mCut },
             { "no_balancer", mCounters.mNoBalancer },
             { "malformed", mCounters.mMalformed },
             { "per_balancer", mCounters.mPerBalancer },
             { "balancers", mBalancers.size() } };
  }

private:
  using Deliver = std::function<void(const std::string&)>;

  void AddService(const Address& aAddress)
  {
    auto socket = std::make_shared<UdpSocket>(aAddress);
    mServices.emplace(aAddress, socket);
    mLoop.Watch(socket->Fd(), [this, socket] { ReceiveInbound(*socket); });
  }

  void ReceiveInbound(UdpSocket& aSocket)
  {
    Address from;
    while (const auto datagram = aSocket.Receive(from)) {
      ++mCounters.mInbound;
      std::string out;
      net::WrapInbound({ from, aSocket.Local() }, 0, *datagram, out);
      ForwardWithFaults(std::move(out), [this](const std::string& aBytes) {
        SendToBalancer(aBytes);
      });
    }
  }

  void SendToBalancer(const std::string& aBytes)
  {
    if (mBalancers.empty()) {
      ++mCounters.mNoBalancer;
      return;
    }
    const Balancer& balancer = mBalancers[mRandom() % mBalancers.size()];
    if (mCutDomains.count(balancer.mDomain) != 0) {
      ++mCounters.mCut;
      return;
    }
    ++mCounters.mPerBalancer[balancer.mName];
    mReturnSocket.Send(balancer.mAddress, aBytes);
  }

  void ReceiveReturns()
  {
    Address from;
    while (const auto datagram = mReturnSocket.Receive(from)) {
      if (IsCut(from.mIp)) {
        ++mCounters.mCut;
        continue;
      }
      ForwardWithFaults(
        std::string(*datagram),
        [this](const std::string& aBytes) { SendToCaller(aBytes); });
    }
  }

  bool IsCut(uint32_t aIp) const
  {
    for (const Balancer& it : mBalancers) {
      if (it.mAddress.mIp == aIp) {
        return mCutDomains.count(it.mDomain) != 0;
      }
    }
    return false;
  }

  void SendToCaller(const std::string& aBytes)
  {
    try {
      const net::Envelope envelope = net::UnwrapReturn(aBytes);
      const auto it = mServices.find(envelope.mFlow.mService);
      if (it == mServices.end()) {
        ++mCounters.mMalformed;
        return;
      }
      ++mCounters.mReturned;
      it->second->Send(envelope.mFlow.mCaller, envelope.mInner);
    } catch (const Error&) {
      ++mCounters.mMalformed;
    }
  }

  bool DrawChance(double aProbability)
  {
    return aProbability > 0 &&
           std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
  }

  void ForwardWithFaults(std::string aBytes, const Deliver& aDeliver)
  {
    if (DrawChance(mFaults.mDrop)) {
      ++mCounters.mDropped;
      return;
    }
    if (DrawChance(mFaults.mDuplicate)) {
      ++mCounters.mDuplicated;
      Delay(aBytes, aDeliver);
    }
    Delay(std::move(aBytes), aDeliver);
  }

  void Delay(std::string aBytes, const Deliver& aDeliver)
  {
    std::uniform_int_distribution<int64_t> jitter(
      0, microseconds(mFaults.mJitter).count());
    const Duration delay = mFaults.mDelay + microseconds(jitter(mRandom));
    if (delay == Duration::zero()) {
      aDeliver(aBytes);
      return;
    }
    mLoop.After(delay,
                [bytes = std::move(aBytes), aDeliver] { aDeliver(bytes); });
  }

  EventLoop& mLoop;
  std::mt19937_64 mRandom;
  UdpSocket mReturnSocket;
  std::map<Address, std::shared_ptr<UdpSocket>> mServices;
  std::vector<Balancer> mBalancers;
  // Failure domains whose balancers' datagrams are dropped, in both directions.
  std::set<std::string> mCutDomains;
  Faults mFaults;
  Counters mCounters;
};

void
Serve(const Json& aSettings)
{
  EventLoop loop;
  loop.StopOnSignals();
  Fabric fabric(loop, aSettings);
  AdminServer admin(Address::Parse(aSettings.at("admin").get<std::string>()));
  const auto change = [&](auto aChange) {
    return [&loop, &fabric, aChange](const Json& aBody) {
      const std::lock_guard<std::mutex> lock(loop.Mutex());
      aChange(aBody);
      return fabric.Status();
    };
  };
  admin.OnGet("/status", change([](const Json&) {}));
  admin.OnPost("/balancers",
               change([&](const Json& aBody) { fabric.SetBalancers(aBody); }));
  admin.OnPost("/faults",
               change([&](const Json& aBody) { fabric.SetFaults(aBody); }));
  admin.OnPost("/cut",
               change([&](const Json& aBody) { fabric.SetCut(aBody); }));
  admin.Start();
  loop.Run();
}

} // namespace
} // namespace foxtail::standins

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Simulates a fabric that spreads callers' datagrams over balancers.\n"
    "Settings: services (addresses), return_address, admin, seed,\n"
    "balancers [{name, domain, address}], faults {drop, duplicate, delay_ms,\n"
    "jitter_ms}, cut [domains]. Admin: GET /status; POST /balancers, /faults,\n"
    "/cut with the same values.");
  absl::ParseCommandLine(argc, argv);
  try {
    foxtail::standins::Serve(
      foxtail::standins::ReadJsonFile(absl::GetFlag(FLAGS_settings)));
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  return 0;
}

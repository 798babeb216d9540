// Naive relay, with which the process tests must fail: sends every datagram to
// a random upstream, retries blindly, and keeps no state of flows or of other
// balancers.

#include <iostream>
#include <random>
#include <unordered_map>

#include "AdminServer.h"
#include "EventLoop.h"
#include "UdpSocket.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "foxtail/coap/Message.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/Encapsulation.h"

ABSL_FLAG(std::string, settings, "", "the settings file of a VM");

namespace foxtail::standins {
namespace {

constexpr milliseconds kRetryInterval{ 1000 };
constexpr int kMaxTries = 3;
constexpr seconds kRefreshInterval{ 1 };
constexpr seconds kRefuseRetryAfter{ 1 };

// Upstreams by service, from the latest configuration of the platform.
using Services = std::map<Address, std::vector<Address>>;

Json
GetValue(const Address& aPlatform, const std::string& aName)
{
  httplib::Client client(aPlatform.IpString(), aPlatform.mPort);
  client.set_connection_timeout(kRefreshInterval);
  client.set_read_timeout(kRefreshInterval);
  const auto answer = client.Get(("/v1/values/" + aName).c_str());
  if (!answer || answer->status != 200) {
    throw PlatformError(801, aName, "no answer");
  }
  return Json::parse(answer->body).at("value");
}

Services
FetchServices(const Address& aPlatform)
{
  const Json base = GetValue(aPlatform, "config.base");
  const Json list = GetValue(aPlatform, "config.patches");
  Json config = base.at("config");
  for (const auto& patch : list.at("patches")) {
    config = config.patch(patch.at("patch"));
  }
  Services services;
  for (const auto& service : config.at("services")) {
    auto& upstreams =
      services[Address::Parse(service.at("address").get<std::string>())];
    for (const auto& upstream : service.at("upstreams")) {
      if (!upstream.value("draining", false)) {
        upstreams.push_back(
          Address::Parse(upstream.at("address").get<std::string>()));
      }
    }
  }
  return services;
}

class NaiveRelay
{
public:
  NaiveRelay(EventLoop& aLoop, const Json& aSettings)
    : mLoop(aLoop)
    , mRandom(std::random_device{}())
    , mFabricSocket(Local(aSettings, "fabric"))
    , mUpstreamSocket(Local(aSettings, "upstream"))
    , mReturnAddress(Address::Parse(
        aSettings.at("fabric").at("return_address").get<std::string>()))
  {
    mLoop.Watch(mFabricSocket.Fd(), [this] { ReceiveRequests(); });
    mLoop.Watch(mUpstreamSocket.Fd(), [this] { ReceiveAnswers(); });
  }

  void SetServices(Services aServices) { mServices = std::move(aServices); }

private:
  struct Pending
  {
    FlowKey mFlow;
    coap::Token mToken;
    uint16_t mMessageId = 0;
    std::string mRequest;
    int mTries = 0;
  };

  static Address Local(const Json& aSettings, const char* aPort)
  {
    const std::string ip = aSettings.at("vm").at("address");
    const int port = aSettings.at("ports").at(aPort);
    return Address::Parse(ip + ":" + std::to_string(port));
  }

  void ReceiveRequests()
  {
    Address from;
    while (const auto datagram = mFabricSocket.Receive(from)) {
      try {
        const net::Envelope envelope = net::Unwrap(*datagram);
        const coap::Message message = coap::Decode(envelope.mInner);
        if (message.IsRequest()) {
          AddRequest(envelope, message);
        }
      } catch (const Error&) {
        continue;
      }
    }
  }

  void AddRequest(const net::Envelope& aEnvelope, const coap::Message& aMessage)
  {
    const uint64_t serial = ++mSerial;
    mPending[serial] = { aEnvelope.mFlow,
                         aMessage.mToken,
                         aMessage.mMessageId,
                         std::string(aEnvelope.mInner),
                         0 };
    Try(serial);
  }

  void Try(uint64_t aSerial)
  {
    const auto it = mPending.find(aSerial);
    if (it == mPending.end()) {
      return;
    }
    const auto& upstreams = mServices[it->second.mFlow.mService];
    if (upstreams.empty() || it->second.mTries == kMaxTries) {
      Refuse(it->second);
      mPending.erase(it);
      return;
    }
    ++it->second.mTries;
    std::string out;
    coap::EncodeRelayed(coap::Decode(it->second.mRequest),
                        coap::Type::Confirmable,
                        mNextMessageId++,
                        coap::Token::FromValue(aSerial),
                        out);
    mUpstreamSocket.Send(upstreams[mRandom() % upstreams.size()], out);
    mLoop.After(kRetryInterval, [this, aSerial] { Try(aSerial); });
  }

  void Refuse(const Pending& aPending)
  {
    std::string answer;
    coap::EncodeResponse(
      { coap::kUnavailable, "", kRefuseRetryAfter, "not run: no answer" },
      coap::Type::Acknowledgement,
      aPending.mMessageId,
      aPending.mToken,
      answer);
    Return(aPending.mFlow, answer);
  }

  void Return(const FlowKey& aFlow, const std::string& aAnswer)
  {
    std::string out;
    net::WrapReturn(aFlow, aAnswer, out);
    mFabricSocket.Send(mReturnAddress, out);
  }

  void ReceiveAnswers()
  {
    Address from;
    while (const auto datagram = mUpstreamSocket.Receive(from)) {
      try {
        OnAnswer(from, coap::Decode(*datagram));
      } catch (const Error&) {
        continue;
      }
    }
  }

  void OnAnswer(const Address& aFrom, const coap::Message& aMessage)
  {
    if (aMessage.mType == coap::Type::Confirmable) {
      std::string ack;
      coap::EncodeEmpty(coap::Type::Acknowledgement, aMessage.mMessageId, ack);
      mUpstreamSocket.Send(aFrom, ack);
    }
    const auto it = mPending.find(aMessage.mToken.Value().value_or(0));
    if (!aMessage.IsResponse() || it == mPending.end()) {
      return;
    }
    std::string answer;
    coap::EncodeRelayed(aMessage,
                        coap::Type::Acknowledgement,
                        it->second.mMessageId,
                        it->second.mToken,
                        answer);
    Return(it->second.mFlow, answer);
    mPending.erase(it);
  }

  EventLoop& mLoop;
  std::mt19937_64 mRandom;
  UdpSocket mFabricSocket;
  UdpSocket mUpstreamSocket;
  Address mReturnAddress;
  Services mServices;
  std::unordered_map<uint64_t, Pending> mPending;
  uint64_t mSerial = 0;
  uint16_t mNextMessageId = static_cast<uint16_t>(mRandom());
};

// Polls the platform for the configuration in its own thread.
class Refresher
{
public:
  Refresher(EventLoop& aLoop, NaiveRelay& aRelay, const Address& aPlatform)
    : mThread([this, &aLoop, &aRelay, aPlatform] {
      while (!mStopped) {
        Refresh(aLoop, aRelay, aPlatform);
        std::this_thread::sleep_for(kRefreshInterval);
      }
    })
  {
  }

  ~Refresher()
  {
    mStopped = true;
    mThread.join();
  }

private:
  static void Refresh(EventLoop& aLoop,
                      NaiveRelay& aRelay,
                      const Address& aPlatform)
  {
    try {
      Services services = FetchServices(aPlatform);
      const std::lock_guard<std::mutex> lock(aLoop.Mutex());
      aRelay.SetServices(std::move(services));
    } catch (const std::exception&) {
      // The previous configuration stays in force.
    }
  }

  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

void
Serve(const Json& aSettings)
{
  EventLoop loop;
  loop.StopOnSignals();
  NaiveRelay relay(loop, aSettings);
  const Refresher refresher(
    loop,
    relay,
    Address::Parse(aSettings.at("platform").at("address").get<std::string>()));
  loop.Run();
}

} // namespace
} // namespace foxtail::standins

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage("A naive relay with the settings of a VM.");
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

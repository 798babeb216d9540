// Load generator: simulates many callers that send lookups, postings and
// downloads, and checks the answers.

#include <fstream>
#include <iostream>
#include <unordered_set>

#include "Flow.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Process.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the settings");
ABSL_FLAG(int, ack_timeout_ms, 0, "overrides ack_timeout_ms when above zero");

namespace foxtail::standins {
namespace {

// Requests per second by kind; multiplied by Crests::mFactor during a crest.
struct Rates
{
  ServiceTarget mTarget;
  std::array<double, kKinds> mPerSecond{};
  size_t mLongFlows = 0;
};

// Periodic load peaks: in each mPeriod, the first mLength has mFactor times the
// usual rate.
struct Crests
{
  milliseconds mPeriod{ 10'000 };
  milliseconds mLength{ 0 };
  double mFactor = 1;
};

struct LoadSettings
{
  std::vector<uint32_t> mLocalIps;
  // Size of the pool of ports that flows reuse on each address; zero lets the
  // system choose a port for each flow.
  uint16_t mPortsPerIp = 0;
  milliseconds mDuration{ 10'000 };
  // Longest wait for outstanding answers after the last arrival.
  milliseconds mSettle{ 20'000 };
  // Share of short requests that are sent on long-lived flows.
  double mLongShare = 0.3;
  Crests mCrests;
  std::vector<Rates> mServices;
  std::string mReport;
};

CallerSettings
ReadCaller(const Json& aJson)
{
  CallerSettings settings;
  settings.mSeed = aJson.value("seed", settings.mSeed);
  const int flag = absl::GetFlag(FLAGS_ack_timeout_ms);
  settings.mAckTimeout = milliseconds(
    flag > 0 ? flag
             : aJson.value("ack_timeout_ms", settings.mAckTimeout.count()));
  settings.mAnswerTimeout = milliseconds(
    aJson.value("answer_timeout_ms", settings.mAnswerTimeout.count()));
  if (aJson.contains("deadline_ms")) {
    settings.mDeadline = milliseconds(aJson["deadline_ms"].get<int>());
  }
  settings.mDownloadBytes =
    aJson.value("download_bytes", settings.mDownloadBytes);
  settings.mBlockPause =
    milliseconds(aJson.value("block_pause_ms", settings.mBlockPause.count()));
  settings.mBlockRetries = aJson.value("block_retries", settings.mBlockRetries);
  return settings;
}

Rates
ReadRates(const Json& aJson)
{
  Rates rates;
  rates.mTarget = { aJson.at("name"),
                    Address::Parse(aJson.at("address").get<std::string>()) };
  rates.mPerSecond = { aJson.value("lookups_per_s", 0.0),
                       aJson.value("postings_per_s", 0.0),
                       aJson.value("downloads_per_s", 0.0) };
  rates.mLongFlows = aJson.value("long_flows", 0U);
  return rates;
}

LoadSettings
ReadLoad(const Json& aJson)
{
  LoadSettings settings;
  for (const auto& ip : aJson.at("local_ips")) {
    settings.mLocalIps.push_back(
      Address::Parse(ip.get<std::string>() + ":0").mIp);
  }
  settings.mPortsPerIp = aJson.value("ports_per_ip", settings.mPortsPerIp);
  settings.mDuration =
    milliseconds(aJson.value("duration_ms", settings.mDuration.count()));
  settings.mSettle =
    milliseconds(aJson.value("settle_ms", settings.mSettle.count()));
  settings.mLongShare = aJson.value("long_share", settings.mLongShare);
  const Json crests = aJson.value("crests", Json::object());
  settings.mCrests.mPeriod =
    milliseconds(crests.value("period_ms", settings.mCrests.mPeriod.count()));
  settings.mCrests.mLength =
    milliseconds(crests.value("length_ms", settings.mCrests.mLength.count()));
  settings.mCrests.mFactor = crests.value("factor", 1.0);
  for (const auto& service : aJson.at("services")) {
    settings.mServices.push_back(ReadRates(service));
  }
  settings.mReport = aJson.at("report");
  return settings;
}

// Open-loop load: requests are sent at the set rates, whether or not earlier
// requests were answered.
class Load
{
public:
  Load(EventLoop& aLoop, const Json& aSettings)
    : mLoop(aLoop)
    , mCaller(ReadCaller(aSettings))
    , mSettings(ReadLoad(aSettings))
    , mRandom(mCaller.mSeed)
    , mStarted(std::chrono::steady_clock::now())
  {
    for (const Rates& rates : mSettings.mServices) {
      AddLongFlows(rates);
      for (size_t kind = 0; kind < kKinds; ++kind) {
        ScheduleArrival(rates, static_cast<Kind>(kind), mStarted);
      }
    }
    mLoop.After(mSettings.mDuration + mSettings.mSettle,
                [this] { mLoop.Stop(); });
  }

  // Ends outstanding requests and writes the report.
  void Finish()
  {
    mFinished = true;
    // A copy, because flows are removed from mFlows when they end.
    const auto flows = mFlows;
    for (const auto& flow : flows) {
      flow->GiveUp();
    }
    std::ofstream(mSettings.mReport) << mReport.ToJson().dump(1) << '\n';
  }

private:
  using FlowPtr = std::shared_ptr<Flow>;

  bool ArrivalsEnded() const
  {
    return std::chrono::steady_clock::now() - mStarted >= mSettings.mDuration;
  }

  void AddLongFlows(const Rates& aRates)
  {
    auto& flows = mLongFlows[aRates.mTarget.mName];
    for (size_t i = 0; i < aRates.mLongFlows; ++i) {
      flows.push_back(NewFlow(aRates.mTarget, true));
    }
  }

  FlowPtr NewFlow(const ServiceTarget& aTarget, bool aLong)
  {
    FlowPtr flow = BindFlow(aTarget);
    flow->Open([this, aLong](const FlowPtr& aFlow) {
      if (!aLong && !mFinished) {
        Retire(aFlow);
      }
      EndWhenDone();
    });
    mFlows.insert(flow);
    return flow;
  }

  FlowPtr BindFlow(const ServiceTarget& aTarget)
  {
    constexpr int kMaxTries = 100;
    for (int i = 0;; ++i) {
      const Address local = NextLocal();
      try {
        return MakeFlow(aTarget, std::make_unique<UdpSocket>(local));
      } catch (const NetError&) {
        // The port is still in use.
        if (i == kMaxTries) {
          throw;
        }
      }
    }
  }

  FlowPtr MakeFlow(const ServiceTarget& aTarget,
                   std::unique_ptr<UdpSocket> aSocket)
  {
    const auto last = mNextMessageIds.find(aSocket->Local());
    const bool fresh = last == mNextMessageIds.end();
    const auto id = fresh ? static_cast<uint16_t>(mRandom()) : last->second;
    return std::make_shared<Flow>(mLoop,
                                  mReport,
                                  mCaller,
                                  aTarget,
                                  std::move(aSocket),
                                  id,
                                  fresh,
                                  ++mSerial);
  }

  Address NextLocal()
  {
    constexpr uint16_t kFirstPort = 20000;
    const auto& ips = mSettings.mLocalIps;
    const uint32_t ip = ips[mRandom() % ips.size()];
    const uint16_t pool = mSettings.mPortsPerIp;
    const auto port =
      static_cast<uint16_t>(pool == 0 ? 0 : kFirstPort + mRandom() % pool);
    return Address{ ip, port };
  }

  // Without a port pool, keeps the socket open for a short time so that late
  // answers are counted.
  void Retire(const FlowPtr& aFlow)
  {
    const milliseconds linger(mSettings.mPortsPerIp == 0 ? 500 : 0);
    mNextMessageIds[aFlow->Local()] = aFlow->NextMessageId();
    mFlows.erase(aFlow);
    mLoop.After(linger, [aFlow] {});
  }

  void EndWhenDone()
  {
    if (!ArrivalsEnded()) {
      return;
    }
    for (const auto& flow : mFlows) {
      if (!flow->IsIdle()) {
        return;
      }
    }
    mLoop.Stop();
  }

  double CrestFactor(TimePoint aAt) const
  {
    const bool crest = (aAt - mStarted) % Duration(mSettings.mCrests.mPeriod) <
                       mSettings.mCrests.mLength;
    return crest ? mSettings.mCrests.mFactor : 1;
  }

  // Each interval starts when the previous arrival was due, not when the event
  // loop ran it, so that a delayed event loop does not lower the rate.
  void ScheduleArrival(const Rates& aRates, Kind aKind, TimePoint aLast)
  {
    const double rate =
      aRates.mPerSecond[static_cast<size_t>(aKind)] * CrestFactor(aLast);
    if (rate <= 0) {
      return;
    }
    std::exponential_distribution<> gap(rate);
    const std::chrono::duration<double> wait(gap(mRandom));
    const TimePoint due = aLast + std::chrono::duration_cast<Duration>(wait);
    mLoop.At(due, [this, &aRates, aKind, due] {
      if (ArrivalsEnded()) {
        EndWhenDone();
        return;
      }
      Arrive(aRates, aKind);
      ScheduleArrival(aRates, aKind, due);
    });
  }

  void Arrive(const Rates& aRates, Kind aKind)
  {
    std::uniform_real_distribution<> unit(0, 1);
    const auto& longFlows = mLongFlows[aRates.mTarget.mName];
    const bool useLong = aKind != Kind::Download && !longFlows.empty() &&
                         unit(mRandom) < mSettings.mLongShare;
    if (useLong) {
      const FlowPtr& flow = longFlows[mRandom() % longFlows.size()];
      if (flow->IsIdle()) {
        flow->Ask(aKind);
        return;
      }
    }
    NewFlow(aRates.mTarget, false)->Ask(aKind);
  }

  EventLoop& mLoop;
  CallerSettings mCaller;
  LoadSettings mSettings;
  CallerReport mReport;
  std::mt19937_64 mRandom;
  TimePoint mStarted;
  uint64_t mSerial = 0;
  bool mFinished = false;
  std::map<std::string, std::vector<FlowPtr>> mLongFlows;
  std::map<Address, uint16_t> mNextMessageIds;
  std::unordered_set<FlowPtr> mFlows;
};

} // namespace
} // namespace foxtail::standins

int
main(int argc, char** argv)
{
  using namespace foxtail::standins;
  absl::SetProgramUsageMessage(
    "Sends requests as many callers and reports what came back.\n"
    "Settings: report (file), seed, local_ips, ports_per_ip, duration_ms,\n"
    "settle_ms, long_share, crests {period_ms, length_ms, factor}, "
    "ack_timeout_ms,\n"
    "answer_timeout_ms, deadline_ms, download_bytes, block_pause_ms,\n"
    "block_retries, services [{name, address, lookups_per_s,\n"
    "postings_per_s, downloads_per_s, long_flows}].");
  absl::ParseCommandLine(argc, argv);
  try {
    foxtail::daemon::RaiseDescriptorLimit();
    EventLoop loop;
    loop.StopOnSignals();
    Load load(loop, ReadJsonFile(absl::GetFlag(FLAGS_settings)));
    loop.Run();
    load.Finish();
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  return 0;
}

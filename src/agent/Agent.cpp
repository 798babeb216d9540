#include "foxtail/agent/Agent.h"

#include <chrono>
#include <thread>

#include "absl/strings/str_cat.h"

#include "agent/Status.h"
#include "foxtail/agent/LoadPoller.h"
#include "foxtail/agent/PeerLinks.h"
#include "foxtail/agent/PlatformFeed.h"
#include "foxtail/agent/SharedCore.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"
#include "foxtail/daemon/DaemonMain.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/StatusServer.h"
#include "foxtail/daemon/Supervisor.h"

namespace foxtail::agent {

namespace {

using daemon::StopToken;

constexpr milliseconds kPollInterval{ 20 };
// Time between the announcement of a leave and the end of the agent, for the
// leave to reach the peers.
constexpr milliseconds kLeavePropagationTime{ 300 };

// Each restart of the agent gives a greater number as long as the clock does
// not go back. If the clock goes back, the peers report their newer number and
// the detector continues with a greater one.
uint64_t
NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<microseconds>(now).count());
}

membership::DetectorSettings
MakeDetectorSettings(const daemon::Settings& aSettings)
{
  membership::DetectorSettings settings;
  settings.mName = aSettings.mVm.mName;
  settings.mRegion = aSettings.mVm.mRegion;
  settings.mDomain = aSettings.mVm.mDomain;
  settings.mAgentAddress = aSettings.OwnAddress(aSettings.mPorts.mAgent);
  settings.mIncarnation = NewIncarnation();
  settings.mSeed = StableHash(settings.mName, settings.mIncarnation);
  return settings;
}

} // namespace

struct Agent::State
{
  explicit State(const daemon::Settings& aSettings)
    : mSettings(aSettings)
    , mDetectorSettings(MakeDetectorSettings(aSettings))
    , mCore(mDetectorSettings)
    , mLoadPoller(mCore, mMetrics)
    , mBase(MakeFeed("config.base"))
    , mPatches(MakeFeed("config.patches"))
    , mVms(MakeFeed("vms"))
    , mFeedSupervisor("platform", daemon::LogEvent)
    , mSupervisor("agent", daemon::LogEvent)
  {
    AddParts();
    ServeStatus();
  }

  std::unique_ptr<PlatformFeed> MakeFeed(const std::string& aName)
  {
    return std::make_unique<PlatformFeed>(
      mCore,
      mMetrics,
      mSettings.mPlatformAddress,
      aName,
      StableHash(aName, mDetectorSettings.mSeed));
  }

  void AddParts()
  {
    const Address agent = mDetectorSettings.mAgentAddress;
    const Address local = mSettings.OwnAddress(mSettings.mPorts.mLocal);
    // Parts end in reverse order: gossip ends last, because it still has to
    // tell the peers that the agent ends.
    mSupervisor.Add("gossip",
                    [=](const StopToken& t) { RunGossip(mCore, agent, t); });
    mSupervisor.Add("local-server", [=](const StopToken& t) {
      RunLocalServer(mCore, local, t);
    });
    mSupervisor.Add("peer-server", [=](const StopToken& t) {
      RunPeerServer(mCore, agent, t);
    });
    mSupervisor.Add("fetcher",
                    [=](const StopToken& t) { RunFetcher(mCore, agent, t); });
    mSupervisor.Add("load-poller",
                    [=](const StopToken& t) { mLoadPoller.Run(t); });
    for (PlatformFeed* it : { mVms.get(), mBase.get(), mPatches.get() }) {
      mFeedSupervisor.Add(
        it->Name(),
        [=](const StopToken& t) { it->Run(t); },
        [=] { it->Interrupt(); });
    }
    mSupervisor.Add("platform",
                    [=](const StopToken& t) { mFeedSupervisor.Run(t); });
  }

  void ServeStatus()
  {
    mStatus.Serve("/status", "application/json", [=](const auto&) {
      return mCore.With([&](AgentCore& c, TimePoint) {
        return StatusText(c, mSettings.mVm.mName);
      });
    });
    mStatus.Serve("/config", "application/json", [=](const auto&) {
      return mCore.With([](AgentCore& c, TimePoint) {
        if (!c.Chain().Current()) {
          throw DaemonError(911, "agent", "no configuration yet");
        }
        const config::Base base{ c.Chain().Point(),
                                 c.Chain().CurrentDocument().ToJson() };
        return base.ToJson().dump() + "\n";
      });
    });
    mStatus.Serve("/ready", "application/json", [=](const auto&) {
      mCore.With([](AgentCore& c, TimePoint) {
        if (!c.Chain().Current()) {
          throw DaemonError(911, "agent", "no configuration yet");
        }
      });
      return std::string("{\"ready\": true}\n");
    });
    mStatus.Serve("/metrics", "text/plain", [=](const auto&) {
      mCore.With([&](AgentCore& c, TimePoint) { UpdateMetrics(c, mMetrics); });
      return mMetrics.Text();
    });
  }

  // The balancer announces its own leave once its flows are handed over. The
  // agent's leave follows when the balancer has ended or the drain time has
  // passed.
  void Drain()
  {
    const TimePoint start = std::chrono::steady_clock::now();
    while (HasBalancer() && std::chrono::steady_clock::now() - start <
                              mSettings.mLimits.mDrainTime) {
      std::this_thread::sleep_for(kPollInterval);
    }
    mCore.With([](AgentCore& c, TimePoint aNow) { c.Leave(aNow); });
    std::this_thread::sleep_for(kLeavePropagationTime);
    mCore.With([](AgentCore& c, TimePoint aNow) { c.Stop(aNow); });
  }

  bool HasBalancer()
  {
    return mCore.With(
      [](AgentCore& c, TimePoint) { return c.Members().HasBalancer(); });
  }

  daemon::Settings mSettings;
  membership::DetectorSettings mDetectorSettings;
  daemon::Metrics mMetrics;
  SharedCore mCore;
  LoadPoller mLoadPoller;
  std::unique_ptr<PlatformFeed> mBase;
  std::unique_ptr<PlatformFeed> mPatches;
  std::unique_ptr<PlatformFeed> mVms;
  daemon::Supervisor mFeedSupervisor;
  daemon::Supervisor mSupervisor;
  daemon::StatusServer mStatus;
};

Agent::Agent(const daemon::Settings& aSettings)
  : mState(std::make_unique<State>(aSettings))
{
}

Agent::~Agent() = default;

void
Agent::Run()
{
  State& state = *mState;
  state.mStatus.Start(
    state.mSettings.OwnAddress(state.mSettings.mPorts.mAgentHttp));
  daemon::LogEvent(
    { 1001,
      absl::StrCat("agent=",
                   state.mDetectorSettings.mAgentAddress.ToString(),
                   " incarnation=",
                   state.mDetectorSettings.mIncarnation) });

  daemon::RunUntilSignal(
    state.mSupervisor, state.mStatus, [&] { state.Drain(); });
  daemon::LogEvent({ 1003, "" });
}

} // namespace foxtail::agent

#include "foxtail/balancerd/BalancerDaemon.h"

#include <thread>

#include "absl/strings/str_cat.h"
#include "balancerd/Status.h"
#include "foxtail/balancerd/AgentLink.h"
#include "foxtail/balancerd/DataPath.h"
#include "foxtail/balancerd/PeerSender.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/DaemonMain.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/StatusServer.h"
#include "foxtail/net/PeerCodec.h"

namespace foxtail::balancerd {

namespace {

using daemon::StopToken;

constexpr milliseconds kPollInterval{ 20 };
constexpr milliseconds kReceiveTimeout{ 200 };
// Time after which all peers have been notified of a leave.
constexpr seconds kLeavePropagationTime{ 3 };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

routing::RecordBatch
ToBatch(const net::FlowRecords& aMessage)
{
  routing::RecordBatch batch;
  batch.mTo = aMessage.mGrantTo;
  batch.mGrant = aMessage.mGrantTo != 0;
  batch.mConfigNumber = aMessage.mConfigNumber;
  for (const net::UpstreamFlows& it : aMessage.mRecords) {
    for (const uint32_t fingerprint : it.mFingerprints) {
      batch.mRecords.push_back({ fingerprint, it.mUpstream });
    }
  }
  return batch;
}

std::vector<routing::LoadReport>
ToReports(const net::FlowRecords& aMessage, TimePoint aNow)
{
  std::vector<routing::LoadReport> reports;
  for (const net::UpstreamLoad& it : aMessage.mLoads) {
    reports.push_back(
      { it.mUpstream, it.mInFlight, it.mHealthy, it.mDraining, aNow });
  }
  return reports;
}

} // namespace

struct BalancerDaemon::State
{
  explicit State(const daemon::Settings& aSettings)
    : mSettings(aSettings)
    , mSender(aSettings.mVm.mIp, mMetrics)
    , mDataPath(aSettings, mMailbox, mSender)
    , mAgentLink(aSettings, mMailbox, mDataPath, mMetrics)
    , mSupervisor("balancer", daemon::LogEvent)
  {
    mSupervisor.Add("peer-sender", [=](const StopToken& t) { mSender.Run(t); });
    mSupervisor.Add("data-path", [=](const StopToken& t) { mDataPath.Run(t); });
    mSupervisor.Add("peer-receiver",
                    [=](const StopToken& t) { ReceivePeers(t); });
    mSupervisor.Add("agent-link",
                    [=](const StopToken& t) { mAgentLink.Run(t); });
    ServeStatus();
  }

  void ReceivePeers(const StopToken& aStop)
  {
    net::PullServer server(mSettings.OwnAddress(mSettings.mPorts.mPeer),
                           net::kMaxFlowRecordsSize);
    while (!aStop.IsRequested()) {
      const auto message = server.Receive(kReceiveTimeout);
      if (message) {
        HandlePeerMessage(*message);
      }
    }
  }

  void DropPeerMessage(const std::string& aWhy)
  {
    mMetrics
      .Counter("foxtail_peer_messages_refused_total",
               "Peer messages dropped as malformed or unauthorised.")
      .Increment();
    daemon::LogEvent({ 7001, aWhy });
  }

  void HandlePeerMessage(const net::NngMessage& aMessage)
  {
    try {
      const auto records = net::DecodeFlowRecords(aMessage.mBytes);
      mMailbox.Post([this, records, ip = aMessage.mPeer.mIp](
                      balancer::Balancer& b, TimePoint aNow) {
        const membership::Member* sender =
          b.CurrentView() ? b.CurrentView()->FindIncarnation(records.mSender)
                          : nullptr;
        if (sender == nullptr || sender->mPeerAddress.mIp != ip) {
          DropPeerMessage("sender not in the view or address differs");
          return;
        }
        if (records.mHasLoads) {
          b.OnPeerLoads(records.mSender, ToReports(records, aNow), aNow);
        }
        if (!records.mRecords.empty() || records.mGrantTo != 0) {
          b.OnPeerRecords(records.mSender, ToBatch(records), aNow);
        }
      });
    } catch (const PeerError& e) {
      DropPeerMessage(e.what());
    }
  }

  StatusContext Context() const
  {
    return { mSettings.mVm.mName,
             mDataPath.Incarnation(),
             mAgentLink.AnswerAge(),
             mDataPath.UnauthorisedDatagrams() };
  }

  // Calls aMake with the balancer on the data path's thread and returns the
  // result of aMake.
  template<typename Make>
  std::string QueryText(Make aMake)
  {
    const auto text = std::make_shared<std::string>();
    mMailbox.PostAndWait([text, aMake](balancer::Balancer& b, TimePoint aNow) {
      *text = aMake(b, aNow);
    });
    return *text;
  }

  void ServeStatus()
  {
    const char* json = "application/json";
    mStatus.Serve("/status", json, [this](const auto&) {
      return QueryText([this](balancer::Balancer& b, TimePoint) {
        return StatusText(b, Context());
      });
    });
    mStatus.Serve("/ready", json, [this](const auto&) {
      return QueryText([](balancer::Balancer& b, TimePoint) {
        if (!b.IsReady()) {
          throw DaemonError(911, "balancer", "no configuration or view yet");
        }
        return std::string("{\"ready\": true}\n");
      });
    });
    mStatus.Serve("/metrics", "text/plain", [this](const auto&) {
      QueryText([this](balancer::Balancer& b, TimePoint) {
        UpdateMetrics(b, Context(), mMetrics);
        return std::string();
      });
      return mMetrics.Text();
    });
    mStatus.Serve("/explain", json, [this](const daemon::StatusQuery& aQuery) {
      const FlowKey flow{ Address::Parse(aQuery.mCaller),
                          Address::Parse(aQuery.mService) };
      return QueryText([flow](balancer::Balancer& b, TimePoint aNow) {
        return ExplanationText(b.Explain(flow, aNow));
      });
    });
  }

  // Calls aTest with the balancer on the data path's thread and returns the
  // result of aTest; false when the data path does not answer in time.
  template<typename Test>
  bool QueryCondition(Test aTest)
  {
    try {
      return QueryText([aTest](balancer::Balancer& b, TimePoint aNow) {
               return std::string(aTest(b, aNow) ? "yes" : "");
             }) == "yes";
    } catch (const DaemonError&) {
      return false;
    }
  }

  // Waits until aDone returns true, at the latest until the drain time after
  // aStart.
  template<typename Done>
  void WaitUntil(TimePoint aStart, Done aDone)
  {
    while (Now() - aStart < mSettings.mLimits.mDrainTime && !aDone()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Sends the flow records to the peers, then announces the leave, then waits
  // until the running requests have ended and the peers know of the leave.
  void Drain()
  {
    const TimePoint start = Now();
    mMailbox.Post(
      [](balancer::Balancer& b, TimePoint aNow) { b.BeginLeave(aNow); });
    WaitUntil(start, [&] {
      return mSender.IsIdle() && QueryCondition([](auto& b, TimePoint) {
               return b.FlowsHandedOver();
             });
    });
    mAgentLink.AnnounceLeave();
    const TimePoint announced = Now();
    WaitUntil(start, [&] {
      return Now() - announced >= kLeavePropagationTime &&
             QueryCondition(
               [](auto& b, TimePoint aNow) { return b.CanStop(aNow); });
    });
  }

  daemon::Settings mSettings;
  daemon::Metrics mMetrics;
  Mailbox mMailbox;
  PeerSender mSender;
  DataPath mDataPath;
  AgentLink mAgentLink;
  daemon::Supervisor mSupervisor;
  daemon::StatusServer mStatus;
};

BalancerDaemon::BalancerDaemon(const daemon::Settings& aSettings)
  : mState(std::make_unique<State>(aSettings))
{
}

BalancerDaemon::~BalancerDaemon() = default;

void
BalancerDaemon::Run()
{
  State& state = *mState;
  state.mStatus.Start(
    state.mSettings.OwnAddress(state.mSettings.mPorts.mBalancerHttp));
  daemon::LogEvent(
    { 1001, absl::StrCat("incarnation=", state.mDataPath.Incarnation()) });
  daemon::RunUntilSignal(
    state.mSupervisor, state.mStatus, [&] { state.Drain(); });
  state.mAgentLink.NotifyEnded();
  daemon::LogEvent({ 1003, "" });
}

} // namespace foxtail::balancerd

#ifndef foxtail_balancerd_AgentLink_h
#define foxtail_balancerd_AgentLink_h

#include <atomic>
#include <optional>
#include <string>

#include "foxtail/balancerd/DataPath.h"
#include "foxtail/balancerd/Mailbox.h"
#include "foxtail/config/Chain.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Settings.h"
#include "foxtail/daemon/Supervisor.h"
#include "foxtail/net/PeerMessages.h"

namespace foxtail::balancerd {

// Requests view, configuration and loads from the VM's agent. Each request is
// also the balancer's heartbeat. While the agent does not answer, the balancer
// keeps the view, configuration and loads that it has.
class AgentLink
{
public:
  AgentLink(const daemon::Settings& aSettings,
            Mailbox& aMailbox,
            DataPath& aDataPath,
            daemon::Metrics& aMetrics);

  // Body of the supervised part.
  void Run(const daemon::StopToken& aStop);

  // Later heartbeats state that the balancer leaves.
  void AnnounceLeave() { mIsLeaving = true; }
  // True once the agent has answered a heartbeat that announced the leave.
  bool LeaveAnnounced() const { return mLeaveAnnounced; }

  // Tells the agent that the balancer ends now. Must be called after Run has
  // returned.
  void NotifyEnded();

  // Time since the agent's latest answer.
  Duration AnswerAge() const;

private:
  membership::Member Self() const;
  void SendHeartbeat(net::RequestClient& aClient);
  void OnReply(const net::LocalReply& aReply);
  void ApplyView(const net::LocalReply& aReply);
  void ApplyConfig(const net::ConfigReply& aReply);
  void PostSnapshotIfNeeded(bool aIsNewer, bool aIsConfirmed);
  void ApplyLoads(const net::LocalReply& aReply);
  void RestartBalancer(routing::Incarnation aFloor);

  daemon::Settings mSettings;
  Mailbox& mMailbox;
  DataPath& mDataPath;
  daemon::Metrics& mMetrics;
  config::Chain mChain;
  uint64_t mViewSequence = 0;
  // When the balancer was restarted; empty once the restarted balancer has been
  // given a configuration.
  std::optional<TimePoint> mRestartedAt;
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mLeaveAnnounced{ false };
  std::atomic<TimePoint::rep> mLastAnswer;
  // False after a failed request, so that only the first failure is logged.
  bool mAgentAnswers = true;
};

} // namespace foxtail::balancerd

#endif

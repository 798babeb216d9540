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

// Asks the VM's agent for view, configuration and loads; each question is the
// balancer's heartbeat. While the agent does not answer, the balancer goes on
// with what it has.
class AgentLink
{
public:
  AgentLink(const daemon::Settings& aSettings,
            Mailbox& aMailbox,
            DataPath& aDataPath,
            daemon::Metrics& aMetrics);

  // Body of the supervised part.
  void Run(const daemon::StopToken& aStop);

  // From now on the heartbeat says that the balancer leaves.
  void AnnounceLeave() { mIsLeaving = true; }
  // The agent has been told.
  bool LeaveAnnounced() const { return mLeaveAnnounced; }

  // Tells the agent that the balancer ends now. Only after Run has returned.
  void NotifyEnded();

  // Time since the agent's latest answer.
  Duration AnswerAge() const;

private:
  membership::Member Self() const;
  void SendHeartbeat(net::RequestClient& aClient);
  void OnReply(const net::LocalReply& aReply);
  void ApplyView(const net::LocalReply& aReply);
  void ApplyConfig(const net::ConfigReply& aReply);
  void PostSnapshot(bool aIsNewer, bool aIsConfirmed);
  void ApplyLoads(const net::LocalReply& aReply);
  void RestartBalancer(routing::Incarnation aFloor);

  daemon::Settings mSettings;
  Mailbox& mMailbox;
  DataPath& mDataPath;
  daemon::Metrics& mMetrics;
  config::Chain mChain;
  uint64_t mViewSequence = 0;
  // When the balancer was renewed, until it has been given a configuration.
  std::optional<TimePoint> mRestartedAt;
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mLeaveAnnounced{ false };
  std::atomic<TimePoint::rep> mLastAnswer;
  bool mIsConnected = true;
};

} // namespace foxtail::balancerd

#endif

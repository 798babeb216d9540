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
  bool LeaveAnnounced() const { return mLeaveTold; }

  // Tells the agent that the balancer ends now. Only after Run has returned.
  void SayEnded();

  // Time since the agent's latest answer.
  Duration AnswerAge() const;

private:
  membership::Member Self() const;
  void Exchange(net::RequestClient& aClient);
  void OnReply(const net::LocalReply& aReply);
  void TakeView(const net::LocalReply& aReply);
  void TakeConfig(const net::ConfigReply& aReply);
  void GiveSnapshot(bool aIsNewer, bool aIsConfirmed);
  void TakeLoads(const net::LocalReply& aReply);
  void Renew(routing::Incarnation aFloor);

  daemon::Settings mSettings;
  Mailbox& mMailbox;
  DataPath& mDataPath;
  daemon::Metrics& mMetrics;
  config::Chain mChain;
  uint64_t mViewSequence = 0;
  // When the balancer was renewed, until it has been given a configuration.
  std::optional<TimePoint> mRenewed;
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mLeaveTold{ false };
  std::atomic<TimePoint::rep> mLastAnswer;
  bool mIsConnected = true;
};

} // namespace foxtail::balancerd

#endif

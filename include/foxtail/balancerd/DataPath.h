#ifndef foxtail_balancerd_DataPath_h
#define foxtail_balancerd_DataPath_h

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "foxtail/balancer/Balancer.h"
#include "foxtail/balancer/PauseGuard.h"
#include "foxtail/balancerd/Mailbox.h"
#include "foxtail/balancerd/PeerSender.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Settings.h"
#include "foxtail/daemon/Supervisor.h"
#include "foxtail/daemon/Trace.h"
#include "foxtail/net/UdpSocket.h"

namespace foxtail::balancerd {

// Returns an incarnation number made of the time in milliseconds and random
// bits. Calls in a later millisecond give greater numbers unless the clock goes
// back.
routing::Incarnation
NewIncarnation();

// Moves datagrams between the sockets and the balancer. Owns the balancer,
// which only the thread of Run uses; other threads post tasks to the mailbox.
class DataPath
{
public:
  // Throws NetError 630 or 631 when a socket cannot be opened.
  DataPath(const daemon::Settings& aSettings,
           Mailbox& aMailbox,
           PeerSender& aSender);

  // Body of the supervised part.
  void Run(const daemon::StopToken& aStop);

  routing::Incarnation Incarnation() const { return mIncarnation; }

  // Replaces the balancer by a new one with an incarnation greater than aFloor.
  // The user of this function must post view and configuration again. Must be
  // called in a mailbox task.
  void RestartBalancer(routing::Incarnation aFloor);

  // Sets the IP numbers from which forwarded datagrams are accepted. Must be
  // called in a mailbox task.
  void SetPeers(std::vector<uint32_t> aIps);

  // Called when the agent answers with a view that is not in doubt. Must be
  // called in a mailbox task.
  void ConfirmView() { mPauseGuard.Confirm(); }

  uint64_t UnauthorisedDatagrams() const { return mUnauthorised; }

private:
  void MakeBalancer(TimePoint aNow);
  void ReceiveFrom(net::UdpSocket& aSocket, bool aIsPeer, TimePoint aNow);
  void OnEncapsulated(const net::Datagram& aDatagram,
                      bool aIsPeer,
                      TimePoint aNow);
  bool IsAllowed(const Address& aFrom, bool aIsPeer) const;
  void ReceiveFromUpstreams(TimePoint aNow);
  void ExecuteActionsUnlessPaused();
  void ExecuteActions();
  void Execute(const balancer::ToCaller& aAction);
  void Execute(const balancer::ToUpstream& aAction);
  void Execute(const balancer::ToPeer& aAction);
  void Execute(const balancer::SendRecords& aAction);
  void Execute(const balancer::SendLoads& aAction);
  void Execute(const balancer::TraceSpan& aAction);
  void Execute(const balancer::ReportEvent& aAction);

  daemon::Settings mSettings;
  Mailbox& mMailbox;
  PeerSender& mSender;
  daemon::Trace mTrace;
  net::UdpSocket mFabricSocket;
  net::UdpSocket mHandoffSocket;
  net::UdpSocket mUpstreamSocket;
  std::atomic<routing::Incarnation> mIncarnation;
  std::unique_ptr<balancer::Balancer> mBalancer;
  balancer::PauseGuard mPauseGuard;
  balancer::Actions mActions;
  std::string mBuffer;
  std::vector<uint32_t> mPeerIps;
  std::atomic<uint64_t> mUnauthorised{ 0 };
  TimePoint mLastTick;
  // Log lines in the current second, by event number.
  std::map<int, int> mLoggedLines;
  TimePoint mLogSecondStart;
};

} // namespace foxtail::balancerd

#endif

#ifndef foxtail_balancerd_PeerSender_h
#define foxtail_balancerd_PeerSender_h

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "foxtail/balancer/Actions.h"
#include "foxtail/daemon/Metrics.h"
#include "foxtail/daemon/Supervisor.h"
#include "foxtail/net/NngLink.h"

namespace foxtail::balancerd {

// Sends flow records and loads to peers on a thread of its own, so that a slow
// peer does not delay the data path.
class PeerSender
{
public:
  // aOwnIp is the VM's own IP number, by which peers recognise the sender.
  PeerSender(uint32_t aOwnIp, daemon::Metrics& aMetrics);

  // Thread-safe. Messages to a full queue are dropped and counted.
  void Send(const balancer::SendRecords& aSend, routing::Incarnation aSelf);
  void Send(const balancer::SendLoads& aSend, routing::Incarnation aSelf);

  // Body of the supervised part.
  void Run(const daemon::StopToken& aStop);

  // True when no message is queued or being sent.
  bool IsIdle();

private:
  struct Message
  {
    Address mPeer;
    std::string mBytes;
  };
  struct Link
  {
    std::unique_ptr<net::PushClient> mClient;
    TimePoint mLastUsed;
  };

  void Enqueue(Message aMessage, const char* aKind);
  void Deliver(const Message& aMessage);
  void CloseUnusedLinks();

  uint32_t mOwnIp;
  daemon::Metrics& mMetrics;
  std::mutex mMutex;
  std::condition_variable mFilled;
  std::deque<Message> mQueue;
  bool mIsBusy = false;
  std::map<Address, Link> mLinks;
};

} // namespace foxtail::balancerd

#endif

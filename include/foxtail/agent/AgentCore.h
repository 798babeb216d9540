#ifndef foxtail_agent_AgentCore_h
#define foxtail_agent_AgentCore_h

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

#include "foxtail/agent/LoadTable.h"
#include "foxtail/config/Chain.h"
#include "foxtail/core/Event.h"
#include "foxtail/membership/Detector.h"
#include "foxtail/net/PeerMessages.h"

namespace foxtail::agent {

// A datagram to a peer's agent.
struct OutgoingDatagram
{
  Address mTo;
  std::string mBytes;
};

// A request to a peer's agent port for newer configuration and a newer VM list.
struct PeerFetch
{
  Address mPeer;
  std::string mRequest;
};

// Messages and bytes of one kind of traffic, without IP, UDP and TCP headers.
struct Traffic
{
  uint64_t mSentMessages = 0;
  uint64_t mSentBytes = 0;
  uint64_t mReceivedMessages = 0;
  uint64_t mReceivedBytes = 0;
};

struct AgentCounters
{
  // Indexed by membership::GossipKind.
  std::array<Traffic, membership::kGossipKindCount> mGossip;
  // Fetches of configuration from peers.
  Traffic mFetch;
  // Fetches of configuration by peers.
  Traffic mServe;
  // Between this agent and its balancer.
  Traffic mLocal;
  // Malformed or unauthorised messages that were dropped.
  uint64_t mPeerMessagesDropped = 0;
  uint64_t mPlatformAnswersDropped = 0;
  uint64_t mLoadReportsDropped = 0;
};

// The logic of an agent: membership, the configuration chain, the published VM
// list, the upstreams' loads, and the replies to the VM's balancer and to
// peers. Does no I/O and reads no clock; not thread-safe. The code that drives
// the core sends the datagrams, makes the fetches and logs the events that it
// returns.
class AgentCore
{
public:
  explicit AgentCore(const membership::DetectorSettings& aSettings);

  // Runs the detector's timers. Must be called at least every kProbeTimeout,
  // after the received datagrams have been passed to OnDatagram.
  void Tick(TimePoint aNow);

  // Handles a datagram on the agent port. Malformed and unauthorised ones are
  // counted and reported as event 7001.
  void OnDatagram(TimePoint aNow,
                  const Address& aPeer,
                  std::string_view aBytes);

  // Apply values of the platform. Malformed ones are counted and reported as
  // event 8002. ApplyPatches returns false when the first patch begins after
  // the position of the configuration in force: the base must be applied first.
  void ApplyBase(TimePoint aNow, const nlohmann::json& aValue);
  bool ApplyPatches(TimePoint aNow, const nlohmann::json& aValue);
  void ApplyVmList(TimePoint aNow,
                   const nlohmann::json& aValue,
                   uint64_t aIndex);

  // Answers a balancer's LocalRequest. Throws the PeerErrors of
  // net::DecodeLocalRequest, 723 when the request comes from another VM and 724
  // when it names another VM; the refused request is counted and reported as
  // event 7001.
  std::string AnswerBalancer(TimePoint aNow,
                             const Address& aFrom,
                             std::string_view aRequest);

  // Answers a peer's ConfigRequest. Throws the PeerErrors of
  // net::DecodeConfigRequest, and 720 when no published VM has the peer's IP
  // number; the refused request is counted and reported as event 7001.
  std::string AnswerPeer(const Address& aFrom, std::string_view aRequest);

  // Returns the fetch to make now, or nothing while a fetch is in progress, the
  // retry delay has not passed or no peer is known to be newer. Each fetch must
  // be ended by OnFetchReply or OnFetchFailed.
  std::optional<PeerFetch> NextFetch(TimePoint aNow);
  // Applies a peer's reply. The reply of a peer that is not a published VM is
  // dropped. An agent without a VM list adopts a peer's list that names both
  // this VM and the peer; the next list from the platform or from a published
  // peer replaces the adopted one.
  void OnFetchReply(TimePoint aNow,
                    const Address& aPeer,
                    std::string_view aReply);
  void OnFetchFailed(TimePoint aNow);

  // True when this agent is one of those that watch the platform on behalf of
  // their failure domain.
  bool WatchesPlatform() const;

  LoadTable& Loads() { return mLoads; }
  // Handles the answer of a load endpoint that was polled at aAsked. Malformed
  // answers are counted and reported as event 8003.
  void OnLoadReport(TimePoint aAsked,
                    const LoadPoll& aPoll,
                    std::string_view aBody);

  // Tells the peers that the VM leaves.
  void Leave(TimePoint aNow);
  // Tells the peers that the agent ends now.
  void Stop(TimePoint aNow);

  const membership::Detector& Members() const { return mDetector; }
  const config::Chain& Chain() const { return mChain; }
  const AgentCounters& Counters() const { return mCounters; }

  // Returns and clears the datagrams to send.
  std::vector<OutgoingDatagram> TakeOutgoing();
  // Returns and clears the events to log.
  std::vector<Event> TakeEvents();

private:
  // Passes an event to the detector and executes the detector's actions.
  void HandleDetectorEvent(TimePoint aNow,
                           const membership::DetectorEvent& aEvent);
  void Execute(const membership::SendGossip& aAction);
  void Execute(const membership::ViewChanged& aAction);
  void Execute(const membership::PeerAhead& aAction);
  void Execute(const membership::BalancerRefused& aAction);
  void Execute(const membership::GossipRefused& aAction);

  // Reports the result and updates what depends on the configuration. False
  // when the offer left a gap, so that the base is needed.
  bool HandleOfferResult(TimePoint aNow, const config::OfferResult& aResult);
  void ReportAdvance(const config::Advanced& aAdvanced);
  // Adopts a VM list. Throws PlatformError when the list is malformed.
  void AdoptVmList(TimePoint aNow,
                   const nlohmann::json& aValue,
                   uint64_t aIndex);
  // Adopts a VM list from a peer's reply if the peer is a published VM, or if
  // this agent has no list and the peer's list names both VMs. Otherwise the
  // list is ignored. Throws PlatformError when the list is malformed.
  void AdoptPeerVmList(TimePoint aNow,
                       const Address& aPeer,
                       const net::ConfigReply& aReply);
  void DropPeerMessage(const Address& aPeer, const std::string& aWhy);
  void DropPlatformAnswer(const std::string& aWhy);

  void RequireOwnBalancer(const Address& aFrom,
                          const net::LocalRequest& aRequest) const;
  net::LocalReply ComposeReply(TimePoint aNow,
                               const net::LocalRequest& aRequest);

  membership::DetectorSettings mSettings;
  membership::Detector mDetector;
  config::Chain mChain;
  LoadTable mLoads;
  // The newest VM list as JSON text, for replies to peers.
  std::string mVmListText;

  // Set when the detector refuses the heartbeat that is being handled: the
  // balancer's next incarnation must be greater than this. Else zero.
  membership::Incarnation mRefusedIncarnationFloor = 0;
  // The balancer that was answered last, and the serial number of the newest
  // load report at that time.
  membership::Incarnation mLastReplyIncarnation = 0;
  uint64_t mLastReplySerial = 0;

  // True while a fetch is pending or in progress. Also true until the agent has
  // joined, but at most until kMaxJoinWait after the balancer's first request.
  // Records the time of that request.
  bool MayConfigBeOutdated(TimePoint aNow);

  // A peer with a newer configuration or VM list.
  std::optional<Address> mAheadPeer;
  bool mFetching = false;
  TimePoint mNextFetchAt;
  // Time of the first request of a balancer; empty before.
  std::optional<TimePoint> mFirstRequestAt;
  // Delay until the next fetch if the current one brings nothing new.
  Duration mFetchDelay;

  AgentCounters mCounters;
  std::vector<OutgoingDatagram> mOutgoing;
  std::vector<Event> mEvents;
};

} // namespace foxtail::agent

#endif

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

// A datagram to an agent.
struct OutgoingDatagram
{
  Address mTo;
  std::string mBytes;
};

// A request to a peer's agent port for what it has newer.
struct PeerFetch
{
  Address mPeer;
  std::string mRequest;
};

// Messages and bytes of one kind, without headers of IP, UDP and TCP.
struct Traffic
{
  uint64_t mSentMessages = 0;
  uint64_t mSentBytes = 0;
  uint64_t mReceivedMessages = 0;
  uint64_t mReceivedBytes = 0;
};

struct AgentCounters
{
  // By membership::GossipKind.
  std::array<Traffic, membership::kGossipKindCount> mGossip;
  // Configuration fetched from peers, and given to them.
  Traffic mFetch;
  Traffic mServe;
  // Between this agent and its balancer.
  Traffic mLocal;
  // Messages that were dropped.
  uint64_t mPeerMessagesDropped = 0;
  uint64_t mPlatformAnswersDropped = 0;
  uint64_t mLoadReportsDropped = 0;
};

// What an agent decides: membership, the configuration chain, the published VM
// list and the upstreams' loads, and what it tells its balancer and its peers.
// Does no I/O and reads no clock; not thread-safe. Whoever drives it sends the
// datagrams, makes the fetches and logs the events that it asks for.
class AgentCore
{
public:
  explicit AgentCore(const membership::DetectorSettings& aSettings);

  // Due at least every kProbeTimeout, after the datagrams that came in.
  void Tick(TimePoint aNow);

  // A datagram on the agent port. Malformed and unauthorised ones are counted
  // and reported as event 7001.
  void OnDatagram(TimePoint aNow,
                  const Address& aPeer,
                  std::string_view aBytes);

  // Values of the platform. Malformed ones are counted and reported as event
  // 8002. Patches that begin after what is in force need the base first; then
  // ApplyPatches returns false.
  void ApplyBase(TimePoint aNow, const nlohmann::json& aValue);
  bool ApplyPatches(TimePoint aNow, const nlohmann::json& aValue);
  void ApplyVmList(TimePoint aNow,
                   const nlohmann::json& aValue,
                   uint64_t aIndex);

  // Answers a balancer's LocalRequest. Throws PeerError for a malformed one,
  // 723 when it comes from another VM and 724 when it names another VM; the
  // request is counted and reported as event 7001 before that.
  std::string AnswerBalancer(TimePoint aNow,
                             const Address& aFrom,
                             std::string_view aRequest);

  // Answers a peer's ConfigRequest; errors as AnswerBalancer, and 720 when no
  // published VM has the peer's IP number.
  std::string AnswerPeer(const Address& aFrom, std::string_view aRequest);

  // The fetch to make now; one at a time.
  std::optional<PeerFetch> NextFetch(TimePoint aNow);
  // Takes the peer's reply; nothing is taken from a peer that is no published
  // VM. An agent without a list takes one that names both this VM and the
  // peer, until it reads the first one from the platform or from a peer on it.
  void OnFetchReply(TimePoint aNow,
                    const Address& aPeer,
                    std::string_view aReply);
  void OnFetchFailed(TimePoint aNow);

  // This agent is one of those that watch the platform for their domain.
  bool WatchesPlatform() const;

  LoadTable& Loads() { return mLoads; }
  // Takes an answer of a load endpoint. Malformed ones are counted and
  // reported as event 8003.
  void OnLoadReport(TimePoint aAsked,
                    const LoadPoll& aPoll,
                    std::string_view aBody);

  // Tells the peers that the VM leaves, or that the agent ends now.
  void Leave(TimePoint aNow);
  void Stop(TimePoint aNow);

  const membership::Detector& Members() const { return mDetector; }
  const config::Chain& Chain() const { return mChain; }
  const AgentCounters& Counters() const { return mCounters; }

  std::vector<OutgoingDatagram> TakeOutgoing();
  std::vector<Event> TakeEvents();

private:
  void Feed(TimePoint aNow, const membership::DetectorEvent& aEvent);
  void Execute(const membership::SendGossip& aAction);
  void Execute(const membership::ViewChanged& aAction);
  void Execute(const membership::PeerAhead& aAction);
  void Execute(const membership::BalancerRefused& aAction);
  void Execute(const membership::GossipRefused& aAction);

  // True when the chain can go on from here.
  bool HandleOfferResult(TimePoint aNow, const config::OfferResult& aResult);
  void ReportAdvance(const config::Advanced& aAdvanced);
  void AdoptVmList(TimePoint aNow,
                   const nlohmann::json& aValue,
                   uint64_t aIndex);
  // A list that a peer gave. Throws PlatformError when it is malformed.
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
  // Text of the newest VM list, for peers.
  std::string mVmListText;

  // Set by the detector while a heartbeat is handled.
  membership::Incarnation mRefusedIncarnationFloor = 0;
  // The balancer that reports were last told to, and up to which.
  membership::Incarnation mLastReplyIncarnation = 0;
  uint64_t mLastReplySerial = 0;

  // True while a configuration that a peer has is still to be fetched, and
  // until the peers of an agent that just started could be heard.
  bool MayConfigBeOutdated(TimePoint aNow);

  std::optional<Address> mAheadPeer;
  bool mFetching = false;
  TimePoint mNextFetchAt;
  // When the first balancer asked; empty before.
  std::optional<TimePoint> mFirstRequestAt;
  Duration mFetchDelay;

  AgentCounters mCounters;
  std::vector<OutgoingDatagram> mOutgoing;
  std::vector<Event> mEvents;
};

} // namespace foxtail::agent

#endif

#ifndef foxtail_balancer_Balancer_h
#define foxtail_balancer_Balancer_h

#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "foxtail/balancer/Actions.h"
#include "foxtail/coap/Message.h"
#include "foxtail/core/Error.h"
#include "foxtail/requests/RequestTable.h"
#include "foxtail/routing/Dispatcher.h"
#include "foxtail/routing/FlowDirectory.h"

namespace foxtail::balancer {

struct BalancerSettings
{
  // Name of this balancer's VM in the view.
  std::string mVm;
  routing::FlowDirectorySettings mFlows;
  routing::DispatcherSettings mDispatcher;
  requests::RequestSettings mRequests;
  // Minimum time between two advertisements of changed loads to the peers.
  milliseconds mLoadInterval{ 200 };
  // Time after which unchanged loads are advertised again.
  milliseconds mLoadKeepAlive{ 1000 };
};

// Counts since the balancer was created.
struct BalancerCounters
{
  // Datagrams from the fabric.
  uint64_t mInbound = 0;
  // Datagrams forwarded to peers.
  uint64_t mForwarded = 0;
  // Datagrams that peers forwarded to this balancer.
  uint64_t mFromPeers = 0;
  // Datagrams dropped because configuration or view was missing.
  uint64_t mNotReady = 0;
  // Datagrams dropped by Drop.
  uint64_t mMalformed = 0;
  // Datagrams dropped because they had been forwarded too often or their
  // balancer was not in the view.
  uint64_t mUnforwardable = 0;
  uint64_t mAnswered = 0;
  // Requests that ended without an upstream's answer and have not run.
  uint64_t mRefused = 0;
  // Requests that ended without an upstream's answer but may have run.
  uint64_t mUnknownOutcome = 0;
  // Requests answered with an Echo value that the caller must send back.
  uint64_t mChallenged = 0;
};

// How a flow is routed, for operators.
struct Explanation
{
  routing::Incarnation mOwner = 0;
  std::string mOwnerVm;
  std::string mService;
  // Name of the flow's upstream; empty when this balancer does not know the
  // flow or no upstream has been chosen yet.
  std::string mUpstream;
  // Name of the upstream that the flow's hash selects; empty without upstreams.
  std::string mDefaultUpstream;
};

// Combines the decisions of one balancer: which balancer serves a datagram,
// when a request is sent and to which upstream, and how the caller is answered.
// Does no I/O; not thread-safe.
class Balancer
{
public:
  Balancer(const BalancerSettings& aSettings, TimePoint aNow);

  // True once a configuration and a view have been set.
  bool IsReady() const { return mSnapshot != nullptr && mView != nullptr; }

  void SetView(membership::ViewPtr aView, TimePoint aNow);
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);
  // Takes reports of the upstreams' load endpoints, which the agent polls.
  void OnUpstreamReports(const std::vector<routing::LoadReport>& aReports,
                         TimePoint aNow);
  void OnPeerRecords(routing::Incarnation aFrom,
                     const routing::RecordBatch& aBatch,
                     TimePoint aNow);
  // Takes the loads that a peer advertises; ignored when the peer is not in the
  // view.
  void OnPeerLoads(routing::Incarnation aFrom,
                   const std::vector<routing::LoadReport>& aLoads,
                   TimePoint aNow);

  // Handles a caller's datagram from the fabric (aHops is 0) or from a peer.
  // aWall is the time of day at aNow, for deadlines. A malformed datagram is
  // counted and reported with the NetErrors of coap::Decode, and one that is
  // neither a request nor empty with NetError 612.
  void OnInbound(const FlowKey& aFlow,
                 uint8_t aHops,
                 std::string_view aDatagram,
                 TimePoint aNow,
                 WallTime aWall,
                 Actions& aOut);

  // Handles a datagram from an upstream; malformed ones are counted and
  // reported.
  void OnUpstream(const Address& aFrom,
                  std::string_view aDatagram,
                  TimePoint aNow,
                  Actions& aOut);

  // Counts and reports a datagram that was refused with aError by the balancer
  // or by the code that received the datagram.
  void Drop(const Error& aError, Actions& aOut);

  // Dispatches queued requests, expires requests, and sends flow records and
  // loads to peers. Must be called every few milliseconds.
  void Tick(TimePoint aNow, Actions& aOut);

  // Begins a planned stop: running requests are finished, no new ones are
  // admitted and the flows' records are sent to the peers.
  void BeginLeave(TimePoint aNow);
  // True once the records of all flows have been sent to their next owners, so
  // that the leave can be announced.
  bool FlowsHandedOver() const { return mFlows.LeaveComplete(); }
  // True when this balancer can stop without leaving a caller uncertain of the
  // outcome of a request.
  bool CanStop(TimePoint aNow) const;

  // Throws RoutingError 401 when the service does not exist, or before a view
  // and a configuration are set.
  Explanation Explain(const FlowKey& aFlow, TimePoint aNow);

  const BalancerCounters& Counters() const { return mCounters; }
  const routing::FlowDirectory& Flows() const { return mFlows; }
  const routing::Dispatcher& Scheduler() const { return mDispatcher; }
  const requests::RequestTable& Requests() const { return mRequests; }
  const config::SnapshotPtr& CurrentSnapshot() const { return mSnapshot; }
  const membership::ViewPtr& CurrentView() const { return mView; }

private:
  // Data of a queued or running request besides its entry in the request table.
  struct OpenRequest
  {
    FlowKey mFlow;
    uint64_t mFlowHash = 0;
    uint64_t mTraceKey = 0;
    TimePoint mStartedAt;
    // Time of the latest send to an upstream; zero before the first.
    TimePoint mSentAt;
    Address mUpstream;
  };

  // A decoded datagram and its origin.
  struct Inbound
  {
    const FlowKey& mFlow;
    uint64_t mFlowHash;
    uint8_t mHops;
    std::string_view mDatagram;
    const coap::Message& mMessage;
    TimePoint mNow;
    WallTime mWall;
  };

  bool TryForward(const Inbound& aIn, Actions& aOut);
  void ForwardToPeer(routing::Incarnation aTo,
                     const FlowKey& aFlow,
                     uint64_t aFlowHash,
                     uint8_t aHops,
                     std::string_view aDatagram,
                     TimePoint aNow,
                     Actions& aOut);
  void OnRequest(const Inbound& aIn, Actions& aOut);
  void OnEmpty(const Inbound& aIn, Actions& aOut);
  void Start(const Inbound& aIn,
             const requests::StartRequest& aStart,
             Actions& aOut);
  TimePoint DeadlineOf(const Inbound& aIn, config::ServiceIndex aService) const;
  config::ServiceIndex ServiceOf(const FlowKey& aFlow) const;
  requests::EchoIssuerPresence EchoIssuerPresenceOf(
    const coap::Message& aMessage) const;
  // Executes the dispatcher's actions, including those added meanwhile.
  void Apply(routing::WorkActions& aWork, TimePoint aNow, Actions& aOut);
  void Send(const routing::SendWork& aSend,
            TimePoint aNow,
            routing::WorkActions& aMore,
            Actions& aOut);
  void Refuse(const routing::RefuseWork& aRefuse,
              TimePoint aNow,
              Actions& aOut);
  void Expire(uint32_t aSerial, TimePoint aNow, Actions& aOut);
  void End(const requests::EndedRequest& aEnded, TimePoint aNow, Actions& aOut);
  void RemoveOpenRequest(uint32_t aSerial, TimePoint aNow, Actions& aOut);
  void AdvertiseLoads(TimePoint aNow, Actions& aOut);

  BalancerSettings mSettings;
  membership::ViewPtr mView;
  config::SnapshotPtr mSnapshot;
  absl::flat_hash_map<routing::Incarnation, Address> mHandoffAddresses;
  absl::flat_hash_map<routing::Incarnation, Address> mPeerAddresses;
  absl::flat_hash_map<Address, config::ServiceIndex> mServiceIndices;
  absl::flat_hash_map<uint32_t, config::UpstreamIndex> mUpstreamIndices;
  routing::FlowDirectory mFlows;
  routing::Dispatcher mDispatcher;
  requests::RequestTable mRequests;
  absl::flat_hash_map<uint32_t, OpenRequest> mOpenRequests;
  TimePoint mLastRemoval;
  TimePoint mLoadsAdvertisedAt;
  uint64_t mLoadsRevision = 0;
  bool mLeaving = false;
  BalancerCounters mCounters;
};

} // namespace foxtail::balancer

#endif

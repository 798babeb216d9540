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
  // Name of the VM in the view.
  std::string mVm;
  routing::FlowDirectorySettings mFlows;
  routing::DispatcherSettings mDispatcher;
  requests::RequestSettings mRequests;
  // Least time between two messages about changed loads to a peer, and the
  // time after which unchanged ones are told again.
  milliseconds mLoadInterval{ 200 };
  milliseconds mLoadKeepAlive{ 1000 };
};

// What the balancer counted since its start.
struct BalancerCounters
{
  uint64_t mInbound = 0;
  uint64_t mForwarded = 0;
  uint64_t mFromPeers = 0;
  uint64_t mNotReady = 0;
  uint64_t mMalformed = 0;
  uint64_t mUnforwardable = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;
  uint64_t mUnknownOutcome = 0;
  uint64_t mChallenged = 0;
};

// Why a flow goes where it goes; for operators.
struct Explanation
{
  routing::Incarnation mOwner = 0;
  std::string mOwnerVm;
  std::string mService;
  // Upstreams by name; empty when unknown here or not chosen yet.
  std::string mUpstream;
  std::string mDefaultUpstream;
};

// One balancer's decisions put together: who serves a datagram, when and where
// a request is sent, what a caller is told. Does no I/O; not thread-safe.
class Balancer
{
public:
  Balancer(const BalancerSettings& aSettings, TimePoint aNow);

  // True once there is a configuration and a view to serve with.
  bool IsReady() const { return mSnapshot != nullptr && mView != nullptr; }

  void SetView(membership::ViewPtr aView, TimePoint aNow);
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);
  void OnReports(const std::vector<routing::LoadReport>& aReports,
                 TimePoint aNow);
  void OnPeerRecords(routing::Incarnation aFrom,
                     const routing::RecordBatch& aBatch,
                     TimePoint aNow);
  void OnPeerLoads(routing::Incarnation aFrom,
                   const std::vector<routing::LoadReport>& aLoads,
                   TimePoint aNow);

  // A caller's datagram from the fabric (no hops) or from a peer. aWall is the
  // time of day at aNow, for deadlines. Bad ones are counted and reported with
  // the NetErrors of coap::Decode, or 612 when it is neither a request nor
  // empty.
  void OnInbound(const FlowKey& aFlow,
                 uint8_t aHops,
                 std::string_view aDatagram,
                 TimePoint aNow,
                 WallTime aWall,
                 Actions& aOut);

  // A datagram from an upstream.
  void OnUpstream(const Address& aFrom,
                  std::string_view aDatagram,
                  TimePoint aNow,
                  Actions& aOut);

  // Counts and reports a datagram that was refused with aError, here or before
  // it came here.
  void Drop(const Error& aError, Actions& aOut);

  // Call it every few milliseconds.
  void Tick(TimePoint aNow, Actions& aOut);

  // Planned stop: finish what runs, admit nothing new, hand over the flows.
  void BeginLeave(TimePoint aNow);
  // True once peers know every flow; the leave can be announced.
  bool FlowsHandedOver() const { return mFlows.LeaveComplete(); }
  // True when stopping now leaves no caller without the truth.
  bool CanStop(TimePoint aNow) const;

  // Throws RoutingError 401 when there is no such service or no view yet.
  Explanation Explain(const FlowKey& aFlow, TimePoint aNow);

  const BalancerCounters& Counters() const { return mCounters; }
  const routing::FlowDirectory& Flows() const { return mFlows; }
  const routing::Dispatcher& Scheduler() const { return mDispatcher; }
  const requests::RequestTable& Requests() const { return mRequests; }
  const config::SnapshotPtr& CurrentSnapshot() const { return mSnapshot; }
  const membership::ViewPtr& CurrentView() const { return mView; }

private:
  // What a request needs beyond the request table's entry.
  struct Running
  {
    FlowKey mFlow;
    uint64_t mFlowHash = 0;
    uint64_t mTraceKey = 0;
    TimePoint mStartedAt;
    TimePoint mSentAt;
    Address mUpstream;
  };

  // A decoded datagram and where it came from.
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
  // Carries out what the dispatcher wants, until it wants nothing more.
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
  void RemoveRunning(uint32_t aSerial, TimePoint aNow, Actions& aOut);
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
  absl::flat_hash_map<uint32_t, Running> mRunning;
  TimePoint mLastRemoval;
  TimePoint mLoadsAdvertisedAt;
  uint64_t mLoadsRevision = 0;
  bool mLeaving = false;
  BalancerCounters mCounters;
};

} // namespace foxtail::balancer

#endif

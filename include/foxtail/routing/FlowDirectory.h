#ifndef foxtail_routing_FlowDirectory_h
#define foxtail_routing_FlowDirectory_h

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "foxtail/config/Model.h"
#include "foxtail/core/FlowKey.h"
#include "foxtail/membership/View.h"
#include "foxtail/routing/FlowRecord.h"
#include "foxtail/routing/FlowTable.h"
#include "foxtail/routing/OwnerRanking.h"

namespace foxtail::routing {

struct FlowDirectorySettings
{
  Incarnation mSelf = 0;
  std::string mRegion;
  size_t mMaxFlows = 1'000'000;
  // Idle time after which a flow is erased. For the same time after this
  // balancer takes flows over, it sends unknown flows to their default
  // upstream: they may be existing flows there, for which no flow records are
  // sent.
  seconds mFlowIdle{ 120 };
  // Interval at which the flow records of active flows are sent again. Records
  // received from peers expire after twice this time.
  seconds mRefreshInterval{ 300 };
  // Limit on the bytes per second that flow records take on the wire, to all
  // peers together.
  size_t mRecordBytesPerSecond = 3000;
  // Flow records are collected for this long before they are sent. Records for
  // a peer that needs a grant and records during a planned leave are sent at
  // once.
  milliseconds mSendInterval{ 500 };
  // How long this balancer waits for a peer's grant.
  seconds mGrantTimeout{ 60 };
};

// The datagram's flow is served by this balancer. mUpstream is the id of the
// flow's upstream, or zero when the flow is new and any upstream may be chosen.
struct ServeHere
{
  uint32_t mUpstream = 0;
};

// The datagram must be forwarded to the balancer mOwner.
struct ForwardTo
{
  Incarnation mOwner = 0;
};

// No balancer is eligible to own the flow, so the datagram cannot be served.
struct NoOwner
{};

using RouteDecision = std::variant<ServeHere, ForwardTo, NoOwner>;

// A message with flow records, and possibly a grant, for one peer.
struct RecordBatch
{
  Incarnation mTo = 0;
  std::vector<FlowRecord> mRecords;
  // Whether the message is a grant: the sender has sent mTo a record of every
  // flow that mTo owns now and that is not at its default upstream under
  // configuration mConfigNumber. From then on, mTo no longer forwards unknown
  // flows to the sender.
  bool mGrant = false;
  uint64_t mConfigNumber = 0;
};

// Decides which balancer serves a flow, and stores the flows that this balancer
// serves. For each flow that is not at its default upstream it sends a flow
// record to the balancer that ranks next for the flow, which would own the flow
// if this balancer failed. When the view changes, flows are handed over: a
// balancer that becomes the owner of flows which another live balancer may know
// forwards the datagrams of unknown flows to that former owner until the former
// owner's grant has arrived. A grant says that the new owner has received all
// flow records that it needs. Members named awaited are about grants that peers
// send to this balancer, mNeedsGrant is about grants that this balancer sends.
//
// The flows and the received records are walked, a few entries in each Tick. A
// change of the view or the configuration starts a new walk, with the next
// generation number.
class FlowDirectory
{
public:
  FlowDirectory(const FlowDirectorySettings& aSettings, TimePoint aNow);

  // A view or snapshot that is older than the current one is ignored.
  void SetView(membership::ViewPtr aView, TimePoint aNow);
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);

  // Decides where a datagram is served. aHops is the number of times that the
  // datagram has been forwarded between balancers.
  RouteDecision Route(const FlowKey& aFlow,
                      uint64_t aFlowHash,
                      unsigned aHops,
                      TimePoint aNow);

  // The upstream of a flow that this balancer serves, as in Route but without
  // forwarding.
  ServeHere Lookup(const FlowKey& aFlow, uint64_t aFlowHash, TimePoint aNow);

  // Stores the upstream of a flow that this balancer serves.
  void Bind(const FlowKey& aFlow,
            uint64_t aFlowHash,
            uint32_t aUpstream,
            TimePoint aNow);

  // Stores the flow records of a peer. Grants that are not awaited or are for
  // an older configuration are ignored.
  void OnRecords(Incarnation aFrom, const RecordBatch& aBatch, TimePoint aNow);

  // Walks a part of the flows, erases idle ones and returns the messages to
  // send to peers.
  std::vector<RecordBatch> Tick(TimePoint aNow);

  // Begins a planned leave: this balancer no longer owns any flow.
  void BeginLeave(TimePoint aNow);
  // True once the flow records for all next owners have been sent.
  bool LeaveComplete() const;

  const OwnerRanking& Ranking() const { return mRanking; }
  size_t FlowCount() const { return mFlows.Size(); }
  size_t RecordCount() const { return mRecords.Size(); }
  size_t PendingRecords() const;
  size_t AwaitedGrants() const { return mAwaitedGrants.size(); }
  // Number of binds to an upstream that was not the flow's default upstream.
  uint64_t NonDefaultBinds() const { return mNonDefaultBinds; }
  // Number of binds that were new or changed the flow's upstream.
  uint64_t Binds() const { return mBinds; }

private:
  struct Peer
  {
    std::deque<FlowRecord> mPending;
    // A grant must be sent to the peer once the walk of generation
    // mGrantAfterWalk is complete.
    bool mNeedsGrant = false;
    uint64_t mGrantAfterWalk = 0;
    TimePoint mDiscoveredAt;
    // Send mPending without waiting for mSendInterval.
    bool mIsUrgent = false;
  };

  bool IsSelf(Incarnation aOwner) const { return aOwner == mSettings.mSelf; }
  bool IsJoining() const;
  Incarnation FormerOwner(uint64_t aFlowHash) const;
  bool KeepsKnownFlow(Incarnation aOwner, unsigned aHops, TimePoint aNow) const;
  void UpdateRanking();
  void UpdateRankingBeforeJoins();
  void RemoveDeparted(const OwnerRanking& aBefore, TimePoint aNow);
  bool IsLeaving(Incarnation aPeer) const;
  void PruneFormerOwners();
  void AddNewPeers(const OwnerRanking& aBefore, TimePoint aNow);
  void DropExpiredPeerState(TimePoint aNow);
  config::ServiceIndex FindService(const FlowKey& aFlow) const;
  void RestartWalk();
  size_t EntriesToWalk(size_t aEntryCount, TimePoint aNow);
  void WalkEntries(TimePoint aNow);
  void TakeBatches(bool aDue, std::vector<RecordBatch>& aOut);
  void WalkFlow(FlowEntry& aEntry, TimePoint aNow);
  void WalkRecord(FlowEntry& aEntry, TimePoint aNow);
  bool NeedsRecord(const FlowEntry& aEntry) const;
  void QueueFlowRecords(FlowEntry& aEntry);
  void QueueReceivedRecord(FlowEntry& aEntry);
  void RelayRecord(const FlowEntry& aEntry, Incarnation aFrom);
  void QueueRecord(const FlowEntry& aEntry, Incarnation aTo);
  uint32_t DefaultUpstreamId(uint64_t aFlowHash, uint32_t aUpstream) const;
  bool MayBeInherited(uint64_t aFlowHash, TimePoint aNow) const;
  // The id of the upstream that an existing flow is at if no flow record was
  // sent for the flow: its default upstream, or the one before the latest
  // configuration change while that change is spreading.
  uint32_t InheritedUpstreamId(config::ServiceIndex aService,
                               uint64_t aFlowHash,
                               TimePoint aNow) const;
  ServeHere FindKnown(config::ServiceIndex aService,
                      uint64_t aFlowHash,
                      TimePoint aNow);
  bool BelongsToService(config::ServiceIndex aService,
                        uint32_t aUpstream) const;
  void TakeBatch(Incarnation aTo, Peer& aPeer, std::vector<RecordBatch>& aOut);

  FlowDirectorySettings mSettings;
  membership::ViewPtr mView;
  config::SnapshotPtr mSnapshot;
  // The configuration before the latest changes. Until these have reached all
  // balancers, others may still decide by it which flow records to send.
  config::SnapshotPtr mFormerSnapshot;
  TimePoint mSnapshotSince;
  absl::flat_hash_map<uint32_t, config::UpstreamIndex> mUpstreamById;
  absl::flat_hash_map<Address, config::ServiceIndex> mServiceByAddress;
  OwnerRanking mRanking;
  // mRanking without the peers that need a grant from this balancer, and always
  // with this balancer. It gives the owners of flows before those peers joined.
  OwnerRanking mRankingBeforeJoins;
  // Flows that this balancer has served.
  FlowTable mFlows;
  // Flow records received from peers, by rank hash.
  FlowTable mRecords;
  std::map<Incarnation, Peer> mPeers;
  // Balancers that may have owned flows before this balancer became their
  // owner.
  OwnerRanking mFormerOwners;
  struct AwaitedGrant
  {
    TimePoint mDeadline;
    // The peer has come into view for the first time and started before this
    // balancer. False for a peer that had only been missing in the view for a
    // while.
    bool mPredatesSelf;
  };
  // The former owners whose grants have not arrived yet.
  absl::flat_hash_map<Incarnation, AwaitedGrant> mAwaitedGrants;
  // All peers that have ever been candidates in mRanking.
  absl::flat_hash_set<Incarnation> mKnownIncarnations;
  struct DepartedPeer
  {
    Incarnation mIncarnation;
    TimePoint mSince;
  };
  std::vector<DepartedPeer> mDeparted;
  // Until this time, an unknown flow may be an existing flow at its default
  // upstream.
  TimePoint mMayInheritUntil;
  // The next entry of the walk, which covers first mFlows and then mRecords.
  size_t mNextWalkEntry = 0;
  uint64_t mWalkGeneration = 0;
  // Generation of the last walk that was completed.
  uint64_t mCompletedGeneration = 0;
  TimePoint mLastTick;
  TimePoint mLastWalk;
  // Fractional number of entries that the idle walk may visit by now.
  double mWalkCredit = 0;
  Incarnation mLastBatchPeer = 0;
  TimePoint mLastSend;
  TimePoint mLastRefresh;
  bool mIsRefreshWalk = false;
  double mByteAllowance = 0;
  bool mIsLeaving = false;
  TimePoint mLeaveSince;
  uint64_t mNonDefaultBinds = 0;
  uint64_t mBinds = 0;
};

} // namespace foxtail::routing

#endif

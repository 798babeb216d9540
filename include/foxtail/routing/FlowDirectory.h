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
  // Idle time after which a flow is forgotten, and for which an inherited
  // range is treated as holding flows that this balancer was not told of.
  seconds mFlowIdle{ 120 };
  // How often a living flow that is not at its default is told again.
  seconds mRefreshInterval{ 300 };
  // Bytes a second that records may take on the wire.
  size_t mRecordBytesPerSecond = 3000;
  // Records are collected for this long before they are sent; grants and a
  // planned leave don't wait.
  milliseconds mSendInterval{ 500 };
  // Longest wait for a peer's grant.
  seconds mGrantTimeout{ 60 };
};

// Serve the datagram here. The upstream is zero when the flow is new and any
// upstream may be chosen.
struct ServeHere
{
  uint32_t mUpstream = 0;
};

// Hand the datagram to this balancer.
struct ForwardTo
{
  Incarnation mOwner = 0;
};

// No balancer may own flows, not even this one.
struct NoOwner
{};

using RouteDecision = std::variant<ServeHere, ForwardTo, NoOwner>;

// Records and grants for one peer.
struct RecordBatch
{
  Incarnation mTo = 0;
  std::vector<FlowRecord> mRecords;
  // Every flow that mTo owns now has been told, as far as its upstream is not
  // the default under the configuration of this number.
  bool mGrant = false;
  uint64_t mConfigNumber = 0;
};

// Decides which balancer serves a flow and remembers the flows that it serves
// itself. It tells the balancer that is next in rank of those flows only whose
// upstream is not the default one, and hands flows over when the view changes:
// whoever becomes the owner of flows that another living balancer may know
// hands unknown ones to that balancer until its grant has come.
class FlowDirectory
{
public:
  FlowDirectory(const FlowDirectorySettings& aSettings, TimePoint aNow);

  // Views and snapshots that are older than the current one are ignored.
  void SetView(membership::ViewPtr aView, TimePoint aNow);
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);

  // aHops counts how often the datagram was handed over already.
  RouteDecision Route(const FlowKey& aFlow,
                      uint64_t aFlowHash,
                      unsigned aHops,
                      TimePoint aNow);

  // The upstream that a flow served here has, without any handing over.
  ServeHere Lookup(const FlowKey& aFlow, uint64_t aFlowHash, TimePoint aNow);

  // Remembers the upstream of a flow that is served here.
  void Bind(const FlowKey& aFlow,
            uint64_t aFlowHash,
            uint32_t aUpstream,
            TimePoint aNow);

  // Takes what a peer told. Unknown senders are ignored.
  void OnRecords(Incarnation aFrom, const RecordBatch& aBatch, TimePoint aNow);

  // Walks a part of the flows, forgets idle ones and returns what to send.
  std::vector<RecordBatch> Tick(TimePoint aNow);

  // Planned leave: owns nothing from now on.
  void BeginLeave(TimePoint aNow);
  // True once every flow has been told to its next owner.
  bool LeaveComplete() const;

  const OwnerRanking& Ranking() const { return mRanking; }
  size_t FlowCount() const { return mFlows.Size(); }
  size_t RecordCount() const { return mRecords.Size(); }
  size_t PendingRecords() const;
  size_t AwaitedGrants() const { return mAwaitedGrants.size(); }
  // Flows here whose upstream is not their default.
  uint64_t NonDefaultBinds() const { return mNonDefaultBinds; }
  uint64_t Binds() const { return mBinds; }

private:
  struct Peer
  {
    std::deque<FlowRecord> mPending;
    // A grant follows once the walk of this generation is complete.
    bool mGrantPending = false;
    uint64_t mGrantAfterWalk = 0;
    TimePoint mDiscoveredAt;
    // Send what is pending without waiting for the interval.
    bool mIsUrgent = false;
  };

  bool IsSelf(Incarnation aOwner) const { return aOwner == mSettings.mSelf; }
  bool IsJoining() const;
  Incarnation FormerOwner(uint64_t aFlowHash) const;
  bool KeepsKnownFlow(Incarnation aOwner, unsigned aHops, TimePoint aNow) const;
  void UpdateRanking();
  void UpdateSettledRanking();
  void RemoveDeparted(const OwnerRanking& aBefore, TimePoint aNow);
  bool IsLeaving(Incarnation aPeer) const;
  void PruneFormerOwners();
  void AddNewPeers(const OwnerRanking& aBefore, TimePoint aNow);
  void ExpireAwaitedGrants(TimePoint aNow);
  config::ServiceIndex FindService(const FlowKey& aFlow) const;
  void RestartWalk();
  size_t SlotsToWalk(size_t aSlots, TimePoint aNow);
  void WalkSlots(TimePoint aNow);
  void TakeBatches(bool aDue, std::vector<RecordBatch>& aOut);
  void WalkFlow(FlowEntry& aEntry, TimePoint aNow);
  void WalkRecord(FlowEntry& aEntry, TimePoint aNow);
  bool IsNonDefault(const FlowEntry& aEntry) const;
  void QueueFlowRecords(FlowEntry& aEntry);
  void QueueReceivedRecord(FlowEntry& aEntry);
  void RelayRecord(const FlowEntry& aEntry, Incarnation aFrom);
  void QueueRecord(const FlowEntry& aEntry, Incarnation aTo);
  uint32_t DefaultUpstreamId(uint64_t aFlowHash, uint32_t aUpstream) const;
  bool MayBeInherited(uint64_t aFlowHash, TimePoint aNow) const;
  // The default that an old flow of an inherited range has.
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
  // What was in force before the latest changes; other balancers may have told
  // their flows by it until it has settled.
  config::SnapshotPtr mFormerSnapshot;
  TimePoint mSnapshotSince;
  absl::flat_hash_map<uint32_t, config::UpstreamIndex> mUpstreamById;
  absl::flat_hash_map<Address, config::ServiceIndex> mServiceByAddress;
  OwnerRanking mRanking;
  // The ranking without the peers that a grant is owed to: who owned a flow
  // before they came.
  OwnerRanking mSettledRanking;
  // Flows that were served here.
  FlowTable mFlows;
  // Flows that peers told of, by rank hash.
  FlowTable mRecords;
  std::map<Incarnation, Peer> mPeers;
  // Balancers that owned flows before this one did.
  OwnerRanking mFormerOwners;
  struct AwaitedGrant
  {
    TimePoint mDeadline;
    // The peer was there before this balancer started, rather than out of
    // sight for a while.
    bool mPredatesSelf;
  };
  // Those of them that have not granted their flows yet.
  absl::flat_hash_map<Incarnation, AwaitedGrant> mAwaitedGrants;
  // Every incarnation that was ever a candidate here.
  absl::flat_hash_set<Incarnation> mKnownIncarnations;
  struct DepartedPeer
  {
    Incarnation mIncarnation;
    TimePoint mSince;
  };
  std::vector<DepartedPeer> mDeparted;
  // Until then, unknown flows may be old ones that a grant did not name.
  TimePoint mMayInheritUntil;
  // The walk goes over the served flows first and then over the records.
  size_t mNextWalkSlot = 0;
  uint64_t mWalkGeneration = 0;
  uint64_t mWalksDone = 0;
  TimePoint mLastTick;
  TimePoint mLastWalk;
  // Slots that the slow walk has earned and not yet looked at.
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

#ifndef foxtail_flow_Fleet_h
#define foxtail_flow_Fleet_h

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// The balancers that this one hears of, itself included. While they are few,
// beats go to all of them; when they are many, to a random few at longer
// intervals, mostly of the own failure domain, so that the cost for each
// balancer does not grow with the fleet. Not thread-safe.
class Fleet
{
public:
  // Up to so many peers are beaten to directly.
  static constexpr size_t kMaxDirectPeers = 14;
  // Interval of beats to all of a few peers, and to some of many. Four a
  // second to four peers with kGossipRecords stay below 6 KB/s.
  static constexpr milliseconds kHeartbeatInterval{ 100 };
  static constexpr milliseconds kGossipInterval{ 250 };
  // News of members bring the next beat forward, but no closer than this.
  static constexpr milliseconds kMinHeartbeatGap{ 10 };
  // Peers that one beat goes to when there are many; bytes between failure
  // domains cost more.
  static constexpr size_t kFanoutInDomain = 3;
  static constexpr size_t kFanoutOutsideDomain = 1;
  // Other members named in one beat.
  static constexpr size_t kDirectRecords = 2;
  static constexpr size_t kGossipRecords = 8;
  // The same for one that knows fewer members; they fit a datagram.
  static constexpr size_t kCatchUpRecords = 32;
  // A peer that all beats reach is taken for dead after this silence: three
  // beats may be lost or late.
  static constexpr milliseconds kDirectTimeout{ 350 };
  // The same when pulses come by way of others: each member's comes anew about
  // every seven milliseconds for each member of the fleet, and eight of them
  // may be missed. A broker that dies is noticed sooner, by those who ask it.
  static constexpr milliseconds kGossipTimeout{ 4000 };
  static constexpr milliseconds kGossipTimeoutPerMember{ 100 };
  // First time for which a broker that doesn't answer is left out; doubles
  // with each time up to kMaxSuspicionTime.
  static constexpr milliseconds kMinSuspicionTime{ 1000 };
  static constexpr milliseconds kMaxSuspicionTime{ 8000 };
  // Members that were silent for this long are forgotten.
  static constexpr seconds kMemberRetention{ 120 };

  Fleet(MemberRecord aSelf, std::vector<VmIp> aSeeds, uint64_t aSeed);

  void SetSeeds(std::vector<VmIp> aSeeds);
  const MemberRecord& Self() const { return mSelf; }
  // A change is told to all peers with the next beat, which is due at once.
  void SetReady(TimePoint aNow, bool aIsReady);
  // When the members that may broker changed last.
  TimePoint BrokersChangedAt() const { return mBrokersChangedAt; }
  // When the balancers of this failure domain changed last: the fabric then
  // sends flows another way than before.
  TimePoint DomainMembersChangedAt() const { return mDomainMembersChangedAt; }

  // A beat came from this address. Returns what changed, to be logged.
  std::vector<Event> OnHeartbeat(TimePoint aNow,
                                 VmIp aFrom,
                                 const Heartbeat& aHeartbeat);

  // A beat without its revisions, if one is due, and whom to send it to.
  struct HeartbeatRound
  {
    std::vector<VmIp> mTargets;
    Heartbeat mHeartbeat;
  };
  std::optional<HeartbeatRound> TakeDueRound(TimePoint aNow);
  TimePoint NextHeartbeatAt() const { return mNextHeartbeat; }

  // Looks for members that went silent; returns what changed.
  std::vector<Event> Expire(TimePoint aNow);

  // A broker did not answer; it is left out for a while.
  void SuspectBroker(TimePoint aNow, VmIp aBroker);
  void ResetSuspicion(VmIp aBroker);

  // The balancer that brokers the slots of a service, by rendezvous hash over
  // ready members. Balancers with the same view agree; this one if there is
  // no other.
  VmIp BrokerOf(TimePoint aNow, uint32_t aService) const;

  // How many live ready members come before this one in turn for reading the
  // publisher, by rendezvous hash.
  size_t ReaderRank(TimePoint aNow) const;

  bool IsAlive(TimePoint aNow, VmIp aMember) const;
  size_t AliveCount(TimePoint aNow) const;
  // Members that broker and report to brokers, this one included.
  size_t ReadyCount(TimePoint aNow) const;

private:
  struct Member
  {
    MemberRecord mRecord;
    TimePoint mLastHeard;
    bool mWasAlive = true;
    TimePoint mSuspectedUntil;
    Duration mSuspicionTime = kMinSuspicionTime;
  };

  bool MergeRecord(TimePoint aNow, const MemberRecord& aRecord);
  void MarkChanged(TimePoint aNow, const MemberRecord& aRecord);
  bool UsesDirectHeartbeats() const
  {
    return mMembers.size() <= kMaxDirectPeers;
  }
  bool WasHeardRecently(TimePoint aNow, const Member& aMember) const;
  std::vector<VmIp> PickTargets();
  std::vector<MemberRecord> PickRecords(size_t aCount);

  MemberRecord mSelf;
  std::vector<VmIp> mSeeds;
  std::mt19937_64 mRandom;
  std::map<VmIp, Member> mMembers;
  // Knows fewer members than this one; zero for nobody.
  VmIp mCatchUpPeer = 0;
  TimePoint mNextHeartbeat;
  TimePoint mLastHeartbeat;
  TimePoint mBrokersChangedAt;
  TimePoint mDomainMembersChangedAt;
};

} // namespace foxtail::flow

#endif

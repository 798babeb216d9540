#ifndef foxtail_flow_Fleet_h
#define foxtail_flow_Fleet_h

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// The members of the fleet known to this balancer, itself included. In a small
// fleet, every heartbeat goes to all members. In a large one, heartbeats go to
// a few random members at longer intervals, mostly within the own failure
// domain, and members pass on the news of each other (gossip), so that the cost
// per balancer does not grow with the fleet. Not thread-safe.
class Fleet
{
public:
  // Up to this number of peers, each heartbeat goes to all of them.
  static constexpr size_t kMaxDirectPeers = 14;
  // Interval of heartbeats to all peers, and of heartbeats in gossip mode. Four
  // gossip heartbeats per second to four peers with kGossipRecords records stay
  // below 6 KB/s.
  static constexpr milliseconds kHeartbeatInterval{ 100 };
  static constexpr milliseconds kGossipInterval{ 250 };
  // A new member brings the next heartbeat forward, to no sooner than this time
  // after the last one.
  static constexpr milliseconds kMinHeartbeatGap{ 10 };
  // Peers that a heartbeat in gossip mode goes to, inside and outside the own
  // failure domain. Traffic between failure domains costs more.
  static constexpr size_t kFanoutInDomain = 3;
  static constexpr size_t kFanoutOutsideDomain = 1;
  // Records of other members in a heartbeat that goes to all peers, and in one
  // in gossip mode.
  static constexpr size_t kDirectRecords = 2;
  static constexpr size_t kGossipRecords = 8;
  // Records in a heartbeat to a peer that needs news, see mCatchUpPeer. They
  // fit into one datagram.
  static constexpr size_t kCatchUpRecords = 32;
  // Time without a heartbeat after which a peer counts as dead while heartbeats
  // go to all peers. Three heartbeats may be lost or late.
  static constexpr milliseconds kDirectTimeout{ 350 };
  // Time-out in gossip mode: kGossipTimeout plus kGossipTimeoutPerMember for
  // each member. A newer heartbeat count of a given member arrives about every
  // 7 ms times the number of members, and eight such arrivals may be missed. A
  // balancer detects a dead broker sooner, because its reports get no reply.
  static constexpr milliseconds kGossipTimeout{ 4000 };
  static constexpr milliseconds kGossipTimeoutPerMember{ 100 };
  // Time for which a broker is excluded when it does not answer for the first
  // time. It doubles with each further failure, up to kMaxSuspicionTime.
  static constexpr milliseconds kMinSuspicionTime{ 1000 };
  static constexpr milliseconds kMaxSuspicionTime{ 8000 };
  // Members are dropped after this time without news of them.
  static constexpr seconds kMemberRetention{ 120 };

  Fleet(MemberRecord aSelf, std::vector<VmIp> aSeeds, uint64_t aRandomSeed);

  void SetSeeds(std::vector<VmIp> aSeeds);
  const MemberRecord& Self() const { return mSelf; }
  // Sets whether this balancer takes part in brokering. A change makes the next
  // heartbeat due at once.
  void SetReady(TimePoint aNow, bool aIsReady);
  // Time of the last change of the members that can be brokers.
  TimePoint BrokersChangedAt() const { return mBrokersChangedAt; }
  // Time of the last change of the members in this failure domain. After such a
  // change the fabric may send flows to other balancers than before.
  TimePoint DomainMembersChangedAt() const { return mDomainMembersChangedAt; }

  // Handles a heartbeat received from aFrom. Returns the changes as events to
  // be logged.
  std::vector<Event> OnHeartbeat(TimePoint aNow,
                                 VmIp aFrom,
                                 const Heartbeat& aHeartbeat);

  // Called after this process stood still for aPause: the silence of the others
  // during it does not count, and the fabric may have moved flows.
  void OnPause(TimePoint aNow, Duration aPause);

  // A heartbeat that is due and its recipients. The caller fills in the
  // revisions of its replica.
  struct HeartbeatRound
  {
    std::vector<VmIp> mTargets;
    Heartbeat mHeartbeat;
  };
  std::optional<HeartbeatRound> TakeDueRound(TimePoint aNow);
  TimePoint NextHeartbeatAt() const { return mNextHeartbeat; }

  // Marks silent members as dead and drops members that have been silent for
  // kMemberRetention. Returns the changes as events to be logged.
  std::vector<Event> Expire(TimePoint aNow);

  // Excludes a member from the choice of brokers for its suspicion time because
  // it did not reply to a report. The suspicion time of the next exclusion is
  // twice as long.
  void SuspectBroker(TimePoint aNow, VmIp aBroker);
  // Called for a broker that replied: its next exclusion lasts
  // kMinSuspicionTime again. An exclusion in progress does not end.
  void ResetSuspicion(VmIp aBroker);

  // Returns the broker of a service: the first by weighted rendezvous hash
  // among the members that are ready, alive and not suspected, or this balancer
  // if there is none. Balancers with the same view agree on it. The work of a
  // broker grows with the fleet, so a member with twice the processor share is
  // chosen 16 times as often. If aExcludesSelf is set, this balancer is
  // returned only if there is no other.
  VmIp BrokerOf(TimePoint aNow,
                uint32_t aService,
                bool aExcludesSelf = false) const;

  // Returns the rank of this balancer among the readers of the publisher: the
  // number of live and ready members that precede it by rendezvous hash.
  size_t ReaderRank(TimePoint aNow) const;

  // Returns a random member that is alive and ready, one of the own failure
  // domain if there is any; empty if no member is.
  std::optional<VmIp> PickReadyMember(TimePoint aNow);

  // Returns the failure domains of known members from which no member is heard.
  std::set<std::string> SilentDomains(TimePoint aNow) const;

  bool IsAlive(TimePoint aNow, VmIp aMember) const;
  size_t AliveCount(TimePoint aNow) const;
  // Number of members known, silent ones and this one included.
  size_t KnownCount() const { return mMembers.size() + 1; }
  // Number of live members that take part in brokering, this one included if it
  // is ready.
  size_t ReadyCount(TimePoint aNow) const;

private:
  struct Member
  {
    MemberRecord mRecord;
    TimePoint mLastHeard;
    // State as of the last call of Expire or the last news of the member, so
    // that each change is logged once.
    bool mIsMarkedAlive = true;
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
  // A peer that knows fewer members than this balancer or lacks a replica; zero
  // if there is none.
  VmIp mCatchUpPeer = 0;
  // The last round went to such a peer; the next one is a regular one.
  bool mIsCatchUpRound = false;
  TimePoint mNextHeartbeat;
  TimePoint mLastHeartbeat;
  TimePoint mBrokersChangedAt;
  TimePoint mDomainMembersChangedAt;
};

} // namespace foxtail::flow

#endif

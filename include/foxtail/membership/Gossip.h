#ifndef foxtail_membership_Gossip_h
#define foxtail_membership_Gossip_h

#include <cstdint>
#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::membership {

// Names one life of one agent. A restarted agent has a greater one.
using AgentIncarnation = uint64_t;

// One statement about one VM: what its agent says of it, or, with a state of
// Suspect or Dead, what others say of that statement.
struct MemberRecord
{
  // mIncarnation is zero when there has been no balancer yet. mState is never
  // Leaving in a record; mLeaving says so and stays beside a suspicion. Region
  // and domain are empty in gossip; the published VM list has them.
  Member mMember;
  AgentIncarnation mAgentIncarnation = 0;
  // Grows with each statement that the agent makes.
  uint32_t mRevision = 0;
  bool mLeaving = false;
  // The balancer of mMember.mIncarnation lives no longer and its incarnation
  // will not be used again.
  bool mBalancerAbsent = false;
};

// A verdict that only a later statement of the agent can end.
bool
IsDead(const MemberRecord& aRecord);

// True when the record names a living balancer, so that views show it.
bool
HasLiveBalancer(const MemberRecord& aRecord);

// No fewer bytes than the record takes in a datagram.
size_t
WireSizeBound(const MemberRecord& aRecord);

// True when aLeft takes the place of aRight, both being about the same VM: a
// later life of the agent, a later statement in the same life, or a worse
// verdict on the same statement.
bool
Supersedes(const MemberRecord& aLeft, const MemberRecord& aRight);

// How far the sender's configuration is; the same numbers as on the wire.
struct ConfigProgress
{
  uint64_t mNumber = 0;
  uint64_t mDigest = 0;
  // Published patches read so far, refused ones included.
  uint64_t mPosition = 0;

  friend bool operator==(const ConfigProgress& a, const ConfigProgress& b)
  {
    return a.mNumber == b.mNumber && a.mDigest == b.mDigest &&
           a.mPosition == b.mPosition;
  }
};

enum class GossipKind
{
  Probe,
  Ack,
  IndirectProbe,
  Sync,
  SyncReply,
  Update
};

constexpr int kGossipKinds = 6;

// One datagram between two agents.
struct Gossip
{
  GossipKind mKind = GossipKind::Probe;
  uint64_t mSequence = 0;
  MemberRecord mSender;
  // IndirectProbe: who is to be probed. Ack: who was reached. Sync: the last
  // name that the asker has. SyncReply: the last name of the page, empty after
  // the last page.
  std::string mTarget;
  std::vector<MemberRecord> mUpdates;
  ConfigProgress mConfig;
  // Index of the newest published VM list that the sender has.
  uint64_t mVmsIndex = 0;
};

} // namespace foxtail::membership

#endif

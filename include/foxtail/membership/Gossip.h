#ifndef foxtail_membership_Gossip_h
#define foxtail_membership_Gossip_h

#include <cstdint>
#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::membership {

// Identifies one run of one agent process. A restarted agent has a greater
// incarnation.
using AgentIncarnation = uint64_t;

// One record about one VM: as announced by its agent or, with the state Suspect
// or Dead, as changed by other members that could not reach the agent.
struct MemberRecord
{
  // mIncarnation is zero until the VM has had a balancer. mState is never
  // Leaving in a record; mLeaving is a separate flag, so that it is kept while
  // the member is suspected. Region and domain are empty in gossip; they come
  // from the published VM list.
  Member mMember;
  AgentIncarnation mAgentIncarnation = 0;
  // Grows with each record that the agent announces.
  uint32_t mRevision = 0;
  bool mLeaving = false;
  // The VM has no running balancer. If mMember.mIncarnation is not zero, that
  // incarnation has ended and will not be used again.
  bool mBalancerAbsent = false;
};

// True when the record declares the VM dead; only a later record announced by
// its agent supersedes it.
bool
IsDead(const MemberRecord& aRecord);

// True when the VM is not declared dead and has a running balancer. Views show
// only such members.
bool
HasLiveBalancer(const MemberRecord& aRecord);

// Upper bound of the bytes that the record takes in a datagram.
size_t
WireSizeBound(const MemberRecord& aRecord);

// True when aNew replaces aOld; both are about the same VM. In this order:
// greater agent incarnation, greater revision, worse state (dead, suspect,
// alive).
bool
Supersedes(const MemberRecord& aNew, const MemberRecord& aOld);

// The configuration that an agent uses, as in the message VersionInfo: the
// number and digest of its version, and the number of patches read.
struct ConfigProgress
{
  uint64_t mNumber = 0;
  uint64_t mDigest = 0;
  // Number of published patches read so far, refused ones included.
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

constexpr int kGossipKindCount = 6;

// One datagram between two agents.
struct Gossip
{
  GossipKind mKind = GossipKind::Probe;
  uint64_t mSequence = 0;
  MemberRecord mSender;
  // IndirectProbe: name of the member to probe. Ack: name of the member that
  // answered. Sync: the name after which the requested page begins. SyncReply:
  // the last name of the page, or empty when no records follow.
  std::string mTarget;
  std::vector<MemberRecord> mUpdates;
  ConfigProgress mConfig;
  // Index of the sender's newest published VM list.
  uint64_t mVmsIndex = 0;
};

} // namespace foxtail::membership

#endif

#ifndef foxtail_membership_View_h
#define foxtail_membership_View_h

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "foxtail/core/Address.h"

namespace foxtail::membership {

// Names one life of one balancer: its start in milliseconds since the Unix
// epoch in the upper 48 bits, random bits below. A restarted balancer has a
// greater incarnation; zero is never used.
using Incarnation = uint64_t;

enum class MemberState
{
  // Takes new flows and owns its share.
  Alive,
  // Probes fail; still owns its flows until it is declared dead.
  Suspect,
  // Finishes what it has, owns nothing.
  Leaving,
  // Gone.
  Dead
};

// What one balancer is known by.
struct Member
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  Incarnation mIncarnation = 0;
  MemberState mState = MemberState::Alive;
  // UDP: datagrams handed over by peers.
  Address mHandoffAddress;
  // nng over TCP: flow records and grants.
  Address mPeerAddress;
  // Membership probes and configuration fetches of the VM's agent.
  Address mAgentAddress;
};

// Everything a balancer needs to know of its peers, itself included. Members
// are ordered by name; Dead ones are absent.
struct View
{
  // Grows with every change that this VM has seen; local to the VM.
  uint64_t mSequence = 0;
  std::vector<Member> mMembers;
  // True when the VM cannot hear the greater part of the published VMs, or
  // when the view has not been refreshed lately.
  bool mInDoubt = false;

  const Member* Find(const std::string& aName) const;
  const Member* FindIncarnation(Incarnation aIncarnation) const;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace foxtail::membership

#endif

#ifndef foxtail_membership_View_h
#define foxtail_membership_View_h

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "foxtail/core/Address.h"

namespace foxtail::membership {

// Identifies one run of one balancer process: its start in milliseconds since
// the Unix epoch in the upper 48 bits, random bits below. A restarted balancer
// has a greater incarnation; zero is never used.
using Incarnation = uint64_t;

enum class MemberState
{
  // The agent answers probes. In a view, the balancer takes new flows and owns
  // its share of all flows.
  Alive,
  // Probes of the agent fail. In a view, the balancer owns its flows until the
  // VM is declared dead.
  Suspect,
  // The balancer finishes its open requests and owns no flows.
  Leaving,
  // The agent has stopped, or it did not refute a suspicion in time.
  Dead
};

// Identity, state and addresses of one VM: its agent, and its balancer if the
// VM has one (see MemberRecord::mBalancerAbsent). In a view, every member has a
// balancer.
struct Member
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  Incarnation mIncarnation = 0;
  MemberState mState = MemberState::Alive;
  // UDP; datagrams that peers forward to this balancer.
  Address mHandoffAddress;
  // nng over TCP; flow records and grants.
  Address mPeerAddress;
  // The VM's agent; membership probes and configuration fetches.
  Address mAgentAddress;
};

// The balancers of the system, this VM's own included. Members are ordered by
// name; dead ones are left out.
struct View
{
  // Grows with every change of the view on this VM; not comparable between VMs.
  uint64_t mSequence = 0;
  std::vector<Member> mMembers;
  // True unless more than half of the published VMs, without the leaving ones,
  // are known to be alive. Also true while the view may be out of date: after a
  // start or a pause, until the agent has read a peer's member list and, after
  // a pause, until a probe was answered. In a balancer's view also true while
  // the agent's configuration may be out of date.
  bool mInDoubt = false;

  const Member* Find(const std::string& aName) const;
  const Member* FindIncarnation(Incarnation aIncarnation) const;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace foxtail::membership

#endif

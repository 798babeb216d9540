#ifndef foxtail_flow_PeerMessages_h
#define foxtail_flow_PeerMessages_h

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/FlowTracker.h"
#include "foxtail/flow/Records.h"

// Datagrams between balancers. Each of them may be lost, duplicated or delayed.
namespace foxtail::flow {

// IPv4 address of a VM in host byte order. The ports are the same on all VMs.
using VmIp = uint32_t;

// What a balancer knows about itself or another member of the fleet. Members
// pass these records on, so a balancer learns that a member is alive without
// hearing from it directly.
struct MemberRecord
{
  VmIp mIp = 0;
  // Start time of the member in milliseconds since the Unix epoch. It is
  // greater after each restart.
  uint64_t mIncarnation = 0;
  // Heartbeats that the member has sent since its start. Of two records of an
  // incarnation, the one with the greater count is newer.
  uint64_t mHeartbeatCount = 0;
  std::string mDomain;
  // Whether the member takes part in brokering: it has a configuration and
  // upstreams.
  bool mIsReady = false;
  // Processor time that the member may use, in thousandths of a core; zero if
  // unknown.
  uint32_t mProcessorShare = 0;
};

struct Heartbeat
{
  MemberRecord mSelf;
  // The sender's replica contains all changes up to this revision.
  Revision mConfirmed = 0;
  // Revision of the newest change in the sender's replica that balancing
  // decisions depend on.
  Revision mNewest = 0;
  // The sender knows each change after this revision, removals included. Older
  // removals may be unknown to it, because it started from a later listing.
  Revision mCompleteSince = 0;
  // Age of the publisher's confirmation of mConfirmed.
  milliseconds mConfirmedAge{ 0 };
  // Number of live members that the sender knows, itself included.
  uint32_t mKnownMembers = 0;
  // Some of the other members that the sender takes for alive.
  std::vector<MemberRecord> mOtherMembers;
};

// Request of a balancer for a grant, by which it places one new flow.
struct SlotRequest
{
  // Id of the flow, assigned by the requesting balancer.
  uint64_t mId = 0;
  // Time for which the flow has waited so far.
  milliseconds mWaited{ 0 };
  // Latency objective, from the arrival of the flow to its answer. A later
  // answer is worth less.
  milliseconds mObjective{ 0 };
  // Zero is the most urgent.
  uint32_t mPriority = 0;
  // Address of the caller, by which the broker recognizes another try of a
  // caller that it refused.
  uint32_t mCallerIp = 0;
  // Whether the request may be repeated without harm.
  bool mIsIdempotent = true;
  // Upstreams that did not answer the flow's opening packet.
  std::vector<Cookie> mExcluded;
  // Stable hash of the route, see RouteId.
  uint32_t mRoute = 0;
};

// Time from a request to the first bytes of its answer. A time of zero only
// states that the upstream has answered: it confirmed a flow, continued an
// answer, or the answer was in an earlier report that may be lost.
struct AnswerTime
{
  Cookie mUpstream = 0;
  milliseconds mTime{ 0 };
};

// A complete answer. Answers don't pass through balancers; the values are
// derived from the caller's acknowledgements, which do.
struct AnswerSummary
{
  Cookie mUpstream = 0;
  // Stable hash of the route. Only answers of the same route are comparable.
  uint32_t mRoute = 0;
  // Time from the request to the first bytes of the answer, less the network
  // delay.
  milliseconds mProcessingTime{ 0 };
  uint32_t mBytes = 0;
};

// Open flows that repeated their data for the second time without any progress,
// since the last report. A flow is counted once for each request.
struct StalledFlows
{
  Cookie mUpstream = 0;
  uint32_t mCount = 0;
};

// Report of a balancer to the broker of a service: the flows that it holds at
// the upstreams and the flows that wait for a grant.
struct SlotReport
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;
  // Stable hash of the service's name.
  uint32_t mServiceId = 0;
  std::string mDomain;
  // Grants with numbers up to this one are counted in mHeld.
  uint64_t mGrantsSeen = 0;
  // Revision of the newest change in the sender's replica.
  Revision mNewest = 0;
  // Flows that the balancer holds, by upstream. They replace those of earlier
  // reports.
  std::vector<SlotCount> mHeld;
  // Whether mRequests lists all waiting flows, not only those that are new.
  bool mListsAllRequests = false;
  std::vector<SlotRequest> mRequests;
  // Upstreams that left opening packets of the balancer unanswered.
  std::vector<Cookie> mUnresponsive;
  std::vector<AnswerTime> mAnswerTimes;
  std::vector<AnswerSummary> mCompleteAnswers;
  // Upstreams that left requests unanswered, one entry per request.
  std::vector<Cookie> mUnansweredRequests;
  // Upstreams of grants that the balancer rejected because they take no new
  // flows by its own replica, which was newer.
  std::vector<Cookie> mRejected;
  std::vector<StalledFlows> mStalled;
};

struct SlotGrant
{
  // The id of the flow.
  uint64_t mId = 0;
  // Counts the grants to this balancer for the service, also across brokers: a
  // new broker continues after mGrantsSeen.
  uint64_t mNumber = 0;
  Cookie mUpstream = 0;
};

// Sent by the broker after a report with requests, whenever it grants or
// refuses queued flows, and to all balancers that report when mStalled changes.
struct SlotReply
{
  uint64_t mIncarnation = 0;
  // Sequence number of the newest report that the broker has received.
  uint64_t mSequence = 0;
  uint32_t mServiceId = 0;
  std::vector<SlotGrant> mGrants;
  // Ids of the flows that are refused.
  std::vector<uint64_t> mRefused;
  // Revision of the newest change in the broker's replica.
  Revision mNewest = 0;
  // Upstreams that stopped answering. Idempotent requests on their open flows
  // may be reset.
  std::vector<Cookie> mStalled;
};

using PeerMessage = std::variant<Heartbeat, SlotReport, SlotReply>;

} // namespace foxtail::flow

#endif

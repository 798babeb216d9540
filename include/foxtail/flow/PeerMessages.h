#ifndef foxtail_flow_PeerMessages_h
#define foxtail_flow_PeerMessages_h

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/FlowTracker.h"
#include "foxtail/flow/Records.h"

// Datagrams between balancers. All of them may be lost, doubled or late.
namespace foxtail::flow {

// IPv4 address of a VM, host byte order; ports are the same on all VMs.
using VmIp = uint32_t;

// What one balancer knows of another: its pulse grows with each beat of that
// one, so that news of its life can be passed on.
struct MemberRecord
{
  VmIp mIp = 0;
  // Start in milliseconds since the Unix epoch: a later life is greater.
  uint64_t mIncarnation = 0;
  uint64_t mPulse = 0;
  std::string mDomain;
  // It has a configuration and upstreams and takes part in brokering.
  bool mIsReady = false;
};

struct Beat
{
  MemberRecord mSelf;
  Revision mConfirmed = 0;
  Revision mNewest = 0;
  // How long ago the publisher confirmed mConfirmed.
  milliseconds mConfirmedAge{ 0 };
  // Live members that the sender knows, itself included.
  uint32_t mKnown = 0;
  // Some of the others that the sender hears of.
  std::vector<MemberRecord> mOthers;
};

// One new flow that wants a slot.
struct SlotRequest
{
  // Names the flow between the asking balancer and the broker.
  uint64_t mId = 0;
  // Time the flow has waited so far.
  milliseconds mWaited{ 0 };
  // Latency up to which its answer has its full worth.
  milliseconds mObjective{ 0 };
  uint32_t mPriority = 0;
  // The caller's address: another try of one that was refused is known by it.
  uint32_t mCallerIp = 0;
  // May be repeated without harm.
  bool mIsIdempotent = true;
  // Upstreams that did not answer its opening packet.
  std::vector<Cookie> mExcluded;
};

// An answer's first bytes came this long after its request began.
struct AnswerTime
{
  Cookie mUpstream = 0;
  milliseconds mTime{ 0 };
};

// A whole answer, as far as a balancer sees it: answers don't pass it, but the
// caller's acknowledgements do.
struct AnswerShape
{
  Cookie mUpstream = 0;
  // Stable hash of the route: only answers of one route are alike.
  uint32_t mRoute = 0;
  // From the request to the first bytes, without the packets' way.
  milliseconds mWork{ 0 };
  uint32_t mBytes = 0;
};

// From a balancer to the broker of a service: everything it holds there, and
// flows that want a slot. What a later report says is held replaces what an
// earlier one said.
struct SlotReport
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;
  // Stable hash of the service's name.
  uint32_t mService = 0;
  std::string mDomain;
  // Grants up to this number are counted in mHeld.
  uint64_t mGrantsSeen = 0;
  std::vector<SlotCount> mHeld;
  // mRequests has every flow that waits, not only the new ones.
  bool mIsWhole = false;
  std::vector<SlotRequest> mRequests;
  // Upstreams that leave the balancer's opening packets unanswered.
  std::vector<Cookie> mSilent;
  std::vector<AnswerTime> mAnswers;
  std::vector<AnswerShape> mShapes;
  // Upstreams that left requests unanswered, once for each request.
  std::vector<Cookie> mUnanswered;
};

struct SlotGrant
{
  uint64_t mId = 0;
  // Counts the broker's grants to this balancer.
  uint64_t mNumber = 0;
  Cookie mUpstream = 0;
};

// The broker's answer to a report.
struct SlotReply
{
  uint64_t mIncarnation = 0;
  // The newest report that the broker has seen.
  uint64_t mSequence = 0;
  uint32_t mService = 0;
  std::vector<SlotGrant> mGrants;
  std::vector<uint64_t> mRefused;
};

using PeerMessage = std::variant<Beat, SlotReport, SlotReply>;

} // namespace foxtail::flow

#endif

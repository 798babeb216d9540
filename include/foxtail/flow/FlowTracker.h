#ifndef foxtail_flow_FlowTracker_h
#define foxtail_flow_FlowTracker_h

#include <optional>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"
#include "foxtail/flow/RetransmissionTracker.h"
#include "foxtail/flow/WorkEstimator.h"

namespace foxtail::flow {

// Number of slots of an upstream that are in use.
struct SlotCount
{
  Cookie mUpstream = 0;
  uint32_t mCount = 0;
  // Expected work of the requests that hold the slots, at an upstream of
  // average speed; zero if it is unknown.
  milliseconds mRemainingWork{ 0 };
};

// What a packet shows about the state of its flow.
struct FlowProgress
{
  // Duration of the handshake, from the offer of the flow to the caller's
  // confirmation. Only set for the packet with the confirmation.
  std::optional<Duration> mHandshake;
  // Time from the start of the request to the first bytes of its answer. Only
  // set for the packet that acknowledges these bytes.
  std::optional<Duration> mTimeToFirstByte;
  // An answer that is complete because the flow ends or its next request
  // begins. Only known for flows that were opened at this balancer.
  struct CompleteAnswer
  {
    // Time from the request to the first bytes, less the network delay.
    Duration mProcessingTime{ 0 };
    uint32_t mBytes = 0;
  };
  std::optional<CompleteAnswer> mCompleteAnswer;
  // The caller received something new from the upstream.
  bool mShowsAnswer = false;
  // The packet repeats data that the caller takes for lost.
  bool mIsRetransmission = false;
  // The flow has become stalled, see RetransmissionTracker.
  bool mIsStalled = false;
  // A slot became free.
  bool mReleased = false;
};

// Tracks the flows whose packets pass through this balancer and the upstream
// slots that they hold. Answers do not pass through the balancer; they are
// detected by the acknowledgements of the caller. The held slots are an
// estimate for the placement of new flows. Forwarding does not depend on the
// tracker. Not thread-safe.
class FlowTracker
{
public:
  FlowTracker() = default;
  // Not copyable, because mHeld points into mFlows.
  FlowTracker(const FlowTracker&) = delete;
  FlowTracker& operator=(const FlowTracker&) = delete;
  FlowTracker(FlowTracker&&) = default;
  FlowTracker& operator=(FlowTracker&&) = default;
  ~FlowTracker() = default;

  // An opening or busy flow without packets for this multiple of the mean time
  // to first byte no longer holds a slot: the caller is gone, or the fabric
  // sends the packets to another balancer, which counts the flow instead.
  // Nineteen of twenty answers arrive within this time.
  static constexpr int kSlotTimeoutFactor = 3;
  // Bounds of the resulting time-out.
  static constexpr milliseconds kMinSlotTimeout{ 180 };
  static constexpr milliseconds kMaxSlotTimeout{ 2000 };
  // A request without an answer for this multiple of the mean time to first
  // byte counts as unanswered. Straggling requests take seven times as long as
  // others.
  static constexpr int kUnansweredTimeoutFactor = 8;
  static constexpr milliseconds kMinUnansweredTimeout{ 500 };
  static constexpr milliseconds kMaxUnansweredTimeout{ 4000 };
  // Idle flows are dropped sooner than callers close them. The next request
  // starts the tracking of the flow again.
  static constexpr seconds kIdleTimeout{ 10 };

  // Starts to track a flow that is offered to an upstream. It holds a slot.
  void TrackOffer(TimePoint aNow, const FlowKey& aKey, Cookie aUpstream);
  // Stops tracking a flow and releases its slot.
  void RemoveFlow(const FlowKey& aKey);
  // Updates the flow of a packet, other than an opening packet, that is
  // forwarded to an upstream.
  FlowProgress TrackPacket(TimePoint aNow,
                           const Packet& aPacket,
                           Cookie aUpstream);
  struct Expired
  {
    // A slot became free.
    bool mReleased = false;
    // Upstreams of unanswered requests, one entry per request.
    std::vector<Cookie> mUnanswered;
  };
  // Applies the time-outs to all flows.
  Expired Expire(TimePoint aNow);

  uint32_t HeldSlots(Cookie aUpstream) const;
  // Returns the requests to an upstream that their callers have sent again.
  std::vector<RetransmissionTracker::Outstanding> OutstandingAt(
    Cookie aUpstream) const
  {
    return mRetransmissions.OutstandingAt(aUpstream);
  }
  // Expected work of the flows that hold slots of this upstream, by their
  // routes and the times that their requests have run. Zero if the work of one
  // of the routes is unknown, otherwise at least 1 ms.
  milliseconds RemainingWork(TimePoint aNow,
                             Cookie aUpstream,
                             const WorkEstimator& aEstimator) const;
  size_t FlowCount() const { return mFlows.size(); }
  // Time without packets after which an opening or busy flow no longer holds
  // its slot.
  Duration SlotTimeout() const;
  // Time after the start of a request when an overdue request counts as
  // unanswered.
  Duration UnansweredTimeout() const;

private:
  enum class Phase
  {
    // The caller has not confirmed the upstream's answer to the opening packet.
    Opening,
    // The upstream processes a request.
    Busy,
    // A request has been unanswered for so long that its slot was released.
    Overdue,
    // Open without a request in progress.
    Idle
  };
  struct Flow
  {
    Cookie mUpstream = 0;
    uint32_t mRoute = 0;
    Phase mPhase = Phase::Opening;
    TimePoint mPhaseStart;
    TimePoint mLastPacket;
    uint32_t mAcknowledged = 0;
    // The value of mAcknowledged when the last request began.
    uint32_t mAcknowledgedAtRequest = 0;
    // Duration of the handshake, that is the network delay from here to the
    // upstream, on to the caller and back. Empty if the flow was opened at
    // another balancer.
    std::optional<Duration> mHandshake;
    Duration mTimeToFirstByte{ 0 };
  };
  struct KeyHash
  {
    size_t operator()(const FlowKey& aKey) const { return aKey.Hash(); }
  };
  using FlowMap = std::unordered_map<FlowKey, Flow, KeyHash>;

  Flow& AddMovedFlow(TimePoint aNow, const Packet& aPacket, Cookie aUpstream);
  void SetPhase(TimePoint aPhaseStart, Flow& aFlow, Phase aPhase);
  void Erase(FlowMap::iterator aFlow);
  // Returns the answer that the caller has received, if the flow is idle after
  // an answer and was opened at this balancer.
  static std::optional<FlowProgress::CompleteAnswer> LastCompleteAnswer(
    const Flow& aFlow);
  static bool HoldsSlot(Phase aPhase)
  {
    return aPhase == Phase::Opening || aPhase == Phase::Busy;
  }

  FlowMap mFlows;
  RetransmissionTracker mRetransmissions;
  // The flows that hold slots. Elements of an unordered_map don't move.
  std::unordered_map<Cookie, std::vector<const Flow*>> mHeld;
  Duration mMeanTimeToFirstByte = milliseconds(100);
};

} // namespace foxtail::flow

#endif

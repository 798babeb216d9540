#ifndef foxtail_flow_FlowTracker_h
#define foxtail_flow_FlowTracker_h

#include <optional>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"

namespace foxtail::flow {

// How many slots of an upstream are held.
struct SlotCount
{
  Cookie mUpstream = 0;
  uint32_t mCount = 0;
};

// What a packet told about its flow.
struct FlowProgress
{
  // The caller confirmed the upstream's answer to its opening packet; how long
  // that took. Empty for every other packet.
  std::optional<Duration> mHandshake;
  // The first bytes of an answer came, this long after the request began.
  std::optional<Duration> mTimeToFirstByte;
  // A whole answer came: the flow ends or its next request begins. Only for
  // flows that opened here.
  struct CompleteAnswer
  {
    // From the request to the first bytes, less the packets' way.
    Duration mProcessingTime{ 0 };
    uint32_t mBytes = 0;
  };
  std::optional<CompleteAnswer> mCompleteAnswer;
  // A slot became free.
  bool mReleased = false;
};

// Flows whose packets pass here, and which upstream slots they hold. Answers
// don't pass here: that one came shows in what the caller acknowledges. The
// tracker is an estimate for placing new flows, not needed for forwarding.
// Not thread-safe.
class FlowTracker
{
public:
  // A busy flow that is silent for this many usual answer times no longer
  // counts: the caller went away, or the fabric sends its packets to another
  // balancer, which counts it then. Nineteen of twenty answers come sooner.
  static constexpr int kBusyTimeoutFactor = 3;
  // Bounds of the time that this gives.
  static constexpr milliseconds kMinBusyTimeout{ 180 };
  static constexpr milliseconds kMaxBusyTimeout{ 2000 };
  // A request without an answer for this many usual answer times is taken as
  // unanswered: the users' stragglers work seven times as long.
  static constexpr int kOverdueTimeoutFactor = 8;
  static constexpr milliseconds kMinOverdueTimeout{ 500 };
  static constexpr milliseconds kMaxOverdueTimeout{ 4000 };
  // Idle flows are forgotten sooner than callers close them; the next request
  // makes them known again.
  static constexpr seconds kIdleTimeout{ 10 };

  // A new flow was placed at this upstream.
  void TrackPlacement(TimePoint aNow, const FlowKey& aKey, Cookie aUpstream);
  // The flow will not open there.
  void RemoveFlow(const FlowKey& aKey);
  // A packet other than an opening one passes to this upstream.
  FlowProgress TrackPacket(TimePoint aNow,
                           const Packet& aPacket,
                           Cookie aUpstream);
  struct Expired
  {
    // A slot became free.
    bool mReleased = false;
    // Upstreams of requests that were not answered, once for each request.
    std::vector<Cookie> mUnanswered;
  };
  // Drops silent flows.
  Expired Expire(TimePoint aNow);

  uint32_t HeldSlots(Cookie aUpstream) const;
  size_t FlowCount() const { return mFlows.size(); }
  // Silence after which a busy flow no longer holds its slot.
  Duration BusyTimeout() const;
  // Time after which a request is taken as unanswered.
  Duration OverdueTimeout() const;

private:
  enum class Phase
  {
    // The upstream has not been confirmed by the caller.
    Opening,
    // A request is at the upstream.
    Busy,
    // A request is unanswered for so long that it no longer counts.
    Overdue,
    // Open, with nothing to do.
    Idle
  };
  struct Flow
  {
    Cookie mUpstream = 0;
    Phase mPhase = Phase::Opening;
    TimePoint mPhaseStart;
    TimePoint mLastPacket;
    uint32_t mAcknowledged = 0;
    // What the caller had acknowledged when its request began.
    uint32_t mAcknowledgedAtRequest = 0;
    // The packets' way to the upstream, to the caller and back here; empty
    // when the flow opened elsewhere.
    std::optional<Duration> mHandshake;
    Duration mTimeToFirstByte{ 0 };
  };
  struct KeyHash
  {
    size_t operator()(const FlowKey& aKey) const { return aKey.Hash(); }
  };
  using FlowMap = std::unordered_map<FlowKey, Flow, KeyHash>;

  Flow& AddMovedFlow(TimePoint aNow, const Packet& aPacket, Cookie aUpstream);
  void SetPhase(TimePoint aNow, Flow& aFlow, Phase aPhase);
  void Erase(FlowMap::iterator aFlow);
  // The answer that the caller has now, if the flow has had one.
  static std::optional<FlowProgress::CompleteAnswer> LastCompleteAnswer(
    const Flow& aFlow);
  static bool HoldsSlot(Phase aPhase)
  {
    return aPhase == Phase::Opening || aPhase == Phase::Busy;
  }

  FlowMap mFlows;
  std::unordered_map<Cookie, uint32_t> mHeld;
  Duration mMeanTimeToFirstByte = milliseconds(100);
};

} // namespace foxtail::flow

#endif

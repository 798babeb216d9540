#include "foxtail/flow/FlowTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "foxtail/flow/Directory.h"

namespace foxtail::flow {

void
FlowTracker::TrackOffer(TimePoint aNow, const FlowKey& aKey, Cookie aUpstream)
{
  RemoveFlow(aKey);
  Flow& flow = mFlows[aKey];
  flow.mUpstream = aUpstream;
  flow.mRoute = RouteId(aKey.mService);
  flow.mPhase = Phase::Opening;
  flow.mPhaseStart = aNow;
  flow.mLastPacket = aNow;
  mHeld[aUpstream].push_back(&flow);
}

void
FlowTracker::RemoveFlow(const FlowKey& aKey)
{
  mRetransmissions.Remove(aKey);
  const auto it = mFlows.find(aKey);
  if (it != mFlows.end()) {
    Erase(it);
  }
}

FlowProgress
FlowTracker::TrackPacket(TimePoint aNow,
                         const Packet& aPacket,
                         Cookie aUpstream)
{
  FlowProgress progress;
  const auto it = mFlows.find(aPacket.mKey);
  const bool ends = aPacket.mHasFin || aPacket.mHasRst;
  const auto sent = mRetransmissions.OnPacket(aNow, aPacket, aUpstream);
  progress.mIsRetransmission = sent.mIsRetransmission;
  progress.mIsStalled = sent.mIsStalled;
  progress.mShowsAnswer = sent.mHasProgress;
  if (it == mFlows.end()) {
    // Callers acknowledge answers in packets without payload.
    progress.mShowsAnswer |=
      !ends && aPacket.mPayloadLength == 0 && !sent.mIsTracked;
    // The flow is not tracked: it was opened at another balancer or dropped
    // after a time-out. A packet with payload belongs to a request, which holds
    // a slot. One without payload follows an answer and is not tracked.
    if (!ends && aPacket.mPayloadLength > 0) {
      AddMovedFlow(aNow, aPacket, aUpstream);
    }
    return progress;
  }
  Flow& flow = it->second;
  flow.mLastPacket = aNow;
  const bool opens = flow.mPhase == Phase::Opening;
  if (opens) {
    progress.mHandshake = aNow - flow.mPhaseStart;
    flow.mHandshake = progress.mHandshake;
    flow.mAcknowledged = aPacket.mAcknowledgement;
    flow.mAcknowledgedAtRequest = aPacket.mAcknowledgement;
    SetPhase(aNow, flow, Phase::Busy);
    progress.mShowsAnswer |= !ends;
  }
  // The signed difference is correct when sequence numbers wrap around.
  const auto gained =
    static_cast<int32_t>(aPacket.mAcknowledgement - flow.mAcknowledged);
  if (gained > 0) {
    flow.mAcknowledged = aPacket.mAcknowledgement;
    progress.mShowsAnswer |= aPacket.mHasAck;
    if (flow.mPhase == Phase::Busy || flow.mPhase == Phase::Overdue) {
      flow.mTimeToFirstByte = aNow - flow.mPhaseStart;
      progress.mTimeToFirstByte = flow.mTimeToFirstByte;
      progress.mReleased = HoldsSlot(flow.mPhase);
      // Only answers that came while the flow held its slot count in the mean.
      if (progress.mReleased) {
        mMeanTimeToFirstByte +=
          (flow.mTimeToFirstByte - mMeanTimeToFirstByte) / 16;
      }
      SetPhase(aNow, flow, Phase::Idle);
    }
  }
  const bool asksAgain =
    aPacket.mPayloadLength > 0 && flow.mPhase == Phase::Idle;
  if (asksAgain) {
    progress.mCompleteAnswer = LastCompleteAnswer(flow);
    flow.mAcknowledgedAtRequest = flow.mAcknowledged;
    SetPhase(aNow, flow, Phase::Busy);
    progress.mReleased = false;
  }
  if (ends) {
    if (!progress.mCompleteAnswer) {
      progress.mCompleteAnswer = LastCompleteAnswer(flow);
    }
    progress.mReleased |= HoldsSlot(flow.mPhase);
    Erase(it);
  }
  return progress;
}

std::optional<FlowProgress::CompleteAnswer>
FlowTracker::LastCompleteAnswer(const Flow& aFlow)
{
  if (aFlow.mPhase != Phase::Idle || !aFlow.mHandshake) {
    return std::nullopt;
  }
  const Duration work = aFlow.mTimeToFirstByte - *aFlow.mHandshake;
  return FlowProgress::CompleteAnswer{ std::max(work, Duration(0)),
                                       aFlow.mAcknowledged -
                                         aFlow.mAcknowledgedAtRequest };
}

FlowTracker::Expired
FlowTracker::Expire(TimePoint aNow)
{
  Expired expired;
  mRetransmissions.Expire(aNow);
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    Flow& flow = it->second;
    const auto next = std::next(it);
    const Duration silent = aNow - flow.mLastPacket;
    switch (flow.mPhase) {
      case Phase::Opening:
      case Phase::Busy:
        if (silent < SlotTimeout()) {
          break;
        }
        expired.mReleased = true;
        // Only flows that were opened here are known to send their packets
        // through this balancer. The phase keeps the start of the request.
        if (flow.mPhase == Phase::Busy && flow.mHandshake) {
          SetPhase(flow.mPhaseStart, flow, Phase::Overdue);
        } else {
          Erase(it);
        }
        break;
      case Phase::Overdue:
        if (aNow - flow.mPhaseStart >= UnansweredTimeout()) {
          expired.mUnanswered.push_back(flow.mUpstream);
          Erase(it);
        }
        break;
      case Phase::Idle:
        if (silent >= kIdleTimeout) {
          Erase(it);
        }
        break;
    }
    it = next;
  }
  return expired;
}

Duration
FlowTracker::SlotTimeout() const
{
  return std::clamp<Duration>(kSlotTimeoutFactor * mMeanTimeToFirstByte,
                              kMinSlotTimeout,
                              kMaxSlotTimeout);
}

Duration
FlowTracker::UnansweredTimeout() const
{
  return std::clamp<Duration>(kUnansweredTimeoutFactor * mMeanTimeToFirstByte,
                              kMinUnansweredTimeout,
                              kMaxUnansweredTimeout);
}

uint32_t
FlowTracker::HeldSlots(Cookie aUpstream) const
{
  const auto it = mHeld.find(aUpstream);
  return it == mHeld.end() ? 0 : static_cast<uint32_t>(it->second.size());
}

milliseconds
FlowTracker::RemainingWork(TimePoint aNow,
                           Cookie aUpstream,
                           const WorkEstimator& aEstimator) const
{
  const auto held = mHeld.find(aUpstream);
  if (held == mHeld.end()) {
    return milliseconds(0);
  }
  double sumMs = 0;
  for (const Flow* it : held->second) {
    const Duration elapsed =
      it->mPhase == Phase::Busy ? aNow - it->mPhaseStart : Duration(0);
    const auto remaining =
      aEstimator.RemainingWorkMs(aNow, it->mRoute, aUpstream, elapsed);
    if (!remaining) {
      return milliseconds(0);
    }
    sumMs += *remaining;
  }
  return std::max(milliseconds(1), milliseconds(std::llround(sumMs)));
}

FlowTracker::Flow&
FlowTracker::AddMovedFlow(TimePoint aNow,
                          const Packet& aPacket,
                          Cookie aUpstream)
{
  Flow& flow = mFlows[aPacket.mKey];
  flow.mUpstream = aUpstream;
  flow.mRoute = RouteId(aPacket.mKey.mService);
  flow.mPhase = Phase::Busy;
  flow.mPhaseStart = aNow;
  flow.mLastPacket = aNow;
  flow.mAcknowledged = aPacket.mAcknowledgement;
  flow.mAcknowledgedAtRequest = aPacket.mAcknowledgement;
  mHeld[aUpstream].push_back(&flow);
  return flow;
}

void
FlowTracker::SetPhase(TimePoint aPhaseStart, Flow& aFlow, Phase aPhase)
{
  const bool held = HoldsSlot(aFlow.mPhase);
  const bool holds = HoldsSlot(aPhase);
  aFlow.mPhase = aPhase;
  aFlow.mPhaseStart = aPhaseStart;
  if (held == holds) {
    return;
  }
  if (holds) {
    mHeld[aFlow.mUpstream].push_back(&aFlow);
    return;
  }
  const auto it = mHeld.find(aFlow.mUpstream);
  assert(it != mHeld.end());
  auto& flows = it->second;
  const auto entry = std::find(flows.begin(), flows.end(), &aFlow);
  assert(entry != flows.end());
  *entry = flows.back();
  flows.pop_back();
  if (flows.empty()) {
    mHeld.erase(it);
  }
}

void
FlowTracker::Erase(FlowMap::iterator aFlow)
{
  // Releases the slot.
  SetPhase(aFlow->second.mLastPacket, aFlow->second, Phase::Idle);
  mFlows.erase(aFlow);
}

} // namespace foxtail::flow

#include "foxtail/flow/FlowTracker.h"

#include <algorithm>
#include <cassert>

namespace foxtail::flow {

void
FlowTracker::Place(TimePoint aNow, const FlowKey& aKey, Cookie aUpstream)
{
  Withdraw(aKey);
  Flow& flow = mFlows[aKey];
  flow.mUpstream = aUpstream;
  flow.mPhase = Phase::Opening;
  flow.mPhaseSince = aNow;
  flow.mLastPacket = aNow;
  ++mHeld[aUpstream];
}

void
FlowTracker::Withdraw(const FlowKey& aKey)
{
  const auto it = mFlows.find(aKey);
  if (it != mFlows.end()) {
    Erase(it);
  }
}

FlowProgress
FlowTracker::Pass(TimePoint aNow, const Packet& aPacket, Cookie aUpstream)
{
  FlowProgress progress;
  const auto it = mFlows.find(aPacket.mKey);
  const bool ends = aPacket.mHasFin || aPacket.mHasRst;
  if (it == mFlows.end()) {
    // The request itself, or what follows an answer: only the first holds a
    // slot.
    if (!ends && aPacket.mPayloadLength > 0) {
      Adopt(aNow, aPacket, aUpstream);
    }
    return progress;
  }
  Flow& flow = it->second;
  flow.mLastPacket = aNow;
  const bool opens = flow.mPhase == Phase::Opening;
  if (opens) {
    progress.mHandshake = aNow - flow.mPhaseSince;
    flow.mHandshake = progress.mHandshake;
    flow.mAcknowledged = aPacket.mAcknowledgement;
    flow.mRequestBegan = aPacket.mAcknowledgement;
    SetPhase(aNow, flow, Phase::Busy);
  }
  // Sequence numbers wrap; the difference as a signed number doesn't mind.
  const auto gained =
    static_cast<int32_t>(aPacket.mAcknowledgement - flow.mAcknowledged);
  if (gained > 0) {
    flow.mAcknowledged = aPacket.mAcknowledgement;
    if (flow.mPhase == Phase::Busy || flow.mPhase == Phase::Overdue) {
      flow.mAnswer = aNow - flow.mPhaseSince;
      progress.mAnswer = flow.mAnswer;
      progress.mReleased = Holds(flow.mPhase);
      // The usual time is that of answers while the flow holds its slot.
      if (progress.mReleased) {
        mAnswer += (flow.mAnswer - mAnswer) / 16;
      }
      SetPhase(aNow, flow, Phase::Idle);
    }
  }
  const bool asksAgain =
    aPacket.mPayloadLength > 0 && flow.mPhase == Phase::Idle;
  if (asksAgain) {
    progress.mWhole = AnswerOf(flow);
    flow.mRequestBegan = flow.mAcknowledged;
    SetPhase(aNow, flow, Phase::Busy);
    progress.mReleased = false;
  }
  if (ends) {
    if (!progress.mWhole) {
      progress.mWhole = AnswerOf(flow);
    }
    progress.mReleased |= Holds(flow.mPhase);
    Erase(it);
  }
  return progress;
}

std::optional<FlowProgress::WholeAnswer>
FlowTracker::AnswerOf(const Flow& aFlow)
{
  if (aFlow.mPhase != Phase::Idle || !aFlow.mHandshake) {
    return std::nullopt;
  }
  const Duration work = aFlow.mAnswer - *aFlow.mHandshake;
  return FlowProgress::WholeAnswer{ std::max(work, Duration(0)),
                                    aFlow.mAcknowledged - aFlow.mRequestBegan };
}

FlowTracker::Expired
FlowTracker::Expire(TimePoint aNow)
{
  Expired expired;
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    Flow& flow = it->second;
    const auto next = std::next(it);
    const Duration silent = aNow - flow.mLastPacket;
    switch (flow.mPhase) {
      case Phase::Opening:
      case Phase::Busy:
        if (silent < BusySilence()) {
          break;
        }
        expired.mReleased = true;
        // Only a flow that opened here is known to send its packets here.
        if (flow.mPhase == Phase::Busy && flow.mHandshake) {
          SetPhase(flow.mPhaseSince, flow, Phase::Overdue);
        } else {
          Erase(it);
        }
        break;
      case Phase::Overdue:
        if (aNow - flow.mPhaseSince >= OverdueTime()) {
          expired.mUnanswered.push_back(flow.mUpstream);
          Erase(it);
        }
        break;
      case Phase::Idle:
        if (silent >= kIdleSilence) {
          Erase(it);
        }
        break;
    }
    it = next;
  }
  return expired;
}

Duration
FlowTracker::BusySilence() const
{
  return std::clamp<Duration>(kBusyAnswers * mAnswer, kLeastBusy, kMostBusy);
}

Duration
FlowTracker::OverdueTime() const
{
  return std::clamp<Duration>(
    kOverdueAnswers * mAnswer, kLeastOverdue, kMostOverdue);
}

uint32_t
FlowTracker::Held(Cookie aUpstream) const
{
  const auto it = mHeld.find(aUpstream);
  return it == mHeld.end() ? 0 : it->second;
}

FlowTracker::Flow&
FlowTracker::Adopt(TimePoint aNow, const Packet& aPacket, Cookie aUpstream)
{
  Flow& flow = mFlows[aPacket.mKey];
  flow.mUpstream = aUpstream;
  flow.mPhase = Phase::Busy;
  flow.mPhaseSince = aNow;
  flow.mLastPacket = aNow;
  flow.mAcknowledged = aPacket.mAcknowledgement;
  flow.mRequestBegan = aPacket.mAcknowledgement;
  ++mHeld[aUpstream];
  return flow;
}

void
FlowTracker::SetPhase(TimePoint aNow, Flow& aFlow, Phase aPhase)
{
  const bool held = Holds(aFlow.mPhase);
  const bool holds = Holds(aPhase);
  aFlow.mPhase = aPhase;
  aFlow.mPhaseSince = aNow;
  if (held == holds) {
    return;
  }
  if (holds) {
    ++mHeld[aFlow.mUpstream];
    return;
  }
  const auto it = mHeld.find(aFlow.mUpstream);
  assert(it != mHeld.end() && it->second > 0);
  if (--it->second == 0) {
    mHeld.erase(it);
  }
}

void
FlowTracker::Erase(FlowMap::iterator aFlow)
{
  SetPhase(aFlow->second.mLastPacket, aFlow->second, Phase::Idle);
  mFlows.erase(aFlow);
}

} // namespace foxtail::flow

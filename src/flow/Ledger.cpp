#include "foxtail/flow/Ledger.h"

#include <algorithm>
#include <cassert>

namespace foxtail::flow {

void
Ledger::Place(TimePoint aNow, const FlowKey& aKey, Cookie aUpstream)
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
Ledger::Withdraw(const FlowKey& aKey)
{
  const auto it = mFlows.find(aKey);
  if (it != mFlows.end()) {
    Erase(it);
  }
}

FlowProgress
Ledger::Pass(TimePoint aNow, const Packet& aPacket, Cookie aUpstream)
{
  FlowProgress progress;
  const auto it = mFlows.find(aPacket.mKey);
  const bool ends = aPacket.mFinishes || aPacket.mResets;
  if (it == mFlows.end()) {
    // The request itself, or what follows an answer: only the first holds a
    // slot.
    if (!ends && aPacket.mLength > 0) {
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
    if (flow.mPhase == Phase::Busy) {
      progress.mAnswer = aNow - flow.mPhaseSince;
      flow.mAnswer = *progress.mAnswer;
      mAnswer += (*progress.mAnswer - mAnswer) / 16;
      progress.mReleased = true;
      SetPhase(aNow, flow, Phase::Idle);
    }
  }
  const bool asksAgain = aPacket.mLength > 0 && flow.mPhase == Phase::Idle;
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
Ledger::AnswerOf(const Flow& aFlow)
{
  if (aFlow.mPhase != Phase::Idle || !aFlow.mHandshake) {
    return std::nullopt;
  }
  const Duration work = aFlow.mAnswer - *aFlow.mHandshake;
  return FlowProgress::WholeAnswer{ std::max(work, Duration(0)),
                                    aFlow.mAcknowledged - aFlow.mRequestBegan };
}

bool
Ledger::Expire(TimePoint aNow)
{
  bool released = false;
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    const Flow& flow = it->second;
    const bool holds = Holds(flow.mPhase);
    const Duration limit = holds ? BusySilence() : kIdleSilence;
    const auto next = std::next(it);
    if (aNow - flow.mLastPacket >= limit) {
      released |= holds;
      Erase(it);
    }
    it = next;
  }
  return released;
}

Duration
Ledger::BusySilence() const
{
  return std::clamp<Duration>(kBusyAnswers * mAnswer, kLeastBusy, kMostBusy);
}

uint32_t
Ledger::Held(Cookie aUpstream) const
{
  const auto it = mHeld.find(aUpstream);
  return it == mHeld.end() ? 0 : it->second;
}

Ledger::Flow&
Ledger::Adopt(TimePoint aNow, const Packet& aPacket, Cookie aUpstream)
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
Ledger::SetPhase(TimePoint aNow, Flow& aFlow, Phase aPhase)
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
Ledger::Erase(FlowMap::iterator aFlow)
{
  SetPhase(aFlow->second.mLastPacket, aFlow->second, Phase::Idle);
  mFlows.erase(aFlow);
}

} // namespace foxtail::flow

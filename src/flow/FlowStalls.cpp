#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"

// The part of FlowBalancer that reports stalled flows and signs of life of
// upstreams, and resets requests on open flows to stalled upstreams.
namespace foxtail::flow {

namespace {

// Answer times that wait for a report. Further ones are dropped; the broker
// still gets a notice that their upstream answered.
constexpr size_t kMaxQueuedAnswerTimes = 64;

} // namespace

void
FlowBalancer::RecordAnswer(TimePoint aNow,
                           const Upstream& aUpstream,
                           const FlowProgress& aProgress)
{
  BrokerSession& session = SessionOf(aUpstream.mRecord.mService);
  const bool hasTime = aProgress.mTimeToFirstByte &&
                       session.mAnswerTimes.size() < kMaxQueuedAnswerTimes;
  if (hasTime) {
    // Zero means that the time is unknown.
    const milliseconds time = ToMilliseconds(*aProgress.mTimeToFirstByte);
    session.mAnswerTimes.push_back(
      { aUpstream.mCookie, std::max(time, milliseconds(1)) });
  }
  mStalledUpstreams.OnAnswer(aNow, aUpstream.mCookie);
  session.mNotices.Add(aNow, aUpstream.mCookie);
  ScheduleReport(aNow, session, kReportInterval);
}

void
FlowBalancer::FillStallReport(BrokerSession& aSession, SlotReport& aReport)
{
  aSession.mNotices.Fill(aSession.mAnswerTimes, aReport);
  auto& stalled = aSession.mStalled;
  while (!stalled.empty() && aReport.mStalled.size() < kMaxStalledPerReport) {
    const auto first = stalled.begin();
    aReport.mStalled.push_back({ first->first, first->second });
    stalled.erase(first);
  }
}

void
FlowBalancer::ScheduleStallReport(TimePoint aNow, BrokerSession& aSession)
{
  if (!aSession.mAnswerTimes.empty() || !aSession.mStalled.empty()) {
    ScheduleReport(aNow, aSession, kReleaseReportDelay);
  }
  if (!aSession.mNotices.IsEmpty()) {
    ScheduleReport(aNow, aSession, kReportInterval);
  }
}

bool
FlowBalancer::MayJudgeUpstreams(TimePoint aNow) const
{
  const bool wasPaused = mResumedAt && aNow - *mResumedAt < kMinTimeAfterPause;
  // After a pause that is too short to count, packets may be handled before the
  // messages that waited with them, and before the timers.
  const bool isLate =
    mTimerLag >= kMaxJudgeLag ||
    (mExpectedTimer != TimePoint{} && aNow - mExpectedTimer >= kMaxJudgeLag);
  return !wasPaused && !isLate && !IsIsolated(aNow) &&
         aNow - mStarted >= kFabricSettleTime &&
         aNow - mFleet.DomainMembersChangedAt() >= kFabricSettleTime;
}

void
FlowBalancer::SetStallConditions(TimePoint aNow)
{
  StallDetector::Conditions conditions;
  conditions.mMayJudge = mTimerLag < kMaxJudgeLag && !IsIsolated(aNow);
  if (mFleet.AliveCount(aNow) == 1) {
    conditions.mMinBalancers = 1;
  }
  mBroker.SetStallConditions(conditions);
}

void
FlowBalancer::TakeStalledUpstreams(TimePoint aNow,
                                   BrokerSession& aSession,
                                   const SlotReply& aReply)
{
  std::vector<Cookie> newlyStalled;
  for (const Cookie it : aReply.mStalled) {
    if (!mStalledUpstreams.IsStalled(aNow, it)) {
      newlyStalled.push_back(it);
    }
  }
  const std::vector<Cookie> answering =
    mStalledUpstreams.Update(aNow, aReply.mServiceId, aReply.mStalled);
  for (const Cookie it : answering) {
    aSession.mNotices.Repeat(aNow, it);
    ScheduleReport(aNow, aSession, kReleaseReportDelay);
  }
  for (const Cookie it : newlyStalled) {
    const Upstream* upstream = mDirectory.FindUpstream(it);
    if (upstream != nullptr && mStalledUpstreams.IsStalled(aNow, it)) {
      ResetOutstanding(aNow, *upstream);
    }
  }
}

void
FlowBalancer::ResetOutstanding(TimePoint aNow, const Upstream& aUpstream)
{
  if (!MayJudgeUpstreams(aNow)) {
    return;
  }
  // The callers would send their next copies up to 1.6 s later, when little of
  // the time is left in which another upstream could answer.
  for (const auto& it : mFlowTracker.OutstandingAt(aUpstream.mCookie)) {
    ResetOpenFlow(it.mKey, it.mAcknowledgement, aUpstream);
  }
}

bool
FlowBalancer::ResetIfStalled(TimePoint aNow,
                             const Packet& aPacket,
                             const Upstream& aUpstream,
                             const FlowProgress& aProgress)
{
  const bool isRequest = aPacket.mPayloadLength > 0 && aPacket.mHasAck &&
                         !aPacket.mHasFin && !aPacket.mHasRst;
  if (!isRequest || !MayJudgeUpstreams(aNow)) {
    return false;
  }
  if (aProgress.mIsStalled) {
    BrokerSession& session = SessionOf(aUpstream.mRecord.mService);
    ++session.mStalled[aUpstream.mCookie];
    ScheduleReport(aNow, session, kReleaseReportDelay);
  }
  return mStalledUpstreams.ShouldReset(
           aNow, aUpstream.mCookie, aProgress.mIsRetransmission) &&
         ResetOpenFlow(aPacket.mKey, aPacket.mAcknowledgement, aUpstream);
}

bool
FlowBalancer::ResetOpenFlow(const FlowKey& aKey,
                            uint32_t aAcknowledgement,
                            const Upstream& aUpstream)
{
  const Route* route = mDirectory.FindRoute(aKey.mService);
  if (route == nullptr || !route->mIsIdempotent) {
    return false;
  }
  ++mCounters.mOpenFlowResets;
  Log(5103,
      absl::StrCat(DescribeFlow(aKey),
                   " ack=",
                   aAcknowledgement,
                   " upstream=",
                   aUpstream.mRecord.mId));
  mActions.emplace_back(ResetFlow{ aKey, aAcknowledgement });
  mFlowTracker.RemoveFlow(aKey);
  return true;
}

void
FlowBalancer::ExpireStalls(TimePoint aNow)
{
  mStalledUpstreams.Expire(aNow);
  for (auto& [service, session] : mBrokerSessions) {
    session.mNotices.Expire(aNow);
  }
}

} // namespace foxtail::flow

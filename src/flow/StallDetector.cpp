#include "foxtail/flow/StallDetector.h"

#include <algorithm>
#include <utility>

namespace foxtail::flow {

void
StallDetector::OnReport(TimePoint aNow, VmIp aFrom, const SlotReport& aReport)
{
  CheckForLostReports(aNow, aFrom, aReport);
  for (const StalledFlows& it : aReport.mStalled) {
    AddEvidence(aNow, it.mUpstream, { aFrom, it.mCount, false, aNow });
  }
  for (const Cookie it : aReport.mUnresponsive) {
    AddEvidence(aNow, it, { aFrom, 1, true, aNow });
  }
  // Answers come last: in one report they outweigh the evidence. Complete
  // answers are left out, because they are found when the next request begins,
  // some time after the last sign of life; their first bytes were listed when
  // they came.
  for (const AnswerTime& it : aReport.mAnswerTimes) {
    AddAnswer(aNow, it.mUpstream);
    AddAnswerTime(it.mTime);
  }
}

void
StallDetector::AddAnswerTime(milliseconds aTime)
{
  // Zero means that the time is unknown.
  if (aTime == milliseconds(0)) {
    return;
  }
  const auto time = static_cast<double>(aTime.count());
  mLongestAnswerMs = std::max(
    time, mLongestAnswerMs + (time - mLongestAnswerMs) * kLongestAnswerDecay);
}

Duration
StallDetector::RequiredSilence() const
{
  const std::chrono::duration<double, std::milli> longest(mLongestAnswerMs *
                                                          kLongestAnswerFactor);
  return std::max<Duration>(kMinSilence,
                            std::chrono::duration_cast<Duration>(longest));
}

void
StallDetector::CheckForLostReports(TimePoint aNow,
                                   VmIp aFrom,
                                   const SlotReport& aReport)
{
  Reporter& reporter = mReporters[aFrom];
  if (reporter.mIncarnation != aReport.mIncarnation) {
    reporter = { aReport.mIncarnation, 0, aNow };
  }
  const bool hasGap =
    aReport.mSequence > reporter.mSequence + kMaxLostReports + 1;
  reporter.mSequence = aReport.mSequence;
  reporter.mReportedAt = aNow;
  if (!hasGap) {
    return;
  }
  mEvidence.clear();
  while (!mStalled.empty()) {
    EndStall(mStalled.begin()->first);
  }
}

void
StallDetector::AddAnswer(TimePoint aNow, Cookie aUpstream)
{
  mLastAnswers[aUpstream] = aNow;
  mEvidence.erase(aUpstream);
  EndStall(aUpstream);
}

void
StallDetector::EndStall(Cookie aUpstream)
{
  if (mStalled.erase(aUpstream) > 0) {
    mChanges.mEnded.push_back(aUpstream);
    mMustAnnounce = true;
  }
}

void
StallDetector::AddEvidence(TimePoint aNow,
                           Cookie aUpstream,
                           const Evidence& aEvidence)
{
  // The request may have begun before the last answer. Then it may only be
  // waiting its turn, or have been lost.
  const auto answer = mLastAnswers.find(aUpstream);
  const bool isOutdated =
    answer != mLastAnswers.end() && aNow - answer->second <= kMaxReportedAge;
  if (!isOutdated && aEvidence.mFlows > 0) {
    mEvidence[aUpstream].push_back(aEvidence);
  }
}

TimePoint
StallDetector::FirstStart(const std::vector<Evidence>& aEvidence)
{
  TimePoint first = TimePoint::max();
  for (const Evidence& it : aEvidence) {
    if (!it.mIsOpening) {
      first = std::min(first, it.mReportedAt - kMinReportedAge);
    }
  }
  return first;
}

bool
StallDetector::IsConvincing(TimePoint aNow,
                            const std::vector<Evidence>& aEvidence,
                            const Conditions& aConditions) const
{
  uint64_t flows = 0;
  bool hasOpening = false;
  std::set<VmIp> balancers;
  for (const Evidence& it : aEvidence) {
    balancers.insert(it.mFrom);
    flows += it.mIsOpening ? 0 : it.mFlows;
    hasOpening |= it.mIsOpening;
  }
  // Without an open flow there is no start of a request.
  if (flows == 0) {
    return false;
  }
  // Unanswered opening packets, however many, stand for one flow: they time out
  // after a few milliseconds, when an upstream may just be busy.
  flows += hasOpening ? 1 : 0;
  return flows >= kMinFlows && balancers.size() >= aConditions.mMinBalancers &&
         aNow - FirstStart(aEvidence) >= RequiredSilence();
}

size_t
StallDetector::AnsweringSince(TimePoint aTime) const
{
  size_t n = 0;
  for (const auto& [upstream, answeredAt] : mLastAnswers) {
    n += answeredAt >= aTime ? 1 : 0;
  }
  return n;
}

void
StallDetector::Judge(TimePoint aNow, const Conditions& aConditions)
{
  Expire(aNow);
  if (!aConditions.mMayJudge) {
    return;
  }
  std::vector<Cookie> convincing;
  for (const auto& [upstream, evidence] : mEvidence) {
    if (!IsStalled(upstream) && IsConvincing(aNow, evidence, aConditions)) {
      convincing.push_back(upstream);
    }
  }
  if (convincing.empty()) {
    return;
  }
  std::set<Cookie> affected;
  for (const auto& [upstream, evidence] : mEvidence) {
    affected.insert(upstream);
  }
  for (const auto& [upstream, stalledAt] : mStalled) {
    affected.insert(upstream);
  }
  // At least as many upstreams must have answered during the silence. Otherwise
  // the network or the fleet is at fault.
  if (affected.size() > AnsweringSince(aNow - kMinSilence)) {
    const bool mustTell = aNow - mMostSilentAt >= kMostSilentInterval;
    if (mustTell) {
      mMostSilentAt = aNow;
      mChanges.mMostSilent = affected.size();
    }
    return;
  }
  for (const Cookie it : convincing) {
    if (mStalled.size() < kMaxStalledUpstreams) {
      mStalled[it] = aNow;
      mChanges.mStalled.push_back(it);
      mMustAnnounce = true;
    }
  }
}

void
StallDetector::Expire(TimePoint aNow)
{
  for (auto it = mEvidence.begin(); it != mEvidence.end();) {
    auto& list = it->second;
    list.erase(std::remove_if(list.begin(),
                              list.end(),
                              [&](const Evidence& n) {
                                return aNow - n.mReportedAt >=
                                       kEvidenceLifetime;
                              }),
               list.end());
    it = list.empty() ? mEvidence.erase(it) : std::next(it);
  }
  std::vector<Cookie> ended;
  for (const auto& [upstream, stalledAt] : mStalled) {
    if (aNow - stalledAt >= kMaxStalledTime) {
      ended.push_back(upstream);
    }
  }
  for (const Cookie it : ended) {
    EndStall(it);
    mEvidence.erase(it);
  }
  if (aNow - mPurgedAt < kUnusedLifetime) {
    return;
  }
  mPurgedAt = aNow;
  for (auto it = mLastAnswers.begin(); it != mLastAnswers.end();) {
    const bool isUnused = aNow - it->second >= kUnusedLifetime;
    it = isUnused ? mLastAnswers.erase(it) : std::next(it);
  }
  for (auto it = mReporters.begin(); it != mReporters.end();) {
    const bool isUnused = aNow - it->second.mReportedAt >= kUnusedLifetime;
    it = isUnused ? mReporters.erase(it) : std::next(it);
  }
}

StallDetector::Changes
StallDetector::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::vector<Cookie>
StallDetector::Stalled() const
{
  std::vector<Cookie> stalled;
  for (const auto& [upstream, stalledAt] : mStalled) {
    stalled.push_back(upstream);
  }
  return stalled;
}

bool
StallDetector::TakeAnnouncement(TimePoint aNow)
{
  if (!mStalled.empty() || mMustAnnounce) {
    mLastNonEmpty = aNow;
  }
  const bool mustRepeat = mLastNonEmpty != TimePoint{} &&
                          aNow - mLastNonEmpty < kEmptyAnnouncementTime &&
                          aNow - mAnnouncedAt >= kAnnouncementInterval;
  if (!mMustAnnounce && !mustRepeat) {
    return false;
  }
  mMustAnnounce = false;
  mAnnouncedAt = aNow;
  return true;
}

} // namespace foxtail::flow

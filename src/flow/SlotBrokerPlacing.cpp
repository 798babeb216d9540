#include "foxtail/flow/SlotBroker.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

#include "flow/Conversions.h"
#include "foxtail/core/Hash.h"
#include "foxtail/flow/BrokerAge.h"

// The part of SlotBroker that chooses the upstream of a flow.
namespace foxtail::flow {

namespace {

// Bounds of an upstream's answer time relative to that of its service.
constexpr double kMinSlowness = 0.8;
constexpr double kMaxSlowness = 6.0;
// Penalties are added to the score by which ChooseUpstream compares upstreams;
// they are in flows per slot, and the lowest score wins.
//
// Penalty of an upstream in another failure domain. It weighs less than one
// flow at an upstream with fewer than 20 slots.
constexpr double kOtherDomainPenalty = 0.05;
// Penalty of a suspected upstream for a flow whose request must not be
// repeated.
constexpr double kSuspicionPenalty = 1.0;

// Returns a pseudo-random number in [0, 0.01) to choose among upstreams of the
// same score.
double
TieBreak(uint64_t aRandom, Cookie aUpstream)
{
  constexpr uint64_t kOdd = 0x9E3779B97F4A7C15;
  constexpr double kScale = 0.01 / (1U << 24U);
  return static_cast<double>(((aRandom ^ aUpstream) * kOdd) >> 40U) * kScale;
}

// Advances a linear congruential generator and returns an index below aSize,
// which is at most 2^32.
size_t
NextIndex(uint64_t& aRandom, size_t aSize)
{
  aRandom = aRandom * 6364136223846793005U + 1442695040888963407U;
  return ((aRandom >> 32U) * aSize) >> 32U;
}

// Weight of a request's own work in its expected completion. With upstreams of
// slowness 0.7, 0.7 and 1.7, a weight of 1 gave a mean latency of 60.3 ms
// instead of 62.0 ms at a utilization of 25%, but 85.9 ms instead of 83.8 ms at
// 90%: flows that queue at fast upstreams delay those behind them.
constexpr double kOwnWorkWeight = 0.6;

// Returns the expected time until a request of aRequestWork is complete, at an
// upstream of usual speed with aRemainingWork in its slots. Work is in requests
// of average work. Where the work is unknown (zero), the time in which the
// request alone occupies its slot is left out: it is the same everywhere.
double
ExpectedCompletion(double aRemainingWork, double aRequestWork, double aSlots)
{
  return aRequestWork > 0
           ? aRemainingWork / aSlots + kOwnWorkWeight * aRequestWork
           : (aRemainingWork + 1) / aSlots;
}

} // namespace

void
SlotBroker::CountFlows(ServiceState& aState, const Reporter& aReporter)
{
  for (const SlotCount& it : aReporter.mHeld) {
    aState.mLoads[it.mUpstream].Add(it.mCount, it.mRemainingWork);
  }
  for (const UnconfirmedGrant& it : aReporter.mUnconfirmedGrants) {
    aState.mLoads[it.mGrant.mUpstream].Add(1, it.mWork);
  }
}

void
SlotBroker::UncountFlows(ServiceState& aState, const Reporter& aReporter)
{
  const auto remove =
    [&](Cookie aUpstream, uint64_t aCount, milliseconds aWork) {
      const auto it = aState.mLoads.find(aUpstream);
      // A malformed report may have entries without flows.
      if (it == aState.mLoads.end()) {
        assert(aCount == 0);
        return;
      }
      it->second.Remove(aCount, aWork);
      if (it->second.mFlows == 0) {
        aState.mLoads.erase(it);
      }
    };
  for (const SlotCount& it : aReporter.mHeld) {
    remove(it.mUpstream, it.mCount, it.mRemainingWork);
  }
  for (const UnconfirmedGrant& it : aReporter.mUnconfirmedGrants) {
    remove(it.mGrant.mUpstream, 1, it.mWork);
  }
}

SlotBroker::Candidate
SlotBroker::MakeCandidate(TimePoint aNow,
                          const ServiceState& aState,
                          const Upstream& aUpstream,
                          Revision aKnownRevision) const
{
  Candidate candidate;
  candidate.mUpstream = aUpstream.mCookie;
  candidate.mDomainId =
    static_cast<uint32_t>(StableHash(aUpstream.mRecord.mDomain));
  candidate.mSlots = std::max(1U, aUpstream.mRecord.mSlots);
  candidate.mStatus = aState.mOutlierDetector.StatusOf(aNow, aUpstream.mCookie);
  const WorkEstimator& estimator = aState.mWorkEstimator;
  const auto answer = aState.mUpstreamAnswerMs.find(aUpstream.mCookie);
  if (mIsCostAware && estimator.KnowsSpeed(aNow, aUpstream.mCookie)) {
    candidate.mSlowness = estimator.Slowness(aNow, aUpstream.mCookie);
  } else if (answer != aState.mUpstreamAnswerMs.end() &&
             aState.mServiceAnswerMs > 0) {
    candidate.mSlowness = std::clamp(
      answer->second / aState.mServiceAnswerMs, kMinSlowness, kMaxSlowness);
  }
  candidate.mColdUntil = aUpstream.mWarmUpUntil;
  candidate.mColdSlowness =
    ColdSlowness(aUpstream.mWarmUpUntil - aNow, aState.mSettings.mColdTime);
  candidate.mIsStalled = aState.mStallDetector.IsStalled(aUpstream.mCookie);
  candidate.mIsInSilentDomain = mSilentDomains.count(candidate.mDomainId) > 0;
  candidate.mIsRejected =
    aState.mRejected.IsExcluded(aNow, aUpstream.mCookie, aKnownRevision);
  return candidate;
}

void
SlotBroker::SetFlowLimits(TimePoint aNow, ServiceState& aState) const
{
  double logSum = 0;
  for (const Candidate& it : aState.mCandidates) {
    logSum += std::log(it.mSlowness);
  }
  // Learned speeds are relative to the median answer, which is that of a fast
  // upstream, because these get most flows. Limits relative to it would leave
  // slots of the others idle under full load.
  const auto count = static_cast<double>(aState.mCandidates.size());
  const double usual =
    MeanWorkMs(aNow, aState) > 0 && count > 0 ? std::exp(logSum / count) : 1.0;
  for (Candidate& it : aState.mCandidates) {
    it.mSlowness /= usual;
    if (it.mColdSlowness > 1) {
      it.mSlowness = std::max(it.mSlowness, it.mColdSlowness);
    }
    it.mFlowLimit = std::max(
      1.0, std::floor(it.mSlots * kFlowsPerSlot / std::max(1.0, it.mSlowness)));
    if (mIsIsolated) {
      it.mFlowLimit = kIsolatedFlowLimit;
    }
    if (it.mIsRejected) {
      it.mFlowLimit = 0;
    }
  }
}

void
SlotBroker::RefreshCandidates(TimePoint aNow,
                              ServiceState& aState,
                              const Directory& aDirectory) const
{
  auto& candidates = aState.mCandidates;
  const milliseconds lifetime = candidates.size() > kMaxExactChoice
                                  ? kManyCandidatesLifetime
                                  : kCandidatesLifetime;
  const bool isCurrent =
    aState.mCandidatesSource == &aDirectory &&
    aState.mCandidatesChangeCount == aDirectory.ChangeCount() &&
    aNow - aState.mCandidatesMadeAt < lifetime;
  if (isCurrent) {
    return;
  }
  aState.mCandidatesMadeAt = aNow;
  aState.mCandidatesSource = &aDirectory;
  aState.mCandidatesChangeCount = aDirectory.ChangeCount();
  candidates.clear();
  aState.mDomainCandidates.clear();
  aState.mSettings = aDirectory.SettingsOf(aState.mName);
  const Revision known = KnownRevision(aDirectory);
  for (const Cookie it : aDirectory.UpstreamsOf(aState.mName)) {
    const Upstream* upstream = aDirectory.FindUpstream(it);
    if (Directory::TakesNewFlows(*upstream, aNow)) {
      candidates.push_back(MakeCandidate(aNow, aState, *upstream, known));
    }
  }
  SetFlowLimits(aNow, aState);
  if (candidates.size() > kMaxExactChoice) {
    for (uint32_t i = 0; i < candidates.size(); ++i) {
      aState.mDomainCandidates[candidates[i].mDomainId].push_back(i);
    }
  }
}

void
SlotBroker::UpdateLoad(const ServiceState& aState,
                       Candidate& aCandidate,
                       double aMeanWorkMs)
{
  const auto it = aState.mLoads.find(aCandidate.mUpstream);
  const UpstreamLoad load =
    it == aState.mLoads.end() ? UpstreamLoad{} : it->second;
  aCandidate.mLoad = load.mFlows;
  // A flow of unknown work counts as one of average work.
  aCandidate.mRemainingWork =
    aMeanWorkMs > 0 ? static_cast<double>(load.mUnknownFlows) +
                        static_cast<double>(load.mWorkMs) / aMeanWorkMs
                    : static_cast<double>(load.mFlows);
}

double
SlotBroker::UpdateLoads(ServiceState& aState, double aMeanWorkMs)
{
  double free = 0;
  for (Candidate& it : aState.mCandidates) {
    UpdateLoad(aState, it, aMeanWorkMs);
    free += std::max(0.0, it.mFlowLimit - static_cast<double>(it.mLoad));
  }
  return free;
}

void
SlotBroker::UpdateColdLimits(TimePoint aNow, ServiceState& aState) const
{
  if (aState.mSettings.mColdRequestsPerSecond <= 0) {
    return;
  }
  const auto counted = std::count_if(
    aState.mReporters.begin(), aState.mReporters.end(), [&](const auto& it) {
      return aNow - it.second.mFirstReportedAt >=
             ColdStartBudget::kReporterDelay;
    });
  const size_t known = std::max(mKnownBalancers, aState.mReporters.size());
  aState.mColdBudget.SetShare(static_cast<double>(counted) /
                              static_cast<double>(std::max<size_t>(1, known)));
  const double limit =
    ColdFlowLimit(mColdStart, aState.mSettings.mColdRequestsPerSecond);
  for (Candidate& it : aState.mCandidates) {
    it.mColdFlowsLeft.reset();
    if (it.mColdUntil > aNow) {
      it.mColdFlowsLeft =
        aState.mColdBudget.Remaining(aNow, it.mUpstream, limit);
    }
  }
}

bool
SlotBroker::IsAvoided(const Candidate& aCandidate, const QueuedFlow& aFlow)
{
  if (aCandidate.mIsStalled || aCandidate.mIsRejected) {
    return true;
  }
  const auto& excluded = aFlow.mRequest.mExcluded;
  if (std::find(excluded.begin(), excluded.end(), aCandidate.mUpstream) !=
      excluded.end()) {
    return true;
  }
  switch (aCandidate.mStatus) {
    case AnswerOutlierDetector::Status::Ejected:
      return true;
    case AnswerOutlierDetector::Status::Probation:
      // Gets one flow at a time, and only flows whose request may be repeated.
      return aCandidate.mLoad > 0 || !aFlow.mRequest.mIsIdempotent;
    case AnswerOutlierDetector::Status::Suspected:
    case AnswerOutlierDetector::Status::Healthy:
      break;
  }
  return false;
}

void
SlotBroker::Consider(TimePoint aNow,
                     const ServiceState& aState,
                     const QueuedFlow& aFlow,
                     Candidate& aCandidate,
                     Choice& aChoice)
{
  if (aCandidate.mColdFlowsLeft == uint64_t{ 0 }) {
    aChoice.mHasColdDeferral = true;
    return;
  }
  const auto backoff = aState.mBackoffs.empty()
                         ? aState.mBackoffs.end()
                         : aState.mBackoffs.find(BackoffKey(
                             aChoice.mDomainId, aCandidate.mUpstream));
  const bool hasBackoff = backoff != aState.mBackoffs.end();
  const bool mustNotProbe = hasBackoff && aCandidate.mIsInSilentDomain &&
                            !aChoice.mMayProbeSilentDomains;
  if (mustNotProbe) {
    return;
  }
  // After its backoff, an upstream gets one flow at a time until it answers.
  const bool isLastResort =
    IsAvoided(aCandidate, aFlow) ||
    (hasBackoff && (backoff->second.mUntil > aNow || aCandidate.mLoad > 0));
  double score = ExpectedCompletion(aCandidate.mRemainingWork,
                                    aChoice.mRequestWork,
                                    aCandidate.mSlots) *
                   aCandidate.mSlowness +
                 TieBreak(aChoice.mTieBreak, aCandidate.mUpstream);
  if (aCandidate.mDomainId != aChoice.mDomainId) {
    score += kOtherDomainPenalty;
  }
  const bool isRisky =
    aCandidate.mStatus == AnswerOutlierDetector::Status::Suspected &&
    !aFlow.mRequest.mIsIdempotent;
  if (isRisky) {
    score += kSuspicionPenalty;
  }
  const bool isBetter =
    aChoice.mBest == nullptr || isLastResort < aChoice.mIsLastResort ||
    (isLastResort == aChoice.mIsLastResort && score < aChoice.mScore);
  if (static_cast<double>(aCandidate.mLoad) < aCandidate.mFlowLimit &&
      isBetter) {
    aChoice.mBest = &aCandidate;
    aChoice.mScore = score;
    aChoice.mIsLastResort = isLastResort;
  }
}

SlotBroker::Candidate*
SlotBroker::ChooseUpstream(TimePoint aNow,
                           ServiceState& aState,
                           const QueuedFlow& aFlow,
                           double aMeanWorkMs)
{
  Choice choice = StartChoice(aNow, aState, aFlow, aMeanWorkMs);
  for (Candidate& it : aState.mCandidates) {
    Consider(aNow, aState, aFlow, it, choice);
  }
  mColdDeferrals += choice.mHasColdDeferral ? 1 : 0;
  if (choice.mBest == nullptr || !choice.mIsLastResort) {
    return choice.mBest;
  }
  // While there are upstreams that answer normally but are at their limits, a
  // flow waits rather than go to an upstream that is silent or fails. After an
  // unanswered opening packet, an upstream isn't normal until its next answer.
  const bool hasNormalUpstream =
    std::any_of(aState.mCandidates.begin(),
                aState.mCandidates.end(),
                [&](const Candidate& it) {
                  return !IsAvoided(it, aFlow) &&
                         aState.mBackoffs.count(
                           BackoffKey(choice.mDomainId, it.mUpstream)) == 0;
                });
  return hasNormalUpstream ? nullptr : choice.mBest;
}

void
SlotBroker::GrantFromSamples(TimePoint aNow, ServiceState& aState)
{
  // A longer queue is served in the order of AdmissionQueue.
  constexpr size_t kMaxQueue = 4;
  std::vector<QueuedFlow>& queue = aState.mQueue.Flows();
  if (queue.size() > kMaxQueue) {
    return;
  }
  aState.mQueue.Prioritize(aNow, aState.mServiceAnswerMs, queue.size());
  const double meanWorkMs = MeanWorkMs(aNow, aState);
  const auto isGranted = [&](const QueuedFlow& aFlow) {
    Choice choice = StartChoice(aNow, aState, aFlow, meanWorkMs);
    // The memory of thousands of candidates and loads is not in the cache.
    std::array<Candidate*, kChoiceSamples> samples{};
    uint64_t random = choice.mTieBreak;
    const auto near = aState.mDomainCandidates.find(choice.mDomainId);
    const bool hasNear = near != aState.mDomainCandidates.end();
    for (size_t i = 0; i < kChoiceSamples; ++i) {
      const size_t index =
        hasNear && i % 2 == 0
          ? near->second[NextIndex(random, near->second.size())]
          : NextIndex(random, aState.mCandidates.size());
      samples[i] = &aState.mCandidates[index];
      aState.mLoads.prefetch(samples[i]->mUpstream);
    }
    for (Candidate* it : samples) {
      UpdateLoad(aState, *it, meanWorkMs);
      Consider(aNow, aState, aFlow, *it, choice);
    }
    mColdDeferrals += choice.mHasColdDeferral ? 1 : 0;
    if (choice.mBest == nullptr || choice.mIsLastResort) {
      return false;
    }
    AddGrant(aNow, aState, aFlow, *choice.mBest);
    return true;
  };
  queue.erase(std::remove_if(queue.begin(), queue.end(), isGranted),
              queue.end());
}

} // namespace foxtail::flow

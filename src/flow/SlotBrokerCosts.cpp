#include "foxtail/flow/SlotBroker.h"

#include <algorithm>
#include <cassert>

#include "absl/strings/str_cat.h"

// The part of SlotBroker that accounts for the work of flows.
namespace foxtail::flow {

void
SlotBroker::UpstreamLoad::Add(uint64_t aFlows, milliseconds aWork)
{
  mFlows += aFlows;
  if (aWork.count() > 0 && aFlows > 0) {
    mWorkMs += static_cast<uint64_t>(aWork.count());
  } else {
    mUnknownFlows += aFlows;
  }
}

void
SlotBroker::UpstreamLoad::Remove(uint64_t aFlows, milliseconds aWork)
{
  assert(mFlows >= aFlows);
  mFlows -= aFlows;
  if (aWork.count() > 0 && aFlows > 0) {
    assert(mWorkMs >= static_cast<uint64_t>(aWork.count()));
    mWorkMs -= static_cast<uint64_t>(aWork.count());
  } else {
    assert(mUnknownFlows >= aFlows);
    mUnknownFlows -= aFlows;
  }
}

double
SlotBroker::MeanWorkMs(TimePoint aNow, const ServiceState& aState) const
{
  return mIsCostAware ? aState.mWorkEstimator.MeanWorkMs(aNow).value_or(0) : 0;
}

SlotBroker::Choice
SlotBroker::StartChoice(TimePoint aNow,
                        const ServiceState& aState,
                        const QueuedFlow& aFlow,
                        double aMeanWorkMs)
{
  Choice choice;
  choice.mDomainId = aState.mReporters.at(aFlow.mFrom).mDomainId;
  choice.mTieBreak = mRandom();
  choice.mMayProbeSilentDomains =
    !mSilentDomains.empty() &&
    std::all_of(aState.mCandidates.begin(),
                aState.mCandidates.end(),
                [](const Candidate& it) { return it.mIsInSilentDomain; });
  if (aMeanWorkMs > 0) {
    const auto work =
      aState.mWorkEstimator.ExpectedWorkMs(aNow, aFlow.mRequest.mRoute);
    choice.mRequestWork = work.value_or(aMeanWorkMs) / aMeanWorkMs;
  }
  return choice;
}

void
SlotBroker::LearnWork(TimePoint aNow,
                      ServiceState& aState,
                      const Directory& aDirectory,
                      const AnswerSummary& aAnswer)
{
  const Upstream* upstream = aDirectory.FindUpstream(aAnswer.mUpstream);
  // A failing upstream answers at once and would seem fast.
  const bool isUsable =
    upstream != nullptr &&
    aState.mOutlierDetector.StatusOf(aNow, aAnswer.mUpstream) ==
      AnswerOutlierDetector::Status::Healthy;
  if (!isUsable) {
    return;
  }
  using Change = WorkEstimator::SpeedChange;
  const Change change = aState.mWorkEstimator.AddAnswer(
    aNow, aAnswer.mRoute, aAnswer.mUpstream, aAnswer.mProcessingTime);
  if (change != Change::None) {
    mEvents.push_back({ change == Change::BecameUnusuallySlow ? 4114 : 4115,
                        absl::StrCat("service=",
                                     aState.mName,
                                     " upstream=",
                                     upstream->mRecord.mId,
                                     " slowness=",
                                     aState.mWorkEstimator.Slowness(
                                       aNow, aAnswer.mUpstream)) });
  }
}

uint64_t
SlotBroker::WorkSamples() const
{
  uint64_t samples = 0;
  for (const auto& [id, state] : mServices) {
    samples += state.mWorkEstimator.Samples();
  }
  return samples;
}

double
SlotBroker::SpeedSpread(TimePoint aNow) const
{
  double spread = 1;
  for (const auto& [id, state] : mServices) {
    spread = std::max(spread, state.mWorkEstimator.SpeedSpread(aNow));
  }
  return spread;
}

} // namespace foxtail::flow

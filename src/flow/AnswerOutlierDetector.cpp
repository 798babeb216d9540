#include "foxtail/flow/AnswerOutlierDetector.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace foxtail::flow {

namespace {

constexpr double kLowerQuartileRank = 0.25;
// Step size of the quartile estimates, in units of the natural logarithm. With
// each answer an estimate moves up by 0.25 % or down by 0.75 %, so it adapts to
// a new release of the service within a few hundred answers.
constexpr double kQuartileStep = 0.01;
// Weight of one sample in the moving averages of the baseline shares.
constexpr double kShareWeight = 0.005;
// Stands in for processing times below the reports' resolution of 1 ms.
constexpr double kMinProcessingMs = 0.5;

// Erases the entries whose values satisfy aIsUnused.
template<typename Map, typename Predicate>
void
EraseIf(Map& aMap, Predicate aIsUnused)
{
  for (auto it = aMap.begin(); it != aMap.end();) {
    it = aIsUnused(it->second) ? aMap.erase(it) : std::next(it);
  }
}

double
LogProcessingMs(const AnswerSummary& aAnswer)
{
  return std::log(std::max(
    kMinProcessingMs, static_cast<double>(aAnswer.mProcessingTime.count())));
}

double
LogBytes(const AnswerSummary& aAnswer)
{
  return std::log(std::max(1.0, static_cast<double>(aAnswer.mBytes)));
}

// Lower quartile of aMeasure over aAnswers, which must not be empty.
template<typename Measure>
double
LowerQuartileOf(const std::vector<AnswerSummary>& aAnswers, Measure aMeasure)
{
  std::vector<double> values;
  values.reserve(aAnswers.size());
  for (const AnswerSummary& it : aAnswers) {
    values.push_back(aMeasure(it));
  }
  const auto at =
    values.begin() + static_cast<ptrdiff_t>(kLowerQuartileRank *
                                            static_cast<double>(values.size()));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

// Moves the estimate aQuartile one step towards aValue. The steps up and down
// balance where a quarter of the values lies below the estimate.
void
AdjustQuartile(double& aQuartile, double aValue)
{
  aQuartile += kQuartileStep * (aValue < aQuartile ? kLowerQuartileRank - 1
                                                   : kLowerQuartileRank);
}

} // namespace

bool
AnswerOutlierDetector::IsOutlier(const Baseline& aBaseline,
                                 const AnswerSummary& aAnswer)
{
  const double logFactor = std::log(kOutlierFactor);
  const bool isMeasurable =
    aBaseline.mLogProcessingMs >=
    std::log(static_cast<double>(kMinMeasurableTime.count()));
  const bool isTooFast =
    isMeasurable &&
    LogProcessingMs(aAnswer) < aBaseline.mLogProcessingMs + logFactor;
  return isTooFast || LogBytes(aAnswer) < aBaseline.mLogBytes + logFactor;
}

bool
AnswerOutlierDetector::TrySample(TimePoint aNow, Cookie aUpstream)
{
  // The answers of a failing upstream would soon shift the baseline.
  if (mHistories.count(aUpstream) > 0) {
    return false;
  }
  TimePoint& sampledAt = mSampledAt[aUpstream];
  if (aNow - sampledAt < kMinSampleInterval) {
    return false;
  }
  sampledAt = aNow;
  return true;
}

void
AnswerOutlierDetector::UpdateBaseline(Baseline& aBaseline,
                                      const AnswerSummary& aAnswer)
{
  // An answered request counts as zero in the average of unanswered requests.
  mUnansweredShare -= kShareWeight * mUnansweredShare;
  if (aBaseline.mIsLearned) {
    AdjustQuartile(aBaseline.mLogProcessingMs, LogProcessingMs(aAnswer));
    AdjustQuartile(aBaseline.mLogBytes, LogBytes(aAnswer));
    const double outlier = IsOutlier(aBaseline, aAnswer) ? 1 : 0;
    aBaseline.mOutlierShare +=
      kShareWeight * (outlier - aBaseline.mOutlierShare);
    return;
  }
  auto& initial = aBaseline.mInitialAnswers;
  initial.push_back(aAnswer);
  if (initial.size() == kBaselineAnswers) {
    aBaseline.mLogProcessingMs = LowerQuartileOf(initial, &LogProcessingMs);
    aBaseline.mLogBytes = LowerQuartileOf(initial, &LogBytes);
    aBaseline.mIsLearned = true;
    initial = {};
  }
}

std::optional<std::string>
AnswerOutlierDetector::AddAnswer(TimePoint aNow, const AnswerSummary& aAnswer)
{
  Baseline& baseline = mBaselines[aAnswer.mRoute];
  baseline.mUsedAt = aNow;
  if (TrySample(aNow, aAnswer.mUpstream)) {
    UpdateBaseline(baseline, aAnswer);
  }
  const bool isOutlier = baseline.mIsLearned && IsOutlier(baseline, aAnswer);
  if (!isOutlier) {
    ReduceEvidence(aNow, aAnswer.mUpstream, baseline.mOutlierShare);
    return std::nullopt;
  }
  if (!AddEvidence(aNow, aAnswer.mUpstream, baseline.mOutlierShare)) {
    return std::nullopt;
  }
  return absl::StrCat("work_ms=",
                      aAnswer.mProcessingTime.count(),
                      " bytes=",
                      aAnswer.mBytes,
                      " usual_work_ms=",
                      std::lround(std::exp(baseline.mLogProcessingMs)),
                      " usual_bytes=",
                      std::lround(std::exp(baseline.mLogBytes)),
                      " usual_odd_share=",
                      baseline.mOutlierShare,
                      " ejections=",
                      mHistories.at(aAnswer.mUpstream).mEjectionCount);
}

std::optional<std::string>
AnswerOutlierDetector::AddUnansweredRequest(TimePoint aNow, Cookie aUpstream)
{
  if (TrySample(aNow, aUpstream)) {
    mUnansweredShare += kShareWeight * (1 - mUnansweredShare);
  }
  if (!AddEvidence(aNow, aUpstream, mUnansweredShare)) {
    return std::nullopt;
  }
  return absl::StrCat("unanswered=1 usual_unanswered_share=",
                      mUnansweredShare,
                      " ejections=",
                      mHistories.at(aUpstream).mEjectionCount);
}

bool
AnswerOutlierDetector::AddEvidence(TimePoint aNow,
                                   Cookie aUpstream,
                                   double aBaselineShare)
{
  // With so large a share at healthy upstreams, an outlier or an unanswered
  // request is no evidence of a failure.
  if (aBaselineShare > kMaxBaselineShare) {
    return false;
  }
  UpstreamHistory& history = mHistories[aUpstream];
  // Failures of flows that were placed before the ejection don't lengthen it.
  const bool isEjected = history.mEjectedUntil > aNow;
  if (isEjected) {
    return false;
  }
  history.mLastOutlierAt = aNow;
  history.mEvidence +=
    std::log(kFailingShare / std::max(aBaselineShare, kMinBaselineShare));
  const bool mustEject =
    history.mEvidence >= kEjectionThreshold || history.mProbationLeft > 0;
  if (!mustEject) {
    return false;
  }
  const Duration time = std::min<Duration>(
    Duration(kBaseEjectionTime) * (1U << std::min(history.mEjectionCount, 4U)),
    kMaxEjectionTime);
  ++history.mEjectionCount;
  history.mEjectedUntil = aNow + time;
  history.mProbationLeft = kProbationAnswers;
  history.mEvidence = 0;
  return true;
}

void
AnswerOutlierDetector::ReduceEvidence(TimePoint aNow,
                                      Cookie aUpstream,
                                      double aBaselineShare)
{
  const auto it = mHistories.find(aUpstream);
  if (it == mHistories.end() || it->second.mEjectedUntil > aNow) {
    return;
  }
  UpstreamHistory& history = it->second;
  const double baselineShare =
    std::clamp(aBaselineShare, kMinBaselineShare, kMaxBaselineShare);
  const double logRatio = std::log((1 - kFailingShare) / (1 - baselineShare));
  history.mEvidence = std::max(0.0, history.mEvidence + logRatio);
  if (history.mProbationLeft > 0) {
    --history.mProbationLeft;
  }
  const bool isExpired = history.mEjectionCount == 0 ||
                         aNow - history.mLastOutlierAt >= kEjectionRetention;
  if (history.mEvidence == 0 && history.mProbationLeft == 0 && isExpired) {
    mHistories.erase(it);
  }
}

AnswerOutlierDetector::Status
AnswerOutlierDetector::StatusOf(TimePoint aNow, Cookie aUpstream) const
{
  const auto it = mHistories.find(aUpstream);
  if (it == mHistories.end()) {
    return Status::Healthy;
  }
  const UpstreamHistory& history = it->second;
  if (history.mEjectedUntil > aNow) {
    return Status::Ejected;
  }
  if (history.mProbationLeft > 0) {
    return Status::Probation;
  }
  return history.mEvidence >= kSuspicionThreshold ? Status::Suspected
                                                  : Status::Healthy;
}

bool
AnswerOutlierDetector::ResetIfMostEjected(size_t aUpstreamCount)
{
  const auto ejectedOrOnProbation =
    std::count_if(mHistories.begin(), mHistories.end(), [](const auto& it) {
      return it.second.mProbationLeft > 0;
    });
  if (static_cast<size_t>(ejectedOrOnProbation) * 2 <= aUpstreamCount) {
    return false;
  }
  mHistories.clear();
  mBaselines.clear();
  mSampledAt.clear();
  mUnansweredShare = kMinBaselineShare;
  return true;
}

void
AnswerOutlierDetector::PurgeUnused(TimePoint aNow)
{
  const TimePoint since = aNow - kUnusedRetention;
  EraseIf(mBaselines, [&](const auto& it) { return it.mUsedAt < since; });
  EraseIf(mHistories,
          [&](const auto& it) { return it.mLastOutlierAt < since; });
  EraseIf(mSampledAt, [&](const auto& it) { return it < since; });
}

} // namespace foxtail::flow

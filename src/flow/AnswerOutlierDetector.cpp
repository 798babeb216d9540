#include "foxtail/flow/AnswerOutlierDetector.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace foxtail::flow {

namespace {

constexpr double kQuartile = 0.25;
// Scale of a quartile's move with one answer, as a natural logarithm: 0.25 % up
// or 0.75 % down, so that a few hundred answers follow a new release.
constexpr double kQuartileStep = 0.01;
// Weight of one answer in the usual share of odd ones.
constexpr double kShareStep = 0.005;
// Work below the resolution of what is reported.
constexpr double kLeastWorkMs = 0.5;

// Drops the entries that aIsUnused holds for.
template<typename Map, typename Predicate>
void
EraseIf(Map& aMap, Predicate aIsUnused)
{
  for (auto it = aMap.begin(); it != aMap.end();) {
    it = aIsUnused(it->second) ? aMap.erase(it) : std::next(it);
  }
}

double
LogWork(const AnswerSummary& aAnswer)
{
  return std::log(std::max(
    kLeastWorkMs, static_cast<double>(aAnswer.mProcessingTime.count())));
}

double
LogBytes(const AnswerSummary& aAnswer)
{
  return std::log(std::max(1.0, static_cast<double>(aAnswer.mBytes)));
}

// Lower quartile of aAnswers, which are not empty.
template<typename Measure>
double
QuartileOf(const std::vector<AnswerSummary>& aAnswers, Measure aMeasure)
{
  std::vector<double> values;
  values.reserve(aAnswers.size());
  for (const AnswerSummary& it : aAnswers) {
    values.push_back(aMeasure(it));
  }
  const auto at =
    values.begin() +
    static_cast<ptrdiff_t>(kQuartile * static_cast<double>(values.size()));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

void
FollowQuartile(double& aQuartile, double aValue)
{
  aQuartile += kQuartileStep * (aValue < aQuartile ? kQuartile - 1 : kQuartile);
}

} // namespace

bool
AnswerOutlierDetector::IsOdd(const Reference& aReference,
                             const AnswerSummary& aAnswer)
{
  const double part = std::log(kOutlierFactor);
  const bool isMeasurable =
    aReference.mWork >=
    std::log(static_cast<double>(kMinMeasurableTime.count()));
  const bool isQuick =
    isMeasurable && LogWork(aAnswer) < aReference.mWork + part;
  return isQuick || LogBytes(aAnswer) < aReference.mBytes + part;
}

bool
AnswerOutlierDetector::MayVote(TimePoint aNow, Cookie aUpstream)
{
  // One that fails would soon make its answers the usual ones.
  if (mSuspects.count(aUpstream) > 0) {
    return false;
  }
  TimePoint& votedAt = mVotedAt[aUpstream];
  if (aNow - votedAt < kMinSampleInterval) {
    return false;
  }
  votedAt = aNow;
  return true;
}

void
AnswerOutlierDetector::Learn(Reference& aReference,
                             const AnswerSummary& aAnswer)
{
  mUnansweredShare -= kShareStep * mUnansweredShare;
  if (aReference.mIsLearned) {
    FollowQuartile(aReference.mWork, LogWork(aAnswer));
    FollowQuartile(aReference.mBytes, LogBytes(aAnswer));
    const double odd = IsOdd(aReference, aAnswer) ? 1 : 0;
    aReference.mOddShare += kShareStep * (odd - aReference.mOddShare);
    return;
  }
  auto& first = aReference.mFirst;
  first.push_back(aAnswer);
  if (first.size() == kReferenceAnswers) {
    aReference.mWork = QuartileOf(first, &LogWork);
    aReference.mBytes = QuartileOf(first, &LogBytes);
    aReference.mIsLearned = true;
    first = {};
  }
}

std::optional<std::string>
AnswerOutlierDetector::AddAnswer(TimePoint aNow, const AnswerSummary& aAnswer)
{
  Reference& reference = mReferences[aAnswer.mRoute];
  reference.mUsedAt = aNow;
  if (MayVote(aNow, aAnswer.mUpstream)) {
    Learn(reference, aAnswer);
  }
  const bool isOdd = reference.mIsLearned && IsOdd(reference, aAnswer);
  if (!isOdd) {
    Clear(aNow, aAnswer.mUpstream, reference.mOddShare);
    return std::nullopt;
  }
  if (!Accuse(aNow, aAnswer.mUpstream, reference.mOddShare)) {
    return std::nullopt;
  }
  return absl::StrCat("work_ms=",
                      aAnswer.mProcessingTime.count(),
                      " bytes=",
                      aAnswer.mBytes,
                      " usual_work_ms=",
                      std::lround(std::exp(reference.mWork)),
                      " usual_bytes=",
                      std::lround(std::exp(reference.mBytes)),
                      " usual_odd_share=",
                      reference.mOddShare,
                      " ejections=",
                      mSuspects.at(aAnswer.mUpstream).mEjections);
}

std::optional<std::string>
AnswerOutlierDetector::AddUnansweredRequest(TimePoint aNow, Cookie aUpstream)
{
  if (MayVote(aNow, aUpstream)) {
    mUnansweredShare += kShareStep * (1 - mUnansweredShare);
  }
  if (!Accuse(aNow, aUpstream, mUnansweredShare)) {
    return std::nullopt;
  }
  return absl::StrCat("unanswered=1 usual_unanswered_share=",
                      mUnansweredShare,
                      " ejections=",
                      mSuspects.at(aUpstream).mEjections);
}

bool
AnswerOutlierDetector::Accuse(TimePoint aNow,
                              Cookie aUpstream,
                              double aUsualShare)
{
  // When healthy upstreams do the same, it tells nothing.
  if (aUsualShare > kMaxBaselineShare) {
    return false;
  }
  Suspect& suspect = mSuspects[aUpstream];
  const bool isLeftOver = suspect.mEjectedUntil > aNow;
  if (isLeftOver) {
    return false;
  }
  suspect.mLastOdd = aNow;
  suspect.mEvidence +=
    std::log(kFailingShare / std::max(aUsualShare, kMinBaselineShare));
  const bool isFound =
    suspect.mEvidence >= kEjectionThreshold || suspect.mToProve > 0;
  if (!isFound) {
    return false;
  }
  const Duration time = std::min<Duration>(
    Duration(kBaseEjectionTime) * (1U << std::min(suspect.mEjections, 4U)),
    kMaxEjectionTime);
  ++suspect.mEjections;
  suspect.mEjectedUntil = aNow + time;
  suspect.mToProve = kProbationAnswers;
  suspect.mEvidence = 0;
  return true;
}

void
AnswerOutlierDetector::Clear(TimePoint aNow,
                             Cookie aUpstream,
                             double aUsualShare)
{
  const auto it = mSuspects.find(aUpstream);
  if (it == mSuspects.end() || it->second.mEjectedUntil > aNow) {
    return;
  }
  Suspect& suspect = it->second;
  const double usual =
    std::clamp(aUsualShare, kMinBaselineShare, kMaxBaselineShare);
  const double change = std::log((1 - kFailingShare) / (1 - usual));
  suspect.mEvidence = std::max(0.0, suspect.mEvidence + change);
  if (suspect.mToProve > 0) {
    --suspect.mToProve;
  }
  const bool isForgotten =
    suspect.mEjections == 0 || aNow - suspect.mLastOdd >= kEjectionRetention;
  if (suspect.mEvidence == 0 && suspect.mToProve == 0 && isForgotten) {
    mSuspects.erase(it);
  }
}

AnswerOutlierDetector::Status
AnswerOutlierDetector::StatusOf(TimePoint aNow, Cookie aUpstream) const
{
  const auto it = mSuspects.find(aUpstream);
  if (it == mSuspects.end()) {
    return Status::Healthy;
  }
  const Suspect& suspect = it->second;
  if (suspect.mEjectedUntil > aNow) {
    return Status::Ejected;
  }
  if (suspect.mToProve > 0) {
    return Status::Probation;
  }
  return suspect.mEvidence >= kSuspicionThreshold ? Status::Suspected
                                                  : Status::Healthy;
}

bool
AnswerOutlierDetector::ResetIfMostEjected(size_t aUpstreams)
{
  const auto accused =
    std::count_if(mSuspects.begin(), mSuspects.end(), [](const auto& it) {
      return it.second.mToProve > 0;
    });
  if (static_cast<size_t>(accused) * 2 <= aUpstreams) {
    return false;
  }
  mSuspects.clear();
  mReferences.clear();
  mVotedAt.clear();
  mUnansweredShare = kMinBaselineShare;
  return true;
}

void
AnswerOutlierDetector::PurgeUnused(TimePoint aNow)
{
  const TimePoint since = aNow - kUnusedRetention;
  EraseIf(mReferences, [&](const auto& it) { return it.mUsedAt < since; });
  EraseIf(mSuspects, [&](const auto& it) { return it.mLastOdd < since; });
  EraseIf(mVotedAt, [&](const auto& it) { return it < since; });
}

} // namespace foxtail::flow

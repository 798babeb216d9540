#ifndef foxtail_flow_AnswerOutlierDetector_h
#define foxtail_flow_AnswerOutlierDetector_h

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// Detects upstreams of one service that fail their requests: those that answer
// much faster or with far fewer bytes than the other upstreams, and those that
// leave requests unanswered. An upstream that fails at once always has free
// slots, so without ejection it would attract most new flows.
//
// For each route, a baseline of normal answers is learned from all upstreams.
// The answers of each upstream are tested against the baseline with a
// cumulative sum of log-likelihood ratios (CUSUM). An upstream whose sum
// reaches kEjectionThreshold is ejected for a while and is then on probation
// until it has given a few normal answers. Not thread-safe.
class AnswerOutlierDetector
{
public:
  // Answers of a route from which its initial baseline is computed. No answer
  // of the route is tested before.
  static constexpr size_t kBaselineAnswers = 20;
  // Minimum time between two samples of the same upstream in the baselines and
  // in the share of unanswered requests. It gives all upstreams about the same
  // weight, however many flows each of them gets.
  static constexpr milliseconds kMinSampleInterval{ 100 };
  // An answer is an outlier if its processing time or its size is below this
  // fraction of the lower quartile of its route.
  static constexpr double kOutlierFactor = 1.0 / 3;
  // Processing times are tested only on routes whose lower quartile is at least
  // this long. Shorter ones can't be told from network delay, which varies by a
  // few milliseconds.
  static constexpr milliseconds kMinMeasurableTime{ 10 };
  // Share of outliers in the answers of a failing upstream, as assumed by the
  // likelihood ratio. It is the example that the users gave of a partly failing
  // upstream: two requests in five fail.
  static constexpr double kFailingShare = 0.4;
  // Bounds of the share of outliers, or of unanswered requests, that is assumed
  // for healthy upstreams. Above the upper bound the test can't distinguish
  // failing upstreams from healthy ones.
  static constexpr double kMinBaselineShare = 0.02;
  static constexpr double kMaxBaselineShare = 0.2;
  // Sum of log-likelihood ratios (natural logarithm) at which an upstream is
  // ejected. With a baseline share of kMinBaselineShare, two outliers in a row
  // reach it, or a few outliers between normal answers. With a larger share it
  // takes more.
  static constexpr double kEjectionThreshold = 5.5;
  // Sum of log-likelihood ratios from which an upstream is suspected.
  static constexpr double kSuspicionThreshold = kEjectionThreshold / 2;
  // Duration of the first ejection. It doubles with each further ejection up to
  // kMaxEjectionTime, which bounds how long an upstream that has recovered
  // stays ejected.
  static constexpr milliseconds kBaseEjectionTime{ 1000 };
  static constexpr milliseconds kMaxEjectionTime{ 8000 };
  // Normal answers that end a probation.
  static constexpr uint32_t kProbationAnswers = 4;
  // Time without an outlier after which earlier ejections no longer lengthen
  // the next one.
  static constexpr seconds kEjectionRetention{ 30 };
  // Entries of routes and upstreams that were unused for this long are dropped.
  // A route that is used again gets a new baseline within seconds.
  static constexpr seconds kUnusedRetention{ 600 };

  enum class Status
  {
    Healthy,
    // Has recent outliers, but too few for an ejection.
    Suspected,
    // The ejection is over, but not all kProbationAnswers have come yet.
    Probation,
    // Gets no new flows while another upstream is available.
    Ejected
  };

  // Processes a complete answer. If it causes the ejection of its upstream,
  // returns the reason as key=value text for the log.
  std::optional<std::string> AddAnswer(TimePoint aNow,
                                       const AnswerSummary& aAnswer);

  // Processes a request that aUpstream has left unanswered for longer than
  // nearly all answers take. Returns the same as AddAnswer.
  std::optional<std::string> AddUnansweredRequest(TimePoint aNow,
                                                  Cookie aUpstream);

  Status StatusOf(TimePoint aNow, Cookie aUpstream) const;

  // Drops all baselines and ejections if more than half of the upstreams of the
  // service, aUpstreamCount in all, are ejected or on probation. In that case
  // the service's normal answers are taken to have changed, rather than most
  // upstreams to have failed. Returns whether the data was dropped.
  bool ResetIfMostEjected(size_t aUpstreamCount);

  // Drops entries that were unused for kUnusedRetention.
  void PurgeUnused(TimePoint aNow);
  // Number of entries held for routes and upstreams.
  size_t EntryCount() const
  {
    return mBaselines.size() + mHistories.size() + mSampledAt.size();
  }

private:
  // Normal answers of a route.
  struct Baseline
  {
    // The first answers, until there are kBaselineAnswers of them.
    std::vector<AnswerSummary> mInitialAnswers;
    bool mIsLearned = false;
    // Lower quartiles of the processing time in milliseconds and of the size in
    // bytes, as natural logarithms. Each answer adjusts them by a small step.
    double mLogProcessingMs = 0;
    double mLogBytes = 0;
    double mOutlierShare = kMinBaselineShare;
    TimePoint mUsedAt;
  };
  // An upstream that had outliers or unanswered requests recently.
  struct UpstreamHistory
  {
    // Cumulative sum of log-likelihood ratios, never negative.
    double mEvidence = 0;
    TimePoint mLastOutlierAt;
    TimePoint mEjectedUntil;
    uint32_t mEjectionCount = 0;
    // Normal answers that are still needed to end the probation.
    uint32_t mProbationLeft = 0;
  };

  static bool IsOutlier(const Baseline& aBaseline,
                        const AnswerSummary& aAnswer);
  void UpdateBaseline(Baseline& aBaseline, const AnswerSummary& aAnswer);
  // Returns whether aUpstream may contribute a sample to a baseline or to
  // mUnansweredShare now, and if so records the time. It may not if it has a
  // history or contributed a sample within kMinSampleInterval.
  bool TrySample(TimePoint aNow, Cookie aUpstream);
  // Adds evidence against aUpstream for one outlier or one unanswered request.
  // aBaselineShare is the fraction of such events among the requests of healthy
  // upstreams. Returns whether this ejects the upstream.
  bool AddEvidence(TimePoint aNow, Cookie aUpstream, double aBaselineShare);
  // Reduces the evidence against aUpstream after a normal answer.
  void ReduceEvidence(TimePoint aNow, Cookie aUpstream, double aBaselineShare);

  // By route.
  std::unordered_map<uint32_t, Baseline> mBaselines;
  std::unordered_map<Cookie, UpstreamHistory> mHistories;
  // When the upstream last contributed a sample.
  std::unordered_map<Cookie, TimePoint> mSampledAt;
  // Share of requests that healthy upstreams leave unanswered.
  double mUnansweredShare = kMinBaselineShare;
};

} // namespace foxtail::flow

#endif

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

// Finds the upstreams of one service that answer at once with next to nothing,
// as one does that fails its requests, or that take requests and don't answer
// them. The former has free slots all the time, so it would draw most new flows
// to it. Each route's usual answers are learned from all upstreams; those of
// one upstream are tested against them with a cumulative sum of likelihood
// ratios. An upstream that is found is ejected for a while and then has to
// prove itself with a few answers. Not thread-safe.
class AnswerOutlierDetector
{
public:
  // Answers of a route that are seen before any of them is judged.
  static constexpr size_t kReferenceAnswers = 20;
  // One upstream adds to what is usual no more often than this, so that each
  // has about one vote however many flows it draws.
  static constexpr milliseconds kMinSampleInterval{ 100 };
  // An answer is odd when it took less than this part of the route's lower
  // quartile, or has fewer bytes than this part of it.
  static constexpr double kOutlierFactor = 1.0 / 3;
  // Work below this is not told from a packet's delay, which varies by a few
  // milliseconds.
  static constexpr milliseconds kMinMeasurableTime{ 10 };
  // Share of odd answers that an upstream must be found at: the users' example
  // of one that fails a part of its requests fails two of five.
  static constexpr double kFailingShare = 0.4;
  // Least share of odd answers that healthy upstreams are taken to have, and
  // the greatest with which the test still tells anything.
  static constexpr double kMinBaselineShare = 0.02;
  static constexpr double kMaxBaselineShare = 0.2;
  // Natural logarithm of the likelihood ratio that ejects: two odd answers in
  // a row, or a few among more.
  static constexpr double kEjectionThreshold = 5.5;
  // An upstream with this much evidence is in doubt.
  static constexpr double kSuspicionThreshold = kEjectionThreshold / 2;
  // Time of the first ejection; doubles with each further one. The longest is
  // what an upstream that recovers has to wait at most.
  static constexpr milliseconds kBaseEjectionTime{ 1000 };
  static constexpr milliseconds kMaxEjectionTime{ 8000 };
  // Usual answers that end a probation.
  static constexpr uint32_t kProbationAnswers = 4;
  // Without another odd answer, earlier ejections are forgotten.
  static constexpr seconds kEjectionRetention{ 30 };
  // Routes and upstreams without an answer for this long are gone or unused;
  // they are learned anew in seconds.
  static constexpr seconds kUnusedRetention{ 600 };

  enum class Status
  {
    Healthy,
    // Answered oddly of late, which is not enough to eject it.
    Suspected,
    // Back from an ejection, with usual answers still to come.
    Probation,
    // Gets no new flows for now.
    Ejected
  };

  // Takes an answer. When it ejects the upstream, returns why, as key=value
  // text.
  std::optional<std::string> AddAnswer(TimePoint aNow,
                                       const AnswerSummary& aAnswer);

  // The upstream took a request and did not answer it for a time in which
  // nearly all answers come. Returns as AddAnswer does.
  std::optional<std::string> AddUnansweredRequest(TimePoint aNow,
                                                  Cookie aUpstream);

  Status StatusOf(TimePoint aNow, Cookie aUpstream) const;

  // When more than half of the service's upstreams are ejected or on
  // probation, the answers changed rather than the upstreams: all that is
  // known is dropped. Returns whether it was.
  bool ResetIfMostEjected(size_t aUpstreams);

  // Drops what has been unused for long.
  void PurgeUnused(TimePoint aNow);
  // Routes, suspects and upstreams that are remembered, together.
  size_t EntryCount() const
  {
    return mReferences.size() + mSuspects.size() + mVotedAt.size();
  }

private:
  // Usual answers of a route.
  struct Reference
  {
    // Until there are kReferenceAnswers of them.
    std::vector<AnswerSummary> mFirst;
    bool mIsLearned = false;
    // Lower quartiles as natural logarithms; they follow in small steps.
    double mWork = 0;
    double mBytes = 0;
    double mOddShare = kMinBaselineShare;
    TimePoint mUsedAt;
  };
  struct Suspect
  {
    double mEvidence = 0;
    TimePoint mLastOdd;
    TimePoint mEjectedUntil;
    uint32_t mEjections = 0;
    uint32_t mToProve = 0;
  };

  static bool IsOdd(const Reference& aReference, const AnswerSummary& aAnswer);
  // Adds an answer to what is usual.
  void Learn(Reference& aReference, const AnswerSummary& aAnswer);
  // Whether this upstream may add to what is usual now.
  bool MayVote(TimePoint aNow, Cookie aUpstream);
  // Adds to the evidence against an upstream, given the share of healthy ones
  // that do the same. Returns whether that ejects it.
  bool Accuse(TimePoint aNow, Cookie aUpstream, double aUsualShare);
  // A usual answer of a suspect.
  void Clear(TimePoint aNow, Cookie aUpstream, double aUsualShare);

  std::unordered_map<uint32_t, Reference> mReferences;
  std::unordered_map<Cookie, Suspect> mSuspects;
  std::unordered_map<Cookie, TimePoint> mVotedAt;
  // Share of requests that healthy upstreams leave unanswered.
  double mUnansweredShare = kMinBaselineShare;
};

} // namespace foxtail::flow

#endif

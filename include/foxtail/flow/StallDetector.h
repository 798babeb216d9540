#ifndef foxtail_flow_StallDetector_h
#define foxtail_flow_StallDetector_h

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// Decides for one service which upstreams have stopped answering their open
// flows, from the reports of all balancers. An upstream is taken as stalled
// only if it was silent towards everyone for longer than any request takes; any
// answer ends that. Part of the broker, not thread-safe.
class StallDetector
{
public:
  // Stalled flows that are needed, and how many balancers must have seen them,
  // so that the fault of one balancer or of its links is no evidence.
  static constexpr uint32_t kMinFlows = 3;
  static constexpr size_t kMinBalancers = 2;
  // A balancer reports a flow as stalled when its request is this old: 600 ms,
  // less or more the jitter of the caller and the way to the broker.
  static constexpr milliseconds kMinReportedAge{ 550 };
  static constexpr milliseconds kMaxReportedAge{ 650 };
  // Silence after the start of the first stalled request that is needed. As
  // long as requests are open, a living upstream completes one of them within
  // the longest work time, whatever the length of its queue: 360 ms, times 1.7
  // at the slowest upstream, times 1.6 during warm-up, which is 979 ms. A lost
  // answer comes 200 ms later, and so does the sign of it if its first report
  // is lost.
  static constexpr milliseconds kMinSilence{ 1400 };
  // In services with longer work, the silence needed is the longest usual
  // answer time multiplied by this.
  static constexpr double kLongestAnswerFactor = 1.5;
  // The longest usual answer time rises at once with a longer answer, and falls
  // by this share of the difference with every other. An answer time that one
  // answer in a thousand has is remembered.
  static constexpr double kLongestAnswerDecay = 1.0 / 1024;
  // Evidence is dropped after this time.
  static constexpr milliseconds kEvidenceLifetime{ 4000 };
  // An upstream is taken as stalled for this time at most.
  static constexpr milliseconds kMaxStalledTime{ 8000 };
  // Limit of upstreams that are stalled at a time, the number of entries in a
  // SlotReply.
  static constexpr size_t kMaxStalledUpstreams = 16;
  // Reports in a row that may be lost. Balancers repeat the sign of each answer
  // in their next report, so one lost report hides no answer.
  static constexpr uint64_t kMaxLostReports = 1;
  // The stalled upstreams are announced again after this time, because replies
  // may be lost. An empty set is announced for kEmptyAnnouncementTime.
  static constexpr milliseconds kAnnouncementInterval{ 1000 };
  static constexpr milliseconds kEmptyAnnouncementTime{ 2500 };
  // Time after which an unused entry is dropped.
  static constexpr seconds kUnusedLifetime{ 60 };
  // Interval between two indications that most upstreams are silent.
  static constexpr seconds kMostSilentInterval{ 5 };

  struct Conditions
  {
    // False while the broker may not have handled all reports that wait.
    bool mMayJudge = true;
    // Balancers that must have seen stalled flows.
    size_t mMinBalancers = kMinBalancers;
  };
  struct Changes
  {
    std::vector<Cookie> mStalled;
    std::vector<Cookie> mEnded;
    // Upstreams that would be stalled if the others answered.
    size_t mMostSilent = 0;
  };

  // Takes the answers and the evidence from a new report of balancer aFrom.
  void OnReport(TimePoint aNow, VmIp aFrom, const SlotReport& aReport);
  // Decides by the evidence collected so far. To be called periodically.
  void Judge(TimePoint aNow, const Conditions& aConditions);
  // Returns the changes since the last call.
  Changes TakeChanges();

  bool IsStalled(Cookie aUpstream) const
  {
    return mStalled.count(aUpstream) > 0;
  }
  std::vector<Cookie> Stalled() const;
  // Whether all balancers must be told of the stalled upstreams now. The caller
  // does so.
  bool TakeAnnouncement(TimePoint aNow);

private:
  // What one balancer observed of an upstream that has not answered since.
  struct Evidence
  {
    VmIp mFrom = 0;
    uint32_t mFlows = 0;
    // The flow was not open; only its opening packet is unanswered.
    bool mIsOpening = false;
    TimePoint mReportedAt;
  };
  struct Reporter
  {
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    TimePoint mReportedAt;
  };

  // Drops all evidence and ends all stalls if reports of aFrom are missing.
  void CheckForLostReports(TimePoint aNow,
                           VmIp aFrom,
                           const SlotReport& aReport);
  void AddAnswer(TimePoint aNow, Cookie aUpstream);
  void AddEvidence(TimePoint aNow, Cookie aUpstream, const Evidence& aEvidence);
  void EndStall(Cookie aUpstream);
  void Expire(TimePoint aNow);
  // Whether the evidence suffices, apart from the state of other upstreams.
  bool IsConvincing(TimePoint aNow,
                    const std::vector<Evidence>& aEvidence,
                    const Conditions& aConditions) const;
  // Silence after the start of the first stalled request that is needed.
  Duration RequiredSilence() const;
  void AddAnswerTime(milliseconds aTime);
  // Latest time at which the first of the stalled requests began.
  static TimePoint FirstStart(const std::vector<Evidence>& aEvidence);
  size_t AnsweringSince(TimePoint aTime) const;

  // Longest usual answer time of the service.
  double mLongestAnswerMs = 0;
  std::unordered_map<Cookie, TimePoint> mLastAnswers;
  std::map<Cookie, std::vector<Evidence>> mEvidence;
  // Stalled upstreams, with the time since which they are.
  std::map<Cookie, TimePoint> mStalled;
  std::unordered_map<VmIp, Reporter> mReporters;
  Changes mChanges;
  bool mMustAnnounce = false;
  TimePoint mAnnouncedAt;
  TimePoint mLastNonEmpty;
  TimePoint mMostSilentAt;
  TimePoint mPurgedAt;
};

} // namespace foxtail::flow

#endif

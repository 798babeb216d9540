#ifndef foxtail_flow_SlotBroker_h
#define foxtail_flow_SlotBroker_h

#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/AnswerOutlierDetector.h"
#include "foxtail/flow/Directory.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// Hands out the slots of services to all balancers of the fleet. It knows what
// every balancer holds, so it places a new flow where fewest wait, and keeps
// what exceeds the slots in one short queue in place of many at the upstreams.
// What it knows is soft: balancers report all they hold each time, so another
// broker can take over at any moment. Not thread-safe.
class SlotBroker
{
public:
  // Flows for each slot: a slot is idle for two round trips between callers,
  // upstreams and balancers while one flow ends and the next one opens.
  static constexpr double kFlowsPerSlot = 2.5;
  // Flows for each upstream while no other balancer is heard: there may be
  // many that are just as alone.
  static constexpr double kIsolatedFlowLimit = 1.0;
  // A balancer that doesn't report for this long holds nothing any more.
  static constexpr milliseconds kReportTimeout{ 1000 };
  // A new broker waits this long for the reports of all: one way of their
  // beats and one of the reports, and some processor time.
  static constexpr milliseconds kTakeoverWait{ 60 };
  // A flow that waited this long is refused: callers give up on an opening
  // packet after 1.4 s, and a refusal in time lets them try again.
  static constexpr milliseconds kMaxQueueWait{ 1000 };
  // Mean answer times that must remain for a flow to be in time: three of four
  // answers take less.
  static constexpr double kAnswerTimeMargin = 1.25;
  // A queue stands when a flow has waited for this part of its objective; that
  // much is lost to no one's harm.
  static constexpr int kStandingQueueDivisor = 4;
  // An upstream that left an opening packet unanswered is left out this long;
  // doubles with each further one up to kMaxBackoff.
  static constexpr milliseconds kInitialBackoff{ 150 };
  static constexpr milliseconds kMaxBackoff{ 2000 };
  // Share of one more answer time in the mean of an upstream.
  static constexpr double kAnswerTimeWeight = 0.15;
  // A caller that was refused tries again at once; its next new flow within
  // this time counts as the same request. A few round trips to a caller.
  static constexpr milliseconds kRetryWindow{ 60 };
  // How often what is known of upstreams that are gone is dropped.
  static constexpr seconds kPurgePeriod{ 10 };

  explicit SlotBroker(uint64_t aSeed);

  struct Reply
  {
    VmIp mTo = 0;
    SlotReply mReply;
  };

  // A balancer reports; aDirectory has the upstreams. aExpected balancers
  // report in all; a broker that took over just now waits for them, since it
  // would take slots that it has not heard of for free.
  std::vector<Reply> HandleReport(TimePoint aNow,
                                  VmIp aFrom,
                                  const SlotReport& aReport,
                                  const std::string& aService,
                                  const Directory& aDirectory,
                                  size_t aExpected);

  // Refuses what waited too long, forgets silent balancers.
  std::vector<Reply> Tick(TimePoint aNow, const Directory& aDirectory);

  // No other balancer is heard.
  void SetIsolated(bool aIsIsolated) { mIsIsolated = aIsIsolated; }

  // What changed in the standing of upstreams since the last call, to be
  // logged.
  std::vector<Event> TakeEvents();
  // Upstreams that were ejected so far.
  uint64_t Ejections() const { return mEjections; }

  // Flows that wait for a slot of any service.
  size_t WaitingFlows() const;

private:
  struct PendingGrant
  {
    SlotGrant mGrant;
    TimePoint mAt;
  };
  struct Waiter
  {
    VmIp mFrom = 0;
    SlotRequest mRequest;
    // When this flow came, and when the caller's first try of it came.
    TimePoint mArrived;
    TimePoint mFirst;
    bool mIsLate = false;
  };
  // A flow that was refused.
  struct Refusal
  {
    TimePoint mAt;
    TimePoint mFirst;
  };
  // What one balancer said of one service.
  struct Reporter
  {
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    TimePoint mHeard;
    std::string mDomain;
    // Stable hash of the domain.
    uint32_t mDomainId = 0;
    std::vector<SlotCount> mHeld;
    std::vector<PendingGrant> mPending;
    uint64_t mLastGrant = 0;
    std::vector<uint64_t> mRefused;
    bool mReplyDue = false;
  };
  // How an upstream behaves towards the balancers of one failure domain.
  struct Silence
  {
    uint32_t mMisses = 0;
    TimePoint mUntil;
  };
  struct Pool
  {
    std::string mName;
    // When the first balancer reported after there had been none.
    TimePoint mSince;
    size_t mExpected = 0;
    std::map<VmIp, Reporter> mReporters;
    std::vector<Waiter> mQueue;
    // By failure domain of the balancers and upstream.
    std::unordered_map<uint64_t, Silence> mSilences;
    std::unordered_multimap<uint32_t, Refusal> mRefusals;
    std::unordered_map<Cookie, double> mAnswerMs;
    AnswerOutlierDetector mOutlierDetector;
    double mMeanAnswerMs = 0;
  };
  struct Candidate
  {
    Cookie mUpstream = 0;
    const Upstream* mRecord = nullptr;
    uint32_t mLoad = 0;
    double mSlowness = 1;
    double mLimit = 0;
    AnswerOutlierDetector::Status mStatus =
      AnswerOutlierDetector::Status::Healthy;
  };

  void Learn(TimePoint aNow, Pool& aPool, const SlotReport& aReport);
  // Drops what is known of upstreams that are gone.
  static void ForgetGone(TimePoint aNow,
                         Pool& aPool,
                         const Directory& aDirectory);
  // Tests upstreams by their answers and by requests without one.
  void JudgeUpstreams(TimePoint aNow,
                      Pool& aPool,
                      const SlotReport& aReport,
                      const Directory& aDirectory);
  // Says that an upstream was ejected, if there is a reason for it.
  void NoteEjection(Pool& aPool,
                    const Directory& aDirectory,
                    Cookie aUpstream,
                    const std::optional<std::string>& aReason);
  void Enqueue(TimePoint aNow,
               Pool& aPool,
               VmIp aFrom,
               const SlotReport& aReport);
  std::vector<Candidate> Candidates(TimePoint aNow,
                                    const Pool& aPool,
                                    const Directory& aDirectory) const;
  void Schedule(TimePoint aNow, Pool& aPool, const Directory& aDirectory);
  // Refuses what waits too long or for nothing.
  void RefuseHopeless(TimePoint aNow, Pool& aPool, bool aHasUpstreams);
  // Moves the aCount waiters that come first to the front of the queue.
  static void Rank(TimePoint aNow, Pool& aPool, size_t aCount);
  Candidate* Choose(TimePoint aNow,
                    Pool& aPool,
                    std::vector<Candidate>& aCandidates,
                    const Waiter& aWaiter);
  // Whether this flow goes there only when no other upstream is left.
  static bool IsAvoided(const Candidate& aCandidate, const Waiter& aWaiter);
  TimePoint FirstTry(TimePoint aNow, Pool& aPool, const Waiter& aWaiter);
  void GrantTo(TimePoint aNow,
               Pool& aPool,
               const Waiter& aWaiter,
               Cookie aUpstream);
  static std::vector<Reply> Replies(uint32_t aService, Pool& aPool);

  std::map<uint32_t, Pool> mPools;
  std::mt19937_64 mRandom;
  bool mIsIsolated = false;
  uint64_t mEjections = 0;
  std::vector<Event> mEvents;
  TimePoint mForgotAt;
};

} // namespace foxtail::flow

#endif

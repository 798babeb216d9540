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

// Grants the slots of services to all balancers of the fleet. The broker of a
// service knows how many flows every balancer has at each upstream. It places a
// new flow where the fewest flows wait, and it keeps flows that exceed the
// slots in one short queue instead of many queues at the upstreams.
//
// The state is soft: every report of a balancer lists all the slots it holds,
// so another broker can take over at any moment. Not thread-safe.
class SlotBroker
{
public:
  // Flows that are granted per slot. It is more than one because a slot is idle
  // for two round trips between callers, upstreams and balancers while one flow
  // ends and the next one opens.
  static constexpr double kFlowsPerSlot = 2.5;
  // Flows that are granted per upstream while no other balancer is heard. It is
  // low because many balancers may be isolated at the same time, each of them
  // granting this number.
  static constexpr double kIsolatedFlowLimit = 1.0;
  // A balancer that has not reported for this long is taken to hold no slots.
  static constexpr milliseconds kReportTimeout{ 1000 };
  // Time for which a new broker waits for the reports of all balancers. It
  // covers the one-way delays of a heartbeat and of a report, and some
  // processor time.
  static constexpr milliseconds kTakeoverWait{ 60 };
  // A flow that has waited this long is refused. Callers give up on an opening
  // packet after 1.4 s; an earlier refusal lets them try again.
  static constexpr milliseconds kMaxQueueWait{ 1000 };
  // A flow is expected to miss its objective when less time is left than the
  // mean answer time of the service multiplied by this factor. Three of four
  // answers take less.
  static constexpr double kAnswerTimeMargin = 1.25;
  // The queue is a standing queue, which is served newest first, once a flow
  // has waited for its objective divided by this number. A shorter wait does no
  // harm.
  static constexpr int kStandingQueueDivisor = 4;
  // Time for which an upstream that left an opening packet unanswered gets no
  // new flows. It doubles with each further unanswered opening packet up to
  // kMaxBackoff.
  static constexpr milliseconds kInitialBackoff{ 150 };
  static constexpr milliseconds kMaxBackoff{ 2000 };
  // Weight of one answer time in the moving average of its upstream.
  static constexpr double kAnswerTimeWeight = 0.15;
  // A refused caller tries again at once. A new flow from its address within
  // this time, a few round trips to a caller, counts as the same request.
  static constexpr milliseconds kRetryWindow{ 60 };
  // Interval at which data on removed or unused upstreams and routes is
  // dropped.
  static constexpr seconds kPurgePeriod{ 10 };

  explicit SlotBroker(uint64_t aSeed);

  struct Reply
  {
    VmIp mTo = 0;
    SlotReply mReply;
  };

  // Handles a report of balancer aFrom about the service named aService, whose
  // upstreams are in aDirectory. Grants free slots to queued flows and returns
  // the replies to send. A report is ignored if it has an older incarnation or
  // no newer sequence number than the last one from aFrom.
  //
  // After a takeover, aExpectedReporters is the number of balancers that report
  // to this broker; otherwise it is zero. Until all of them have reported or
  // kTakeoverWait is over, nothing is granted: slots that a balancer holds but
  // has not reported yet would look free.
  std::vector<Reply> HandleReport(TimePoint aNow,
                                  VmIp aFrom,
                                  const SlotReport& aReport,
                                  const std::string& aService,
                                  const Directory& aDirectory,
                                  size_t aExpectedReporters);

  // Refuses flows that have waited for kMaxQueueWait, drops balancers that have
  // not reported for kReportTimeout, and grants free slots. To be called
  // periodically; returns the replies to send.
  std::vector<Reply> Tick(TimePoint aNow, const Directory& aDirectory);

  // Sets whether this balancer hears no other one, see kIsolatedFlowLimit.
  void SetIsolated(bool aIsIsolated) { mIsIsolated = aIsIsolated; }

  // Returns the events since the last call, to be logged: ejections of
  // upstreams and resets of the outlier detection.
  std::vector<Event> TakeEvents();
  // Number of ejections since the start.
  uint64_t Ejections() const { return mEjections; }

  // Number of flows that wait for a slot, over all services.
  size_t WaitingFlows() const;

private:
  struct PendingGrant
  {
    SlotGrant mGrant;
    TimePoint mGrantedAt;
  };
  // A flow that waits for a slot.
  struct QueuedFlow
  {
    // The balancer that asks for the slot.
    VmIp mFrom = 0;
    SlotRequest mRequest;
    // When the flow arrived, and when the caller's first try of the same
    // request arrived. They differ only after a refusal.
    TimePoint mArrivedAt;
    TimePoint mFirstTriedAt;
    bool mMissesObjective = false;
  };
  // A flow that was refused, kept to recognize the caller's next try.
  struct Refusal
  {
    TimePoint mRefusedAt;
    TimePoint mFirstTriedAt;
  };
  // The state of one balancer for one service, from its newest report.
  struct Reporter
  {
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    TimePoint mReportedAt;
    std::string mDomain;
    // Stable hash of the domain.
    uint32_t mDomainId = 0;
    std::vector<SlotCount> mHeld;
    // Grants that are not counted in mHeld yet. Each reply repeats them.
    std::vector<PendingGrant> mPendingGrants;
    uint64_t mLastGrantNumber = 0;
    // Ids of the flows refused since the last reply.
    std::vector<uint64_t> mRefused;
    bool mReplyDue = false;
  };
  // Backoff from an upstream that left opening packets of the balancers of one
  // failure domain unanswered. After mUntil, the upstream gets one flow at a
  // time. The next answer removes the backoff.
  struct Backoff
  {
    uint32_t mUnansweredOpenings = 0;
    TimePoint mUntil;
  };
  // The state of one service.
  struct Pool
  {
    std::string mName;
    // When the first balancer reported after a time without any.
    TimePoint mFirstReportAt;
    size_t mExpectedReporters = 0;
    std::map<VmIp, Reporter> mReporters;
    std::vector<QueuedFlow> mQueue;
    // By failure domain of the balancers and by upstream.
    std::unordered_map<uint64_t, Backoff> mBackoffs;
    // By address of the caller.
    std::unordered_multimap<uint32_t, Refusal> mRefusals;
    // Moving averages of the answer times, for each upstream and for the whole
    // service.
    std::unordered_map<Cookie, double> mUpstreamAnswerMs;
    AnswerOutlierDetector mOutlierDetector;
    double mServiceAnswerMs = 0;
  };
  // An upstream that takes new flows.
  struct Candidate
  {
    Cookie mUpstream = 0;
    const Upstream* mDirectoryEntry = nullptr;
    // Flows that all balancers hold there or were granted.
    uint32_t mLoad = 0;
    // Answer time relative to that of the service.
    double mSlowness = 1;
    // mLoad up to which new flows are granted.
    double mFlowLimit = 0;
    AnswerOutlierDetector::Status mStatus =
      AnswerOutlierDetector::Status::Healthy;
  };

  // Updates the answer times and backoffs of upstreams from a report.
  void UpdateUpstreamStats(TimePoint aNow,
                           Pool& aPool,
                           const SlotReport& aReport);
  // Drops the answer times of removed upstreams and unused entries of the
  // outlier detector.
  static void PurgeStaleData(TimePoint aNow,
                             Pool& aPool,
                             const Directory& aDirectory);
  // Tests upstreams by the complete answers and the unanswered requests of a
  // report.
  void DetectOutliers(TimePoint aNow,
                      Pool& aPool,
                      const SlotReport& aReport,
                      const Directory& aDirectory);
  // If aReason is set, counts and logs the ejection of aUpstream and resets the
  // outlier detection if most upstreams are ejected.
  void RecordEjection(Pool& aPool,
                      const Directory& aDirectory,
                      Cookie aUpstream,
                      const std::optional<std::string>& aReason);
  // Updates the queue from the requests of a report.
  void Enqueue(TimePoint aNow,
               Pool& aPool,
               VmIp aFrom,
               const SlotReport& aReport);
  // Returns the upstreams of the service that take new flows.
  std::vector<Candidate> FindCandidates(TimePoint aNow,
                                        const Pool& aPool,
                                        const Directory& aDirectory) const;
  // Grants free slots to queued flows. Refuses all flows if no upstream takes
  // new ones.
  void GrantFreeSlots(TimePoint aNow, Pool& aPool, const Directory& aDirectory);
  // Refuses flows that have waited for kMaxQueueWait, or all flows if
  // aHasUpstreams is false. Drops refusals older than kRetryWindow.
  void RefuseUnservable(TimePoint aNow, Pool& aPool, bool aHasUpstreams);
  // Moves the aCount flows with the highest precedence to the front of the
  // queue, in order.
  static void PrioritizeQueue(TimePoint aNow, Pool& aPool, size_t aCount);
  // Returns the best upstream with a free slot for the flow; null if the flow
  // should wait.
  Candidate* ChooseUpstream(TimePoint aNow,
                            Pool& aPool,
                            std::vector<Candidate>& aCandidates,
                            const QueuedFlow& aFlow);
  // Whether the flow should go to this upstream only if there is no other.
  static bool IsLastResort(const Candidate& aCandidate,
                           const QueuedFlow& aFlow);
  // Returns when the caller first tried the request of this flow. Removes the
  // refusal of its last try, if there is one.
  TimePoint TakeFirstTryTime(TimePoint aNow,
                             Pool& aPool,
                             const QueuedFlow& aFlow);
  void AddGrant(TimePoint aNow,
                Pool& aPool,
                const QueuedFlow& aFlow,
                Cookie aUpstream);
  // Returns the replies that are due.
  static std::vector<Reply> TakeReplies(uint32_t aService, Pool& aPool);

  std::map<uint32_t, Pool> mPools;
  std::mt19937_64 mRandom;
  bool mIsIsolated = false;
  uint64_t mEjections = 0;
  std::vector<Event> mEvents;
  TimePoint mPurgedAt;
};

} // namespace foxtail::flow

#endif

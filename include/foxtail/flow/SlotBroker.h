#ifndef foxtail_flow_SlotBroker_h
#define foxtail_flow_SlotBroker_h

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/AdmissionQueue.h"
#include "foxtail/flow/AnswerOutlierDetector.h"
#include "foxtail/flow/ColdStartBudget.h"
#include "foxtail/flow/Directory.h"
#include "foxtail/flow/PeerMessages.h"
#include "foxtail/flow/RejectedUpstreams.h"
#include "foxtail/flow/StallDetector.h"
#include "foxtail/flow/WorkEstimator.h"

namespace foxtail::flow {

// Decides for all balancers of the fleet which upstream of a service gets each
// new flow. An upstream publishes a number of slots, the requests that it
// processes at the same time. The broker admits up to kFlowsPerSlot flows per
// slot; a grant lets a balancer place one flow at one upstream.
//
// The broker knows how many flows every balancer holds at each upstream and
// their expected work. It places a new flow where it expects the earliest
// completion; while it knows no work, at the upstream with the lowest load.
// Flows beyond the
// limits of the upstreams wait in one short queue at the broker rather than in
// a queue at each upstream.
//
// The state is soft: every report of a balancer lists all flows it holds, so
// another broker can take over at any moment. Not thread-safe.
class SlotBroker
{
public:
  // Flows that are admitted per slot. It is more than one because a slot is
  // idle for two round trips between callers, upstreams and balancers while one
  // flow ends and the next one opens.
  static constexpr double kFlowsPerSlot = 2.5;
  // Flows that are admitted per upstream while no other balancer is heard. It
  // is low because many balancers may be isolated at the same time, each of
  // them admitting this number.
  static constexpr double kIsolatedFlowLimit = 1.0;
  // A balancer that has not reported for this long is taken to hold no flows.
  static constexpr milliseconds kReportTimeout{ 1000 };
  // Time for which a new broker waits for the reports of all balancers. It
  // covers the one-way delays of a heartbeat and of a report, and some
  // processor time.
  static constexpr milliseconds kTakeoverWait{ 60 };
  // A flow that has waited this long is refused. Callers give up on an opening
  // packet after 1.4 s; an earlier refusal lets them try again.
  static constexpr milliseconds kMaxQueueWait{ 1000 };
  // Backoff from an upstream that left an opening packet unanswered. It applies
  // to the balancers of one failure domain: until it is over, they place new
  // flows there only if no upstream answers normally. It doubles with each
  // further unanswered opening packet up to kMaxBackoff.
  static constexpr milliseconds kInitialBackoff{ 150 };
  static constexpr milliseconds kMaxBackoff{ 2000 };
  // Weight of one answer time in the moving average of its upstream.
  static constexpr double kAnswerTimeWeight = 0.15;
  // A refused caller tries again at once. A new flow from its address within
  // this time, a few round trips to a caller, counts as the same request.
  static constexpr milliseconds kRetryWindow{ 60 };
  // Time for which the properties of upstreams other than their loads may be
  // out of date in a decision, unless the directory changes. With hundreds of
  // upstreams, finding them takes most of the time of a decision.
  static constexpr milliseconds kCandidatesLifetime{ 10 };
  // With more upstreams than kMaxExactChoice, a flow goes to the best of
  // kChoiceSamples random ones, half of them of the balancer's failure domain,
  // and the lifetime is longer. The best of 16 has no queue unless nearly all
  // upstreams have one, and a decision stays below 1 us at 6,100 upstreams.
  static constexpr size_t kMaxExactChoice = 200;
  static constexpr size_t kChoiceSamples = 16;
  static constexpr milliseconds kManyCandidatesLifetime{ 100 };
  // Interval at which data on removed or unused upstreams and routes is
  // dropped.
  static constexpr seconds kPurgePeriod{ 10 };

  explicit SlotBroker(uint64_t aSeed, ColdStartSettings aColdStart = {});

  struct Reply
  {
    VmIp mTo = 0;
    SlotReply mReply;
  };

  // Handles a report of balancer aFrom about the service named aServiceName,
  // whose upstreams are in aDirectory. Grants queued flows that fit the limits
  // and returns the replies to send. A report is ignored if it has an older
  // incarnation or no newer sequence number than the last one from aFrom.
  //
  // After a takeover, aExpectedReporters is the number of balancers that report
  // to this broker; otherwise it is zero. Until all of them have reported or
  // kTakeoverWait is over, nothing is granted: upstreams would look free where
  // balancers hold flows that they have not reported yet.
  std::vector<Reply> HandleReport(TimePoint aNow,
                                  VmIp aFrom,
                                  const SlotReport& aReport,
                                  const std::string& aServiceName,
                                  const Directory& aDirectory,
                                  size_t aExpectedReporters);

  // Refuses flows that have waited for kMaxQueueWait, drops balancers that have
  // not reported for kReportTimeout, and grants queued flows. To be called
  // periodically; returns the replies to send.
  std::vector<Reply> Tick(TimePoint aNow, const Directory& aDirectory);

  // Sets whether this balancer hears no other one, see kIsolatedFlowLimit.
  void SetIsolated(bool aIsIsolated) { mIsIsolated = aIsIsolated; }
  // Sets the number of balancers that may give or get grants, silent ones
  // included. The share of them that reports here bounds the grants for cold
  // upstreams.
  void SetKnownBalancers(size_t aCount) { mKnownBalancers = aCount; }
  // Number of times that a cold upstream would have been chosen, but had got as
  // many flows as it bears.
  uint64_t ColdDeferrals() const { return mColdDeferrals; }
  // Sets when upstreams may be taken as stalled.
  void SetStallConditions(const StallDetector::Conditions& aConditions)
  {
    mStallConditions = aConditions;
  }

  // Sets the failure domains that seem to be cut off from this one. Until the
  // next call, an upstream there that left an opening packet unanswered gets no
  // flow to find out whether it answers again, unless all upstreams are there.
  // Such a flow would be the first one to pass when a partition ends, although
  // the upstream may have begun to drain meanwhile.
  void SetSilentDomains(const std::set<std::string>& aDomains);

  // Sets whether flows are placed by expected work, see FlowBalancerSettings.
  void SetCostAware(bool aIsCostAware) { mIsCostAware = aIsCostAware; }

  // Answers that the estimates of work and speed are based on, and the quotient
  // of the greatest and the smallest known slowness of the upstreams of one
  // service (the greatest over all services).
  uint64_t WorkSamples() const;
  double SpeedSpread(TimePoint aNow) const;

  // Returns the events since the last call, to be logged: ejections of
  // upstreams and resets of the outlier detector.
  std::vector<Event> TakeEvents();
  // Number of ejections since the start.
  uint64_t Ejections() const { return mEjections; }
  // Number of times that an upstream was taken as stalled since the start.
  uint64_t Stalls() const { return mStalls; }

  // Number of queued flows, over all services.
  size_t WaitingFlows() const;
  // Number of flows that were refused because their turn would have come too
  // late for any answer.
  uint64_t HopelessFlows() const { return mHopelessFlows; }
  // Number of grants that went to the group of callers with the fewest grants.
  uint64_t FairGrants() const;

private:
  // A grant that no report of its balancer has confirmed yet.
  struct UnconfirmedGrant
  {
    SlotGrant mGrant;
    TimePoint mGrantedAt;
    // Expected work of the request; zero if unknown.
    milliseconds mWork{ 0 };
  };
  // What an upstream has to do, for any balancer.
  struct UpstreamLoad
  {
    uint64_t mFlows = 0;
    // Flows whose expected work is unknown, and the expected work of the
    // others.
    uint64_t mUnknownFlows = 0;
    uint64_t mWorkMs = 0;

    void Add(uint64_t aFlows, milliseconds aWork);
    void Remove(uint64_t aFlows, milliseconds aWork);
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
    TimePoint mFirstReportedAt;
    // Stable hash of the failure domain.
    uint32_t mDomainId = 0;
    std::vector<SlotCount> mHeld;
    // Not counted in mHeld yet. Each reply repeats them.
    std::vector<UnconfirmedGrant> mUnconfirmedGrants;
    uint64_t mLastGrantNumber = 0;
    // Ids of the flows refused since the last reply.
    std::vector<uint64_t> mRefused;
  };
  // Backoff of the balancers of one failure domain from an upstream that left
  // opening packets unanswered. After mUntil, the upstream gets one flow at a
  // time. The next answer removes the backoff.
  struct Backoff
  {
    uint32_t mUnansweredOpenings = 0;
    TimePoint mUntil;
  };
  // An upstream that takes new flows. All but the load changes slowly.
  struct Candidate
  {
    Cookie mUpstream = 0;
    // Stable hash of the failure domain.
    uint32_t mDomainId = 0;
    double mSlots = 1;
    // Number of flows at this upstream, held by any balancer or granted to it.
    uint64_t mLoad = 0;
    // Remaining work of these flows, in requests of average work.
    double mRemainingWork = 0;
    // Answer time relative to that of the service.
    double mSlowness = 1;
    // Factor by which requests take longer after a cold start.
    double mColdSlowness = 1;
    // mLoad up to which new flows are granted.
    double mFlowLimit = 0;
    AnswerOutlierDetector::Status mStatus =
      AnswerOutlierDetector::Status::Healthy;
    TimePoint mColdUntil;
    // How many more flows a cold upstream may get now. Empty if it is not cold
    // or no limit is configured.
    std::optional<uint64_t> mColdFlowsLeft;
    bool mIsStalled = false;
    // A balancer with a newer replica rejected a grant of this upstream.
    bool mIsRejected = false;
    // See SetSilentDomains.
    bool mIsInSilentDomain = false;
  };
  // The broker's state for one service.
  struct ServiceState
  {
    std::string mName;
    // When the first balancer reported after a time without any.
    TimePoint mFirstReportAt;
    size_t mExpectedReporters = 0;
    std::map<VmIp, Reporter> mReporters;
    // Balancers that a reply is due to.
    std::set<VmIp> mRepliesDue;
    // Flows at each upstream, held by any balancer or granted to it.
    absl::flat_hash_map<Cookie, UpstreamLoad> mLoads;
    WorkEstimator mWorkEstimator;
    AdmissionQueue mQueue;
    std::vector<Candidate> mCandidates;
    // Indices of candidates by failure domain, if there are many.
    absl::flat_hash_map<uint32_t, std::vector<uint32_t>> mDomainCandidates;
    // When and from which state of the directory mCandidates was made.
    TimePoint mCandidatesMadeAt;
    const Directory* mCandidatesSource = nullptr;
    uint64_t mCandidatesChangeCount = 0;
    // By failure domain of the balancers and by upstream.
    std::unordered_map<uint64_t, Backoff> mBackoffs;
    // By address of the caller.
    std::unordered_multimap<uint32_t, Refusal> mRefusals;
    // Moving average of the answer time of each upstream.
    std::unordered_map<Cookie, double> mUpstreamAnswerMs;
    AnswerOutlierDetector mOutlierDetector;
    ColdStartBudget mColdBudget;
    ServiceSettings mSettings;
    StallDetector mStallDetector;
    RejectedUpstreams mRejected;
    // State of the directory by which RevokeGrants last checked all grants.
    uint64_t mGrantsChangeCount = 0;
    // Moving average of the answer time of the whole service.
    double mServiceAnswerMs = 0;
  };
  // Updates the answer times and backoffs of upstreams from a report.
  void UpdateUpstreamStats(TimePoint aNow,
                           ServiceState& aState,
                           const SlotReport& aReport);
  // Drops the answer times of removed upstreams and unused entries of the
  // outlier detector.
  static void PurgeStaleData(TimePoint aNow,
                             ServiceState& aState,
                             const Directory& aDirectory);
  // Excludes upstreams that a balancer with a newer replica rejected.
  void HandleRejections(TimePoint aNow,
                        ServiceState& aState,
                        const SlotReport& aReport,
                        const Directory& aDirectory);
  // After a change of the directory, takes back unconfirmed grants of upstreams
  // that take no new flows. Replies would repeat them beside the revision of
  // the newer directory, which does not allow them.
  static void RevokeGrants(TimePoint aNow,
                           ServiceState& aState,
                           const Directory& aDirectory);
  // Tests upstreams by the complete answers and the unanswered requests of a
  // report.
  void DetectOutliers(TimePoint aNow,
                      ServiceState& aState,
                      const SlotReport& aReport,
                      const Directory& aDirectory);
  // Learns work and speed from an answer, and logs a speed that leaves the
  // usual range.
  void LearnWork(TimePoint aNow,
                 ServiceState& aState,
                 const Directory& aDirectory,
                 const AnswerSummary& aAnswer);
  // aReason is the reason for which aUpstream was just ejected; without one,
  // nothing is done. Counts and logs the ejection, and resets the outlier
  // detector if most upstreams are ejected.
  void RecordIfEjected(ServiceState& aState,
                       const Directory& aDirectory,
                       Cookie aUpstream,
                       const std::optional<std::string>& aReason);
  // Decides which upstreams are stalled, and announces the changes.
  void JudgeStalls(TimePoint aNow,
                   ServiceState& aState,
                   const Directory& aDirectory);
  // Logs changes of the stalled upstreams, and makes replies to all balancers
  // due if they must be told.
  void AnnounceStalls(TimePoint aNow,
                      ServiceState& aState,
                      const Directory& aDirectory);
  // Updates the queue from the requests of a report.
  void Enqueue(TimePoint aNow,
               ServiceState& aState,
               VmIp aFrom,
               const SlotReport& aReport);
  // Counts the flows of a balancer in mLoads, or no longer counts them.
  static void CountFlows(ServiceState& aState, const Reporter& aReporter);
  static void UncountFlows(ServiceState& aState, const Reporter& aReporter);
  // Makes mCandidates, the upstreams of the service that take new flows, unless
  // they are recent.
  void RefreshCandidates(TimePoint aNow,
                         ServiceState& aState,
                         const Directory& aDirectory) const;
  // Sets the current load of a candidate. aMeanWorkMs is the mean work of a
  // request, zero if unknown.
  static void UpdateLoad(const ServiceState& aState,
                         Candidate& aCandidate,
                         double aMeanWorkMs);
  // Sets the current loads of all candidates. Returns the number of flows that
  // fit their limits.
  static double UpdateLoads(ServiceState& aState, double aMeanWorkMs);
  // Mean work of a request of the service; zero while flows are placed without
  // regard to work.
  double MeanWorkMs(TimePoint aNow, const ServiceState& aState) const;
  Candidate MakeCandidate(TimePoint aNow,
                          const ServiceState& aState,
                          const Upstream& aUpstream,
                          Revision aKnownRevision) const;
  // Sets the flow limits of the candidates. Makes learned speeds relative to
  // their mean first.
  void SetFlowLimits(TimePoint aNow, ServiceState& aState) const;
  // Updates how many flows the cold upstreams among the candidates may get.
  void UpdateColdLimits(TimePoint aNow, ServiceState& aState) const;
  // Grants queued flows up to the limits of the upstreams. Refuses all flows if
  // no upstream takes new ones.
  void GrantQueuedFlows(TimePoint aNow,
                        ServiceState& aState,
                        const Directory& aDirectory);
  // Refuses queued flows: those that have waited for kMaxQueueWait, or all if
  // aOnlyExpired is false. Also drops refusals older than kRetryWindow.
  void RefuseQueuedFlows(TimePoint aNow,
                         ServiceState& aState,
                         bool aOnlyExpired);
  // Refuses queued flows whose turn comes too late for any answer.
  void RefuseHopelessFlows(TimePoint aNow,
                           ServiceState& aState,
                           const Directory& aDirectory);
  // Tells the balancer of a flow that the flow is refused.
  static void Refuse(TimePoint aNow,
                     ServiceState& aState,
                     const QueuedFlow& aFlow);
  // Returns the upstream below its flow limit with the lowest score: its
  // remaining work per slot and the work of the request, weighted by its
  // slowness, plus penalties. Null if the flow should wait.
  Candidate* ChooseUpstream(TimePoint aNow,
                            ServiceState& aState,
                            const QueuedFlow& aFlow,
                            double aMeanWorkMs);
  // The choice of an upstream for one flow.
  struct Choice
  {
    // Of the balancer that requests the grant.
    uint32_t mDomainId = 0;
    // In requests of average work; zero if unknown.
    double mRequestWork = 0;
    uint64_t mTieBreak = 0;
    // The best candidate so far.
    Candidate* mBest = nullptr;
    double mScore = 0;
    bool mIsLastResort = true;
    // A cold upstream was passed over because of its limit.
    bool mHasColdDeferral = false;
    // All upstreams are in silent domains, see SetSilentDomains.
    bool mMayProbeSilentDomains = false;
  };
  Choice StartChoice(TimePoint aNow,
                     const ServiceState& aState,
                     const QueuedFlow& aFlow,
                     double aMeanWorkMs);
  // Makes aCandidate the best one if it is better and below its flow limit.
  static void Consider(TimePoint aNow,
                       const ServiceState& aState,
                       const QueuedFlow& aFlow,
                       Candidate& aCandidate,
                       Choice& aChoice);
  // Grants the queued flows from random samples of many candidates. Flows for
  // which a sample has no upstream in order stay queued.
  void GrantFromSamples(TimePoint aNow, ServiceState& aState);
  // Whether the flow avoids this upstream: the flow excludes it, or it is
  // stalled, rejected or ejected, or it is on probation and doesn't take this
  // flow. Backoffs are not considered.
  static bool IsAvoided(const Candidate& aCandidate, const QueuedFlow& aFlow);
  // Returns when the caller first tried the request of this flow. Removes the
  // refusal of its last try, if there is one.
  TimePoint TakeFirstTryTime(TimePoint aNow,
                             ServiceState& aState,
                             const QueuedFlow& aFlow);
  void AddGrant(TimePoint aNow,
                ServiceState& aState,
                const QueuedFlow& aFlow,
                Candidate& aCandidate);
  // Returns the replies that are due.
  static std::vector<Reply> TakeReplies(uint32_t aServiceId,
                                        ServiceState& aState);

  // By service id.
  std::map<uint32_t, ServiceState> mServices;
  std::mt19937_64 mRandom;
  ColdStartSettings mColdStart;
  size_t mKnownBalancers = 1;
  uint64_t mColdDeferrals = 0;
  uint64_t mHopelessFlows = 0;
  bool mIsIsolated = false;
  // Stable hashes of the failure domains.
  std::set<uint32_t> mSilentDomains;
  bool mIsCostAware = true;
  uint64_t mEjections = 0;
  uint64_t mStalls = 0;
  StallDetector::Conditions mStallConditions;
  std::vector<Event> mEvents;
  TimePoint mPurgedAt;
};

} // namespace foxtail::flow

#endif

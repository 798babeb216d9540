#ifndef foxtail_flow_FlowBalancer_h
#define foxtail_flow_FlowBalancer_h

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"
#include "foxtail/flow/AnswerNotices.h"
#include "foxtail/flow/BrokerAge.h"
#include "foxtail/flow/ColdStartBudget.h"
#include "foxtail/flow/Directory.h"
#include "foxtail/flow/Fleet.h"
#include "foxtail/flow/FlowTracker.h"
#include "foxtail/flow/PeerMessages.h"
#include "foxtail/flow/SlotBroker.h"
#include "foxtail/flow/StalledUpstreams.h"

namespace foxtail::flow {

// Actions that the balancer requests from the owner of the sockets.

// Send the packet to the upstream, with the cookie written into it.
struct ForwardPacket
{
  Address mUpstream;
  uint64_t mInstance = 0;
  Cookie mCookie = 0;
  std::string mBytes;
};
// Send a reset to the caller. Before a flow is open, the reset refuses it, and
// the request has certainly not run. On an open flow it says nothing about
// that; it is only requested for idempotent requests to a stalled upstream.
struct ResetFlow
{
  FlowKey mKey;
  // On an open flow, the last acknowledgement of the caller, which accepts no
  // other sequence numbers. Zero before the flow is open.
  uint32_t mSequence = 0;
};
struct SendToPeer
{
  VmIp mPeer = 0;
  PeerMessage mMessage;
};
// Read the changes after revision mAfter from the publisher.
struct ReadPublisher
{
  Revision mAfter = 0;
  // The replica lacks a full listing or a configuration: read all records.
  bool mNeedsFullListing = false;
  // Limit of the pages of a full listing; zero for no limit.
  size_t mMaxPages = 0;
};
enum class ReadOutcome
{
  // The read is over. It failed if it brought no update.
  Finished,
  // The listing has more than ReadPublisher::mMaxPages pages.
  TooManyPages
};
// Read the changes after revision mAfter from a peer.
struct ReadPeer
{
  VmIp mPeer = 0;
  Revision mAfter = 0;
};
enum class LatencyKind
{
  // From the first opening packet of a flow to each offer to an upstream.
  Offer,
  // From the offer to the caller's confirmation.
  Handshake,
  // From the start of a request to the first bytes of its answer.
  Answer
};
// Record a latency in a histogram.
struct ObserveLatency
{
  LatencyKind mKind = LatencyKind::Offer;
  Duration mLatency{ 0 };
};
struct LogLine
{
  Event mEvent;
};
using FlowAction = std::variant<ForwardPacket,
                                ResetFlow,
                                SendToPeer,
                                ReadPublisher,
                                ReadPeer,
                                ObserveLatency,
                                LogLine>;
using FlowActions = std::vector<FlowAction>;

struct FlowBalancerSettings
{
  MemberRecord mSelf;
  std::vector<VmIp> mSeeds;
  uint64_t mRandomSeed = 0;
  ColdStartSettings mColdStart;
  // Whether flows are placed by expected work. If not, or while the work is
  // unknown, they are placed by the number of flows at each upstream.
  bool mIsCostAware = true;
};

// Counts of events since the start of the balancer.
struct FlowCounters
{
  uint64_t mPackets = 0;
  uint64_t mOpeningPackets = 0;
  // Offers of a flow to an upstream, repeated offers included.
  uint64_t mTotalOffers = 0;
  // Flows whose caller confirmed the upstream's answer.
  uint64_t mEstablished = 0;
  // Offers to another upstream after one that did not answer.
  uint64_t mRepeatedOffers = 0;
  uint64_t mRefusedNoRoute = 0;
  uint64_t mRefusedNoSlot = 0;
  uint64_t mUnknownCookie = 0;
  uint64_t mBrokerTimeouts = 0;
  // Resets of requests on open flows whose upstream is stalled.
  uint64_t mOpenFlowResets = 0;
  // Heartbeats whose confirmation was not taken over, because the sender may
  // not know each change since the own confirmed revision.
  uint64_t mConfirmationsNotTaken = 0;
  // Grants that the own, newer replica rejected.
  uint64_t mRejectedGrants = 0;
  // Reports with requests that got no reply because the own replica was old.
  uint64_t mWithheldReplies = 0;
};

// Balances transport connections (flows) with direct server return: answers go
// from the upstream to the caller without passing through a balancer. New flows
// are placed by the broker of their service. All packets after the opening
// packet are forwarded by their cookie without per-flow state, so every
// balancer can forward them. Does no I/O. Not thread-safe.
class FlowBalancer
{
public:
  // A report without a reply is sent again after this time. It allows for twice
  // the usual delay to a broker in another failure domain and for a late timer.
  static constexpr milliseconds kReportRetryDelay{ 12 };
  // Reports in a row without a reply after which the broker is suspected to be
  // dead.
  static constexpr uint32_t kMaxReportTries = 2;
  // While flows already wait for slots, a request for a new flow is delayed by
  // this time, so that one report carries several requests.
  static constexpr milliseconds kQueuedRequestDelay{ 4 };
  // Limit of requests in a report, so that it fits into a datagram. Further
  // requests go into the next report.
  static constexpr size_t kMaxRequestsPerReport = 18;
  // Limits of complete answers and of unanswered requests in a report. Further
  // complete answers go into later reports.
  static constexpr size_t kMaxCompleteAnswersPerReport = 3;
  static constexpr size_t kMaxUnansweredPerReport = 4;
  // Limit of complete answers that are kept for later reports. Further ones are
  // dropped, because any sample of the answers serves the broker as well.
  static constexpr size_t kMaxQueuedCompleteAnswers = 64;
  // Limit of upstreams with stalled flows in a report.
  static constexpr size_t kMaxStalledPerReport = 4;
  // For this time after a pause, and while timers are later than kMaxJudgeLag,
  // the balancer neither reports stalled flows nor resets any: what looks like
  // the silence of an upstream may be its own. The shortest handshake time-out
  // is as long as this lag.
  static constexpr milliseconds kMinTimeAfterPause{ 5000 };
  static constexpr milliseconds kMaxJudgeLag{ 25 };
  // A released slot is reported with the next request, or after this time.
  static constexpr milliseconds kReleaseReportDelay{ 3 };
  // Interval of reports while the balancer holds slots or has flows that wait.
  static constexpr milliseconds kReportInterval{ 200 };
  // Bounds of the time within which an upstream must answer an opening packet
  // and the caller must confirm the answer, before the allowance for a late
  // timer (see mTimerLag). The time-out follows the mean and deviation of past
  // handshakes.
  static constexpr milliseconds kMinHandshakeTimeout{ 25 };
  static constexpr milliseconds kMaxHandshakeTimeout{ 180 };
  // Time that the fabric needs after a balancer of this failure domain starts
  // or stops until it sends each flow to a fixed balancer again. The fabric
  // makes two readiness checks of half a second first. During this time the
  // caller's confirmation may pass through another balancer, so a missing
  // confirmation does not show that the upstream failed.
  static constexpr milliseconds kFabricSettleTime{ 1500 };
  // Limit of upstreams that a flow is offered to.
  static constexpr uint32_t kMaxOffers = 4;
  // Callers give up opening a flow after this time.
  static constexpr milliseconds kOpeningTimeout{ 1400 };
  // The balancer of rank 0 among the readers (see Fleet::ReaderRank) reads the
  // publisher kReadInterval after the last confirmation of the replica. Each
  // further rank, up to kMaxReadRank, waits kReadRankDelay longer. Changes must
  // be in force within 3 s.
  static constexpr milliseconds kReadInterval{ 500 };
  static constexpr milliseconds kReadRankDelay{ 350 };
  static constexpr size_t kMaxReadRank = 4;
  // Delay before the next read of the publisher after one that failed.
  static constexpr milliseconds kReadRetryDelay{ 200 };
  // A balancer of rank kMaxReadRank or higher waits kReadRetryDelay longer for
  // each rank, up to this many times. A publisher without the history refuses
  // all balancers; peers that have listed it are read meanwhile.
  static constexpr size_t kMaxRetrySpread = 10;
  // A read without a result for this time is given up. A long answer over a
  // slow link takes seconds; its progress is watched by whoever executes the
  // read.
  static constexpr milliseconds kMaxReadTime{ 20000 };
  // Time for which a newer replica in the own failure domain is awaited before
  // a peer of another failure domain is read.
  static constexpr milliseconds kOtherDomainReadDelay{ 120 };
  // Time for which another source is awaited before a peer is read that would
  // send a full listing, because it doesn't know each change since this
  // replica. By then, several balancers have read the publisher in their turn.
  static constexpr milliseconds kListingReadDelay{ 1500 };
  // Time that a starting balancer, unless it is a seed, gives its peers to send
  // it their replica before it reads the publisher: one round trip to a seed
  // and one more.
  static constexpr milliseconds kInitialReadDelay{ 40 };
  // When a large fleet starts, reads of a long listing by every balancer would
  // keep the publisher busy for seconds. For kLongListingDelay after its start,
  // a balancer that is not a seed therefore asks for at most kMaxStartupPages
  // pages. If the listing is longer, the balancer gets the records from a peer,
  // and tries the publisher again after kLongListingRetryDelay.
  static constexpr size_t kMaxStartupPages = 2;
  static constexpr milliseconds kLongListingDelay{ 4000 };
  static constexpr milliseconds kLongListingRetryDelay{ 1500 };
  // Time after the start for which no flows are placed, so that heartbeats of
  // the peers arrive first: two round trips.
  static constexpr milliseconds kPlacementStartDelay{ 60 };
  // Time after a change of the possible brokers for which a broker may have
  // just taken over and awaits the reports of all balancers.
  static constexpr milliseconds kBrokerTakeoverTime{ 500 };
  // A gap of this length between two iterations of the event loop is a pause of
  // the process: frozen or suspended, or without processor time.
  static constexpr milliseconds kMinPause{ 1000 };
  // Opening packets and peer messages that are handled within this time after a
  // pause have waited during it. They are dropped: callers have repeated their
  // packets elsewhere or given up, and the ages in messages are wrong by now.
  static constexpr milliseconds kPauseBacklogTime{ 50 };
  // A starting balancer does not place flows by a replica that the publisher
  // confirmed longer ago than this. Changes must be in force within 3 s.
  static constexpr milliseconds kMaxStartAge{ 3000 };
  // After a pause, or with a replica that is too old at the start, new flows
  // wait until the publisher has confirmed the replica to this balancer or to a
  // peer, or for this time if neither is reachable. Callers repeat their
  // opening packets for 1.4 s.
  static constexpr milliseconds kMaxHold{ 1000 };
  // Interval of reports for a service whose cold upstreams have a limit, while
  // there is nothing else to report. The broker counts who reports to it.
  static constexpr milliseconds kColdReportInterval{ 900 };
  // Limit of rejected upstreams in a report, so that it fits into a datagram.
  // Further ones are rejected again when they are granted again.
  static constexpr size_t kMaxRejectedPerReport = 8;
  // Interval of attempts to find a broker for the own flows while this balancer
  // must not grant by its own replica and hears no other one.
  static constexpr milliseconds kHeldBackRetryDelay{ 20 };
  // Least time between two reads of newer replicas while this balancer must not
  // grant by its own one.
  static constexpr milliseconds kUrgentReadInterval{ 100 };
  // Interval of timer calls until the balancer can place flows.
  static constexpr milliseconds kStartupPollInterval{ 10 };

  FlowBalancer(TimePoint aNow, const FlowBalancerSettings& aSettings);

  FlowActions OnPacket(TimePoint aNow, const Packet& aPacket);
  FlowActions OnPeerMessage(TimePoint aNow,
                            VmIp aFrom,
                            const PeerMessage& aMessage);
  // Handles the result of a read. aUpdate is empty if the read failed; aSource
  // names the publisher or peer for events.
  FlowActions OnReadResult(TimePoint aNow,
                           const std::optional<ReplicaUpdate>& aUpdate,
                           const std::string& aSource,
                           ReadOutcome aOutcome = ReadOutcome::Finished);
  FlowActions OnTimer(TimePoint aNow);
  // Must be called first in each iteration of the event loop. After a pause of
  // kMinPause or longer, what the balancer knew of flows, slots and brokers is
  // dropped, and new flows wait until the replica is confirmed.
  FlowActions OnIteration(TimePoint aNow);
  // Latest time for the next call of OnTimer.
  TimePoint NextDue(TimePoint aNow) const;

  // Replaces the seeds, the VMs through which the fleet is discovered.
  void SetSeeds(const std::vector<VmIp>& aSeeds);

  // Ends the balancer's readiness and, with it, its part in brokering. The
  // balancer goes on to forward packets and to offer new flows to upstreams.
  void Leave();

  // Whether the balancer can serve: it has a configuration and upstreams and is
  // not leaving.
  bool IsReady() const { return mDirectory.IsUsable() && !mIsLeaving; }

  const Directory& Replica() const { return mDirectory; }
  const Fleet& Peers() const { return mFleet; }
  const FlowCounters& Counters() const { return mCounters; }
  const FlowTracker& Flows() const { return mFlowTracker; }
  const SlotBroker& Broker() const { return mBroker; }

private:
  // A flow that waits for a slot or for the caller's confirmation, or, after
  // the start of the balancer, for its route.
  struct PendingFlow
  {
    uint64_t mId = 0;
    FlowKey mKey;
    // The opening packet.
    std::string mBytes;
    uint32_t mSequence = 0;
    uint32_t mServiceId = 0;
    // When the caller sent the first copy of the opening packet.
    TimePoint mFirstSentAt;
    milliseconds mObjective{ 0 };
    uint32_t mPriority = 0;
    bool mIsIdempotent = true;
    // The upstream that the flow is offered to; zero while it waits for a slot.
    Cookie mUpstream = 0;
    TimePoint mOfferedAt;
    uint32_t mOfferCount = 0;
    // A slot has been requested from the broker since the last full report.
    bool mIsRequested = false;
    // Upstreams that did not answer the opening packet in time, or take no new
    // flows.
    std::vector<Cookie> mExcluded;
  };
  // State of this balancer towards the broker of one service.
  struct BrokerSession
  {
    std::string mName;
    VmIp mBroker = 0;
    uint64_t mSequence = 0;
    uint64_t mGrantsSeen = 0;
    uint32_t mFailedTries = 0;
    TimePoint mNextFullReport;
    // Sequence number of the newest report that requested a slot, and the time
    // since which such a report has been unanswered.
    uint64_t mLastRequestSequence = 0;
    std::optional<TimePoint> mUnansweredSince;
    // The next report requests slots for all waiting flows.
    bool mNeedsFullReport = true;
    // Flows still wait after the last reply: the broker has no free slot.
    bool mIsQueueing = false;
    // Time at which the next report is due; empty if none is needed.
    std::optional<TimePoint> mNextReport;
    // Observations for the next reports, see SlotReport.
    std::vector<Cookie> mUnresponsive;
    std::vector<AnswerTime> mAnswerTimes;
    std::vector<AnswerSummary> mCompleteAnswers;
    std::vector<Cookie> mUnanswered;
    AnswerNotices mNotices;
    // Number of flows that became stalled, by upstream.
    std::map<Cookie, uint32_t> mStalled;
    std::vector<Cookie> mRejected;
  };

  void OnMessage(TimePoint aNow, VmIp aFrom, const Heartbeat& aHeartbeat);
  void OnMessage(TimePoint aNow, VmIp aFrom, const SlotReport& aReport);
  void OnMessage(TimePoint aNow, VmIp aFrom, const SlotReply& aReply);

  void OnOpeningPacket(TimePoint aNow, const Packet& aPacket);
  // Whether the routes and the brokers are known.
  bool CanPlace(TimePoint aNow) const;
  void ResumeAfter(TimePoint aNow, Duration aPause);
  // Whether packets that are handled now may have waited during a pause.
  bool IsInBacklog(TimePoint aNow) const
  {
    return mResumedAt && aNow - *mResumedAt < kPauseBacklogTime;
  }
  // Whether the replica may be out of date because of a pause, or because the
  // peer that sent it at the start was cut off from the publisher.
  bool IsHolding(TimePoint aNow) const;
  // Handles a peer's announcement of the newest revision that it knows. Reads
  // the peer at once if the own replica is too old to grant by it.
  void LearnNewest(TimePoint aNow, VmIp aPeer, Revision aNewest);
  // Tells the broker which failure domains are silent, as long as the replica
  // is old.
  void UpdateSilentDomains(TimePoint aNow);
  // Logs when the broker stops or starts again to grant because of the age of
  // the replica.
  void CheckBrokerAge(TimePoint aNow);
  // Whether this balancer must not grant because its replica is too old.
  bool IsHeldBack(TimePoint aNow) const
  {
    return mBrokerAge.IsHeldBack(aNow, mDirectory);
  }
  // Returns the broker for the own flows: that of the service, or the next one
  // while this balancer is the broker and must not grant. Returns this balancer
  // if there is no other.
  VmIp BrokerFor(TimePoint aNow, uint32_t aService) const;
  // Whether the own replica shows that the grant must not be used: it is at
  // least as new as the broker's, whose newest change is aBrokerNewest, and the
  // upstream takes no new flows.
  bool MustReject(TimePoint aNow,
                  Cookie aUpstream,
                  Revision aBrokerNewest) const;
  // Lets the flow wait for another grant, and tells the broker.
  void RejectGrant(TimePoint aNow,
                   PendingFlow& aPending,
                   Cookie aUpstream,
                   Revision aBrokerNewest);
  // Whether a broker with an older replica, whose newest change is
  // aBrokerNewest, refused the flow early although the own replica has an
  // upstream for it.
  bool IsRefusalOutdated(TimePoint aNow,
                         const PendingFlow& aPending,
                         Revision aBrokerNewest) const;
  // Adds an upstream to those that the flow excludes. Keeps the newest
  // kMaxOffers, so that a report fits into a datagram.
  static void Exclude(PendingFlow& aPending, Cookie aUpstream);
  // Lets a flow that is offered to an upstream wait for a grant of another one.
  void WithdrawOffer(TimePoint aNow, PendingFlow& aPending);
  void ResolveRoute(TimePoint aNow, PendingFlow& aPending);
  // Resolves the routes of the flows that arrived before flows could be placed.
  void RouteDeferredFlows(TimePoint aNow);
  // Forwards another copy of the opening packet to the upstream that the flow
  // is offered to, unless the upstream takes no new flows by now.
  void ForwardCopy(TimePoint aNow, PendingFlow& aPending);
  // Offers the flow to the upstream that the broker granted: forwards the
  // opening packet there. Rejects the grant if the own replica is at least as
  // new as the broker's, whose newest change is aBrokerNewest, and the upstream
  // takes no new flows by it.
  void Offer(TimePoint aNow,
             PendingFlow& aPending,
             Cookie aUpstream,
             Revision aBrokerNewest);
  // Logs the refusal of a flow for which there is no slot, and resets the flow
  // unless it may be open.
  void RefuseNoSlot(TimePoint aNow,
                    const PendingFlow& aPending,
                    const char* aReason);
  // Whether the flow may be open by now: an upstream has its opening packet, or
  // the fabric may have sent a copy of the packet to another balancer. Such a
  // flow gets no reset; the caller's own time-out ends it.
  bool MayBeOpen(const PendingFlow& aPending) const;
  void ForwardTo(const Upstream& aUpstream, std::string_view aBytes);
  FlowProgress TrackProgress(TimePoint aNow,
                             const Packet& aPacket,
                             const Upstream& aUpstream);
  void RemovePending(uint64_t aId);

  // Queues a sign of life of an upstream for the broker.
  void RecordAnswer(TimePoint aNow,
                    const Upstream& aUpstream,
                    const FlowProgress& aProgress);
  // Puts queued answer times, signs of life and stalled flows into a report.
  static void FillStallReport(BrokerSession& aSession, SlotReport& aReport);
  // Schedules a report for those that the last one had no room for.
  void ScheduleStallReport(TimePoint aNow, BrokerSession& aSession);
  // Whether this balancer can tell a silent upstream from a fault of its own.
  // After changes of the own domain's members, flows are new here and reports
  // go to other brokers, so nothing is judged until the fabric has settled.
  bool MayJudgeUpstreams(TimePoint aNow) const;
  void SetStallConditions(TimePoint aNow);
  void TakeStalledUpstreams(TimePoint aNow,
                            BrokerSession& aSession,
                            const SlotReply& aReply);
  // Resets the flow instead of forwarding the packet if it carries an
  // idempotent request to a stalled upstream. Returns whether it did.
  bool ResetIfStalled(TimePoint aNow,
                      const Packet& aPacket,
                      const Upstream& aUpstream,
                      const FlowProgress& aProgress);
  // Resets the requests to an upstream that has just been found to be stalled.
  void ResetOutstanding(TimePoint aNow, const Upstream& aUpstream);
  // Resets a request on an open flow if its route is idempotent.
  bool ResetOpenFlow(const FlowKey& aKey,
                     uint32_t aAcknowledgement,
                     const Upstream& aUpstream);
  void ExpireStalls(TimePoint aNow);

  BrokerSession& SessionOf(const std::string& aService);
  void ScheduleReport(TimePoint aNow, BrokerSession& aSession, Duration aDelay);
  void SendReport(TimePoint aNow, uint32_t aService, BrokerSession& aSession);
  void SendDueReports(TimePoint aNow);
  void DeliverReplies(TimePoint aNow,
                      const std::vector<SlotBroker::Reply>& aReplies);
  void CheckPendingFlows(TimePoint aNow);
  // Applies the time-outs of tracked flows and queues reports of upstreams that
  // leave requests unanswered.
  void CheckTrackedFlows(TimePoint aNow);
  void CheckBrokerTimeouts(TimePoint aNow);
  // Schedules reports for the services whose cold upstreams have a limit.
  void ScheduleColdReports(TimePoint aNow);
  // Reports to brokers that have changed.
  void CheckBrokerChanges(TimePoint aNow);
  // Number of balancers that report to a broker that has just taken over; zero
  // if the possible brokers have not changed within kBrokerTakeoverTime.
  size_t ExpectedReporters(TimePoint aNow) const;
  // Whether no other balancer is alive although there are other seeds.
  bool IsIsolated(TimePoint aNow) const;
  void StartReadIfDue(TimePoint aNow);
  Duration ReadDelay(TimePoint aNow) const;
  // Delay before the next read of the publisher after one that failed while
  // the replica is usable.
  Duration RetryDelay(TimePoint aNow) const;
  // Time for which a newer replica is announced before the sender of this
  // heartbeat is read.
  Duration PeerReadDelay(const Heartbeat& aHeartbeat, bool aSendsListing) const;
  Duration HandshakeTimeout(TimePoint aNow) const;

  void Log(int aEvent, std::string aDetail);
  FlowActions TakeActions();

  FlowBalancerSettings mSettings;
  Directory mDirectory;
  Fleet mFleet;
  FlowTracker mFlowTracker;
  // From the answers of flows that were opened here; for mRemainingWork of
  // reports.
  WorkEstimator mWorkEstimator;
  SlotBroker mBroker;
  StalledUpstreams mStalledUpstreams;
  BrokerAge mBrokerAge;
  // Time of the last read that LearnNewest started.
  TimePoint mUrgentReadAt;
  bool mHasSilentDomains = false;
  FlowCounters mCounters;
  struct KeyHash
  {
    size_t operator()(const FlowKey& aKey) const { return aKey.Hash(); }
  };
  std::unordered_map<uint64_t, PendingFlow> mPendingFlows;
  std::unordered_map<FlowKey, uint64_t, KeyHash> mPendingByKey;
  uint64_t mLastPendingId = 0;
  std::map<uint32_t, BrokerSession> mBrokerSessions;
  // Mean duration of handshakes and its mean deviation.
  Duration mMeanHandshake = milliseconds(10);
  Duration mHandshakeDeviation = milliseconds(4);

  // Time of the last change of possible brokers that CheckBrokerChanges has
  // handled.
  TimePoint mHandledBrokerChange;
  // How late OnTimer was called recently (decaying maximum). It is added to the
  // handshake time-out, so that a process without processor time does not blame
  // upstreams for its own delay.
  Duration mTimerLag{ 0 };
  TimePoint mExpectedTimer;

  TimePoint mStarted;
  std::optional<TimePoint> mLastIteration;
  // End of the last pause; empty if there was none.
  std::optional<TimePoint> mResumedAt;
  bool mIsReading = false;
  TimePoint mReadStarted;
  TimePoint mNextRead;
  // A peer with a newer replica, to be read next; zero if there is none.
  VmIp mNewerPeer = 0;
  bool mIsReadingPeer = false;
  // The last read of the publisher failed, and no read has succeeded since.
  bool mHasPublisherFailed = false;
  // Time of the first announcement of a newer replica that is still unknown
  // here; TimePoint{} if there is none.
  TimePoint mNewerPeerFoundAt;
  // The revision that was announced then.
  Revision mAnnounced = 0;
  TimePoint mNextHousekeeping;
  bool mIsLeaving = false;
  bool mIsSeed = false;
  bool mHasRoutedDeferred = false;
  FlowActions mActions;
};

} // namespace foxtail::flow

#endif

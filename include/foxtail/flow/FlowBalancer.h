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
#include "foxtail/flow/Directory.h"
#include "foxtail/flow/Fleet.h"
#include "foxtail/flow/FlowTracker.h"
#include "foxtail/flow/PeerMessages.h"
#include "foxtail/flow/SlotBroker.h"

namespace foxtail::flow {

// Actions: what the owner of the sockets does for the balancer.

// Send the packet to the upstream, with this cookie in it.
struct ForwardPacket
{
  Address mUpstream;
  uint64_t mInstance = 0;
  Cookie mCookie = 0;
  std::string mBytes;
};
// Tell the caller that its flow is refused. Only sent while the flow is not
// open, so the request has certainly not run.
struct ResetFlow
{
  FlowKey mKey;
};
struct SendToPeer
{
  VmIp mPeer = 0;
  PeerMessage mMessage;
};
// Ask the publisher for what changed after this revision.
struct ReadPublisher
{
  Revision mAfter = 0;
  // Nothing is known yet: read everything.
  bool mNeedsFullListing = false;
  // Calls that the whole may take; zero for any number.
  size_t mMaxPages = 0;
};
enum class ReadOutcome
{
  // Answered or failed.
  Completed,
  // The listing has more pages than the read was allowed.
  TooManyPages
};
// Ask a peer for what changed after this revision.
struct ReadPeer
{
  VmIp mPeer = 0;
  Revision mAfter = 0;
};
enum class LatencyKind
{
  // From an opening packet to its placement.
  Placement,
  // From the placement to the caller's confirmation.
  Handshake,
  // From a request to the first bytes of its answer.
  Answer
};
// A time that was measured, for a histogram.
struct ObserveLatency
{
  LatencyKind mKind = LatencyKind::Placement;
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
  uint64_t mSeed = 0;
};

// What happened, since the start.
struct FlowCounters
{
  uint64_t mPackets = 0;
  uint64_t mOpeningPackets = 0;
  uint64_t mPlacements = 0;
  uint64_t mEstablished = 0;
  uint64_t mReoffered = 0;
  uint64_t mRefusedNoRoute = 0;
  uint64_t mRefusedNoSlot = 0;
  uint64_t mUnknownCookie = 0;
  uint64_t mBrokerTimeouts = 0;
};

// Forwards the flows of transport connections whose answers take a direct way
// back. Opening packets are placed with the service's broker; every other
// packet is forwarded by its cookie, without any record of the flow, so any
// balancer can take it. Does no I/O. Not thread-safe.
class FlowBalancer
{
public:
  // A report without an answer is sent again after this time: twice the usual
  // way to a broker in another failure domain and a late timer.
  static constexpr milliseconds kReportRetryDelay{ 12 };
  // Reports without an answer until the broker is taken for dead.
  static constexpr uint32_t kMaxReportTries = 2;
  // While flows wait for slots anyway, new ones are asked for together.
  static constexpr milliseconds kQueuedRequestDelay{ 4 };
  // Requests in one report, so that it fits a datagram; the rest follows.
  static constexpr size_t kMaxRequestsPerReport = 22;
  // Answers described, and requests without one named in one report; of the
  // former the rest follows.
  static constexpr size_t kMaxCompleteAnswersPerReport = 3;
  static constexpr size_t kMaxUnansweredPerReport = 4;
  // Answers that are kept for later reports; any of them tells as much as
  // another.
  static constexpr size_t kMaxQueuedCompleteAnswers = 64;
  // A released slot is reported with the next request or after this time.
  static constexpr milliseconds kReleaseReportDelay{ 3 };
  // A balancer that holds slots or waits for some reports this often.
  static constexpr milliseconds kReportInterval{ 200 };
  // Least time for an upstream to answer an opening packet and the caller to
  // confirm it; the usual time is learned.
  static constexpr milliseconds kMinHandshakeTimeout{ 25 };
  static constexpr milliseconds kMaxHandshakeTimeout{ 180 };
  // After balancers of this failure domain came or went, the fabric needs two
  // readiness checks of half a second until flows keep their way again. The
  // caller's answer to an upstream may pass elsewhere, so its absence here
  // means less.
  static constexpr milliseconds kFabricSettleTime{ 1500 };
  // Upstreams that one opening packet is offered to at most.
  static constexpr uint32_t kMaxOffers = 4;
  // Callers give up on an opening packet after this time.
  static constexpr milliseconds kOpeningTimeout{ 1400 };
  // The first in turn reads the publisher this long after the last
  // confirmation, each next one later: changes must be in force in 3 s.
  static constexpr milliseconds kReadInterval{ 500 };
  static constexpr milliseconds kReadRankDelay{ 350 };
  static constexpr size_t kMaxReadRank = 4;
  // A read that is not answered is followed by the next one after this time.
  static constexpr milliseconds kReadRetryDelay{ 200 };
  // Silence of the publisher or of a peer during a read.
  static constexpr milliseconds kReadTimeout{ 1500 };
  // A peer of another failure domain is read after this time.
  static constexpr milliseconds kOtherDomainReadDelay{ 120 };
  // A starting balancer that is no seed gives its peers this long to tell it
  // all before it reads the publisher: one round trip to a seed, and one more.
  static constexpr milliseconds kInitialReadDelay{ 40 };
  // A starting balancer that is no seed leaves a listing of more pages to the
  // seeds for this long and has it from peers: a large fleet that starts would
  // ask more of the publisher than it answers in seconds.
  static constexpr size_t kMaxStartupPages = 8;
  static constexpr milliseconds kLongListingDelay{ 4000 };
  static constexpr milliseconds kLongListingRetryDelay{ 1500 };
  // A starting balancer places nothing for this long, until it hears its
  // peers: two round trips.
  static constexpr milliseconds kPlacementStartDelay{ 60 };
  // For so long after a change of members a broker may be a new one.
  static constexpr milliseconds kBrokerTakeoverTime{ 500 };
  // Until it knows enough to serve it looks this often.
  static constexpr milliseconds kStartupPollInterval{ 10 };

  FlowBalancer(TimePoint aNow, const FlowBalancerSettings& aSettings);

  FlowActions OnPacket(TimePoint aNow, const Packet& aPacket);
  FlowActions OnPeerMessage(TimePoint aNow,
                            VmIp aFrom,
                            const PeerMessage& aMessage);
  // A read ended with this update; empty when it failed.
  FlowActions OnReadResult(TimePoint aNow,
                           const std::optional<ReplicaUpdate>& aUpdate,
                           const std::string& aSource,
                           ReadOutcome aOutcome = ReadOutcome::Completed);
  FlowActions OnTimer(TimePoint aNow);
  // When OnTimer must be called at the latest.
  TimePoint NextDue(TimePoint aNow) const;

  // Other VMs to ask when none is known.
  void SetSeeds(const std::vector<VmIp>& aSeeds);

  // No new broker duties; everything else goes on.
  void Leave();

  // It can serve: it has a configuration and upstreams.
  bool IsReady() const { return mDirectory.IsUsable() && !mIsLeaving; }

  const Directory& Replica() const { return mDirectory; }
  const Fleet& Peers() const { return mFleet; }
  const FlowCounters& Counters() const { return mCounters; }
  const FlowTracker& Flows() const { return mFlowTracker; }
  const SlotBroker& Broker() const { return mBroker; }

private:
  struct PendingFlow
  {
    uint64_t mId = 0;
    FlowKey mKey;
    std::string mBytes;
    uint32_t mSequence = 0;
    uint32_t mService = 0;
    TimePoint mArrived;
    milliseconds mObjective{ 0 };
    uint32_t mPriority = 0;
    bool mIsIdempotent = true;
    // The upstream it is offered to; zero while it waits for a slot.
    Cookie mUpstream = 0;
    TimePoint mOfferedAt;
    uint32_t mOfferCount = 0;
    // The broker has been asked for a slot since the last whole report.
    bool mIsRequested = false;
    std::vector<Cookie> mExcluded;
  };
  // This balancer's side of the brokering of one service.
  struct BrokerSession
  {
    std::string mName;
    VmIp mBroker = 0;
    uint64_t mSequence = 0;
    uint64_t mGrantsSeen = 0;
    uint32_t mFailedTries = 0;
    TimePoint mNextFullReport;
    // The newest report that asked for a slot, and since when a report that
    // asked is unanswered.
    uint64_t mLastRequestSequence = 0;
    std::optional<TimePoint> mUnansweredSince;
    // The next report names all flows that wait.
    bool mNeedsFullReport = true;
    // Flows wait although the broker has answered: it has no free slot.
    bool mIsQueueing = false;
    // When something is to be reported; empty for nothing.
    std::optional<TimePoint> mNextReport;
    std::vector<Cookie> mUnresponsive;
    std::vector<AnswerTime> mAnswerTimes;
    std::vector<AnswerSummary> mCompleteAnswers;
    std::vector<Cookie> mUnanswered;
  };

  void OnMessage(TimePoint aNow, VmIp aFrom, const Heartbeat& aHeartbeat);
  void OnMessage(TimePoint aNow, VmIp aFrom, const SlotReport& aReport);
  void OnMessage(TimePoint aNow, VmIp aFrom, const SlotReply& aReply);

  void OnOpeningPacket(TimePoint aNow, const Packet& aPacket);
  // It knows where flows go and who brokers.
  bool CanPlace(TimePoint aNow) const;
  void ResolveRoute(TimePoint aNow, PendingFlow& aPending);
  void RouteDeferredFlows(TimePoint aNow);
  void ForwardCopy(TimePoint aNow, PendingFlow& aPending);
  void Offer(TimePoint aNow, PendingFlow& aPending, Cookie aUpstream);
  void Refuse(TimePoint aNow, const PendingFlow& aPending, const char* aReason);
  // The flow may be open by now: an upstream has its opening packet, or the
  // fabric may have taken a copy to another balancer. It gets no reset then;
  // the caller gives up by itself.
  bool MayBeOpen(const PendingFlow& aPending) const;
  void ForwardTo(const Upstream& aUpstream, std::string_view aBytes);
  void TrackProgress(TimePoint aNow,
                     const Packet& aPacket,
                     const Upstream& aUpstream);
  void RemovePending(uint64_t aId);

  BrokerSession& SessionOf(const std::string& aService);
  void ScheduleReport(TimePoint aNow, BrokerSession& aSession, Duration aDelay);
  void SendReport(TimePoint aNow, uint32_t aService, BrokerSession& aSession);
  void SendDueReports(TimePoint aNow);
  void DeliverReplies(TimePoint aNow,
                      const std::vector<SlotBroker::Reply>& aReplies);
  void CheckPendingFlows(TimePoint aNow);
  // Tells brokers of upstreams that leave requests unanswered.
  void CheckTrackedFlows(TimePoint aNow);
  void CheckBrokerTimeouts(TimePoint aNow);
  // Tells new brokers what is held here.
  void CheckBrokerChanges(TimePoint aNow);
  // How many balancers report to a broker that took over just now; zero when
  // the members have been the same for a while.
  size_t ExpectedReporters(TimePoint aNow) const;
  // No other balancer is heard although there are seeds.
  bool IsIsolated(TimePoint aNow) const;
  void StartReadIfDue(TimePoint aNow);
  Duration ReadDelay(TimePoint aNow) const;
  Duration HandshakeTimeout(TimePoint aNow) const;

  void Log(int aEvent, std::string aDetail);
  FlowActions TakeActions();

  FlowBalancerSettings mSettings;
  Directory mDirectory;
  Fleet mFleet;
  FlowTracker mFlowTracker;
  SlotBroker mBroker;
  FlowCounters mCounters;
  struct KeyHash
  {
    size_t operator()(const FlowKey& aKey) const { return aKey.Hash(); }
  };
  std::unordered_map<uint64_t, PendingFlow> mPendingFlows;
  std::unordered_map<FlowKey, uint64_t, KeyHash> mPendingByKey;
  uint64_t mLastPendingId = 0;
  std::map<uint32_t, BrokerSession> mBrokerSessions;
  // Usual time of a handshake and its usual deviation.
  Duration mMeanHandshake = milliseconds(10);
  Duration mHandshakeDeviation = milliseconds(4);

  // The change of members that CheckBrokerChanges saw last.
  TimePoint mHandledBrokerChange;
  // How late the timer ran of late: a process without processor time must not
  // take its own delay for an upstream's silence.
  Duration mTimerLag{ 0 };
  TimePoint mExpectedTimer;

  TimePoint mStarted;
  bool mIsReading = false;
  TimePoint mReadStarted;
  TimePoint mNextRead;
  // A peer that knows more than this balancer.
  VmIp mNewerPeer = 0;
  // Since when peers have known more.
  TimePoint mNewerPeerSince;
  TimePoint mNextHousekeeping;
  bool mIsLeaving = false;
  bool mIsSeed = false;
  bool mHasRoutedDeferred = false;
  FlowActions mActions;
};

} // namespace foxtail::flow

#endif

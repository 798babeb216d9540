#ifndef foxtail_membership_Detector_h
#define foxtail_membership_Detector_h

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/membership/Gossip.h"
#include "foxtail/membership/LocalBalancer.h"
#include "foxtail/membership/UpdateQueue.h"
#include "foxtail/membership/View.h"
#include "foxtail/membership/VmRegistry.h"

// Failure detection and dissemination between the agents of all VMs with the
// SWIM protocol: each agent probes one other member per period, so that its
// cost does not grow with the fleet, and records about members are piggybacked
// on the probes.
namespace foxtail::membership {

// Interval at which an agent probes one other member.
constexpr milliseconds kProbePeriod{ 500 };
// An agent whose probe is unanswered for this time asks other members to probe
// the target.
constexpr milliseconds kProbeTimeout{ 150 };
// Number of members that are asked to probe a target.
constexpr size_t kIndirectProbes = 3;
// How long a suspected member may take to refute before it is declared dead, in
// a fleet of up to ten members; grows with the logarithm of their number. An
// agent that was paused for longer than this marks its view as in doubt.
constexpr milliseconds kSuspicionTimeout{ 1000 };
// An agent that was paused for longer than this withdraws its balancer: the
// VM's peers have declared the VM dead, so the balancer must take a new
// incarnation.
constexpr seconds kMaxPause{ 3 };
// Interval at which an agent probes one of the published VMs that are unknown
// or declared dead, and at which it removes VMs that are no longer published.
constexpr seconds kReconnectPeriod{ 1 };
// Interval at which an agent sends a Sync message with one page of its member
// list to one peer, which answers with the records that the agent lacks.
constexpr seconds kSyncPeriod{ 5 };
// Maximum number of records in a Sync message.
constexpr size_t kSyncPageRecords = 8;
// A starting agent asks one peer after the other for the member list; the delay
// between two requests starts at kPullRetryDelay and doubles up to
// kMaxPullRetryDelay.
constexpr milliseconds kPullRetryDelay{ 200 };
constexpr seconds kMaxPullRetryDelay{ 30 };
// A starting agent announces itself after this time even when no peer answered.
constexpr seconds kJoinTimeout{ 1 };
// An update that must not wait for the next probe, such as a change of who owns
// flows or of the configuration, is pushed to kPushFanout members at once; two
// pushes are at least this far apart.
constexpr milliseconds kMinPushInterval{ 200 };
constexpr size_t kPushFanout = 3;
// Maximum bytes of records from the update queue in one message that is not a
// push.
constexpr size_t kPiggybackBytes = 250;
// Maximum bytes of records in a push.
constexpr size_t kPushBytes = 1000;
// Maximum bytes of records in a SyncReply.
constexpr size_t kPageBytes = 1000;

struct DetectorSettings
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  // For gossip over UDP; all agents use the same port.
  Address mAgentAddress;
  AgentIncarnation mIncarnation = 0;
  // Seed of the random number generator; must differ between VMs and restarts.
  uint64_t mSeed = 0;
};

// Events.

// Must be handled at least once per kProbeTimeout. Gossip received before a
// tick must be handled before that tick.
struct Tick
{};
struct GossipReceived
{
  Address mPeer;
  Gossip mGossip;
};
struct BalancerHeartbeat
{
  Member mSelf;
};
// The VM list was read from the platform or fetched from a peer.
struct VmListRead
{
  PublishedVmList mVms;
};
// This VM now uses this configuration.
struct ConfigChanged
{
  ConfigProgress mProgress;
};
// The VM is about to stop; its balancer takes no new flows.
struct LeaveRequested
{};
// The agent ends now. The detector ignores all later events.
struct Stopped
{};
using DetectorEvent = std::variant<Tick,
                                   GossipReceived,
                                   BalancerHeartbeat,
                                   VmListRead,
                                   ConfigChanged,
                                   LeaveRequested,
                                   Stopped>;

// Actions.

struct SendGossip
{
  Address mTo;
  Gossip mGossip;
};
struct ViewChanged
{
  ViewPtr mView;
};
// The peer has a newer configuration or VM list than this agent. While this
// agent has no VM list, the action is given for every sender of gossip, because
// that sender may have a list.
struct PeerAhead
{
  Address mPeer;
  bool mConfig = false;
  bool mVms = false;
};
// The balancer's incarnation in its heartbeat was refused and is not announced;
// the balancer must take an incarnation greater than mIncarnationFloor.
struct BalancerRefused
{
  Incarnation mIncarnationFloor = 0;
};
// A gossip message was dropped. mError is the number of a PeerError: 720, no VM
// with the sender's name is published at the IP address it sent from; 721, the
// source address differs from the agent address in the message; 722, the sender
// uses the name of this VM.
struct GossipRefused
{
  int mError = 0;
  Address mPeer;
};
using DetectorAction = std::
  variant<SendGossip, ViewChanged, PeerAhead, BalancerRefused, GossipRefused>;
using DetectorActions = std::vector<DetectorAction>;

// Failure detector of one VM's agent. Does no I/O; not thread-safe.
class Detector
{
public:
  explicit Detector(const DetectorSettings& aSettings);

  // Handles one event and returns the actions to carry out. aNow must not
  // decrease between calls.
  DetectorActions Handle(TimePoint aNow, const DetectorEvent& aEvent);

  // The newest view; empty and in doubt until this agent has joined. Sequence
  // numbers start at the agent's incarnation, so that they keep growing when
  // the agent restarts.
  ViewPtr CurrentView() const { return mView; }
  bool HasJoined() const { return mPhase == Phase::Live; }
  // True while heartbeats of a balancer on this VM are received.
  bool HasBalancer() const { return mBalancer.Current().has_value(); }
  const VmRegistry& Registry() const { return mRegistry; }

  // Members whose agents are not declared dead, this VM excluded. A member may
  // have no running balancer.
  std::vector<Member> LiveAgents() const;

  // Number of records dropped because their VM is not published at their IP
  // address.
  uint64_t RefusedRecords() const { return mRefusedRecords; }

private:
  enum class Phase
  {
    // Pulls the member list from peers and does not announce itself.
    Joining,
    Live,
    Left
  };
  struct Entry
  {
    MemberRecord mRecord;
    // When the record was stored, plus the duration of later pauses of this
    // process. Used only while the state is Suspect.
    TimePoint mSuspectedAt;
  };
  struct Probe
  {
    uint64_t mSequence;
    std::string mTarget;
    TimePoint mSentAt;
    // Other members were asked to probe the target.
    bool mIndirectRequested = false;
    bool mAnswered = false;
  };
  // A probe that this agent sends on behalf of another member.
  struct RelayedProbe
  {
    Address mRequester;
    uint64_t mRequesterSequence;
    TimePoint mExpires;
  };
  // Reading of a peer's member list page by page, with Sync messages without
  // records.
  struct Pull
  {
    uint64_t mSequence;
    Address mPeer;
    std::string mAfterName;
  };

  void On(TimePoint aNow, const Tick& aEvent);
  void On(TimePoint aNow, const GossipReceived& aEvent);
  void On(TimePoint aNow, const BalancerHeartbeat& aEvent);
  void On(TimePoint aNow, const VmListRead& aEvent);
  void On(TimePoint aNow, const ConfigChanged& aEvent);
  void On(TimePoint aNow, const LeaveRequested& aEvent);
  void On(TimePoint aNow, const Stopped& aEvent);

  // Functions for the record about this VM.

  // Makes a new revision of the record and queues it for dissemination.
  void Announce();
  // Compares aNow with the time of the last event. A gap longer than
  // kProbeTimeout means that the process was paused: drops the current probe,
  // and extends the suspicion time-outs and, up to kMaxPause, the heartbeat
  // time-out by the gap. Withdraws the balancer after a longer pause. Sets the
  // times of the periodic functions at the first event.
  void DetectPause(TimePoint aNow);
  // Handles a record about this VM that a peer sent. When that record
  // supersedes mSelf, announces a new one that supersedes it in turn.
  void OnRecordAboutSelf(const MemberRecord& aRecord);

  // Functions for records about other members.

  // Stores the record when it supersedes the known one. aDisseminate says
  // whether to pass the record on to other members; false for the records of a
  // SyncReply, which are not new to the fleet.
  void Merge(TimePoint aNow, const MemberRecord& aRecord, bool aDisseminate);
  void StoreRecord(TimePoint aNow, const MemberRecord& aRecord);
  void RemoveMember(const std::string& aName);
  void ExpireVms(TimePoint aNow);

  // Functions for messages.

  // Returns the number of the error for GossipRefused, or 0 when the message is
  // accepted.
  int CheckSender(const GossipReceived& aEvent) const;
  void HandleMessage(TimePoint aNow, const GossipReceived& aEvent);
  // Probes a member on behalf of the sender.
  void RelayProbe(TimePoint aNow, const GossipReceived& aEvent);
  void AnswerSync(const GossipReceived& aEvent);
  void OnAck(TimePoint aNow, const Gossip& aGossip);
  void OnSyncReply(const Gossip& aGossip);
  Gossip Compose(GossipKind aKind, uint64_t aSequence) const;
  // Adds records of at most aMaxUpdateBytes from the update queue and sends the
  // message.
  void Send(const Address& aTo, Gossip aGossip, size_t aMaxUpdateBytes);
  void SendToMember(const Entry& aEntry,
                    Gossip aGossip,
                    size_t aMaxUpdateBytes);

  // Functions that Handle calls periodically.
  void JoinStep(TimePoint aNow);
  void PullStep(TimePoint aNow);
  void ProbeStep(TimePoint aNow);
  void SuspicionStep(TimePoint aNow);
  void ReconnectStep(TimePoint aNow);
  void SyncStep(TimePoint aNow);
  void PushStep(TimePoint aNow);
  void StartProbe(TimePoint aNow);
  void ProbeIndirectly();
  void Suspect(TimePoint aNow, const std::string& aName);

  void PublishView();
  View BuildView() const;
  Member ToMember(const MemberRecord& aRecord) const;
  bool HasMajority() const;

  const MemberRecord* FindRecord(const std::string& aName) const;
  std::vector<const MemberRecord*> RecordsAfter(const std::string& aName) const;
  std::vector<const Entry*> PickLive(size_t aCount,
                                     const std::string& aExcept = "");
  Entry* NextProbeTarget();
  size_t RandomBelow(size_t aBound);

  DetectorSettings mSettings;
  std::mt19937_64 mRandom;
  Phase mPhase = Phase::Joining;
  MemberRecord mSelf;
  LocalBalancer mBalancer;
  bool mLeaveRequested = false;
  VmRegistry mRegistry;
  ConfigProgress mConfig;
  std::map<std::string, Entry> mMembers;
  std::set<std::string> mSuspects;
  UpdateQueue mUpdateQueue;

  std::optional<TimePoint> mStartedAt;
  TimePoint mLastEventAt;
  // True after a pause longer than kSuspicionTimeout, until a probe is answered
  // or there is no live member to probe.
  bool mStaleAfterPause = false;
  // True when one peer's member list was read to its end, or no other VM is
  // published; cleared by a pause longer than kSuspicionTimeout.
  bool mHasPulledList = false;
  // True when a peer's member list was read to its end while HasMajority was
  // true; the agent then pulls no more lists. Cleared together with
  // mHasPulledList.
  bool mPullComplete = false;
  std::optional<Pull> mPull;
  TimePoint mNextPull;
  Duration mPullDelay = kPullRetryDelay;

  uint64_t mSequence = 0;
  std::optional<Probe> mProbe;
  std::map<uint64_t, RelayedProbe> mRelayedProbes;
  std::vector<std::string> mProbeOrder;
  TimePoint mNextProbe;
  TimePoint mNextReconnect;
  TimePoint mNextExpiry;
  TimePoint mNextSync;
  std::string mSyncAfterName;
  // An update waits to be pushed instead of being sent with the next probe.
  bool mPushPending = false;
  TimePoint mNextPush;

  bool mViewDirty = true;
  ViewPtr mView;
  uint64_t mRefusedRecords = 0;
  DetectorActions mActions;
};

} // namespace foxtail::membership

#endif

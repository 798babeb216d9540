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

// Failure detection and dissemination between the agents of all VMs, after
// SWIM: each agent probes one other member a period, so that its cost does not
// grow with the fleet, and statements about members ride on the probes.
namespace foxtail::membership {

// Each agent probes one other member this often.
constexpr milliseconds kProbePeriod{ 500 };
// A probe unanswered for this long is repeated by way of other members.
constexpr milliseconds kProbeTimeout{ 150 };
constexpr size_t kIndirectProbes = 3;
// How long a suspected member may take to refute, up to ten members; grows
// with the logarithm of their number. A process that slept longer than this
// doubts its view.
constexpr milliseconds kSuspicionTimeout{ 1000 };
// A VM that slept longer than this was declared dead by its peers; its
// balancer must take a new incarnation.
constexpr seconds kMaxPause{ 3 };
// Published VMs that are not heard are tried this often, one at a time.
constexpr seconds kReconnectPeriod{ 1 };
// One page of the member list is compared with one peer this often.
constexpr seconds kSyncPeriod{ 5 };
// Records on the asking side of one comparison.
constexpr size_t kSyncPageRecords = 8;
// A starting agent asks one peer after the other for the member list, first at
// this interval, then at twice the last, up to the greatest.
constexpr milliseconds kPullRetryDelay{ 200 };
constexpr seconds kMaxPullRetryDelay{ 30 };
// It speaks after this time even when no peer answered.
constexpr seconds kJoinTimeout{ 1 };
// News are pushed to some members at once, at most this often.
constexpr milliseconds kMinPushInterval{ 200 };
constexpr size_t kPushFanout = 3;
// Records on a probe or its answer, on a push and on a page; bytes.
constexpr size_t kPiggybackBytes = 250;
constexpr size_t kPushBytes = 1000;
constexpr size_t kPageBytes = 1000;

struct DetectorSettings
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  // UDP; peers use the same port.
  Address mAgentAddress;
  AgentIncarnation mIncarnation = 0;
  // Differs between VMs and lives.
  uint64_t mSeed = 0;
};

// Events.

// Due at least every kProbeTimeout; what came in before is handled first.
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
// A VM list was read from the platform or had from a peer.
struct VmListRead
{
  PublishedVmList mVms;
};
// The configuration in force here is now this one.
struct ConfigChanged
{
  ConfigProgress mProgress;
};
// The VM stops soon: its balancer takes no new flows.
struct LeaveRequested
{};
// The agent ends now; nothing is handled after this.
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
// This peer has a newer configuration or VM list than this agent. An agent
// that has no list yet says so of whoever sends to it.
struct PeerAhead
{
  Address mPeer;
  bool mConfig = false;
  bool mVms = false;
};
// The heartbeat's incarnation is not announced; the balancer must take one
// greater than mIncarnationFloor.
struct BalancerRefused
{
  Incarnation mIncarnationFloor = 0;
};
// A gossip message was dropped. Numbers are PeerError's: 720 the sender is no
// published VM at that IP number, 721 it did not send from the address that it
// names, 722 it claims to be this VM.
struct GossipRefused
{
  int mError = 0;
  Address mPeer;
};
using DetectorAction = std::
  variant<SendGossip, ViewChanged, PeerAhead, BalancerRefused, GossipRefused>;
using DetectorActions = std::vector<DetectorAction>;

// One VM's part in membership. Not thread-safe.
class Detector
{
public:
  explicit Detector(const DetectorSettings& aSettings);

  // Takes one event; aNow never goes back.
  DetectorActions Handle(TimePoint aNow, const DetectorEvent& aEvent);

  // The newest view; empty and in doubt until this agent has joined. Sequences
  // begin at the agent's incarnation, so a later life continues them.
  ViewPtr CurrentView() const { return mView; }
  bool HasJoined() const { return mPhase == Phase::Live; }
  // A balancer lives on this VM.
  bool HasBalancer() const { return mBalancer.Current().has_value(); }
  const VmRegistry& Registry() const { return mRegistry; }

  // Agents that are not dead, this one excluded; their balancers may be
  // absent.
  std::vector<Member> LiveAgents() const;

  // Records about VMs that are not published, dropped so far.
  uint64_t RefusedRecords() const { return mRefusedRecords; }

private:
  enum class Phase
  {
    // Learns from peers and says nothing about itself.
    Joining,
    Live,
    Left
  };
  struct Entry
  {
    MemberRecord mRecord;
    TimePoint mSuspectAt;
  };
  struct Probe
  {
    uint64_t mSequence;
    std::string mTarget;
    TimePoint mSentAt;
    bool mIndirect = false;
    bool mAnswered = false;
  };
  // A probe made for another member.
  struct Relay
  {
    Address mAsker;
    uint64_t mAskerSequence;
    TimePoint mExpires;
  };
  struct Pull
  {
    uint64_t mSequence;
    Address mPeer;
    std::string mAfter;
  };

  void On(TimePoint aNow, const Tick& aEvent);
  void On(TimePoint aNow, const GossipReceived& aEvent);
  void On(TimePoint aNow, const BalancerHeartbeat& aEvent);
  void On(TimePoint aNow, const VmListRead& aEvent);
  void On(TimePoint aNow, const ConfigChanged& aEvent);
  void On(TimePoint aNow, const LeaveRequested& aEvent);
  void On(TimePoint aNow, const Stopped& aEvent);

  // Own statements.
  void Announce();
  void NoticePause(TimePoint aNow);
  void HearOfSelf(const MemberRecord& aRecord);

  // Statements about others.
  // News are passed on; what a page of another's list says is none.
  void Merge(TimePoint aNow, const MemberRecord& aRecord, bool aNews);
  void Store(TimePoint aNow, const MemberRecord& aRecord);
  void Forget(const std::string& aName);
  void ExpireVms(TimePoint aNow);

  // Messages.
  int CheckSender(const GossipReceived& aEvent) const;
  void Answer(TimePoint aNow, const GossipReceived& aEvent);
  void AnswerIndirect(TimePoint aNow, const GossipReceived& aEvent);
  void AnswerSync(const GossipReceived& aEvent);
  void OnAck(TimePoint aNow, const Gossip& aGossip);
  void OnPage(const Gossip& aGossip);
  Gossip Compose(GossipKind aKind, uint64_t aSequence) const;
  void Send(const Address& aTo, Gossip aGossip, size_t aUpdateBytes);
  void SendTo(const Entry& aEntry, Gossip aGossip, size_t aUpdateBytes);

  // Periodic duties.
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
  bool HearsMajority() const;

  const MemberRecord* FindRecord(const std::string& aName) const;
  std::vector<const MemberRecord*> RecordsAfter(const std::string& aName) const;
  std::vector<const Entry*> PickLive(size_t aCount,
                                     const std::string& aExcept = "");
  Entry* NextProbeTarget();
  size_t Random(size_t aBound);

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
  UpdateQueue mQueue;

  std::optional<TimePoint> mStartedAt;
  TimePoint mLastEvent;
  // Slept longer than kSuspicionTimeout and no probe was answered since.
  bool mPaused = false;
  // The whole list of one peer was had since the start or the last pause.
  bool mSynced = false;
  // The same, and the greater part of the published VMs was heard then.
  bool mListComplete = false;
  std::optional<Pull> mPull;
  TimePoint mNextPull;
  Duration mPullDelay = kPullRetryDelay;

  uint64_t mSequence = 0;
  std::optional<Probe> mProbe;
  std::map<uint64_t, Relay> mRelays;
  std::vector<std::string> mProbeOrder;
  TimePoint mNextProbe;
  TimePoint mNextReconnect;
  TimePoint mNextExpiry;
  TimePoint mNextSync;
  std::string mSyncAfter;
  // There is news that should not wait for the next probe.
  bool mUrgent = false;
  TimePoint mNextPush;

  bool mViewDirty = true;
  ViewPtr mView;
  uint64_t mRefusedRecords = 0;
  DetectorActions mActions;
};

} // namespace foxtail::membership

#endif

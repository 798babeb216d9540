#include "foxtail/membership/Detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtail::membership {

namespace {

// Probes made for other members at a time.
constexpr size_t kMaxRelays = 64;
// An incarnation that cannot be outbid is a forged one.
constexpr AgentIncarnation kMaxIncarnation = AgentIncarnation(1) << 61;

bool
IsDead(const MemberRecord& aRecord)
{
  return aRecord.mMember.mState == MemberState::Dead;
}

// True when the record names a living balancer, so that views show it.
bool
NamesBalancer(const MemberRecord& aRecord)
{
  return !IsDead(aRecord) && !aRecord.mBalancerAbsent &&
         aRecord.mMember.mIncarnation != 0;
}

// True when the difference changes who owns flows, so that it should spread
// at once.
bool
IsUrgent(const MemberRecord& aOld, const MemberRecord& aNew)
{
  return IsDead(aOld) != IsDead(aNew) || aOld.mLeaving != aNew.mLeaving ||
         aOld.mBalancerAbsent != aNew.mBalancerAbsent ||
         aOld.mMember.mIncarnation != aNew.mMember.mIncarnation;
}

bool
SameMember(const Member& a, const Member& b)
{
  return a.mName == b.mName && a.mIncarnation == b.mIncarnation &&
         a.mState == b.mState && a.mRegion == b.mRegion &&
         a.mDomain == b.mDomain && a.mHandoffAddress == b.mHandoffAddress &&
         a.mPeerAddress == b.mPeerAddress && a.mAgentAddress == b.mAgentAddress;
}

bool
SameView(const View& a, const View& b)
{
  return a.mInDoubt == b.mInDoubt && std::equal(a.mMembers.begin(),
                                                a.mMembers.end(),
                                                b.mMembers.begin(),
                                                b.mMembers.end(),
                                                SameMember);
}

// How often one record is passed on by one member.
int
MaxSends(size_t aMembers)
{
  constexpr int kPerDoubling = 3;
  return kPerDoubling * static_cast<int>(std::ceil(
                          std::log2(static_cast<double>(aMembers) + 2)));
}

Duration
SuspicionTime(size_t aMembers)
{
  const double factor =
    std::max(1.0, std::log10(static_cast<double>(aMembers) + 1));
  return Duration(kSuspicionTime) * static_cast<int64_t>(factor * 1000) / 1000;
}

} // namespace

Detector::Detector(const DetectorSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  View none;
  none.mSequence = aSettings.mIncarnation;
  none.mInDoubt = true;
  mView = std::make_shared<const View>(std::move(none));
  mSelf.mMember.mName = aSettings.mName;
  mSelf.mMember.mRegion = aSettings.mRegion;
  mSelf.mMember.mDomain = aSettings.mDomain;
  mSelf.mMember.mAgentAddress = aSettings.mAgentAddress;
  // Valid on the wire until a balancer names its own.
  mSelf.mMember.mHandoffAddress = aSettings.mAgentAddress;
  mSelf.mMember.mPeerAddress = aSettings.mAgentAddress;
  mSelf.mAgentIncarnation = aSettings.mIncarnation;
  mSelf.mRevision = 1;
  mSequence = mRandom() >> 40;
}

DetectorActions
Detector::Handle(TimePoint aNow, const DetectorEvent& aEvent)
{
  mActions.clear();
  if (mPhase == Phase::Left) {
    return {};
  }
  NoticePause(aNow);
  std::visit([&](const auto& it) { On(aNow, it); }, aEvent);
  if (mPhase == Phase::Live) {
    PushStep(aNow);
  }
  // Gossip comes in batches; the tick that follows shows what it changed.
  if (!std::holds_alternative<GossipReceived>(aEvent)) {
    PublishView();
  }
  return std::move(mActions);
}

// Own statements.

void
Detector::NoticePause(TimePoint aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
    mLastEvent = aNow;
    const auto period = static_cast<size_t>(kProbePeriod.count());
    mNextProbe = aNow + milliseconds(Random(period));
    mNextReconnect = aNow + milliseconds(Random(period));
    mNextSync = aNow + milliseconds(Random(10 * period));
  }
  const Duration gap = aNow - mLastEvent;
  mLastEvent = aNow;
  if (gap <= kProbeTimeout) {
    return;
  }
  // Answers may have come while nobody listened: nothing that ran out during
  // the pause is held against anyone.
  mProbe.reset();
  for (const std::string& it : mSuspects) {
    mMembers[it].mSuspectAt += gap;
  }
  if (gap <= kLongPause) {
    mBalancer.ForgivePause(gap);
  } else if (mBalancer.Current()) {
    mBalancer.Withdraw();
    Announce();
  }
  if (gap > kSuspicionTime) {
    mPaused = true;
    mSynced = false;
    mListComplete = false;
    mPullDelay = kPullRetry;
    mNextPull = aNow;
    mViewDirty = true;
  }
}

void
Detector::Announce()
{
  const std::optional<Member>& balancer = mBalancer.Current();
  ++mSelf.mRevision;
  mSelf.mMember.mState = MemberState::Alive;
  mSelf.mBalancerAbsent = !balancer;
  mSelf.mLeaving = mLeaveRequested;
  if (balancer) {
    mSelf.mMember.mIncarnation = balancer->mIncarnation;
    mSelf.mMember.mHandoffAddress = balancer->mHandoffAddress;
    mSelf.mMember.mPeerAddress = balancer->mPeerAddress;
    mSelf.mLeaving |= balancer->mState == MemberState::Leaving;
  }
  mQueue.Add(mSettings.mName);
  mUrgent = true;
  mViewDirty = true;
}

void
Detector::HearOfSelf(const MemberRecord& aRecord)
{
  if (aRecord.mAgentIncarnation >= kMaxIncarnation) {
    return;
  }
  if (aRecord.mBalancerAbsent &&
      aRecord.mAgentIncarnation != mSelf.mAgentIncarnation) {
    // Withdrawn in another life of this agent.
    mBalancer.RaiseFloor(aRecord.mMember.mIncarnation);
    if (NamesBalancer(mSelf) && !mBalancer.Current()) {
      Announce();
    }
  }
  if (aRecord.mAgentIncarnation > mSelf.mAgentIncarnation) {
    // The clock went back between two lives.
    mSelf.mAgentIncarnation = aRecord.mAgentIncarnation + 1;
    Announce();
    return;
  }
  if (Supersedes(aRecord, mSelf)) {
    mSelf.mRevision = aRecord.mRevision;
    Announce();
  }
}

void
Detector::On(TimePoint aNow, const BalancerHeartbeat& aEvent)
{
  switch (mBalancer.Heartbeat(aNow, aEvent.mSelf)) {
    case LocalBalancer::Verdict::Unchanged:
      break;
    case LocalBalancer::Verdict::Changed:
      Announce();
      break;
    case LocalBalancer::Verdict::Refused:
      mActions.emplace_back(BalancerRefused{ std::max(
        mBalancer.Floor(),
        mBalancer.Current() ? mBalancer.Current()->mIncarnation : 0) });
      break;
  }
}

void
Detector::On(TimePoint /*aNow*/, const ConfigChanged& aEvent)
{
  mConfig = aEvent.mProgress;
  mUrgent = true;
}

void
Detector::On(TimePoint /*aNow*/, const LeaveRequested& /*aEvent*/)
{
  mLeaveRequested = true;
  Announce();
}

void
Detector::On(TimePoint /*aNow*/, const Stopped& /*aEvent*/)
{
  if (mPhase == Phase::Live) {
    mBalancer.Withdraw();
    Announce();
    mSelf.mMember.mState = MemberState::Dead;
    for (const Entry* it : PickLive(2 * kPushFanout)) {
      SendTo(*it, Compose(GossipKind::Update, ++mSequence), kPushBytes);
    }
  }
  mPhase = Phase::Left;
}

// Statements about others.

void
Detector::On(TimePoint aNow, const VmsRead& aEvent)
{
  if (mRegistry.Offer(aNow, aEvent.mVms) != VmRegistry::Verdict::Changed) {
    return;
  }
  mViewDirty = true;
  // A name may have moved to a new VM.
  std::vector<std::string> moved;
  for (const auto& [name, entry] : mMembers) {
    const uint32_t ip = entry.mRecord.mMember.mAgentAddress.mIp;
    if (!mRegistry.Permits(name, ip)) {
      moved.push_back(name);
    }
  }
  for (const std::string& it : moved) {
    Forget(it);
  }
}

void
Detector::ExpireVms()
{
  const auto isHeard = [&](const std::string& n) {
    const MemberRecord* record = FindRecord(n);
    return record != nullptr && !IsDead(*record);
  };
  for (const std::string& it : mRegistry.Expire(isHeard)) {
    Forget(it);
  }
}

void
Detector::Forget(const std::string& aName)
{
  mMembers.erase(aName);
  mSuspects.erase(aName);
  mQueue.Remove(aName);
  mViewDirty = true;
}

void
Detector::Merge(TimePoint aNow, const MemberRecord& aRecord)
{
  const std::string& name = aRecord.mMember.mName;
  if (name == mSettings.mName) {
    HearOfSelf(aRecord);
    return;
  }
  if (!mRegistry.Permits(name, aRecord.mMember.mAgentAddress.mIp)) {
    ++mRefusedRecords;
    return;
  }
  const auto it = mMembers.find(name);
  if (it == mMembers.end()) {
    mUrgent |= !IsDead(aRecord);
    Store(aNow, aRecord);
    return;
  }
  if (Supersedes(aRecord, it->second.mRecord)) {
    mUrgent |= IsUrgent(it->second.mRecord, aRecord);
    Store(aNow, aRecord);
  }
}

void
Detector::Store(TimePoint aNow, const MemberRecord& aRecord)
{
  const std::string& name = aRecord.mMember.mName;
  if (aRecord.mMember.mState == MemberState::Suspect) {
    mSuspects.insert(name);
  } else {
    mSuspects.erase(name);
  }
  mMembers[name] = { aRecord, aNow };
  mQueue.Add(name);
  mViewDirty = true;
}

// Messages.

int
Detector::CheckSender(const GossipReceived& aEvent) const
{
  const Member& sender = aEvent.mGossip.mSender.mMember;
  if (sender.mName == mSettings.mName) {
    return 722;
  }
  if (!mRegistry.Permits(sender.mName, aEvent.mPeer.mIp)) {
    return 720;
  }
  return sender.mAgentAddress == aEvent.mPeer ? 0 : 721;
}

void
Detector::On(TimePoint aNow, const GossipReceived& aEvent)
{
  const int error = CheckSender(aEvent);
  if (error != 0) {
    mActions.emplace_back(GossipRefused{ error, aEvent.mPeer });
    if (mRegistry.Entries().empty()) {
      // Without a list nobody may speak, but whoever does may have one.
      mActions.emplace_back(PeerAhead{ aEvent.mPeer, false, true });
    }
    return;
  }
  const Gossip& gossip = aEvent.mGossip;
  const PeerAhead ahead{ aEvent.mPeer,
                         gossip.mConfig.mNumber > mConfig.mNumber ||
                           gossip.mConfig.mPosition > mConfig.mPosition,
                         gossip.mVmsIndex > mRegistry.Index() };
  if (ahead.mConfig || ahead.mVms) {
    mActions.emplace_back(ahead);
  }
  // A starting agent asks before it says anything about itself.
  if (gossip.mKind != GossipKind::Sync) {
    Merge(aNow, gossip.mSender);
  }
  for (const MemberRecord& it : gossip.mUpdates) {
    Merge(aNow, it);
  }
  Answer(aNow, aEvent);
}

void
Detector::Answer(TimePoint aNow, const GossipReceived& aEvent)
{
  const Gossip& gossip = aEvent.mGossip;
  if (gossip.mKind == GossipKind::SyncReply) {
    OnPage(gossip);
  }
  if (mPhase != Phase::Live) {
    return;
  }
  switch (gossip.mKind) {
    case GossipKind::Probe: {
      Gossip ack = Compose(GossipKind::Ack, gossip.mSequence);
      ack.mTarget = mSettings.mName;
      const auto it = mMembers.find(gossip.mSender.mMember.mName);
      if (it != mMembers.end()) {
        SendTo(it->second, std::move(ack), kPiggybackBytes);
      }
      break;
    }
    case GossipKind::IndirectProbe:
      AnswerIndirect(aNow, aEvent);
      break;
    case GossipKind::Ack:
      OnAck(aNow, gossip);
      break;
    case GossipKind::Sync:
      AnswerSync(aEvent);
      break;
    case GossipKind::SyncReply:
    case GossipKind::Update:
      break;
  }
}

void
Detector::AnswerIndirect(TimePoint aNow, const GossipReceived& aEvent)
{
  const auto it = mMembers.find(aEvent.mGossip.mTarget);
  if (it == mMembers.end()) {
    return;
  }
  if (mRelays.size() >= kMaxRelays) {
    mRelays.erase(mRelays.begin());
  }
  mRelays[++mSequence] = { aEvent.mPeer,
                           aEvent.mGossip.mSequence,
                           aNow + kProbePeriod };
  SendTo(it->second, Compose(GossipKind::Probe, mSequence), kPiggybackBytes);
}

void
Detector::OnAck(TimePoint aNow, const Gossip& aGossip)
{
  if (mProbe && mProbe->mSequence == aGossip.mSequence &&
      mProbe->mTarget == aGossip.mTarget) {
    mProbe->mAnswered = true;
    mViewDirty |= mPaused;
    mPaused = false;
    return;
  }
  const auto it = mRelays.find(aGossip.mSequence);
  if (it == mRelays.end()) {
    return;
  }
  if (aNow <= it->second.mExpires) {
    Gossip ack = Compose(GossipKind::Ack, it->second.mAskerSequence);
    ack.mTarget = aGossip.mTarget;
    Send(it->second.mAsker, std::move(ack), kPiggybackBytes);
  }
  mRelays.erase(it);
}

// Answers with what the asker lacks of the names after its own last one. An
// asker that sent a full page of its records hears of that range alone.
void
Detector::AnswerSync(const GossipReceived& aEvent)
{
  const Gossip& gossip = aEvent.mGossip;
  std::map<std::string, const MemberRecord*> known;
  for (const MemberRecord& it : gossip.mUpdates) {
    known[it.mMember.mName] = &it;
  }
  const bool bounded = gossip.mUpdates.size() >= kSyncPageRecords;
  Gossip reply = Compose(GossipKind::SyncReply, gossip.mSequence);
  size_t bytes = 0;
  for (const MemberRecord* it : RecordsAfter(gossip.mTarget)) {
    const std::string& name = it->mMember.mName;
    if (bounded && name > known.rbegin()->first) {
      break;
    }
    const auto theirs = known.find(name);
    if (theirs != known.end() && !Supersedes(*it, *theirs->second)) {
      continue;
    }
    bytes += WireSizeBound(*it);
    if (bytes > kPageBytes) {
      reply.mTarget = reply.mUpdates.back().mMember.mName;
      break;
    }
    reply.mUpdates.push_back(*it);
  }
  Send(aEvent.mPeer, std::move(reply), 0);
}

void
Detector::OnPage(const Gossip& aGossip)
{
  if (!mPull || mPull->mSequence != aGossip.mSequence) {
    return;
  }
  if (aGossip.mTarget <= mPull->mAfter) {
    mPull.reset();
    mSynced = true;
    mListComplete = HearsMajority();
    mViewDirty = true;
    return;
  }
  mPull->mAfter = aGossip.mTarget;
  mPull->mSequence = ++mSequence;
  Gossip next = Compose(GossipKind::Sync, mPull->mSequence);
  next.mTarget = mPull->mAfter;
  Send(mPull->mPeer, std::move(next), 0);
}

Gossip
Detector::Compose(GossipKind aKind, uint64_t aSequence) const
{
  Gossip gossip;
  gossip.mKind = aKind;
  gossip.mSequence = aSequence;
  gossip.mSender = mSelf;
  gossip.mConfig = mConfig;
  gossip.mVmsIndex = mRegistry.Index();
  return gossip;
}

void
Detector::Send(const Address& aTo, Gossip aGossip, size_t aUpdateBytes)
{
  if (aUpdateBytes != 0) {
    const std::vector<MemberRecord> updates =
      mQueue.Take(aUpdateBytes,
                  MaxSends(mMembers.size()),
                  [&](const std::string& n) { return FindRecord(n); });
    aGossip.mUpdates.insert(
      aGossip.mUpdates.end(), updates.begin(), updates.end());
  }
  mActions.emplace_back(SendGossip{ aTo, std::move(aGossip) });
}

// A member that is suspected or held dead is told so, that it may refute.
void
Detector::SendTo(const Entry& aEntry, Gossip aGossip, size_t aUpdateBytes)
{
  if (aEntry.mRecord.mMember.mState != MemberState::Alive) {
    aGossip.mUpdates.push_back(aEntry.mRecord);
  }
  Send(aEntry.mRecord.mMember.mAgentAddress, std::move(aGossip), aUpdateBytes);
}

// Periodic duties.

void
Detector::On(TimePoint aNow, const Tick& /*aEvent*/)
{
  ExpireVms();
  if (mBalancer.Expire(aNow)) {
    Announce();
  }
  PullStep(aNow);
  if (mPhase == Phase::Joining) {
    JoinStep(aNow);
    return;
  }
  ProbeStep(aNow);
  SuspicionStep(aNow);
  ReconnectStep(aNow);
  SyncStep(aNow);
}

void
Detector::JoinStep(TimePoint aNow)
{
  const bool ready = mSynced && mBalancer.Current();
  if (!ready && aNow - *mStartedAt < kJoinTimeout) {
    return;
  }
  mPhase = Phase::Live;
  Announce();
}

// Asks one published VM after the other for the whole list, until one has
// answered to the end and the greater part is heard.
void
Detector::PullStep(TimePoint aNow)
{
  if (mListComplete || aNow < mNextPull) {
    return;
  }
  std::vector<Address> peers;
  for (const auto& [name, entry] : mRegistry.Entries()) {
    if (name != mSettings.mName) {
      peers.push_back({ entry.mVm.mIp, mSettings.mAgentAddress.mPort });
    }
  }
  if (peers.empty()) {
    mSynced |= !mRegistry.Entries().empty();
    return;
  }
  mNextPull = aNow + mPullDelay;
  mPullDelay = std::min(mPullDelay * 2, Duration(kPullRetryMax));
  mPull = Pull{ ++mSequence, peers[Random(peers.size())], "" };
  Send(mPull->mPeer, Compose(GossipKind::Sync, mPull->mSequence), 0);
}

void
Detector::ProbeStep(TimePoint aNow)
{
  const bool unanswered = mProbe && !mProbe->mAnswered;
  if (unanswered && !mProbe->mIndirect &&
      aNow >= mProbe->mSentAt + kProbeTimeout) {
    ProbeIndirectly();
  }
  if (aNow < mNextProbe) {
    return;
  }
  if (unanswered) {
    Suspect(aNow, mProbe->mTarget);
  }
  // A late probe gets its whole period, too.
  const bool late = aNow - mNextProbe > kProbeTimeout;
  mNextProbe = (late ? aNow : mNextProbe) + kProbePeriod;
  StartProbe(aNow);
}

void
Detector::StartProbe(TimePoint aNow)
{
  mProbe.reset();
  const Entry* target = NextProbeTarget();
  if (target == nullptr) {
    mViewDirty |= mPaused;
    mPaused = false;
    return;
  }
  mProbe = Probe{ ++mSequence, target->mRecord.mMember.mName, aNow };
  SendTo(*target, Compose(GossipKind::Probe, mSequence), kPiggybackBytes);
}

void
Detector::ProbeIndirectly()
{
  mProbe->mIndirect = true;
  for (const Entry* it : PickLive(kIndirectProbes, mProbe->mTarget)) {
    Gossip gossip = Compose(GossipKind::IndirectProbe, mProbe->mSequence);
    gossip.mTarget = mProbe->mTarget;
    SendTo(*it, std::move(gossip), kPiggybackBytes);
  }
}

void
Detector::Suspect(TimePoint aNow, const std::string& aName)
{
  const auto it = mMembers.find(aName);
  if (it == mMembers.end() ||
      it->second.mRecord.mMember.mState != MemberState::Alive) {
    return;
  }
  MemberRecord record = it->second.mRecord;
  record.mMember.mState = MemberState::Suspect;
  Store(aNow, record);
  SendTo(it->second, Compose(GossipKind::Update, ++mSequence), kPiggybackBytes);
}

void
Detector::SuspicionStep(TimePoint aNow)
{
  const Duration limit = SuspicionTime(mMembers.size());
  const std::set<std::string> suspects = mSuspects;
  for (const std::string& name : suspects) {
    const Entry& entry = mMembers[name];
    if (aNow - entry.mSuspectAt >= limit) {
      MemberRecord record = entry.mRecord;
      record.mMember.mState = MemberState::Dead;
      Store(aNow, record);
      mUrgent = true;
    }
  }
}

void
Detector::ReconnectStep(TimePoint aNow)
{
  if (aNow < mNextReconnect) {
    return;
  }
  mNextReconnect = aNow + kReconnectPeriod;
  std::vector<std::string> silent;
  for (const auto& it : mRegistry.Entries()) {
    const MemberRecord* record = FindRecord(it.first);
    if (record == nullptr || IsDead(*record)) {
      silent.push_back(it.first);
    }
  }
  if (silent.empty()) {
    return;
  }
  const std::string& name = silent[Random(silent.size())];
  Gossip probe = Compose(GossipKind::Probe, ++mSequence);
  const auto it = mMembers.find(name);
  if (it != mMembers.end()) {
    SendTo(it->second, std::move(probe), kPiggybackBytes);
    return;
  }
  Send({ mRegistry.Find(name)->mIp, mSettings.mAgentAddress.mPort },
       std::move(probe),
       kPiggybackBytes);
}

void
Detector::SyncStep(TimePoint aNow)
{
  if (aNow < mNextSync) {
    return;
  }
  mNextSync = aNow + kSyncPeriod;
  Gossip sync = Compose(GossipKind::Sync, ++mSequence);
  sync.mTarget = mSyncAfter;
  for (const MemberRecord* it : RecordsAfter(mSyncAfter)) {
    sync.mUpdates.push_back(*it);
    if (sync.mUpdates.size() == kSyncPageRecords) {
      break;
    }
  }
  const bool last = sync.mUpdates.size() < kSyncPageRecords;
  mSyncAfter = last ? "" : sync.mUpdates.back().mMember.mName;
  const std::vector<const Entry*> peer = PickLive(1);
  if (!peer.empty()) {
    const Address to = peer.front()->mRecord.mMember.mAgentAddress;
    Send(to, std::move(sync), 0);
  }
}

void
Detector::PushStep(TimePoint aNow)
{
  if (!mUrgent || aNow < mNextPush) {
    return;
  }
  mUrgent = false;
  mNextPush = aNow + kPushGap;
  for (const Entry* it : PickLive(kPushFanout)) {
    SendTo(*it, Compose(GossipKind::Update, ++mSequence), kPushBytes);
  }
}

// The view.

void
Detector::PublishView()
{
  if (!mViewDirty || mPhase != Phase::Live) {
    return;
  }
  mViewDirty = false;
  View view = BuildView();
  if (SameView(view, *mView)) {
    return;
  }
  view.mSequence = mView->mSequence + 1;
  mView = std::make_shared<const View>(std::move(view));
  mActions.emplace_back(ViewChanged{ mView });
}

View
Detector::BuildView() const
{
  View view;
  std::set<Incarnation> seen;
  for (const MemberRecord* it : RecordsAfter("")) {
    // Of two balancers with one incarnation the first by name counts.
    if (NamesBalancer(*it) && seen.insert(it->mMember.mIncarnation).second) {
      view.mMembers.push_back(ToMember(*it));
    }
  }
  view.mInDoubt =
    mPhase == Phase::Joining || mPaused || !mSynced || !HearsMajority();
  return view;
}

// The member as the view shows it: with what the published list says of it.
Member
Detector::ToMember(const MemberRecord& aRecord) const
{
  Member member = aRecord.mMember;
  const PublishedVm* vm = mRegistry.Find(member.mName);
  if (vm != nullptr) {
    member.mRegion = vm->mRegion;
    member.mDomain = vm->mDomain;
  }
  if (aRecord.mLeaving || (vm != nullptr && vm->mLeaving)) {
    member.mState = MemberState::Leaving;
  }
  return member;
}

// True when more than half of the published VMs that stay are alive here.
bool
Detector::HearsMajority() const
{
  size_t published = 0;
  size_t heard = 0;
  for (const auto& [name, entry] : mRegistry.Entries()) {
    if (entry.mVm.mLeaving) {
      continue;
    }
    ++published;
    const MemberRecord* record = FindRecord(name);
    if (record != nullptr && record->mMember.mState == MemberState::Alive) {
      ++heard;
    }
  }
  return heard * 2 > published;
}

// Look-ups.

const MemberRecord*
Detector::FindRecord(const std::string& aName) const
{
  if (aName == mSettings.mName) {
    return &mSelf;
  }
  const auto it = mMembers.find(aName);
  return it == mMembers.end() ? nullptr : &it->second.mRecord;
}

// Every record with a greater name, this VM's included, in order.
std::vector<const MemberRecord*>
Detector::RecordsAfter(const std::string& aName) const
{
  std::vector<const MemberRecord*> records;
  records.reserve(mMembers.size() + 1);
  bool selfDone = mSettings.mName <= aName;
  for (auto it = mMembers.upper_bound(aName); it != mMembers.end(); ++it) {
    if (!selfDone && mSettings.mName < it->first) {
      records.push_back(&mSelf);
      selfDone = true;
    }
    records.push_back(&it->second.mRecord);
  }
  if (!selfDone) {
    records.push_back(&mSelf);
  }
  return records;
}

std::vector<const Detector::Entry*>
Detector::PickLive(size_t aCount, const std::string& aExcept)
{
  std::vector<const Entry*> live;
  for (const auto& [name, entry] : mMembers) {
    if (!IsDead(entry.mRecord) && name != aExcept) {
      live.push_back(&entry);
    }
  }
  const size_t count = std::min(aCount, live.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(live[i], live[i + Random(live.size() - i)]);
  }
  live.resize(count);
  return live;
}

// Goes through all members in random order before it begins anew, so that
// each is probed within a bounded time.
Detector::Entry*
Detector::NextProbeTarget()
{
  for (int round = 0; round < 2; ++round) {
    while (!mProbeOrder.empty()) {
      const auto it = mMembers.find(mProbeOrder.back());
      mProbeOrder.pop_back();
      if (it != mMembers.end() && !IsDead(it->second.mRecord)) {
        return &it->second;
      }
    }
    for (const auto& it : mMembers) {
      mProbeOrder.push_back(it.first);
    }
    for (size_t i = mProbeOrder.size(); i > 1; --i) {
      std::swap(mProbeOrder[i - 1], mProbeOrder[Random(i)]);
    }
  }
  return nullptr;
}

std::vector<Member>
Detector::LiveAgents() const
{
  std::vector<Member> live;
  for (const auto& [name, entry] : mMembers) {
    if (!IsDead(entry.mRecord)) {
      live.push_back(ToMember(entry.mRecord));
    }
  }
  return live;
}

size_t
Detector::Random(size_t aBound)
{
  return static_cast<size_t>(mRandom() % aBound);
}

} // namespace foxtail::membership

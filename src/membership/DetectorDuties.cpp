#include "foxtail/membership/Detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtail::membership {

namespace {

Duration
SuspicionTimeout(size_t aMembers)
{
  const double factor =
    std::max(1.0, std::log10(static_cast<double>(aMembers) + 1));
  return Duration(kSuspicionTimeout) * static_cast<int64_t>(factor * 1000) /
         1000;
}

} // namespace

void
Detector::On(TimePoint aNow, const Tick& /*aEvent*/)
{
  ExpireVms(aNow);
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
  const bool ready = mHasPulledList && mBalancer.Current();
  if (!ready && aNow - *mStartedAt < kJoinTimeout) {
    return;
  }
  mPhase = Phase::Live;
  Announce();
}

// Asks one published VM after the other, in random order with repetition, for
// its member list, until one has sent its whole list and more than half of the
// published VMs are alive.
void
Detector::PullStep(TimePoint aNow)
{
  if (mPullComplete || aNow < mNextPull) {
    return;
  }
  std::vector<Address> peers;
  for (const auto& [name, entry] : mRegistry.Entries()) {
    if (name != mSettings.mName) {
      peers.push_back({ entry.mVm.mIp, mSettings.mAgentAddress.mPort });
    }
  }
  if (peers.empty()) {
    mHasPulledList |= !mRegistry.Entries().empty();
    return;
  }
  mNextPull = aNow + mPullDelay;
  mPullDelay = std::min(mPullDelay * 2, Duration(kMaxPullRetryDelay));
  mPull = Pull{ ++mSequence, peers[RandomBelow(peers.size())], "" };
  Send(mPull->mPeer, Compose(GossipKind::Sync, mPull->mSequence), 0);
}

void
Detector::ProbeStep(TimePoint aNow)
{
  const bool unanswered = mProbe && !mProbe->mAnswered;
  if (unanswered && !mProbe->mIndirectRequested &&
      aNow >= mProbe->mSentAt + kProbeTimeout) {
    ProbeIndirectly();
  }
  if (aNow < mNextProbe) {
    return;
  }
  if (unanswered) {
    Suspect(aNow, mProbe->mTarget);
  }
  // After a delay, the next period starts now, so that the probe has a full
  // period to be answered.
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
    mViewDirty |= mStaleAfterPause;
    mStaleAfterPause = false;
    return;
  }
  mProbe = Probe{ ++mSequence, target->mRecord.mMember.mName, aNow };
  SendToMember(*target, Compose(GossipKind::Probe, mSequence), kPiggybackBytes);
}

void
Detector::ProbeIndirectly()
{
  mProbe->mIndirectRequested = true;
  for (const Entry* it : PickLive(kIndirectProbes, mProbe->mTarget)) {
    Gossip gossip = Compose(GossipKind::IndirectProbe, mProbe->mSequence);
    gossip.mTarget = mProbe->mTarget;
    SendToMember(*it, std::move(gossip), kPiggybackBytes);
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
  StoreRecord(aNow, record);
  SendToMember(
    it->second, Compose(GossipKind::Update, ++mSequence), kPiggybackBytes);
}

void
Detector::SuspicionStep(TimePoint aNow)
{
  const Duration limit = SuspicionTimeout(mMembers.size());
  const std::set<std::string> suspects = mSuspects;
  for (const std::string& name : suspects) {
    const Entry& entry = mMembers[name];
    if (aNow - entry.mSuspectedAt >= limit) {
      MemberRecord record = entry.mRecord;
      record.mMember.mState = MemberState::Dead;
      StoreRecord(aNow, record);
      mPushPending = true;
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
  std::vector<std::string> unreachable;
  for (const auto& it : mRegistry.Entries()) {
    const MemberRecord* record = FindRecord(it.first);
    if (record == nullptr || IsDead(*record)) {
      unreachable.push_back(it.first);
    }
  }
  if (unreachable.empty()) {
    return;
  }
  const std::string& name = unreachable[RandomBelow(unreachable.size())];
  Gossip probe = Compose(GossipKind::Probe, ++mSequence);
  const auto it = mMembers.find(name);
  if (it != mMembers.end()) {
    SendToMember(it->second, std::move(probe), kPiggybackBytes);
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
  sync.mTarget = mSyncAfterName;
  for (const MemberRecord* it : RecordsAfter(mSyncAfterName)) {
    sync.mUpdates.push_back(*it);
    if (sync.mUpdates.size() == kSyncPageRecords) {
      break;
    }
  }
  const bool last = sync.mUpdates.size() < kSyncPageRecords;
  mSyncAfterName = last ? "" : sync.mUpdates.back().mMember.mName;
  const std::vector<const Entry*> peer = PickLive(1);
  if (!peer.empty()) {
    const Address to = peer.front()->mRecord.mMember.mAgentAddress;
    Send(to, std::move(sync), 0);
  }
}

void
Detector::PushStep(TimePoint aNow)
{
  if (!mPushPending || aNow < mNextPush) {
    return;
  }
  mPushPending = false;
  mNextPush = aNow + kMinPushInterval;
  for (const Entry* it : PickLive(kPushFanout)) {
    SendToMember(*it, Compose(GossipKind::Update, ++mSequence), kPushBytes);
  }
}

} // namespace foxtail::membership

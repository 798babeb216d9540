#include "foxtail/membership/Detector.h"

#include <algorithm>
#include <utility>

namespace foxtail::membership {

namespace {

// An incarnation of this size or above is taken for forged and ignored, because
// the agent must be able to exceed any incarnation that it accepts.
constexpr AgentIncarnation kMaxIncarnation = AgentIncarnation(1) << 61;

// True when the difference changes who owns flows, so that the record must be
// pushed at once.
bool
IsUrgent(const MemberRecord& aOld, const MemberRecord& aNew)
{
  return IsDead(aOld) != IsDead(aNew) || aOld.mLeaving != aNew.mLeaving ||
         aOld.mBalancerAbsent != aNew.mBalancerAbsent ||
         aOld.mMember.mIncarnation != aNew.mMember.mIncarnation;
}

} // namespace

Detector::Detector(const DetectorSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  View emptyView;
  emptyView.mSequence = aSettings.mIncarnation;
  emptyView.mInDoubt = true;
  mView = std::make_shared<const View>(std::move(emptyView));
  mSelf.mMember.mName = aSettings.mName;
  mSelf.mMember.mRegion = aSettings.mRegion;
  mSelf.mMember.mDomain = aSettings.mDomain;
  mSelf.mMember.mAgentAddress = aSettings.mAgentAddress;
  // Placeholders that are valid on the wire, until a balancer's heartbeat gives
  // its addresses.
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
  DetectPause(aNow);
  std::visit([&](const auto& it) { On(aNow, it); }, aEvent);
  if (mPhase == Phase::Live) {
    PushStep(aNow);
  }
  // Gossip comes in batches; the tick that follows publishes the changed view.
  if (!std::holds_alternative<GossipReceived>(aEvent)) {
    PublishView();
  }
  return std::move(mActions);
}

// The record about this VM.

void
Detector::DetectPause(TimePoint aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
    mLastEventAt = aNow;
    const auto period = static_cast<size_t>(kProbePeriod.count());
    mNextProbe = aNow + milliseconds(RandomBelow(period));
    mNextReconnect = aNow + milliseconds(RandomBelow(period));
    mNextSync = aNow + milliseconds(RandomBelow(10 * period));
  }
  const Duration gap = aNow - mLastEventAt;
  mLastEventAt = aNow;
  if (gap <= kProbeTimeout) {
    return;
  }
  // Answers may have arrived during the pause without being read, so time-outs
  // that ended in the pause are not counted as failures of other members.
  mProbe.reset();
  for (const std::string& it : mSuspects) {
    mMembers[it].mSuspectedAt += gap;
  }
  if (gap <= kMaxPause) {
    mBalancer.ExtendHeartbeatDeadline(gap);
  } else if (mBalancer.Current()) {
    mBalancer.Withdraw();
    Announce();
  }
  if (gap > kSuspicionTimeout) {
    mStaleAfterPause = true;
    mHasPulledList = false;
    mPullComplete = false;
    mPullDelay = kPullRetryDelay;
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
  mUpdateQueue.Add(mSettings.mName);
  mPushPending = true;
  mViewDirty = true;
}

void
Detector::OnRecordAboutSelf(const MemberRecord& aRecord)
{
  if (aRecord.mAgentIncarnation >= kMaxIncarnation) {
    return;
  }
  if (aRecord.mBalancerAbsent &&
      aRecord.mAgentIncarnation != mSelf.mAgentIncarnation) {
    // The balancer was withdrawn by another incarnation of this agent.
    mBalancer.RaiseIncarnationFloor(aRecord.mMember.mIncarnation);
    if (HasLiveBalancer(mSelf) && !mBalancer.Current()) {
      Announce();
    }
  }
  if (aRecord.mAgentIncarnation > mSelf.mAgentIncarnation) {
    // The clock went back between two incarnations of this agent.
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
  switch (mBalancer.OnHeartbeat(aNow, aEvent.mSelf)) {
    case LocalBalancer::HeartbeatResult::Unchanged:
      break;
    case LocalBalancer::HeartbeatResult::Changed:
      Announce();
      break;
    case LocalBalancer::HeartbeatResult::Refused:
      mActions.emplace_back(BalancerRefused{ std::max(
        mBalancer.IncarnationFloor(),
        mBalancer.Current() ? mBalancer.Current()->mIncarnation : 0) });
      break;
  }
}

void
Detector::On(TimePoint /*aNow*/, const ConfigChanged& aEvent)
{
  mConfig = aEvent.mProgress;
  mPushPending = true;
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
      SendToMember(*it, Compose(GossipKind::Update, ++mSequence), kPushBytes);
    }
  }
  mPhase = Phase::Left;
}

// Records about other members.

void
Detector::On(TimePoint aNow, const VmListRead& aEvent)
{
  if (mRegistry.ApplyList(aNow, aEvent.mVms) !=
      VmRegistry::ApplyResult::Changed) {
    return;
  }
  mViewDirty = true;
  // A name may now belong to a VM with another IP address.
  std::vector<std::string> moved;
  for (const auto& [name, entry] : mMembers) {
    const uint32_t ip = entry.mRecord.mMember.mAgentAddress.mIp;
    if (!mRegistry.Permits(name, ip)) {
      moved.push_back(name);
    }
  }
  for (const std::string& it : moved) {
    RemoveMember(it);
  }
}

void
Detector::ExpireVms(TimePoint aNow)
{
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kReconnectPeriod;
  const auto isAlive = [&](const std::string& n) {
    const MemberRecord* record = FindRecord(n);
    return record != nullptr && !IsDead(*record);
  };
  for (const std::string& it : mRegistry.Expire(isAlive)) {
    RemoveMember(it);
  }
}

void
Detector::RemoveMember(const std::string& aName)
{
  mMembers.erase(aName);
  mSuspects.erase(aName);
  mUpdateQueue.Remove(aName);
  mViewDirty = true;
}

void
Detector::Merge(TimePoint aNow, const MemberRecord& aRecord, bool aDisseminate)
{
  const std::string& name = aRecord.mMember.mName;
  if (name == mSettings.mName) {
    OnRecordAboutSelf(aRecord);
    return;
  }
  if (!mRegistry.Permits(name, aRecord.mMember.mAgentAddress.mIp)) {
    ++mRefusedRecords;
    return;
  }
  const auto it = mMembers.find(name);
  if (it == mMembers.end()) {
    mPushPending |= aDisseminate && !IsDead(aRecord);
    StoreRecord(aNow, aRecord);
  } else if (Supersedes(aRecord, it->second.mRecord)) {
    mPushPending |= aDisseminate && IsUrgent(it->second.mRecord, aRecord);
    StoreRecord(aNow, aRecord);
  } else {
    return;
  }
  if (!aDisseminate) {
    mUpdateQueue.Remove(name);
  }
}

void
Detector::StoreRecord(TimePoint aNow, const MemberRecord& aRecord)
{
  const std::string& name = aRecord.mMember.mName;
  if (aRecord.mMember.mState == MemberState::Suspect) {
    mSuspects.insert(name);
  } else {
    mSuspects.erase(name);
  }
  mMembers[name] = { aRecord, aNow };
  mUpdateQueue.Add(name);
  mViewDirty = true;
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

// Returns every record with a name greater than aName, that of this VM
// included, ordered by name.
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
    std::swap(live[i], live[i + RandomBelow(live.size() - i)]);
  }
  live.resize(count);
  return live;
}

// Returns the next member to probe. In each round, every member that is not
// declared dead is returned once, in random order, so that every member is
// probed within a bounded time. Returns null when all members are declared
// dead.
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
      std::swap(mProbeOrder[i - 1], mProbeOrder[RandomBelow(i)]);
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
Detector::RandomBelow(size_t aBound)
{
  return static_cast<size_t>(mRandom() % aBound);
}

} // namespace foxtail::membership

#include "foxtail/membership/Detector.h"

#include <algorithm>
#include <utility>

namespace foxtail::membership {

namespace {

// An incarnation that cannot be outbid is a forged one.
constexpr AgentIncarnation kMaxIncarnation = AgentIncarnation(1) << 61;

// True when the difference changes who owns flows, so that it should spread
// at once.
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
  if (gap <= kMaxPause) {
    mBalancer.ExtendHeartbeatDeadline(gap);
  } else if (mBalancer.Current()) {
    mBalancer.Withdraw();
    Announce();
  }
  if (gap > kSuspicionTimeout) {
    mPaused = true;
    mSynced = false;
    mListComplete = false;
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
    mBalancer.RaiseIncarnationFloor(aRecord.mMember.mIncarnation);
    if (HasLiveBalancer(mSelf) && !mBalancer.Current()) {
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
Detector::On(TimePoint aNow, const VmListRead& aEvent)
{
  if (mRegistry.ApplyList(aNow, aEvent.mVms) !=
      VmRegistry::ApplyResult::Changed) {
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
Detector::ExpireVms(TimePoint aNow)
{
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kReconnectPeriod;
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
Detector::Merge(TimePoint aNow, const MemberRecord& aRecord, bool aNews)
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
    mUrgent |= aNews && !IsDead(aRecord);
    Store(aNow, aRecord);
  } else if (Supersedes(aRecord, it->second.mRecord)) {
    mUrgent |= aNews && IsUrgent(it->second.mRecord, aRecord);
    Store(aNow, aRecord);
  } else {
    return;
  }
  if (!aNews) {
    mQueue.Remove(name);
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

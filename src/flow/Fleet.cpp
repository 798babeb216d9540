#include "foxtail/flow/Fleet.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// Key of the rendezvous hash that ranks readers of the publisher, so that their
// ranks are independent of the choice of brokers.
constexpr uint64_t kReaderHashKey = 0x7EAD;

// Processor share of a member that has not told its own, in thousandths of a
// core: that of a small VM.
constexpr uint32_t kUnknownShare = 100;

// Returns the rank of a member among the possible brokers of a service; the
// lowest one is the broker.
double
BrokerRank(uint32_t aService, const MemberRecord& aMember)
{
  // A number in (0, 1) from the upper 53 bits of the hash.
  const uint64_t hash = MixHash(aService, aMember.mIp);
  const double uniform =
    (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
  const double share =
    aMember.mProcessorShare == 0 ? kUnknownShare : aMember.mProcessorShare;
  return -std::log(uniform) / (share * share * share * share);
}

std::string
Describe(const MemberRecord& aRecord)
{
  return absl::StrCat("vm=",
                      Address{ aRecord.mIp, 0 }.IpString(),
                      " domain=",
                      aRecord.mDomain,
                      " incarnation=",
                      aRecord.mIncarnation);
}

} // namespace

Fleet::Fleet(MemberRecord aSelf, std::vector<VmIp> aSeeds, uint64_t aRandomSeed)
  : mSelf(std::move(aSelf))
  , mRandom(aRandomSeed)
{
  SetSeeds(std::move(aSeeds));
}

void
Fleet::SetSeeds(std::vector<VmIp> aSeeds)
{
  mSeeds = std::move(aSeeds);
  mSeeds.erase(std::remove(mSeeds.begin(), mSeeds.end(), mSelf.mIp),
               mSeeds.end());
}

void
Fleet::SetReady(TimePoint aNow, bool aIsReady)
{
  if (mSelf.mIsReady != aIsReady) {
    mSelf.mIsReady = aIsReady;
    MarkChanged(aNow, mSelf);
    mNextHeartbeat = aNow;
  }
}

void
Fleet::MarkChanged(TimePoint aNow, const MemberRecord& aRecord)
{
  mBrokersChangedAt = aNow;
  if (aRecord.mDomain == mSelf.mDomain) {
    mDomainMembersChangedAt = aNow;
  }
}

bool
Fleet::MergeRecord(TimePoint aNow, const MemberRecord& aRecord)
{
  if (aRecord.mIp == mSelf.mIp || aRecord.mIp == 0) {
    return false;
  }
  const auto it = mMembers.find(aRecord.mIp);
  const bool isNew = it == mMembers.end() ||
                     it->second.mRecord.mIncarnation < aRecord.mIncarnation;
  if (isNew) {
    // The new member should learn of this balancer before the regular interval
    // is over.
    mNextHeartbeat =
      std::min(mNextHeartbeat, mLastHeartbeat + kMinHeartbeatGap);
    MarkChanged(aNow, aRecord);
    mMembers[aRecord.mIp] = { aRecord, aNow, true, {}, kMinSuspicionTime };
    return true;
  }
  Member& member = it->second;
  const bool isNewer = member.mRecord.mIncarnation == aRecord.mIncarnation &&
                       member.mRecord.mHeartbeatCount < aRecord.mHeartbeatCount;
  if (!isNewer) {
    return false;
  }
  const bool returned = !member.mIsMarkedAlive;
  if (returned || member.mRecord.mIsReady != aRecord.mIsReady) {
    MarkChanged(aNow, aRecord);
  }
  member.mRecord = aRecord;
  member.mLastHeard = aNow;
  member.mIsMarkedAlive = true;
  return returned;
}

std::vector<Event>
Fleet::OnHeartbeat(TimePoint aNow, VmIp aFrom, const Heartbeat& aHeartbeat)
{
  std::vector<Event> events;
  if (aHeartbeat.mSelf.mIp != aFrom) {
    events.push_back({ 7001,
                       absl::StrCat("from=",
                                    Address{ aFrom, 0 }.IpString(),
                                    " reason=beat-of-another-vm") });
    return events;
  }
  // A peer without a replica must learn who has one.
  const bool lacksReplica =
    !aHeartbeat.mSelf.mIsReady && aHeartbeat.mConfirmed == 0;
  const bool needsNews = aHeartbeat.mKnownMembers < AliveCount(aNow) ||
                         (mSelf.mIsReady && lacksReplica);
  if (!UsesDirectHeartbeats() && needsNews) {
    mCatchUpPeer = aFrom;
  }
  if (MergeRecord(aNow, aHeartbeat.mSelf)) {
    events.push_back(
      { 3101, absl::StrCat(Describe(aHeartbeat.mSelf), " heard=directly") });
  }
  for (const MemberRecord& it : aHeartbeat.mOtherMembers) {
    if (MergeRecord(aNow, it)) {
      events.push_back({ 3101,
                         absl::StrCat(Describe(it),
                                      " heard=from ",
                                      Address{ aFrom, 0 }.IpString()) });
    }
  }
  return events;
}

void
Fleet::OnPause(TimePoint aNow, Duration aPause)
{
  for (auto& [ip, member] : mMembers) {
    member.mLastHeard += aPause;
  }
  mBrokersChangedAt = aNow;
  mDomainMembersChangedAt = aNow;
  mNextHeartbeat = aNow;
}

std::vector<VmIp>
Fleet::PickTargets()
{
  std::vector<VmIp> near;
  std::vector<VmIp> far;
  for (const auto& [ip, member] : mMembers) {
    (member.mRecord.mDomain == mSelf.mDomain ? near : far).push_back(ip);
  }
  if (!UsesDirectHeartbeats()) {
    std::shuffle(near.begin(), near.end(), mRandom);
    std::shuffle(far.begin(), far.end(), mRandom);
    near.resize(std::min(near.size(), kFanoutInDomain));
    far.resize(std::min(far.size(), kFanoutOutsideDomain));
  }
  std::vector<VmIp> targets = std::move(near);
  targets.insert(targets.end(), far.begin(), far.end());
  // A seed that is not a known member may be starting or partitioned off.
  for (const VmIp it : mSeeds) {
    if (mMembers.count(it) == 0) {
      targets.push_back(it);
    }
  }
  return targets;
}

std::vector<MemberRecord>
Fleet::PickRecords(size_t aCount)
{
  std::vector<const Member*> alive;
  for (const auto& [ip, member] : mMembers) {
    if (member.mIsMarkedAlive) {
      alive.push_back(&member);
    }
  }
  // The first half of the records is random, so that every member is named
  // sooner or later. The second half is those heard of most recently.
  std::shuffle(alive.begin(), alive.end(), mRandom);
  const size_t count = std::min(alive.size(), aCount);
  const auto recentBegin = alive.begin() + static_cast<ptrdiff_t>(count / 2);
  std::partial_sort(recentBegin,
                    alive.begin() + static_cast<ptrdiff_t>(count),
                    alive.end(),
                    [](const Member* a, const Member* b) {
                      return a->mLastHeard > b->mLastHeard;
                    });
  std::vector<MemberRecord> records;
  for (size_t i = 0; i < count; ++i) {
    records.push_back(alive[i]->mRecord);
  }
  return records;
}

std::optional<Fleet::HeartbeatRound>
Fleet::TakeDueRound(TimePoint aNow)
{
  if (aNow < mNextHeartbeat) {
    return std::nullopt;
  }
  mNextHeartbeat =
    aNow + (UsesDirectHeartbeats() ? kHeartbeatInterval : kGossipInterval);
  mLastHeartbeat = aNow;
  ++mSelf.mHeartbeatCount;
  HeartbeatRound round;
  round.mTargets = PickTargets();
  round.mHeartbeat.mSelf = mSelf;
  round.mHeartbeat.mKnownMembers = static_cast<uint32_t>(AliveCount(aNow));
  size_t records = UsesDirectHeartbeats() ? kDirectRecords : kGossipRecords;
  mIsCatchUpRound = mCatchUpPeer != 0 && !mIsCatchUpRound;
  if (mIsCatchUpRound) {
    // A peer that needs news gets many records in a heartbeat of its own. The
    // next regular round follows after half an interval.
    round.mTargets = { mCatchUpPeer };
    mCatchUpPeer = 0;
    records = kCatchUpRecords;
    mNextHeartbeat = aNow + kGossipInterval / 2;
  }
  round.mHeartbeat.mOtherMembers = PickRecords(records);
  return round;
}

bool
Fleet::WasHeardRecently(TimePoint aNow, const Member& aMember) const
{
  const Duration limit =
    UsesDirectHeartbeats()
      ? Duration(kDirectTimeout)
      : kGossipTimeout + mMembers.size() * kGossipTimeoutPerMember;
  return aNow - aMember.mLastHeard < limit;
}

std::vector<Event>
Fleet::Expire(TimePoint aNow)
{
  std::vector<Event> events;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    Member& member = it->second;
    const bool isAlive = WasHeardRecently(aNow, member);
    if (!isAlive && member.mIsMarkedAlive) {
      MarkChanged(aNow, member.mRecord);
      events.push_back({ 3102,
                         absl::StrCat(Describe(member.mRecord),
                                      " silent_ms=",
                                      std::chrono::duration_cast<milliseconds>(
                                        aNow - member.mLastHeard)
                                        .count()) });
    }
    member.mIsMarkedAlive = isAlive;
    const bool isForgotten = aNow - member.mLastHeard >= kMemberRetention;
    it = isForgotten ? mMembers.erase(it) : std::next(it);
  }
  return events;
}

void
Fleet::SuspectBroker(TimePoint aNow, VmIp aBroker)
{
  const auto it = mMembers.find(aBroker);
  if (it == mMembers.end()) {
    return;
  }
  mBrokersChangedAt = aNow;
  Member& member = it->second;
  member.mSuspectedUntil = aNow + member.mSuspicionTime;
  member.mSuspicionTime =
    std::min<Duration>(member.mSuspicionTime * 2, kMaxSuspicionTime);
}

void
Fleet::ResetSuspicion(VmIp aBroker)
{
  const auto it = mMembers.find(aBroker);
  if (it != mMembers.end()) {
    it->second.mSuspicionTime = kMinSuspicionTime;
  }
}

VmIp
Fleet::BrokerOf(TimePoint aNow, uint32_t aService, bool aExcludesSelf) const
{
  const bool mayBeSelf = mSelf.mIsReady && !aExcludesSelf;
  const MemberRecord* best = mayBeSelf ? &mSelf : nullptr;
  double bestRank = best == nullptr ? 0 : BrokerRank(aService, mSelf);
  for (const auto& [ip, member] : mMembers) {
    const bool serves = member.mRecord.mIsReady &&
                        WasHeardRecently(aNow, member) &&
                        member.mSuspectedUntil <= aNow;
    if (!serves) {
      continue;
    }
    const double rank = BrokerRank(aService, member.mRecord);
    if (best == nullptr || rank < bestRank) {
      best = &member.mRecord;
      bestRank = rank;
    }
  }
  return best == nullptr ? mSelf.mIp : best->mIp;
}

size_t
Fleet::ReaderRank(TimePoint aNow) const
{
  const uint64_t own = MixHash(kReaderHashKey, mSelf.mIp);
  const auto ahead =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return it.second.mRecord.mIsReady && WasHeardRecently(aNow, it.second) &&
             MixHash(kReaderHashKey, it.first) > own;
    });
  return static_cast<size_t>(ahead);
}

std::optional<VmIp>
Fleet::PickReadyMember(TimePoint aNow)
{
  std::vector<VmIp> near;
  std::vector<VmIp> far;
  for (const auto& [ip, member] : mMembers) {
    if (member.mRecord.mIsReady && WasHeardRecently(aNow, member)) {
      (member.mRecord.mDomain == mSelf.mDomain ? near : far).push_back(ip);
    }
  }
  const std::vector<VmIp>& choices = near.empty() ? far : near;
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[std::uniform_int_distribution<size_t>(0, choices.size() - 1)(
    mRandom)];
}

std::set<std::string>
Fleet::SilentDomains(TimePoint aNow) const
{
  std::set<std::string> heard{ mSelf.mDomain };
  for (const auto& [ip, member] : mMembers) {
    if (WasHeardRecently(aNow, member)) {
      heard.insert(member.mRecord.mDomain);
    }
  }
  std::set<std::string> silent;
  for (const auto& [ip, member] : mMembers) {
    if (heard.count(member.mRecord.mDomain) == 0) {
      silent.insert(member.mRecord.mDomain);
    }
  }
  return silent;
}

bool
Fleet::IsAlive(TimePoint aNow, VmIp aMember) const
{
  const auto it = mMembers.find(aMember);
  return aMember == mSelf.mIp ||
         (it != mMembers.end() && WasHeardRecently(aNow, it->second));
}

size_t
Fleet::AliveCount(TimePoint aNow) const
{
  const auto alive =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return WasHeardRecently(aNow, it.second);
    });
  return static_cast<size_t>(alive) + 1;
}

size_t
Fleet::ReadyCount(TimePoint aNow) const
{
  const auto ready =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return it.second.mRecord.mIsReady && WasHeardRecently(aNow, it.second);
    });
  return static_cast<size_t>(ready) + (mSelf.mIsReady ? 1 : 0);
}

} // namespace foxtail::flow

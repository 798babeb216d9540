#include "foxtail/flow/Fleet.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// Keeps the ranks of readers apart from those of brokers.
constexpr uint64_t kReaderSeed = 0x7EAD;

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

Fleet::Fleet(MemberRecord aSelf, std::vector<VmIp> aSeeds, uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mRandom(aSeed)
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
    NoteChange(aNow, mSelf);
    mNextBeat = aNow;
  }
}

void
Fleet::NoteChange(TimePoint aNow, const MemberRecord& aRecord)
{
  mChangedAt = aNow;
  if (aRecord.mDomain == mSelf.mDomain) {
    mDomainChangedAt = aNow;
  }
}

bool
Fleet::Merge(TimePoint aNow, const MemberRecord& aRecord)
{
  if (aRecord.mIp == mSelf.mIp || aRecord.mIp == 0) {
    return false;
  }
  const auto it = mMembers.find(aRecord.mIp);
  const bool isNew = it == mMembers.end() ||
                     it->second.mRecord.mIncarnation < aRecord.mIncarnation;
  if (isNew) {
    // Both should know of each other at once, not only with the next beat.
    mNextBeat = std::min(mNextBeat, mLastBeat + kMinHeartbeatGap);
    NoteChange(aNow, aRecord);
    mMembers[aRecord.mIp] = { aRecord, aNow, true, {}, kMinSuspicionTime };
    return true;
  }
  Member& member = it->second;
  const bool isNewer = member.mRecord.mIncarnation == aRecord.mIncarnation &&
                       member.mRecord.mPulse < aRecord.mPulse;
  if (!isNewer) {
    return false;
  }
  const bool returned = !member.mWasAlive;
  if (returned || member.mRecord.mIsReady != aRecord.mIsReady) {
    NoteChange(aNow, aRecord);
  }
  member.mRecord = aRecord;
  member.mHeard = aNow;
  member.mWasAlive = true;
  return returned;
}

std::vector<Event>
Fleet::Hear(TimePoint aNow, VmIp aFrom, const Beat& aBeat)
{
  std::vector<Event> events;
  if (aBeat.mSelf.mIp != aFrom) {
    events.push_back({ 7001,
                       absl::StrCat("from=",
                                    Address{ aFrom, 0 }.IpString(),
                                    " reason=beat-of-another-vm") });
    return events;
  }
  if (!AreFew() && aBeat.mKnown < AliveCount(aNow)) {
    mUninformed = aFrom;
  }
  if (Merge(aNow, aBeat.mSelf)) {
    events.push_back(
      { 3101, absl::StrCat(Describe(aBeat.mSelf), " heard=directly") });
  }
  for (const MemberRecord& it : aBeat.mOthers) {
    if (Merge(aNow, it)) {
      events.push_back({ 3101,
                         absl::StrCat(Describe(it),
                                      " heard=from ",
                                      Address{ aFrom, 0 }.IpString()) });
    }
  }
  return events;
}

std::vector<VmIp>
Fleet::PickTargets()
{
  std::vector<VmIp> near;
  std::vector<VmIp> far;
  for (const auto& [ip, member] : mMembers) {
    (member.mRecord.mDomain == mSelf.mDomain ? near : far).push_back(ip);
  }
  if (!AreFew()) {
    std::shuffle(near.begin(), near.end(), mRandom);
    std::shuffle(far.begin(), far.end(), mRandom);
    near.resize(std::min(near.size(), kFanoutInDomain));
    far.resize(std::min(far.size(), kFanoutOutsideDomain));
  }
  std::vector<VmIp> targets = std::move(near);
  targets.insert(targets.end(), far.begin(), far.end());
  // A seed that is not known yet may be starting or cut off.
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
    if (member.mWasAlive) {
      alive.push_back(&member);
    }
  }
  // Half of them any, so that all are named sometime; the other half fresh.
  std::shuffle(alive.begin(), alive.end(), mRandom);
  const size_t count = std::min(alive.size(), aCount);
  const auto any = alive.begin() + static_cast<ptrdiff_t>(count / 2);
  std::partial_sort(
    any,
    alive.begin() + static_cast<ptrdiff_t>(count),
    alive.end(),
    [](const Member* a, const Member* b) { return a->mHeard > b->mHeard; });
  std::vector<MemberRecord> records;
  for (size_t i = 0; i < count; ++i) {
    records.push_back(alive[i]->mRecord);
  }
  return records;
}

std::optional<Fleet::Round>
Fleet::Due(TimePoint aNow)
{
  if (aNow < mNextBeat) {
    return std::nullopt;
  }
  mNextBeat = aNow + (AreFew() ? kHeartbeatInterval : kGossipInterval);
  mLastBeat = aNow;
  ++mSelf.mPulse;
  Round round;
  round.mTargets = PickTargets();
  round.mBeat.mSelf = mSelf;
  round.mBeat.mKnown = static_cast<uint32_t>(AliveCount(aNow));
  size_t records = AreFew() ? kDirectRecords : kGossipRecords;
  if (mUninformed != 0) {
    // One that knows fewer is told of many at once, between two beats.
    round.mTargets = { mUninformed };
    mUninformed = 0;
    records = kCatchUpRecords;
    mNextBeat = aNow + kGossipInterval / 2;
  }
  round.mBeat.mOthers = PickRecords(records);
  return round;
}

bool
Fleet::IsHeard(TimePoint aNow, const Member& aMember) const
{
  const Duration limit =
    AreFew() ? Duration(kDirectTimeout)
             : kGossipTimeout + mMembers.size() * kGossipTimeoutPerMember;
  return aNow - aMember.mHeard < limit;
}

std::vector<Event>
Fleet::Expire(TimePoint aNow)
{
  std::vector<Event> events;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    Member& member = it->second;
    const bool isAlive = IsHeard(aNow, member);
    if (!isAlive && member.mWasAlive) {
      NoteChange(aNow, member.mRecord);
      events.push_back({ 3102,
                         absl::StrCat(Describe(member.mRecord),
                                      " silent_ms=",
                                      std::chrono::duration_cast<milliseconds>(
                                        aNow - member.mHeard)
                                        .count()) });
    }
    member.mWasAlive = isAlive;
    const bool isForgotten = aNow - member.mHeard >= kMemberRetention;
    it = isForgotten ? mMembers.erase(it) : std::next(it);
  }
  return events;
}

void
Fleet::Suspect(TimePoint aNow, VmIp aBroker)
{
  const auto it = mMembers.find(aBroker);
  if (it == mMembers.end()) {
    return;
  }
  mChangedAt = aNow;
  Member& member = it->second;
  member.mSuspectUntil = aNow + member.mSuspicion;
  member.mSuspicion =
    std::min<Duration>(member.mSuspicion * 2, kMaxSuspicionTime);
}

void
Fleet::Trust(VmIp aBroker)
{
  const auto it = mMembers.find(aBroker);
  if (it != mMembers.end()) {
    it->second.mSuspicion = kMinSuspicionTime;
  }
}

VmIp
Fleet::BrokerOf(TimePoint aNow, uint32_t aService) const
{
  VmIp best = mSelf.mIp;
  uint64_t bestWeight = mSelf.mIsReady ? MixHash(aService, mSelf.mIp) : 0;
  for (const auto& [ip, member] : mMembers) {
    const bool serves = member.mRecord.mIsReady && IsHeard(aNow, member) &&
                        member.mSuspectUntil <= aNow;
    const uint64_t weight = MixHash(aService, ip);
    if (serves && weight > bestWeight) {
      best = ip;
      bestWeight = weight;
    }
  }
  return best;
}

size_t
Fleet::ReaderRank(TimePoint aNow) const
{
  const uint64_t own = MixHash(kReaderSeed, mSelf.mIp);
  const auto ahead =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return it.second.mRecord.mIsReady && IsHeard(aNow, it.second) &&
             MixHash(kReaderSeed, it.first) > own;
    });
  return static_cast<size_t>(ahead);
}

bool
Fleet::IsAlive(TimePoint aNow, VmIp aMember) const
{
  const auto it = mMembers.find(aMember);
  return aMember == mSelf.mIp ||
         (it != mMembers.end() && IsHeard(aNow, it->second));
}

size_t
Fleet::AliveCount(TimePoint aNow) const
{
  const auto alive =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return IsHeard(aNow, it.second);
    });
  return static_cast<size_t>(alive) + 1;
}

size_t
Fleet::ReadyCount(TimePoint aNow) const
{
  const auto ready =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& it) {
      return it.second.mRecord.mIsReady && IsHeard(aNow, it.second);
    });
  return static_cast<size_t>(ready) + (mSelf.mIsReady ? 1 : 0);
}

} // namespace foxtail::flow

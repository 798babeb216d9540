#include "foxtail/flow/Directory.h"

#include <algorithm>
#include <set>
#include <variant>

#include "absl/strings/str_cat.h"

#include "flow/StateName.h"
#include "flow/UpstreamOrder.h"
#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

const std::vector<Cookie> kNoCookies;

using Change = std::variant<const UpstreamRecord*, const RemovedRecord*>;

// Returns the changes of an update in the order of their revisions. A change
// that a later change in the same update reverts is applied too. Otherwise the
// record would look unchanged and keep its old revision, and a peer that has
// seen only the first change would never receive the second.
std::vector<Change>
ChangesInOrder(const ReplicaUpdate& aUpdate)
{
  std::vector<Change> changes;
  changes.reserve(aUpdate.mUpstreams.size() + aUpdate.mRemoved.size());
  for (const UpstreamRecord& it : aUpdate.mUpstreams) {
    changes.emplace_back(&it);
  }
  for (const RemovedRecord& it : aUpdate.mRemoved) {
    changes.emplace_back(&it);
  }
  const auto revision = [](const Change& aChange) {
    return std::visit([](const auto* it) { return it->mRevision; }, aChange);
  };
  std::stable_sort(
    changes.begin(), changes.end(), [&](const Change& a, const Change& b) {
      return revision(a) < revision(b);
    });
  return changes;
}

// The version decides; within an era, its revision must be newer, too.
bool
IsNewerConfiguration(const Configuration& aKnown, const Configuration& aNew)
{
  const bool isOfOtherEra = EraOf(aNew.mRevision) != EraOf(aKnown.mRevision);
  return aNew.mVersion > aKnown.mVersion &&
         (isOfOtherEra || aNew.mRevision > aKnown.mRevision);
}

} // namespace

uint32_t
RouteId(const Address& aService)
{
  return static_cast<uint32_t>(MixHash(aService.mIp, aService.mPort));
}

Cookie
CookieOf(uint64_t aInstance)
{
  const auto low = static_cast<Cookie>(aInstance);
  const bool fits = aInstance == low && low != 0;
  if (fits) {
    return low;
  }
  const auto mixed = static_cast<Cookie>(MixHash(aInstance, 1));
  return mixed != 0 ? mixed : 1;
}

std::vector<Event>
Directory::Apply(TimePoint aNow,
                 const ReplicaUpdate& aUpdate,
                 const std::string& aSource)
{
  mChanged = false;
  if (!IsOfUsableEra(aUpdate)) {
    return std::exchange(mEvents, {});
  }
  const std::set<std::string> evacuated = mEvacuations.ActiveDomains();
  const bool startsEra =
    mHasFullListing && EraOf(aUpdate.mConfirmed) > EraOf(mConfirmed);
  if (startsEra) {
    mEvents.push_back({ 2109,
                        absl::StrCat("era=",
                                     EraOf(aUpdate.mConfirmed),
                                     " was=",
                                     EraOf(mConfirmed),
                                     " revision=",
                                     FormatRevision(aUpdate.mConfirmed),
                                     " source=",
                                     aSource) });
  }
  for (const Change& change : ChangesInOrder(aUpdate)) {
    if (const auto* it = std::get_if<const RemovedRecord*>(&change)) {
      ApplyRemoval(aNow, **it);
    } else {
      ApplyUpstream(
        aNow, *std::get<const UpstreamRecord*>(change), aUpdate, aSource);
    }
  }
  if (aUpdate.mConfiguration) {
    ApplyConfiguration(*aUpdate.mConfiguration, aSource);
  }
  ApplyEvacuations(aNow, aUpdate, startsEra);
  if (aUpdate.mIsFullListing) {
    ApplyListing(aNow, aUpdate);
  }
  TakeConfirmation(aNow, aUpdate);
  if (mChanged) {
    RebuildIndexes();
  }
  LogEvacuations(aNow, evacuated, aSource);
  return std::exchange(mEvents, {});
}

bool
Directory::IsOfUsableEra(const ReplicaUpdate& aUpdate) const
{
  const uint64_t era = EraOf(aUpdate.mConfirmed);
  const uint64_t own = EraOf(mConfirmed);
  // The changes since a revision of an older era are not those since this
  // replica.
  return !mHasFullListing || era == own ||
         (era > own && aUpdate.mIsFullListing);
}

void
Directory::ApplyListing(TimePoint aNow, const ReplicaUpdate& aUpdate)
{
  RemoveUnlisted(aNow, aUpdate);
  const bool bringsChanges =
    !mHasFullListing || aUpdate.mConfirmed > mConfirmed;
  if (bringsChanges) {
    mCompleteSince = std::max(mCompleteSince, aUpdate.mConfirmed);
  }
  mHasFullListing = true;
}

void
Directory::TakeConfirmation(TimePoint aNow, const ReplicaUpdate& aUpdate)
{
  const TimePoint confirmedAt = aNow - aUpdate.mAge;
  const bool isNewer = aUpdate.mConfirmed > mConfirmed;
  const bool isFresher =
    aUpdate.mConfirmed == mConfirmed && confirmedAt > mConfirmedAt;
  if (isNewer || isFresher) {
    mConfirmed = aUpdate.mConfirmed;
    mConfirmedAt = std::max(mConfirmedAt, confirmedAt);
  }
}

void
Directory::NoteChange(Revision aRevision)
{
  mNewest = std::max(mNewest, aRevision);
  mChanged = true;
}

bool
Directory::IsApplied(Revision aRevision) const
{
  return mHasFullListing && aRevision <= mConfirmed;
}

void
Directory::ApplyUpstream(TimePoint aNow,
                         const UpstreamRecord& aRecord,
                         const ReplicaUpdate& aUpdate,
                         const std::string& aSource)
{
  UpdateSequence(aRecord);
  if (IsApplied(aRecord.mRevision)) {
    return;
  }
  const auto it = mUpstreams.find(aRecord.mId);
  const bool isKnown = it != mUpstreams.end();
  if (isKnown && it->second.LatestRevision() >= aRecord.mRevision) {
    return;
  }
  const auto removal = mUnknownRemovals.find(aRecord.mId);
  if (removal != mUnknownRemovals.end()) {
    if (removal->second.mRevision >= aRecord.mRevision) {
      return;
    }
    mUnknownRemovals.erase(removal);
  }
  if (isKnown && StaysAfterRestore(it->second, aRecord)) {
    KeepAfterRestore(it->second,
                     std::max(aRecord.mRevision, aUpdate.mConfirmed));
    return;
  }
  const bool matters = !isKnown || it->second.mIsRemoved ||
                       HasRelevantChange(aNow, it->second, aRecord);
  if (!matters) {
    // Unless the update lists every change, the record may have changed and
    // changed back. Its revision is raised, so that ChangesSince returns the
    // record for a peer that has seen only the first change.
    if (!aUpdate.mHasEveryChange) {
      it->second.mRecord.mRevision = aRecord.mRevision;
      mNewest = std::max(mNewest, aRecord.mRevision);
    }
    return;
  }
  Upstream& upstream = mUpstreams[aRecord.mId];
  // The address in a malformed record is not reliable, so open flows keep using
  // the previous record.
  const bool keepsPlace = isKnown && aRecord.mState == UpstreamState::Unusable;
  if (keepsPlace) {
    upstream.mRecord.mState = aRecord.mState;
    upstream.mRecord.mRevision = aRecord.mRevision;
    upstream.mRecord.mIsAheadOfPublisher = false;
  } else {
    upstream.mRecord = aRecord;
  }
  upstream.mCookie = CookieOf(upstream.mRecord.mInstance);
  upstream.mIsRemoved = false;
  upstream.mWarmUpUntil = aNow + aRecord.mRemainingWarmUp;
  NoteChange(aRecord.mRevision);
  mEvents.push_back({ 2101,
                      absl::StrCat("upstream=",
                                   aRecord.mId,
                                   " service=",
                                   aRecord.mService,
                                   " address=",
                                   upstream.mRecord.mAddress.ToString(),
                                   " state=",
                                   StateName(aRecord.mState),
                                   " started=",
                                   aRecord.mStartedUnixMs,
                                   " revision=",
                                   FormatRevision(aRecord.mRevision),
                                   " source=",
                                   aSource) });
}

void
Directory::ApplyConfiguration(const Configuration& aConfiguration,
                              const std::string& aSource)
{
  const bool isNewer =
    !mConfiguration || IsNewerConfiguration(*mConfiguration, aConfiguration);
  // A restored publisher has the version that is in force.
  const bool isSame =
    mConfiguration && aConfiguration.mVersion == mConfiguration->mVersion &&
    EraOf(aConfiguration.mRevision) > EraOf(mConfiguration->mRevision);
  if (!isNewer && !isSame) {
    const bool isOlder = aConfiguration.mVersion < mConfiguration->mVersion;
    if (isOlder) {
      mEvents.push_back({ 2003,
                          absl::StrCat("version=",
                                       aConfiguration.mVersion,
                                       " in_force=",
                                       mConfiguration->mVersion,
                                       " source=",
                                       aSource) });
    }
    return;
  }
  mConfiguration = aConfiguration;
  mNewest = std::max(mNewest, aConfiguration.mRevision);
  mRoutes.clear();
  mTimeouts.clear();
  for (size_t i = 0; i < mConfiguration->mRoutes.size(); ++i) {
    const Route& route = mConfiguration->mRoutes[i];
    mRoutes[route.mServiceAddress] = i;
    mTimeouts[RouteId(route.mServiceAddress)] = route.mTimeout;
  }
  if (isSame) {
    return;
  }
  mEvents.push_back({ 2001,
                      absl::StrCat("version=",
                                   aConfiguration.mVersion,
                                   " routes=",
                                   aConfiguration.mRoutes.size(),
                                   " revision=",
                                   FormatRevision(aConfiguration.mRevision),
                                   " source=",
                                   aSource) });
}

void
Directory::RebuildIndexes()
{
  ++mChangeCount;
  mByCookie.clear();
  mByService.clear();
  for (const auto& [id, upstream] : mUpstreams) {
    const auto [it, isFirst] = mByCookie.emplace(upstream.mCookie, &upstream);
    if (!isFirst && PrecedesAsHolder(upstream.mRecord, it->second->mRecord)) {
      it->second = &upstream;
    }
  }
  for (auto& [id, upstream] : mUpstreams) {
    upstream.mIsEvacuated = mEvacuations.IsActive(upstream.mRecord.mDomain);
    const Upstream* holder = mByCookie.at(upstream.mCookie);
    const bool hadConflict = upstream.mHasCookieConflict;
    upstream.mHasCookieConflict = holder != &upstream;
    if (!upstream.mHasCookieConflict) {
      mByService[upstream.mRecord.mService].push_back(upstream.mCookie);
    } else if (!hadConflict) {
      mEvents.push_back(
        { 2103,
          absl::StrCat("upstream=", id, " other=", holder->mRecord.mId) });
    }
  }
}

const Route*
Directory::FindRoute(const Address& aService) const
{
  const auto it = mRoutes.find(aService);
  return it == mRoutes.end() ? nullptr : &mConfiguration->mRoutes[it->second];
}

milliseconds
Directory::TimeoutOf(uint32_t aRoute) const
{
  const auto it = mTimeouts.find(aRoute);
  return it == mTimeouts.end() ? milliseconds(0) : it->second;
}

const Upstream*
Directory::FindUpstream(Cookie aCookie) const
{
  const auto it = mByCookie.find(aCookie);
  return it == mByCookie.end() ? nullptr : it->second;
}

const std::vector<Cookie>&
Directory::UpstreamsOf(const std::string& aService) const
{
  const auto it = mByService.find(aService);
  return it == mByService.end() ? kNoCookies : it->second;
}

ServiceSettings
Directory::SettingsOf(const std::string& aService) const
{
  if (mConfiguration) {
    for (const ServiceSettings& it : mConfiguration->mServices) {
      if (it.mName == aService) {
        return it;
      }
    }
  }
  ServiceSettings settings;
  settings.mName = aService;
  return settings;
}

bool
Directory::TakesNewFlows(const Upstream& aUpstream, TimePoint aNow)
{
  if (aUpstream.mHasCookieConflict || aUpstream.mIsEvacuated) {
    return false;
  }
  if (aUpstream.mIsRemoved) {
    return aUpstream.mWasReadyWhenRemoved &&
           aNow - aUpstream.mRemovedAt < kRemovalGraceTime;
  }
  return aUpstream.mRecord.mState == UpstreamState::Ready;
}

} // namespace foxtail::flow

#include "foxtail/flow/EvacuationState.h"

#include <algorithm>

namespace foxtail::flow {

namespace {

milliseconds
RemainingTime(TimePoint aNow, TimePoint aEnd)
{
  // An evacuation without a hold has a remaining hold of zero.
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(aEnd - aNow));
}

} // namespace

bool
EvacuationState::Start(TimePoint aNow, const Evacuation& aEvacuation)
{
  Entry& entry = mByDomain[aEvacuation.mDomain];
  if (aEvacuation.mRevision <= entry.mRevision) {
    return false;
  }
  entry = { aEvacuation.mRevision, std::nullopt, std::nullopt };
  if (aEvacuation.mRemainingHold > milliseconds(0)) {
    entry.mHeldUntil =
      aNow + std::min(aEvacuation.mRemainingHold, kRestoreHold);
  }
  return true;
}

bool
EvacuationState::End(TimePoint aNow, const Evacuation& aEvacuation)
{
  Entry& entry = mByDomain[aEvacuation.mDomain];
  if (aEvacuation.mRevision <= entry.mRevision) {
    return false;
  }
  entry = { aEvacuation.mRevision, aNow, std::nullopt };
  return true;
}

std::vector<std::string>
EvacuationState::Unlisted(const std::vector<Evacuation>& aListed,
                          Revision aConfirmed) const
{
  std::set<std::string> listed;
  for (const Evacuation& it : aListed) {
    listed.insert(it.mDomain);
  }
  std::vector<std::string> unlisted;
  for (const auto& [domain, entry] : mByDomain) {
    const bool isLacking = !entry.mEndedAt && entry.mRevision < aConfirmed &&
                           listed.count(domain) == 0;
    if (isLacking) {
      unlisted.push_back(domain);
    }
  }
  return unlisted;
}

bool
EvacuationState::EndUnlisted(TimePoint aNow,
                             const std::vector<Evacuation>& aListed,
                             Revision aConfirmed)
{
  const std::vector<std::string> unlisted = Unlisted(aListed, aConfirmed);
  bool hasEnded = false;
  for (const std::string& it : unlisted) {
    // The publisher lacks an evacuation that is on hold in any case.
    if (!mByDomain[it].mHeldUntil) {
      hasEnded = End(aNow, { it, aConfirmed }) || hasEnded;
    }
  }
  return hasEnded;
}

std::vector<std::string>
EvacuationState::HoldUnlisted(TimePoint aNow,
                              const std::vector<Evacuation>& aListed,
                              Revision aConfirmed)
{
  std::vector<std::string> unlisted = Unlisted(aListed, aConfirmed);
  for (const std::string& it : unlisted) {
    Entry& entry = mByDomain[it];
    entry.mRevision = aConfirmed;
    entry.mHeldUntil = aNow + kRestoreHold;
  }
  return unlisted;
}

bool
EvacuationState::IsActive(const std::string& aDomain) const
{
  const auto it = mByDomain.find(aDomain);
  return it != mByDomain.end() && !it->second.mEndedAt;
}

std::set<std::string>
EvacuationState::ActiveDomains() const
{
  std::set<std::string> active;
  for (const auto& [domain, entry] : mByDomain) {
    if (!entry.mEndedAt) {
      active.insert(domain);
    }
  }
  return active;
}

Revision
EvacuationState::RevisionOf(const std::string& aDomain) const
{
  const auto it = mByDomain.find(aDomain);
  return it == mByDomain.end() ? 0 : it->second.mRevision;
}

Revision
EvacuationState::Expire(TimePoint aNow, Duration aRetention)
{
  Revision dropped = 0;
  for (auto it = mByDomain.begin(); it != mByDomain.end();) {
    Entry& entry = it->second;
    if (entry.mHeldUntil && aNow >= *entry.mHeldUntil) {
      entry.mEndedAt = aNow;
      entry.mHeldUntil.reset();
    }
    if (entry.mEndedAt && aNow - *entry.mEndedAt >= aRetention) {
      dropped = std::max(dropped, entry.mRevision);
      it = mByDomain.erase(it);
    } else {
      ++it;
    }
  }
  return dropped;
}

void
EvacuationState::AddChangesSince(TimePoint aNow,
                                 Revision aAfter,
                                 ReplicaUpdate& aUpdate) const
{
  for (const auto& [domain, entry] : mByDomain) {
    if (entry.mRevision <= aAfter) {
      continue;
    }
    if (entry.mEndedAt) {
      aUpdate.mEndedEvacuations.push_back({ domain, entry.mRevision });
      continue;
    }
    const milliseconds hold = entry.mHeldUntil
                                ? RemainingTime(aNow, *entry.mHeldUntil)
                                : milliseconds(0);
    aUpdate.mEvacuations.push_back({ domain, entry.mRevision, hold });
  }
}

} // namespace foxtail::flow

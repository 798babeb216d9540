#include "foxtail/flow/Directory.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

// The part of Directory that applies evacuations and reports their effect.
namespace foxtail::flow {

void
Directory::ApplyEvacuations(TimePoint aNow,
                            const ReplicaUpdate& aUpdate,
                            bool aStartsEra)
{
  for (const Evacuation& it : aUpdate.mEvacuations) {
    if (!IsApplied(it.mRevision) && mEvacuations.Start(aNow, it)) {
      NoteChange(it.mRevision);
    }
  }
  for (const Evacuation& it : aUpdate.mEndedEvacuations) {
    if (!IsApplied(it.mRevision) && mEvacuations.End(aNow, it)) {
      NoteChange(it.mRevision);
    }
  }
  const Revision listed = aUpdate.mConfirmed;
  if (!aUpdate.mIsFullListing || IsApplied(listed)) {
    return;
  }
  if (!aStartsEra) {
    if (mEvacuations.EndUnlisted(aNow, aUpdate.mEvacuations, listed)) {
      NoteChange(listed);
    }
    return;
  }
  for (const std::string& it :
       mEvacuations.HoldUnlisted(aNow, aUpdate.mEvacuations, listed)) {
    NoteChange(listed);
    mEvents.push_back({ 2108,
                        absl::StrCat("evacuation=",
                                     it,
                                     " hold_ms=",
                                     EvacuationState::kRestoreHold.count(),
                                     " revision=",
                                     FormatRevision(listed)) });
  }
}

void
Directory::LogEvacuations(TimePoint aNow,
                          const std::set<std::string>& aBefore,
                          const std::string& aSource)
{
  const std::set<std::string> active = mEvacuations.ActiveDomains();
  for (const std::string& it : active) {
    if (aBefore.count(it) == 0) {
      LogEvacuation(aNow, it, true, aSource);
    }
  }
  for (const std::string& it : aBefore) {
    if (active.count(it) == 0) {
      LogEvacuation(aNow, it, false, aSource);
    }
  }
}

void
Directory::LogEvacuation(TimePoint aNow,
                         const std::string& aDomain,
                         bool aHasStarted,
                         const std::string& aSource)
{
  // Slots that new flows may use, by affected service.
  std::map<std::string, uint64_t> slots;
  size_t upstreams = 0;
  for (const auto& [id, upstream] : mUpstreams) {
    const bool isAffected =
      upstream.mRecord.mDomain == aDomain && !upstream.mIsRemoved;
    if (isAffected) {
      ++upstreams;
      slots[upstream.mRecord.mService] = 0;
    }
  }
  for (const auto& [id, upstream] : mUpstreams) {
    const auto it = slots.find(upstream.mRecord.mService);
    if (it != slots.end() && TakesNewFlows(upstream, aNow)) {
      it->second += upstream.mRecord.mSlots;
    }
  }
  const std::string origin =
    absl::StrCat(" revision=",
                 FormatRevision(mEvacuations.RevisionOf(aDomain)),
                 " source=",
                 aSource);
  if (aHasStarted && upstreams == 0) {
    mEvents.push_back({ 2107, absl::StrCat("domain=", aDomain, origin) });
    return;
  }
  mEvents.push_back(
    { aHasStarted ? 2104 : 2105,
      absl::StrCat("domain=",
                   aDomain,
                   " upstreams=",
                   upstreams,
                   " remaining_slots=",
                   absl::StrJoin(slots, ",", absl::PairFormatter(":")),
                   origin) });
  for (const auto& [service, remaining] : slots) {
    if (aHasStarted && remaining == 0) {
      mEvents.push_back(
        { 2106, absl::StrCat("service=", service, " domain=", aDomain) });
    }
  }
}

} // namespace foxtail::flow

#include "foxtail/flow/Directory.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

#include "flow/StateName.h"

// The part of Directory that keeps removals for a while and passes changes on.
namespace foxtail::flow {

namespace {

milliseconds
Elapsed(TimePoint aNow, TimePoint aSince)
{
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(aNow - aSince));
}

} // namespace

void
Directory::ApplyRemoval(TimePoint aNow, const RemovedRecord& aRecord)
{
  if (IsApplied(aRecord.mRevision)) {
    return;
  }
  const auto it = mUpstreams.find(aRecord.mId);
  if (it == mUpstreams.end()) {
    KeepUnknownRemoval(aNow, aRecord);
    return;
  }
  Upstream& upstream = it->second;
  if (upstream.LatestRevision() >= aRecord.mRevision) {
    return;
  }
  NoteChange(aRecord.mRevision);
  upstream.mRemovedRevision = aRecord.mRevision;
  // A removal that was found by a listing gets its exact revision here.
  if (upstream.mIsRemoved) {
    return;
  }
  upstream.mIsRemoved = true;
  upstream.mRemovedAt = aNow - aRecord.mAge;
  upstream.mWasReadyWhenRemoved =
    upstream.mRecord.mState == UpstreamState::Ready;
  mEvents.push_back({ 2102,
                      absl::StrCat("upstream=",
                                   aRecord.mId,
                                   " was=",
                                   StateName(upstream.mRecord.mState),
                                   " revision=",
                                   FormatRevision(aRecord.mRevision)) });
}

void
Directory::KeepUnknownRemoval(TimePoint aNow, const RemovedRecord& aRecord)
{
  UnknownRemoval& removal = mUnknownRemovals[aRecord.mId];
  if (removal.mRevision < aRecord.mRevision) {
    removal = { aRecord.mRevision, aNow - aRecord.mAge };
    mNewest = std::max(mNewest, aRecord.mRevision);
  }
}

void
Directory::KeepAfterRestore(Upstream& aUpstream, Revision aRevision)
{
  if (aUpstream.mIsRemoved) {
    aUpstream.mRemovedRevision = aRevision;
  } else {
    aUpstream.mRecord.mRevision = aRevision;
    aUpstream.mRecord.mIsAheadOfPublisher = true;
  }
  NoteChange(aRevision);
  mEvents.push_back(
    { 2108,
      absl::StrCat("upstream=",
                   aUpstream.mRecord.mId,
                   " state=",
                   aUpstream.mIsRemoved ? "removed"
                                        : StateName(aUpstream.mRecord.mState),
                   " revision=",
                   FormatRevision(aRevision)) });
}

void
Directory::UpdateSequence(const UpstreamRecord& aRecord)
{
  const auto it = mUpstreams.find(aRecord.mId);
  if (it == mUpstreams.end()) {
    return;
  }
  UpstreamRecord& known = it->second.mRecord;
  const bool isSameLife = known.mStartedUnixMs == aRecord.mStartedUnixMs &&
                          known.mInstance == aRecord.mInstance;
  const bool isSameEra =
    EraOf(aRecord.mRevision) == EraOf(it->second.LatestRevision());
  if (isSameLife && isSameEra) {
    known.mSequence = std::max(known.mSequence, aRecord.mSequence);
  }
}

void
Directory::RemoveUnlisted(TimePoint aNow, const ReplicaUpdate& aUpdate)
{
  std::map<std::string, Revision> present;
  for (const UpstreamRecord& it : aUpdate.mUpstreams) {
    present[it.mId] = it.mRevision;
  }
  // A peer lists removed upstreams, too.
  for (const RemovedRecord& it : aUpdate.mRemoved) {
    const auto record = present.find(it.mId);
    if (record != present.end() && record->second < it.mRevision) {
      present.erase(record);
    }
  }
  std::vector<std::string> absent;
  for (const auto& [id, upstream] : mUpstreams) {
    const bool isOlder = upstream.LatestRevision() < aUpdate.mConfirmed;
    if (isOlder && !upstream.mIsRemoved && present.count(id) == 0) {
      absent.push_back(id);
    }
  }
  // The exact revisions of these removals are unknown.
  for (const std::string& it : absent) {
    ApplyRemoval(aNow, { it, aUpdate.mConfirmed });
  }
}

void
Directory::Expire(TimePoint aNow)
{
  const auto isOver = [&](TimePoint aRemovedAt) {
    return aNow - aRemovedAt >= kRemovedRetention;
  };
  bool changed = false;
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    const Upstream& upstream = it->second;
    if (upstream.mIsRemoved && isOver(upstream.mRemovedAt)) {
      mCompleteSince = std::max(mCompleteSince, upstream.mRemovedRevision);
      it = mUpstreams.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  for (auto it = mUnknownRemovals.begin(); it != mUnknownRemovals.end();) {
    if (isOver(it->second.mRemovedAt)) {
      mCompleteSince = std::max(mCompleteSince, it->second.mRevision);
      it = mUnknownRemovals.erase(it);
    } else {
      ++it;
    }
  }
  const std::set<std::string> evacuated = mEvacuations.ActiveDomains();
  mCompleteSince =
    std::max(mCompleteSince, mEvacuations.Expire(aNow, kRemovedRetention));
  if (changed || mEvacuations.ActiveDomains() != evacuated) {
    RebuildIndexes();
  }
  LogEvacuations(aNow, evacuated, "hold-over");
}

ReplicaUpdate
Directory::ChangesSince(TimePoint aNow, Revision aAfter) const
{
  ReplicaUpdate update;
  update.mConfirmed = mConfirmed;
  update.mAge = std::chrono::duration_cast<milliseconds>(aNow - mConfirmedAt);
  update.mIsFullListing = NeedsFullListing(aAfter);
  const Revision after = update.mIsFullListing ? 0 : aAfter;
  for (const auto& [id, upstream] : mUpstreams) {
    const bool isRemovalNew =
      upstream.mIsRemoved && upstream.mRemovedRevision > after;
    // A removal comes with the last known sequence number, which most balancers
    // have not read.
    if (isRemovalNew || upstream.mRecord.mRevision > after) {
      update.mUpstreams.push_back(upstream.mRecord);
      update.mUpstreams.back().mRemainingWarmUp =
        Elapsed(upstream.mWarmUpUntil, aNow);
    }
    if (isRemovalNew) {
      update.mRemoved.push_back(
        { id, upstream.mRemovedRevision, Elapsed(aNow, upstream.mRemovedAt) });
    }
  }
  for (const auto& [id, removal] : mUnknownRemovals) {
    if (removal.mRevision > after) {
      update.mRemoved.push_back(
        { id, removal.mRevision, Elapsed(aNow, removal.mRemovedAt) });
    }
  }
  mEvacuations.AddChangesSince(aNow, after, update);
  if (mConfiguration && mConfiguration->mRevision > after) {
    update.mConfiguration = mConfiguration;
  }
  return update;
}

} // namespace foxtail::flow

#include "flow/UpstreamOrder.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>

namespace foxtail::flow {

namespace {

// A warm-up that is longer by less than this is not a change: a record reaches
// balancers with different delays, up to the interval of reads.
constexpr milliseconds kMinWarmUpChange{ 500 };

int64_t
StartOrLast(const UpstreamRecord& aRecord)
{
  return aRecord.mStartedUnixMs != 0 ? aRecord.mStartedUnixMs
                                     : std::numeric_limits<int64_t>::max();
}

bool
StartsWarmUpAnew(TimePoint aNow,
                 const Upstream& aKnown,
                 const UpstreamRecord& aNew)
{
  const Duration remaining =
    std::max(Duration(0), Duration(aKnown.mWarmUpUntil - aNow));
  return aNew.mRemainingWarmUp - remaining >= kMinWarmUpChange;
}

} // namespace

bool
PrecedesAsHolder(const UpstreamRecord& aFirst, const UpstreamRecord& aSecond)
{
  // Only the numbers of the revisions are compared: a record may be known with
  // the era in which it was created or, after a restore, with the next one.
  const auto order = [](const UpstreamRecord& aRecord) {
    return std::make_tuple(StartOrLast(aRecord),
                           NumberOf(aRecord.mCreatedRevision),
                           std::string_view(aRecord.mId));
  };
  return order(aFirst) < order(aSecond);
}

bool
HasRelevantChange(TimePoint aNow,
                  const Upstream& aKnown,
                  const UpstreamRecord& aNew)
{
  const UpstreamRecord& old = aKnown.mRecord;
  return old.mState != aNew.mState || old.mAddress != aNew.mAddress ||
         old.mService != aNew.mService || old.mDomain != aNew.mDomain ||
         old.mSlots != aNew.mSlots ||
         old.mStartedUnixMs != aNew.mStartedUnixMs ||
         NumberOf(old.mCreatedRevision) != NumberOf(aNew.mCreatedRevision) ||
         old.mIsAheadOfPublisher || StartsWarmUpAnew(aNow, aKnown, aNew);
}

bool
StaysAfterRestore(const Upstream& aKnown, const UpstreamRecord& aRecord)
{
  if (EraOf(aRecord.mRevision) <= EraOf(aKnown.LatestRevision())) {
    return false;
  }
  const auto life = [](const UpstreamRecord& aIt) {
    return std::make_tuple(aIt.mStartedUnixMs, aIt.mSequence);
  };
  const bool isLeaving =
    aKnown.mIsRemoved || aKnown.mRecord.mState == UpstreamState::Draining;
  if (isLeaving) {
    return life(aRecord) <= life(aKnown.mRecord);
  }
  // The start and sequence of a malformed record are unknown.
  return aRecord.mState != UpstreamState::Unusable &&
         life(aRecord) < life(aKnown.mRecord);
}

} // namespace foxtail::flow

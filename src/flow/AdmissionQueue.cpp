#include "foxtail/flow/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// Groups with fewer grants than this, decayed, are forgotten.
constexpr double kMinShare = 0.05;
// Number of groups at which forgotten ones are dropped.
constexpr size_t kMaxShares = 4096;
// Weight of a period of measurement in the moving average of the rate.
constexpr double kRateWeight = 0.5;

Duration
FromMilliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

bool
Precedes(const QueuedFlow& a, const QueuedFlow& b, bool aIsQueueStanding)
{
  if (a.mMissesObjective != b.mMissesObjective) {
    return b.mMissesObjective;
  }
  if (a.mRequest.mPriority != b.mRequest.mPriority) {
    return a.mRequest.mPriority < b.mRequest.mPriority;
  }
  // In a standing queue, flows that can still meet their objective are served
  // newest first: in order of arrival, each would be granted when it is almost
  // too late.
  const bool newestFirst = aIsQueueStanding && !a.mMissesObjective;
  return newestFirst ? a.mFirstTriedAt > b.mFirstTriedAt
                     : a.mFirstTriedAt < b.mFirstTriedAt;
}

} // namespace

uint64_t
AdmissionQueue::GroupOf(const SlotRequest& aRequest)
{
  constexpr uint32_t kNetworkMask = 0xFFFFFF00;
  return MixHash(aRequest.mRoute, aRequest.mCallerIp & kNetworkMask);
}

double
AdmissionQueue::GrantsOf(TimePoint aNow, uint64_t aGroup) const
{
  const auto it = mShares.find(aGroup);
  if (it == mShares.end()) {
    return 0;
  }
  const double halfLives =
    std::chrono::duration<double>(aNow - it->second.mDecayedAt) /
    std::chrono::duration<double>(kFairShareHalfLife);
  return it->second.mGrants * std::exp2(-std::max(0.0, halfLives));
}

bool
AdmissionQueue::UpdateObjectives(TimePoint aNow, double aAnswerMs)
{
  const Duration answer = FromMilliseconds(kAnswerTimeMargin * aAnswerMs);
  bool isStanding = false;
  for (QueuedFlow& it : mFlows) {
    const milliseconds objective = it.mRequest.mObjective;
    it.mMissesObjective = aNow + answer > it.mFirstTriedAt + objective;
    isStanding |= aNow - it.mFirstTriedAt >= objective / kStandingQueueDivisor;
  }
  return isStanding;
}

void
AdmissionQueue::Prioritize(TimePoint aNow, double aAnswerMs, size_t aCount)
{
  const bool isStanding = UpdateObjectives(aNow, aAnswerMs);
  std::partial_sort(mFlows.begin(),
                    mFlows.begin() + static_cast<ptrdiff_t>(aCount),
                    mFlows.end(),
                    [&](const QueuedFlow& a, const QueuedFlow& b) {
                      return Precedes(a, b, isStanding);
                    });
  const bool isShort = mFlows.size() > aCount;
  MeasureRate(aNow, isShort);
  if (!isShort) {
    return;
  }
  for (size_t i = 0; i < aCount; ++i) {
    if (--mGrantsUntilFair == 0) {
      mGrantsUntilFair = kGrantsPerFairGrant;
      PlaceFairly(aNow, i, isStanding);
    }
  }
}

void
AdmissionQueue::PlaceFairly(TimePoint aNow,
                            size_t aPlace,
                            bool aIsQueueStanding)
{
  // The groups that already have a place in front are served anyway.
  std::unordered_map<uint64_t, double> served;
  for (size_t i = 0; i < aPlace; ++i) {
    served[GroupOf(mFlows[i].mRequest)] += 1;
  }
  size_t best = aPlace;
  double bestGrants = 0;
  std::unordered_map<uint64_t, double> grants;
  for (size_t i = aPlace; i < mFlows.size(); ++i) {
    // A place is worth more to a caller that can still be answered in time.
    if (mFlows[i].mMissesObjective && !mFlows[aPlace].mMissesObjective) {
      continue;
    }
    const uint64_t group = GroupOf(mFlows[i].mRequest);
    const auto [it, isNew] = grants.emplace(group, 0);
    if (isNew) {
      const auto inFront = served.find(group);
      it->second =
        GrantsOf(aNow, group) + (inFront == served.end() ? 0 : inFront->second);
    }
    const bool isBetter = i == aPlace || it->second < bestGrants ||
                          (it->second == bestGrants &&
                           Precedes(mFlows[i], mFlows[best], aIsQueueStanding));
    if (isBetter) {
      best = i;
      bestGrants = it->second;
    }
  }
  if (best == aPlace) {
    return;
  }
  ++mFairGrants;
  std::rotate(mFlows.begin() + static_cast<ptrdiff_t>(aPlace),
              mFlows.begin() + static_cast<ptrdiff_t>(best),
              mFlows.begin() + static_cast<ptrdiff_t>(best) + 1);
}

void
AdmissionQueue::CountGrant(TimePoint aNow, const QueuedFlow& aFlow)
{
  if (!mPeriodStart) {
    return;
  }
  ++mPeriodGrants;
  const uint64_t group = GroupOf(aFlow.mRequest);
  const double grants = GrantsOf(aNow, group) + 1;
  mShares[group] = { grants, aNow };
  if (mShares.size() > kMaxShares) {
    PurgeShares(aNow);
  }
}

void
AdmissionQueue::PurgeShares(TimePoint aNow)
{
  for (auto it = mShares.begin(); it != mShares.end();) {
    const bool isForgotten = GrantsOf(aNow, it->first) < kMinShare;
    it = isForgotten ? mShares.erase(it) : std::next(it);
  }
  if (mShares.size() > kMaxShares) {
    mShares.clear();
  }
}

void
AdmissionQueue::MeasureRate(TimePoint aNow, bool aIsShort)
{
  if (!aIsShort) {
    mPeriodStart.reset();
    mPeriods = 0;
    return;
  }
  if (!mPeriodStart) {
    mPeriodStart = aNow;
    mPeriodGrants = 0;
    return;
  }
  const Duration length = aNow - *mPeriodStart;
  if (length < kRatePeriod) {
    return;
  }
  const double rate =
    mPeriodGrants / std::chrono::duration<double>(length).count();
  mGrantsPerSecond =
    mPeriods == 0 ? rate
                  : mGrantsPerSecond + (rate - mGrantsPerSecond) * kRateWeight;
  ++mPeriods;
  mPeriodStart = aNow;
  mPeriodGrants = 0;
}

std::optional<double>
AdmissionQueue::GrantRate() const
{
  const bool isKnown = mPeriods >= kMinRatePeriods && mGrantsPerSecond > 0;
  return isKnown ? std::make_optional(mGrantsPerSecond) : std::nullopt;
}

std::vector<QueuedFlow>
AdmissionQueue::TakeHopeless(
  TimePoint aNow,
  double aAnswerMs,
  const std::function<milliseconds(uint32_t)>& aTimeoutOf)
{
  const std::optional<double> rate = GrantRate();
  if (!rate) {
    return {};
  }
  const bool isStanding = UpdateObjectives(aNow, aAnswerMs);
  std::stable_sort(mFlows.begin(),
                   mFlows.end(),
                   [&](const QueuedFlow& a, const QueuedFlow& b) {
                     return Precedes(a, b, isStanding);
                   });
  std::vector<QueuedFlow> hopeless;
  size_t kept = 0;
  for (size_t i = 0; i < mFlows.size(); ++i) {
    QueuedFlow& flow = mFlows[i];
    const milliseconds timeout = aTimeoutOf(flow.mRequest.mRoute);
    // Refused flows no longer stand before the others.
    const double waitMs = 1000 * static_cast<double>(kept) / *rate;
    const bool isHopeless =
      timeout > milliseconds(0) && aNow + FromMilliseconds(waitMs + aAnswerMs) >
                                     flow.mFirstTriedAt + timeout;
    if (isHopeless) {
      hopeless.push_back(std::move(flow));
    } else if (kept++ != i) {
      mFlows[kept - 1] = std::move(flow);
    }
  }
  mFlows.resize(kept);
  return hopeless;
}

} // namespace foxtail::flow

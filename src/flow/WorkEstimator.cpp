#include "foxtail/flow/WorkEstimator.h"

#include <algorithm>
#include <cmath>

namespace foxtail::flow {

namespace {

constexpr double kBinsPerDoubling = 2;
// Weight of one placement in the moving average of the crowding of an upstream.
// A few flows are open at an upstream at a time.
constexpr double kCrowdingWeight = 0.25;
// A request that has run longer than every known one is expected to run for
// this part of its time again.
constexpr double kUnknownTailFactor = 0.5;

double
ToMs(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double
LowerEdgeMs(size_t aBin)
{
  return std::exp2(static_cast<double>(aBin) / kBinsPerDoubling);
}

// Share of its weight that an answer keeps after aAge.
double
Decay(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-ToMs(aAge) / ToMs(aHalfLife));
}

} // namespace

void
WorkEstimator::Distribution::Add(TimePoint aNow, double aMs)
{
  const double kept =
    Decay(aNow - mUpdatedAt, kRouteHalfLife) * (1 - 1 / kRouteMemory);
  for (float& it : mWeights) {
    it *= static_cast<float>(kept);
  }
  const double bin =
    std::floor(kBinsPerDoubling * std::log2(std::max(1.0, aMs)));
  mWeights[std::min(static_cast<size_t>(bin), kBins - 1)] += 1;
  mTotal = mTotal * kept + 1;
  mSumMs = mSumMs * kept + aMs;
  mUpdatedAt = aNow;
}

bool
WorkEstimator::Distribution::IsKnown(TimePoint aNow) const
{
  return mTotal * Decay(aNow - mUpdatedAt, kRouteHalfLife) >= kMinRouteAnswers;
}

double
WorkEstimator::Distribution::QuantileMs(double aShare) const
{
  double left = aShare * mTotal;
  for (size_t i = 0; i < kBins; ++i) {
    const double weight = mWeights[i];
    if (weight > 0 && left <= weight) {
      return LowerEdgeMs(i) * std::exp2(left / weight / kBinsPerDoubling);
    }
    left -= weight;
  }
  return LowerEdgeMs(kBins);
}

double
WorkEstimator::Distribution::RemainingMs(double aElapsedMs) const
{
  double weights = 0;
  double sum = 0;
  for (size_t i = kBins; i-- > 0;) {
    const double lower = i == 0 ? 0.0 : LowerEdgeMs(i);
    const double upper = LowerEdgeMs(i + 1);
    if (upper <= aElapsedMs) {
      break;
    }
    // Of the bin of aElapsedMs, only the part above counts.
    const double from = std::max(lower, aElapsedMs);
    const double weight = mWeights[i] * (upper - from) / (upper - lower);
    weights += weight;
    sum += weight * ((from + upper) / 2 - aElapsedMs);
  }
  // Rounding leaves tiny weights in bins whose answers are forgotten.
  constexpr double kMinWeight = 1e-3;
  return weights < kMinWeight ? kUnknownTailFactor * aElapsedMs : sum / weights;
}

double
WorkEstimator::Speed::WeightAt(TimePoint aNow) const
{
  return mWeight * Decay(aNow - mUpdatedAt, kSpeedHalfLife);
}

double
WorkEstimator::LogSlowness(TimePoint aNow, const Speed& aSpeed)
{
  const double weight = aSpeed.WeightAt(aNow);
  if (weight <= 0) {
    return 0;
  }
  const double mean = aSpeed.mLogSum / aSpeed.mWeight;
  return mean * weight / (weight + kPriorAnswers);
}

const WorkEstimator::Distribution*
WorkEstimator::FindKnown(TimePoint aNow, uint32_t aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it != mRoutes.end() && it->second.IsKnown(aNow) ? &it->second
                                                         : nullptr;
}

WorkEstimator::SpeedChange
WorkEstimator::AddAnswer(TimePoint aNow,
                         uint32_t aRoute,
                         Cookie aUpstream,
                         milliseconds aProcessingTime)
{
  const bool hasRoom = mRoutes.size() < kMaxRoutes || mRoutes.count(aRoute) > 0;
  const bool hasUpstreamRoom =
    mUpstreams.size() < kMaxUpstreams || mUpstreams.count(aUpstream) > 0;
  if (!hasRoom || !hasUpstreamRoom) {
    return SpeedChange::None;
  }
  ++mSamples;
  Speed& speed = mUpstreams[aUpstream];
  const double workMs =
    std::max(0.5, ToMs(aProcessingTime)) * std::exp(-speed.mLogCrowding);
  Distribution& route = mRoutes[aRoute];
  route.Add(aNow, workMs);
  mAllRoutes.Add(aNow, workMs);
  if (!route.IsKnown(aNow)) {
    return SpeedChange::None;
  }
  // Medians and logarithms, since stragglers dominate means.
  const double mean = speed.mWeight > 0 ? speed.mLogSum / speed.mWeight : 0;
  const double relative = std::log(workMs / route.QuantileMs(0.5));
  const double counted =
    std::clamp(relative, mean - kMaxSpeedStep, mean + kMaxSpeedStep);
  const double kept =
    Decay(aNow - speed.mUpdatedAt, kSpeedHalfLife) * (1 - 1 / kSpeedMemory);
  speed.mWeight = speed.mWeight * kept + 1;
  speed.mLogSum = speed.mLogSum * kept + counted;
  speed.mUpdatedAt = aNow;
  return UpdateRange(aNow, speed);
}

WorkEstimator::SpeedChange
WorkEstimator::UpdateRange(TimePoint aNow, Speed& aSpeed)
{
  const double slowness = std::exp(LogSlowness(aNow, aSpeed));
  if (!aSpeed.mIsUnusual && slowness > kUnusualSlowness &&
      aSpeed.mWeight >= kMinSpeedAnswers) {
    aSpeed.mIsUnusual = true;
    return SpeedChange::BecameUnusuallySlow;
  }
  if (aSpeed.mIsUnusual && slowness < kUsualSlowness) {
    aSpeed.mIsUnusual = false;
    return SpeedChange::BecameUsual;
  }
  return SpeedChange::None;
}

void
WorkEstimator::AddPlacement(TimePoint aNow,
                            Cookie aUpstream,
                            uint64_t aFlows,
                            double aSlots)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return;
  }
  Speed& speed = it->second;
  speed.mPlacedAt = aNow;
  // Each slot ends one request per processing time, so a request that finds all
  // slots taken waits for its place in the queue, over the slots.
  const double waiting =
    std::max(0.0, static_cast<double>(aFlows) + 1 - aSlots) / aSlots;
  speed.mLogCrowding +=
    (std::log(1 + waiting) - speed.mLogCrowding) * kCrowdingWeight;
}

std::optional<double>
WorkEstimator::ExpectedWorkMs(TimePoint aNow, uint32_t aRoute) const
{
  const Distribution* route = FindKnown(aNow, aRoute);
  return route != nullptr ? std::optional(route->mSumMs / route->mTotal)
                          : std::nullopt;
}

std::optional<double>
WorkEstimator::MeanWorkMs(TimePoint aNow) const
{
  return mAllRoutes.IsKnown(aNow)
           ? std::optional(mAllRoutes.mSumMs / mAllRoutes.mTotal)
           : std::nullopt;
}

std::optional<double>
WorkEstimator::QuantileMs(TimePoint aNow, uint32_t aRoute, double aShare) const
{
  const Distribution* route = FindKnown(aNow, aRoute);
  return route != nullptr ? std::optional(route->QuantileMs(aShare))
                          : std::nullopt;
}

std::optional<double>
WorkEstimator::RemainingWorkMs(TimePoint aNow,
                               uint32_t aRoute,
                               Cookie aUpstream,
                               Duration aElapsed) const
{
  const Distribution* route = FindKnown(aNow, aRoute);
  if (route == nullptr) {
    return std::nullopt;
  }
  return route->RemainingMs(ToMs(aElapsed) / Slowness(aNow, aUpstream));
}

double
WorkEstimator::Slowness(TimePoint aNow, Cookie aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return 1;
  }
  const double log = LogSlowness(aNow, it->second);
  const double counted =
    std::copysign(std::max(0.0, std::abs(log) - kSpeedNoise), log);
  return std::clamp(std::exp(counted), kMinSlowness, kMaxSlowness);
}

bool
WorkEstimator::KnowsSpeed(TimePoint aNow, Cookie aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it != mUpstreams.end() && it->second.WeightAt(aNow) >= 1;
}

double
WorkEstimator::SpeedSpread(TimePoint aNow) const
{
  double least = 0;
  double greatest = 0;
  bool isFirst = true;
  for (const auto& [cookie, speed] : mUpstreams) {
    if (speed.WeightAt(aNow) < kMinSpeedAnswers) {
      continue;
    }
    const double log = LogSlowness(aNow, speed);
    least = isFirst ? log : std::min(least, log);
    greatest = isFirst ? log : std::max(greatest, log);
    isFirst = false;
  }
  return std::exp(greatest - least);
}

void
WorkEstimator::PurgeUnused(TimePoint aNow)
{
  if (aNow - mPurgedAt < kPurgePeriod) {
    return;
  }
  mPurgedAt = aNow;
  absl::erase_if(mRoutes, [&](const auto& it) {
    return aNow - it.second.mUpdatedAt >= kUnusedRetention;
  });
  absl::erase_if(mUpstreams, [&](const auto& it) {
    return aNow - std::max(it.second.mUpdatedAt, it.second.mPlacedAt) >=
           kUnusedRetention;
  });
}

} // namespace foxtail::flow

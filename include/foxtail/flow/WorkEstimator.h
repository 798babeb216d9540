#ifndef foxtail_flow_WorkEstimator_h
#define foxtail_flow_WorkEstimator_h

#include <array>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"

namespace foxtail::flow {

// Estimates the work of requests by route and the speed of upstreams relative
// to each other, from complete answers. Work is the processing time at an
// upstream of usual speed. Old answers lose weight with time and with newer
// answers; estimates that rest on too few answers are not given. Not
// thread-safe.
class WorkEstimator
{
public:
  // Weight of the answers of a route that is needed for an estimate.
  static constexpr double kMinRouteAnswers = 8;
  // Number of answers that the distribution of a route covers, and the time in
  // which its answers lose half of their weight. Stragglers, 3% of requests,
  // show only in hundreds of answers.
  static constexpr double kRouteMemory = 512;
  static constexpr seconds kRouteHalfLife{ 30 };
  // The same for the speed of an upstream. The logarithm of one answer time has
  // a deviation of about 0.45, that of the mean of 16 answers one of 0.1.
  static constexpr double kSpeedMemory = 16;
  static constexpr seconds kSpeedHalfLife{ 10 };
  // An upstream counts as one of usual speed with the weight of this number of
  // answers.
  static constexpr double kPriorAnswers = 4;
  // Answers that are needed before a speed is logged or counted in the spread.
  static constexpr double kMinSpeedAnswers = 8;
  // Difference of logarithms by which a speed must differ from the usual one to
  // count, and which is subtracted from the difference. It is the deviation of
  // an estimate; without it, noise would send flows to other failure domains.
  static constexpr double kSpeedNoise = 0.1;
  // Largest difference of logarithms that one answer counts with, so that a
  // straggler of seven times the usual work doesn't mark its upstream as slow.
  static constexpr double kMaxSpeedStep = 1.0;
  // Bounds of the slowness.
  static constexpr double kMinSlowness = 0.4;
  static constexpr double kMaxSlowness = 6.0;
  // An upstream of a slowness above the first value leaves the usual range, and
  // returns below the second.
  static constexpr double kUnusualSlowness = 2.5;
  static constexpr double kUsualSlowness = 1.8;
  // Bounds of the memory. Further routes and upstreams get no estimates until
  // unused ones are dropped.
  static constexpr size_t kMaxRoutes = 1000;
  static constexpr size_t kMaxUpstreams = 8192;
  // Entries that were unused for this long are dropped.
  static constexpr seconds kUnusedRetention{ 120 };
  static constexpr seconds kPurgePeriod{ 10 };

  enum class SpeedChange
  {
    None,
    BecameUnusuallySlow,
    BecameUsual
  };

  // Adds a complete answer.
  SpeedChange AddAnswer(TimePoint aNow,
                        uint32_t aRoute,
                        Cookie aUpstream,
                        milliseconds aProcessingTime);
  // Notes that a flow is placed at an upstream with aFlows other flows. If they
  // occupy all slots, the processing times of its next answers include waiting,
  // which is removed from them: otherwise fast upstreams, which get more flows,
  // would seem as slow as the others.
  void AddPlacement(TimePoint aNow,
                    Cookie aUpstream,
                    uint64_t aFlows,
                    double aSlots);

  // Expected work of a request; empty if too few answers are known. Without a
  // route, over the requests of all routes.
  std::optional<double> ExpectedWorkMs(TimePoint aNow, uint32_t aRoute) const;
  std::optional<double> MeanWorkMs(TimePoint aNow) const;
  // Work that is exceeded by a share of 1 - aShare of the requests.
  std::optional<double> QuantileMs(TimePoint aNow,
                                   uint32_t aRoute,
                                   double aShare) const;
  // Expected remaining work of a request that has run for aElapsed at
  // aUpstream.
  std::optional<double> RemainingWorkMs(TimePoint aNow,
                                        uint32_t aRoute,
                                        Cookie aUpstream,
                                        Duration aElapsed) const;
  // Processing time at this upstream relative to the usual one; 1 if unknown.
  double Slowness(TimePoint aNow, Cookie aUpstream) const;
  // Whether there are answers of this upstream.
  bool KnowsSpeed(TimePoint aNow, Cookie aUpstream) const;
  // Quotient of the greatest and the smallest known slowness; 1 without any.
  double SpeedSpread(TimePoint aNow) const;
  // Answers since the start.
  uint64_t Samples() const { return mSamples; }

  // Drops unused entries. Does nothing within kPurgePeriod of the last time.
  void PurgeUnused(TimePoint aNow);
  // Number of entries held for routes and upstreams.
  size_t EntryCount() const { return mRoutes.size() + mUpstreams.size(); }

private:
  // Two bins per doubling, from 1 ms to 32 s.
  static constexpr size_t kBins = 30;
  // A histogram of work with decaying weights.
  struct Distribution
  {
    std::array<float, kBins> mWeights{};
    double mTotal = 0;
    // Sum of the work of all answers, in milliseconds.
    double mSumMs = 0;
    TimePoint mUpdatedAt;

    void Add(TimePoint aNow, double aMs);
    bool IsKnown(TimePoint aNow) const;
    double QuantileMs(double aShare) const;
    double RemainingMs(double aElapsedMs) const;
  };
  struct Speed
  {
    // Weight of the answers, and the weighted sum of the logarithms of their
    // processing times relative to the medians of their routes.
    double mWeight = 0;
    double mLogSum = 0;
    // Moving average of the logarithm of the factor by which waiting prolongs
    // answers, see AddPlacement.
    double mLogCrowding = 0;
    bool mIsUnusual = false;
    TimePoint mUpdatedAt;
    TimePoint mPlacedAt;

    double WeightAt(TimePoint aNow) const;
  };

  const Distribution* FindKnown(TimePoint aNow, uint32_t aRoute) const;
  static double LogSlowness(TimePoint aNow, const Speed& aSpeed);
  static SpeedChange UpdateRange(TimePoint aNow, Speed& aSpeed);

  absl::flat_hash_map<uint32_t, Distribution> mRoutes;
  absl::flat_hash_map<Cookie, Speed> mUpstreams;
  Distribution mAllRoutes;
  uint64_t mSamples = 0;
  TimePoint mPurgedAt;
};

} // namespace foxtail::flow

#endif

#ifndef foxtail_benchmarks_swings_Arrivals_h
#define foxtail_benchmarks_swings_Arrivals_h

#include <cstdint>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail::swings {

constexpr uint32_t kUpstreams = 15;
constexpr uint32_t kSlots = 3;
constexpr uint32_t kBalancers = 7;

// A request in the list of arrivals.
struct Arrival
{
  TimePoint mAt;
  // Time for which the request occupies a slot.
  Duration mSize{ 0 };
  bool mStraggler = false;
  uint64_t mFlow = 0;
};

struct Workload
{
  // Mean offered work as a share of the capacity of all slots.
  double mLoad = 0.8;
  // Adds a peak every 20 s: the rate rises to five times its base within 2 s
  // and falls back within 2 s.
  bool mCrests = true;
  // Share of requests that belong to earlier flows.
  double mReturning = 0.0;
  seconds mDuration{ 60 };
  milliseconds mShort{ 5 };
  uint64_t mSeed = 1;
};

// Makes a list of arrivals. 3% of the requests are stragglers, with 50 times
// the mean size; sizes are distributed uniformly within 50% of their mean.
std::vector<Arrival>
MakeArrivals(const Workload& aWorkload);

} // namespace foxtail::swings

#endif

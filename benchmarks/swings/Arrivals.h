#ifndef foxtail_benchmarks_swings_Arrivals_h
#define foxtail_benchmarks_swings_Arrivals_h

#include <cstdint>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail::swings {

constexpr uint32_t kUpstreams = 15;
constexpr uint32_t kSlots = 3;
constexpr uint32_t kBalancers = 7;

// One request of the recorded list.
struct Arrival
{
  TimePoint mAt;
  // Time that it takes a slot.
  Duration mSize{ 0 };
  bool mStraggler = false;
  uint64_t mFlow = 0;
};

struct Workload
{
  // Mean work offered over what all slots can do.
  double mLoad = 0.8;
  // Whether the rate climbs to five times its base within 2 s and falls back
  // within 2 s, once in 20 s.
  bool mCrests = true;
  // Share of the requests that belong to flows seen before.
  double mReturning = 0.0;
  seconds mDuration{ 60 };
  milliseconds mShort{ 5 };
  uint64_t mSeed = 1;
};

// Makes the list: 3% of the requests are stragglers of 50 times the size;
// sizes vary evenly by half their mean to either side.
std::vector<Arrival>
MakeArrivals(const Workload& aWorkload);

} // namespace foxtail::swings

#endif

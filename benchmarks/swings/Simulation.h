#ifndef foxtail_benchmarks_swings_Simulation_h
#define foxtail_benchmarks_swings_Simulation_h

#include <string>
#include <variant>
#include <vector>

#include "Arrivals.h"

namespace foxtail::swings {

// Sends each request at once, to the upstreams in turn.
struct RoundRobin
{};

// Sends each request at once, to any upstream.
struct RandomChoice
{};

// Sends each request at once, where the balancer itself runs the fewest.
struct LeastConnections
{};

// How load reports of the upstreams' own endpoints come.
struct Reports
{
  // Zero for none.
  milliseconds mPeriod{ 0 };
  milliseconds mAge{ 0 };
  // The first upstream always reports this when it is not negative.
  int mLie = -1;
};

// The product's dispatcher.
struct Foxtail
{
  milliseconds mMaxWait{ 250 };
  // Least time between two messages to peers; zero for no messages.
  milliseconds mTellGap{ 100 };
  bool mAdvertiseOnlyLong = true;
  bool mPreferOwnSlots = true;
  Reports mReports;
};

// One queue before all slots, without delays, that knows when each slot
// becomes free. Refuses what would wait longer than mMaxWait.
struct AllKnowing
{
  Duration mMaxWait{ 0 };
};

using Policy =
  std::variant<RoundRobin, RandomChoice, LeastConnections, Foxtail, AllKnowing>;

struct Result
{
  std::string mName;
  // From submission to the start at a slot, network delay not counted.
  Duration mShortP50{ 0 };
  Duration mShortP99{ 0 };
  double mRefused = 0;
  Duration mSlowestRefusal{ 0 };
  // Work answered before its deadline over what the slots could do while
  // requests arrived.
  double mGoodput = 0;
  // Busy time of the busiest upstream over the mean one's.
  double mImbalance = 0;
  // New flows whose upstream is not the default one.
  double mDeviating = 0;
  // Bytes a second that one balancer sends to its peers.
  double mPeerBytes = 0;
};

// The requests that the all-knowing queue does not refuse.
std::vector<Arrival>
Admitted(const std::vector<Arrival>& aArrivals, const AllKnowing& aPolicy);

// Runs the list through the policy. Deterministic.
Result
Run(const std::string& aName,
    const std::vector<Arrival>& aArrivals,
    const Policy& aPolicy,
    uint64_t aSeed);

} // namespace foxtail::swings

#endif

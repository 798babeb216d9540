#ifndef foxtail_benchmarks_swings_Simulation_h
#define foxtail_benchmarks_swings_Simulation_h

#include <string>
#include <variant>
#include <vector>

#include "Arrivals.h"

namespace foxtail::swings {

// Sends each request on arrival, to the upstreams in turn.
struct RoundRobin
{};

// Sends each request on arrival, to a random upstream.
struct RandomChoice
{};

// Sends each request on arrival, to the upstream on which this balancer has the
// fewest requests in flight.
struct LeastConnections
{};

// Load reports from the upstreams' load endpoints.
struct Reports
{
  // Time between reports; zero for no reports.
  milliseconds mPeriod{ 0 };
  milliseconds mAge{ 0 };
  // Number in flight that the first upstream always reports, regardless of its
  // actual load; negative for correct reports.
  int mLie = -1;
};

// The dispatcher of foxtail (routing::Dispatcher).
struct Foxtail
{
  milliseconds mMaxWait{ 250 };
  // Minimum time between two load messages to peers; zero for no messages.
  milliseconds mTellGap{ 100 };
  bool mAdvertiseOnlyLong = true;
  bool mPreferOwnSlots = true;
  Reports mReports;
};

// Ideal baseline: a single queue for all slots, without network delay, that
// knows when each slot becomes free. Refuses requests that would wait longer
// than mMaxWait.
struct AllKnowing
{
  Duration mMaxWait{ 0 };
};

using Policy =
  std::variant<RoundRobin, RandomChoice, LeastConnections, Foxtail, AllKnowing>;

struct Result
{
  std::string mName;
  // Wait of short requests from submission to the start at a slot, without
  // network delay.
  Duration mShortP50{ 0 };
  Duration mShortP99{ 0 };
  double mRefused = 0;
  Duration mSlowestRefusal{ 0 };
  // Work completed before its deadline, as a share of the capacity of all slots
  // during the time in which requests arrived.
  double mGoodput = 0;
  // Busy time of the busiest upstream divided by the mean busy time.
  double mImbalance = 0;
  // Share of new flows bound to a non-default upstream.
  double mDeviating = 0;
  // Bytes per second that one balancer sends to its peers.
  double mPeerBytes = 0;
};

// Returns the requests that the all-knowing queue admits.
std::vector<Arrival>
Admitted(const std::vector<Arrival>& aArrivals, const AllKnowing& aPolicy);

// Simulates the policy on a list of arrivals; the same arguments give the same
// result.
Result
Run(const std::string& aName,
    const std::vector<Arrival>& aArrivals,
    const Policy& aPolicy,
    uint64_t aSeed);

} // namespace foxtail::swings

#endif

#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include "Simulation.h"

ABSL_FLAG(double, load, 0.8, "mean offered work as a share of capacity");
ABSL_FLAG(
  bool,
  crests,
  true,
  "add a peak of five times the base rate every 20 s, rising within 2 s");
ABSL_FLAG(double, returning, 0.0, "share of requests of earlier flows");
ABSL_FLAG(int, duration, 60, "simulated seconds");
ABSL_FLAG(int, short_ms, 5, "mean time of a short request in ms");
ABSL_FLAG(int,
          max_wait,
          250,
          "longest expected wait of an admitted request, in ms");
ABSL_FLAG(int, seeds, 3, "number of arrival lists, with seeds 1, 2, ...");
ABSL_FLAG(bool,
          ways,
          false,
          "compare variants of sharing loads between balancers");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");

namespace foxtail::swings {
namespace {

struct Entry
{
  std::string mName;
  Policy mPolicy;
  // The policy gets only the requests that the all-knowing queue admits.
  bool mAdmittedOnly = false;
};

Foxtail
Product()
{
  Foxtail policy;
  policy.mMaxWait = milliseconds(absl::GetFlag(FLAGS_max_wait));
  return policy;
}

std::vector<Entry>
Comparison()
{
  Foxtail delayedReports = Product();
  delayedReports.mReports = { seconds(1), seconds(1), -1 };
  Foxtail reportsZero = Product();
  reportsZero.mReports = { milliseconds(100), milliseconds(1), 0 };
  Foxtail reportsBusy = Product();
  reportsBusy.mReports = { milliseconds(100), milliseconds(1), 1000 };
  const Duration bound = milliseconds(absl::GetFlag(FLAGS_max_wait));
  return { { "round robin", RoundRobin{} },
           { "random", RandomChoice{} },
           { "least connections", LeastConnections{} },
           { "round robin, spared", RoundRobin{}, true },
           { "least connections, spared", LeastConnections{}, true },
           { "all-knowing, no refusal", AllKnowing{ std::chrono::hours(1) } },
           { "all-knowing", AllKnowing{ bound } },
           { "foxtail", Product() },
           { "foxtail, reports 1 s old", delayedReports },
           { "foxtail, one reports 0", reportsZero },
           { "foxtail, one reports 1000", reportsBusy } };
}

std::vector<Entry>
LoadSharingVariants()
{
  std::vector<Entry> entries;
  const auto add = [&](const std::string& aName,
                       int aGap,
                       bool aOnlyLong,
                       bool aPreferOwnSlots) {
    Foxtail policy = Product();
    policy.mTellGap = milliseconds(aGap);
    policy.mAdvertiseOnlyLong = aOnlyLong;
    policy.mPreferOwnSlots = aPreferOwnSlots;
    entries.push_back({ aName, policy });
  };
  const Duration bound = milliseconds(absl::GetFlag(FLAGS_max_wait));
  entries.push_back({ "all-knowing", AllKnowing{ bound } });
  add("nothing told", 0, true, false);
  add("home slots alone", 0, true, true);
  add("all in flight, 1 s", 1000, false, false);
  add("all in flight, 200 ms", 200, false, false);
  add("all in flight, 100 ms", 100, false, false);
  add("all in flight, 20 ms", 20, false, false);
  add("long only, 100 ms", 100, true, false);
  add("long only, 40 ms", 40, true, false);
  add("long only, 20 ms", 20, true, false);
  add("long and home, 200 ms", 200, true, true);
  add("long and home, 100 ms", 100, true, true);
  add("long and home, 40 ms", 40, true, true);
  add("long and home, 20 ms", 20, true, true);
  return entries;
}

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

void
PrintRow(const Result& aResult)
{
  std::printf("%-28s %9.2f %9.2f %8.1f%% %9.2f %8.1f%% %9.3f %8.1f%% %9.0f\n",
              aResult.mName.c_str(),
              Milliseconds(aResult.mShortP50),
              Milliseconds(aResult.mShortP99),
              aResult.mRefused * 100,
              Milliseconds(aResult.mSlowestRefusal),
              aResult.mGoodput * 100,
              aResult.mImbalance,
              aResult.mDeviating * 100,
              aResult.mPeerBytes);
}

nlohmann::json
ToJson(const Result& aResult, uint64_t aSeed)
{
  return { { "policy", aResult.mName },
           { "seed", aSeed },
           { "short_wait_p50_ms", Milliseconds(aResult.mShortP50) },
           { "short_wait_p99_ms", Milliseconds(aResult.mShortP99) },
           { "refused", aResult.mRefused },
           { "slowest_refusal_ms", Milliseconds(aResult.mSlowestRefusal) },
           { "goodput", aResult.mGoodput },
           { "imbalance", aResult.mImbalance },
           { "deviating", aResult.mDeviating },
           { "peer_bytes_per_second", aResult.mPeerBytes } };
}

void
PrintHeader(uint64_t aSeed, size_t aRequests)
{
  std::printf("\nseed %llu, %zu requests\n%-28s %9s %9s %9s %9s %9s %9s %9s "
              "%9s\n",
              static_cast<unsigned long long>(aSeed),
              aRequests,
              "policy",
              "p50 ms",
              "p99 ms",
              "refused",
              "slowest",
              "goodput",
              "imbalance",
              "deviating",
              "bytes/s");
}

int
Main()
{
  const bool json = absl::GetFlag(FLAGS_json);
  nlohmann::json results = nlohmann::json::array();
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    Workload workload;
    workload.mLoad = absl::GetFlag(FLAGS_load);
    workload.mCrests = absl::GetFlag(FLAGS_crests);
    workload.mReturning = absl::GetFlag(FLAGS_returning);
    workload.mDuration = seconds(absl::GetFlag(FLAGS_duration));
    workload.mShort = milliseconds(absl::GetFlag(FLAGS_short_ms));
    workload.mSeed = seed;
    const std::vector<Arrival> arrivals = MakeArrivals(workload);
    const AllKnowing bound{ milliseconds(absl::GetFlag(FLAGS_max_wait)) };
    const std::vector<Arrival> admitted = Admitted(arrivals, bound);
    if (!json) {
      PrintHeader(seed, arrivals.size());
    }
    for (const Entry& it :
         absl::GetFlag(FLAGS_ways) ? LoadSharingVariants() : Comparison()) {
      const Result result =
        Run(it.mName, it.mAdmittedOnly ? admitted : arrivals, it.mPolicy, seed);
      if (json) {
        results.push_back(ToJson(result, seed));
      } else {
        PrintRow(result);
      }
    }
  }
  if (json) {
    std::printf("%s\n", results.dump(2).c_str());
  }
  return 0;
}

} // namespace
} // namespace foxtail::swings

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Compares the dispatcher with simpler policies on one arrival list.");
  absl::ParseCommandLine(argc, argv);
  return foxtail::swings::Main();
}

#include <catch2/catch.hpp>

#include <cstdio>

#include "Machines.h"

using namespace foxtail::tests;

namespace {

void
Print(const std::string& aName, const Limits& aLimits, const Report& aReport)
{
  std::printf("%s: depth %d, %llu states, %llu events; states with an answer "
              "%llu, not run %llu, unknown %llu\n",
              aName.c_str(),
              aLimits.mDepth,
              static_cast<unsigned long long>(aReport.mStates),
              static_cast<unsigned long long>(aReport.mEvents),
              static_cast<unsigned long long>(aReport.mAnswered),
              static_cast<unsigned long long>(aReport.mNotRun),
              static_cast<unsigned long long>(aReport.mUnknown));
  for (const std::string& event : aReport.mTrace) {
    std::printf("  %s\n", event.c_str());
  }
}

using NamedLimits = std::vector<std::tuple<std::string, Limits>>;

const NamedLimits&
EchoCases()
{
  static const NamedLimits sCases{
    { "one posting, two balancers", { 9, 2, 1, 2, 1, 1, 1, 1, false } },
    { "one posting, three balancers, two replaced",
      { 7, 3, 1, 2, 1, 2, 1, 1, false } },
    { "two postings, two balancers", { 7, 2, 2, 2, 1, 1, 0, 1, false } },
    { "one posting, one balancer, two upstreams, copies to upstreams",
      { 11, 1, 1, 2, 2, 0, 1, 2, false } },
    { "one posting, one balancer whose stored answer expires",
      { 14, 1, 1, 2, 1, 0, 1, 1, false } },
    { "two postings, one balancer that is replaced",
      { 12, 1, 2, 1, 1, 1, 0, 1, false } },
    { "one posting, one balancer, a caller that moves",
      { 11, 1, 1, 1, 1, 0, 1, 1, true } },
    { "one posting, two balancers, a caller that moves",
      { 8, 2, 1, 1, 1, 1, 0, 1, true } },
  };
  return sCases;
}

void
CheckEcho(const std::string& aName, const Limits& aLimits)
{
  const Report report = Explorer(aLimits, EchoBalancer()).Run();
  Print(aName, aLimits, report);
  CHECK(report.mViolation == Violation::None);
  // The guarantees would hold trivially if no request ever ran.
  CHECK(report.mAnswered > 0);
  CHECK(report.mNotRun > 0);
  CHECK(report.mUnknown > 0);
}

} // namespace

TEST_CASE("Echo keeps every guarantee in all explored orders", "[atmostonce]")
{
  const auto [name, limits] = GENERATE(from_range(EchoCases()));
  CheckEcho(name, limits);
}

// Takes about a minute; runs only if its tag is given.
TEST_CASE("Echo keeps every guarantee two events deeper", "[.deep]")
{
  auto [name, limits] = GENERATE(from_range(EchoCases()));
  limits.mDepth += limits.mCallers > 1 || limits.mNodes > 2 ? 1 : 2;
  CheckEcho(name, limits);
}

TEST_CASE("A plain proxy violates each guarantee", "[atmostonce]")
{
  const auto [name, violation, expiry, limits] =
    GENERATE(table<std::string, Violation, NaiveExpiry, Limits>({
      { "a copy enters a second balancer",
        Violation::RanTwice,
        NaiveExpiry::SaysNotRun,
        { 8, 2, 1, 2, 1, 0, 0, 1, false } },
      { "a timeout is answered with 'not run'",
        Violation::NotRunButRan,
        NaiveExpiry::SaysNotRun,
        { 8, 1, 1, 1, 1, 0, 0, 1, false } },
      { "a serial number is reused after a restart",
        Violation::WrongAnswer,
        NaiveExpiry::SaysNotRun,
        { 8, 1, 2, 1, 1, 1, 0, 1, false } },
      { "a timeout is not reported",
        Violation::LostSilently,
        NaiveExpiry::SaysNothing,
        { 8, 1, 1, 1, 1, 0, 0, 1, false } },
    }));
  const Report report = Explorer(limits, NaiveBalancer(expiry)).Run(violation);
  Print("plain proxy: " + name, limits, report);
  CHECK(report.mViolation == violation);
  // Within the same limits the real request table violates no guarantee.
  const Report echo = Explorer(limits, EchoBalancer()).Run();
  CHECK(echo.mViolation == Violation::None);
}

TEST_CASE("A lease and an intent log don't survive a partition", "[atmostonce]")
{
  const Limits limits{ 10, 4, 1, 2, 1, 0, 0, 1, false };
  SECTION("when both sides serve, copies run on both")
  {
    const Report report =
      Explorer(limits, LeaseBalancer(CutPolicy::ServeBoth)).Run();
    Print("lease, both sides serve", limits, report);
    CHECK(report.mViolation == Violation::RanTwice);
  }
  SECTION("when only a majority serves, an even split serves nothing")
  {
    const Report report =
      Explorer(limits, LeaseBalancer(CutPolicy::ServeMajority)).Run();
    Print("lease, a majority serves", limits, report);
    CHECK(report.mViolation == Violation::None);
    CHECK(report.mRan == 0);
  }
}

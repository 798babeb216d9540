// Compares the outcomes that callers reported with the requests that upstreams
// ran, prints a summary, and exits with 1 when a guarantee is violated.

#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

#include "AdminServer.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "foxtail/core/Error.h"

ABSL_FLAG(std::vector<std::string>, reports, {}, "reports of callers");
ABSL_FLAG(std::vector<std::string>, journals, {}, "journals of upstreams");
ABSL_FLAG(std::vector<std::string>,
          gone,
          {},
          "stopped upstreams, as NAME@MILLISECONDS since the Unix epoch");
ABSL_FLAG(std::vector<std::string>,
          leaving,
          {},
          "draining upstreams, as NAME@MILLISECONDS since the Unix epoch");
ABSL_FLAG(int,
          leaving_grace_ms,
          5000,
          "time until a draining upstream gets no new flows");
ABSL_FLAG(int, max_broken_flows, 0, "maximum number of broken flows");
ABSL_FLAG(int,
          max_unanswered,
          -1,
          "maximum number of requests without an answer; -1 for no limit");
ABSL_FLAG(int,
          max_unknown,
          -1,
          "maximum number of requests with unknown outcome; -1 for no limit");
ABSL_FLAG(double,
          min_whole_share,
          0.5,
          "minimum share of requests that are answered in full");

namespace foxtail::standins {
namespace {

// Unix times in milliseconds by name of upstream.
using UpstreamTimes = std::map<std::string, int64_t>;

UpstreamTimes
ReadUpstreamTimes(const std::vector<std::string>& aList)
{
  UpstreamTimes times;
  for (const std::string& it : aList) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(it, absl::MaxSplits('@', 1));
    times[parts.first] = std::stoll(parts.second);
  }
  return times;
}

// The runs of one request id at all upstreams.
struct Runs
{
  int mCount = 0;
  bool mPost = false;
  std::string mService;
};

struct Totals
{
  uint64_t mSent = 0;
  std::map<std::string, uint64_t> mOutcomes;
  double mWaitP50 = 0;
  double mWaitP99 = 0;
};

struct Violations
{
  uint64_t mPostingsRunTwice = 0;
  uint64_t mFalseRefusals = 0;
  uint64_t mAnsweredNotRun = 0;
  uint64_t mForeignService = 0;
  uint64_t mNeverSent = 0;
  uint64_t mMovedFlows = 0;
  uint64_t mBrokenDownloads = 0;
  uint64_t mNewFlowsOnDraining = 0;
};

class Checker
{
public:
  Checker(UpstreamTimes aStopped, UpstreamTimes aDraining)
    : mStoppedUpstreams(std::move(aStopped))
    , mDrainingUpstreams(std::move(aDraining))
  {
  }

  void ReadJournal(const std::string& aPath)
  {
    std::ifstream in(aPath);
    std::string line;
    while (std::getline(in, line)) {
      const Json run = Json::parse(line);
      Runs& runs = mRuns[run.at("id")];
      ++runs.mCount;
      runs.mPost = run.at("post");
      runs.mService = run.at("service");
      ++mRunsByUpstream[run.at("service")][run.at("upstream")];
    }
  }

  void ReadReport(const std::string& aPath)
  {
    const Json report = ReadJsonFile(aPath);
    for (const auto& [kind, json] : report.at("kinds").items()) {
      AddKind(mTotals[kind], json);
    }
    for (const auto& [what, n] : report.at("counters").items()) {
      mCounters[what] += n.get<uint64_t>();
    }
    for (const auto& told : report.at("told")) {
      CheckTold(told);
    }
    for (const auto& moved : report.at("moved_flows")) {
      CheckMoved(moved);
    }
    for (const auto& broken : report.at("broken_downloads")) {
      ++mViolations.mBrokenDownloads;
      AddDetail("download broken", broken);
    }
    for (const auto& wrong : report.at("wrong")) {
      AddDetail("wrong answer", wrong);
    }
    CheckDraining(report.at("last_new_flow"));
  }

  void CheckRuns()
  {
    for (const auto& [id, runs] : mRuns) {
      if (runs.mPost && runs.mCount > 1) {
        ++mViolations.mPostingsRunTwice;
        AddDetail("posting run twice",
                  { { "id", id }, { "runs", runs.mCount } });
      }
      if (mServiceByRequest.count(id) == 0) {
        ++mViolations.mNeverSent;
        AddDetail("run, but never sent", { { "id", id } });
      }
    }
  }

  // Prints the summary; returns true when no guarantee was violated.
  bool Print() const
  {
    PrintKinds();
    PrintCounters();
    PrintImbalance();
    for (const std::string& it : mDetails) {
      std::cout << "  " << it << '\n';
    }
    return PrintResults();
  }

private:
  static void AddKind(Totals& aTotals, const Json& aJson)
  {
    aTotals.mSent += aJson.at("sent").get<uint64_t>();
    for (const char* it :
         { "whole", "refused", "retry", "unknown", "no_answer", "wrong" }) {
      aTotals.mOutcomes[it] += aJson.at(it).get<uint64_t>();
    }
    aTotals.mWaitP50 =
      std::max(aTotals.mWaitP50, aJson.at("wait_p50_ms").get<double>());
    aTotals.mWaitP99 =
      std::max(aTotals.mWaitP99, aJson.at("wait_p99_ms").get<double>());
  }

  void CheckTold(const Json& aTold)
  {
    const std::string id = aTold.at("id");
    const std::string told = aTold.at("told");
    mServiceByRequest[id] = aTold.at("service");
    const auto it = mRuns.find(id);
    const bool ran = it != mRuns.end();
    if (told == "refused" && ran) {
      ++mViolations.mFalseRefusals;
      AddDetail("told not run, but ran", aTold);
    }
    if (told == "whole" && !ran) {
      ++mViolations.mAnsweredNotRun;
      AddDetail("answered, but not run", aTold);
    }
    if (ran && it->second.mService != aTold.at("service")) {
      ++mViolations.mForeignService;
      AddDetail("ran at another service", aTold);
    }
  }

  void CheckMoved(const Json& aMoved)
  {
    const auto gone = mStoppedUpstreams.find(aMoved.at("from"));
    const bool lost =
      gone != mStoppedUpstreams.end() && gone->second <= aMoved.at("ended_ms");
    if (!lost) {
      ++mViolations.mMovedFlows;
      AddDetail("flow moved from a living upstream", aMoved);
    }
  }

  void CheckDraining(const Json& aLastNewFlow)
  {
    const int grace = absl::GetFlag(FLAGS_leaving_grace_ms);
    for (const auto& [name, at] : mDrainingUpstreams) {
      const Json last = aLastNewFlow.value(name, Json::object());
      const int64_t after = last.value("sent_ms", int64_t{ 0 }) - at;
      if (after > grace) {
        ++mViolations.mNewFlowsOnDraining;
        AddDetail("new flow on a leaving upstream",
                  { { "upstream", name },
                    { "after_ms", after },
                    { "caller", last.at("caller") } });
      }
    }
  }

  void AddDetail(const std::string& aWhat, const Json& aWhere)
  {
    constexpr int kMaxDetails = 3;
    if (++mDetailCounts[aWhat] <= kMaxDetails) {
      mDetails.push_back(aWhat + ": " + aWhere.dump());
    }
  }

  void PrintKinds() const
  {
    std::cout << std::left << std::setw(10) << "kind" << std::right;
    for (const char* it : { "sent",
                            "whole",
                            "refused",
                            "retry",
                            "unknown",
                            "no answer",
                            "wrong",
                            "wait p50",
                            "wait p99" }) {
      std::cout << std::setw(11) << it;
    }
    std::cout << '\n';
    for (const auto& [kind, totals] : mTotals) {
      PrintKind(kind, totals);
    }
  }

  static void PrintKind(const std::string& aKind, const Totals& aTotals)
  {
    std::cout << std::left << std::setw(10) << aKind << std::right
              << std::setw(11) << aTotals.mSent;
    for (const char* it :
         { "whole", "refused", "retry", "unknown", "no_answer", "wrong" }) {
      std::cout << std::setw(11) << aTotals.mOutcomes.at(it);
    }
    if (aKind == "download") {
      std::cout << '\n';
      return;
    }
    std::cout << std::fixed << std::setprecision(1) << std::setw(8)
              << aTotals.mWaitP50 << " ms" << std::setw(8) << aTotals.mWaitP99
              << " ms\n";
  }

  void PrintCounters() const
  {
    for (const auto& [what, n] : mCounters) {
      std::cout << what << ' ' << n << "  ";
    }
    std::cout << '\n';
  }

  void PrintImbalance() const
  {
    for (const auto& [service, upstreams] : mRunsByUpstream) {
      uint64_t sum = 0;
      uint64_t most = 0;
      for (const auto& [name, n] : upstreams) {
        sum += n;
        most = std::max(most, n);
      }
      std::cout << "imbalance of " << service << " (max over mean of runs) "
                << std::setprecision(2)
                << static_cast<double>(most * upstreams.size()) / sum << '\n';
    }
  }

  uint64_t Sum(const std::string& aOutcome) const
  {
    uint64_t n = 0;
    for (const auto& [kind, totals] : mTotals) {
      n += totals.mOutcomes.at(aOutcome);
    }
    return n;
  }

  uint64_t Sent() const
  {
    uint64_t n = 0;
    for (const auto& [kind, totals] : mTotals) {
      n += totals.mSent;
    }
    return n;
  }

  // Prints the result of one guarantee; returns false when aSeen exceeds aMax.
  // A negative aMax means no limit.
  static bool Check(const std::string& aWhat, uint64_t aSeen, int aMax)
  {
    const bool kept = aMax < 0 || aSeen <= static_cast<uint64_t>(aMax);
    std::cout << (kept ? "kept    " : "BROKEN  ") << aWhat << ' ' << aSeen;
    if (aMax > 0) {
      std::cout << " (at most " << aMax << ')';
    }
    std::cout << '\n';
    return kept;
  }

  bool PrintResults() const
  {
    const Violations& v = mViolations;
    bool kept = true;
    kept &= Check("broken flows:",
                  v.mMovedFlows + v.mBrokenDownloads,
                  absl::GetFlag(FLAGS_max_broken_flows));
    kept &= Check("postings run twice:", v.mPostingsRunTwice, 0);
    kept &= Check("told 'not run', but ran:", v.mFalseRefusals, 0);
    kept &= Check("answered, but not run:", v.mAnsweredNotRun, 0);
    kept &= Check("wrong answers:", Sum("wrong"), 0);
    kept &= Check("run at another service:", v.mForeignService, 0);
    kept &= Check("run, but never sent:", v.mNeverSent, 0);
    kept &= Check("new flows on a leaving upstream:", v.mNewFlowsOnDraining, 0);
    kept &= Check("without an answer:",
                  Sum("no_answer"),
                  absl::GetFlag(FLAGS_max_unanswered));
    kept &= Check(
      "outcome unknown:", Sum("unknown"), absl::GetFlag(FLAGS_max_unknown));
    const double share =
      static_cast<double>(Sum("whole")) / std::max<uint64_t>(1, Sent());
    const bool served = share >= absl::GetFlag(FLAGS_min_whole_share);
    std::cout << (served ? "kept    " : "BROKEN  ") << "share of whole answers "
              << std::setprecision(3) << share << '\n';
    return kept && served;
  }

  UpstreamTimes mStoppedUpstreams;
  UpstreamTimes mDrainingUpstreams;
  std::map<std::string, Runs> mRuns;
  std::map<std::string, std::map<std::string, uint64_t>> mRunsByUpstream;
  std::map<std::string, std::string> mServiceByRequest;
  std::map<std::string, Totals> mTotals;
  std::map<std::string, uint64_t> mCounters;
  Violations mViolations;
  std::vector<std::string> mDetails;
  std::map<std::string, int> mDetailCounts;
};

bool
Run()
{
  Checker checker(ReadUpstreamTimes(absl::GetFlag(FLAGS_gone)),
                  ReadUpstreamTimes(absl::GetFlag(FLAGS_leaving)));
  for (const std::string& it : absl::GetFlag(FLAGS_journals)) {
    checker.ReadJournal(it);
  }
  for (const std::string& it : absl::GetFlag(FLAGS_reports)) {
    checker.ReadReport(it);
  }
  checker.CheckRuns();
  return checker.Print();
}

} // namespace
} // namespace foxtail::standins

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Compares callers' reports with upstreams' journals.\n"
    "Exit codes: 0 every promise kept, 1 one broken, 2 unreadable input.");
  absl::ParseCommandLine(argc, argv);
  try {
    return foxtail::standins::Run() ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}

#include <iostream>

#include "absl/flags/flag.h"

#include "ctl/Command.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/CommandLine.h"

ABSL_FLAG(uint64_t,
          against,
          0,
          "check: number of the version that the patch is written against");
ABSL_FLAG(std::string,
          config,
          "",
          "check, config show: file with a document or a config.base value");
ABSL_FLAG(std::string,
          agent,
          "",
          "check, config show: HTTP address IP:PORT of an agent, whose current "
          "configuration is used");
ABSL_FLAG(std::string,
          balancer,
          "",
          "status, explain: HTTP address IP:PORT of the balancer");
ABSL_FLAG(bool, json, false, "print JSON instead of text");

namespace {

const char* const kHelp =
  R"(foxtailctl: checks configuration patches and queries daemons.

  foxtailctl check PATCH --against=N --config=FILE|--agent=IP:PORT
      tells whether a patch (RFC 6902 operations) would be accepted, what it
      changes, and which entry to publish
  foxtailctl config show --config=FILE|--agent=IP:PORT
      lists services and upstreams; with --json and --agent prints a
      config.base value that can be published
  foxtailctl config diff A B
      lists the changes from one file to the other
  foxtailctl events
      lists the catalogue of numbered events
  foxtailctl settings
      describes the settings of a VM; with --json prints their schema
  foxtailctl status --balancer=IP:PORT
      prints the status of a balancer
  foxtailctl explain CALLER SERVICE --balancer=IP:PORT
      tells which balancer and upstream a flow gets, and why; CALLER and
      SERVICE are IP:PORT

Exit codes: 0 done or accepted; 1 refused, different, or no valid response
from a daemon; 2 wrong usage or input. docs/ERRORS.md lists the numbered errors.
)";

foxtail::ctl::Options
ReadOptions()
{
  foxtail::ctl::Options options;
  if (absl::GetFlag(FLAGS_against) != 0) {
    options.mAgainst = absl::GetFlag(FLAGS_against);
  }
  options.mConfig = absl::GetFlag(FLAGS_config);
  options.mAgent = absl::GetFlag(FLAGS_agent);
  options.mBalancer = absl::GetFlag(FLAGS_balancer);
  return options;
}

// Returns whether a daemon did not answer, or answered with an error.
bool
IsDaemonFailure(const foxtail::Error& aError)
{
  return aError.Id() == 961 || aError.Id() == 962;
}

int
ReportError(const foxtail::Error& aError)
{
  if (absl::GetFlag(FLAGS_json)) {
    const nlohmann::json error = { { "error", aError.Id() },
                                   { "where", aError.Where() },
                                   { "reason", aError.what() } };
    std::cout << error.dump(2) << "\n";
  } else {
    std::cerr << "foxtailctl: " << aError.what() << "\n";
  }
  return IsDaemonFailure(aError) ? foxtail::daemon::kExitFailed
                                 : foxtail::daemon::kExitBadInput;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const auto line =
      foxtail::daemon::ParseCommandLine(aCount, aArguments, kHelp, __FILE__);
    if (line.mIsDone) {
      return foxtail::daemon::kExitOk;
    }
    const auto result =
      foxtail::ctl::RunCommand(line.mArguments, ReadOptions());
    std::cout << (absl::GetFlag(FLAGS_json) ? result.mJson.dump(2) + "\n"
                                            : result.mText);
    return result.mExit;
  } catch (const foxtail::Error& e) {
    return ReportError(e);
  }
}

#include "ctl/Command.h"

#include "absl/strings/str_cat.h"

#include "foxtail/core/Error.h"

namespace foxtail::ctl {

namespace {

constexpr int kWrongUsage = 960;

Arguments
DropFirst(const Arguments& aArguments, size_t aCount)
{
  return { aArguments.begin() + static_cast<ptrdiff_t>(aCount),
           aArguments.end() };
}

CommandResult
RunConfig(const Arguments& aArguments, const Options& aOptions)
{
  const std::string name = aArguments.empty() ? "" : aArguments[0];
  if (name == "show") {
    return ShowConfig(DropFirst(aArguments, 1), aOptions);
  }
  if (name == "diff") {
    return DiffConfigs(DropFirst(aArguments, 1));
  }
  throw DaemonError(
    kWrongUsage, "config", "expected config show or config diff A B");
}

} // namespace

void
RequireArguments(const Arguments& aArguments,
                 size_t aCount,
                 const std::string& aUsage)
{
  if (aArguments.size() != aCount) {
    throw DaemonError(
      kWrongUsage, "arguments", absl::StrCat("expected foxtailctl ", aUsage));
  }
}

CommandResult
RunCommand(const Arguments& aArguments, const Options& aOptions)
{
  const std::string name = aArguments.empty() ? "" : aArguments[0];
  const Arguments rest =
    aArguments.empty() ? Arguments{} : DropFirst(aArguments, 1);
  if (name == "check") {
    return CheckPatch(rest, aOptions);
  }
  if (name == "config") {
    return RunConfig(rest, aOptions);
  }
  if (name == "events") {
    return ListEvents(rest);
  }
  if (name == "settings") {
    return ListSettings(rest);
  }
  if (name == "status") {
    return ShowStatus(rest, aOptions);
  }
  if (name == "explain") {
    return ExplainFlow(rest, aOptions);
  }
  throw DaemonError(
    kWrongUsage,
    name.empty() ? "command" : name,
    "expected a command: check, config, events, settings, status "
    "or explain; --help describes them");
}

} // namespace foxtail::ctl

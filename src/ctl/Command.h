#ifndef foxtail_ctl_Command_h
#define foxtail_ctl_Command_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace foxtail::ctl {

// Flags of the commands; an empty string means that the flag was not given.
struct Options
{
  std::optional<uint64_t> mAgainst;
  // Path of a file with a configuration document or a config.base value.
  std::string mConfig;
  // HTTP address of an agent.
  std::string mAgent;
  // HTTP address of a balancer.
  std::string mBalancer;
};

// Output of a command, as JSON and as text, and its exit code.
struct CommandResult
{
  int mExit = 0;
  nlohmann::json mJson;
  std::string mText;
};

using Arguments = std::vector<std::string>;

// The commands throw an Error for wrong usage or invalid input: DaemonError 960
// wrong usage, 961 daemon not reachable, 962 unexpected response of a daemon,
// 963 unreadable file, and ConfigError for an invalid document.

// check PATCH: tells whether a patch would be accepted, and what it changes.
CommandResult
CheckPatch(const Arguments& aArguments, const Options& aOptions);

// config show: lists the services and upstreams of a configuration.
CommandResult
ShowConfig(const Arguments& aArguments, const Options& aOptions);

// config diff A B: lists the changes from one configuration to the other.
CommandResult
DiffConfigs(const Arguments& aArguments);

// events: lists the catalogue of numbered events.
CommandResult
ListEvents(const Arguments& aArguments);

// settings: describes the settings of a VM; the JSON output is their schema.
CommandResult
ListSettings(const Arguments& aArguments);

// status: prints the status of a balancer.
CommandResult
ShowStatus(const Arguments& aArguments, const Options& aOptions);

// explain CALLER SERVICE: tells which balancer and upstream a flow gets, and
// why.
CommandResult
ExplainFlow(const Arguments& aArguments, const Options& aOptions);

// Runs the command that the first of aArguments names.
CommandResult
RunCommand(const Arguments& aArguments, const Options& aOptions);

// Throws DaemonError 960 with aUsage unless aArguments has aCount elements.
void
RequireArguments(const Arguments& aArguments,
                 size_t aCount,
                 const std::string& aUsage);

} // namespace foxtail::ctl

#endif

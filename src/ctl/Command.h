#ifndef foxtail_ctl_Command_h
#define foxtail_ctl_Command_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace foxtail::ctl {

// Flags that the commands take; empty strings stand for flags not given.
struct Options
{
  std::optional<uint64_t> mAgainst;
  // File with a document or a base.
  std::string mConfig;
  // HTTP address of an agent.
  std::string mAgent;
  // HTTP address of a balancer.
  std::string mBalancer;
};

// What a command has to say, as JSON and in plain words, and the exit code.
struct CommandResult
{
  int mExit = 0;
  nlohmann::json mJson;
  std::string mText;
};

using Arguments = std::vector<std::string>;

// Each of these throws an Error for wrong usage or bad input: DaemonError 960
// wrong usage, 961 daemon not reachable, 962 unexpected answer of a daemon,
// 963 unreadable file, and the ConfigError numbers of documents.

// check PATCH: whether a patch would be accepted.
CommandResult
CheckPatch(const Arguments& aArguments, const Options& aOptions);

// config show: the services and upstreams of a document.
CommandResult
ShowConfig(const Arguments& aArguments, const Options& aOptions);

// config diff A B: what changes from one document to the other.
CommandResult
DiffConfigs(const Arguments& aArguments);

// events: the catalogue of numbered events.
CommandResult
ListEvents(const Arguments& aArguments);

// settings: the settings of a VM; with JSON their schema.
CommandResult
ListSettings(const Arguments& aArguments);

// status: what a balancer says of itself.
CommandResult
ShowStatus(const Arguments& aArguments, const Options& aOptions);

// explain CALLER SERVICE: which balancer and upstream a flow gets and why.
CommandResult
ExplainFlow(const Arguments& aArguments, const Options& aOptions);

// Finds the command that aArguments names first and runs it.
CommandResult
RunCommand(const Arguments& aArguments, const Options& aOptions);

// Throws DaemonError 960 with the usage line unless there are aCount arguments.
void
RequireArguments(const Arguments& aArguments,
                 size_t aCount,
                 const std::string& aUsage);

} // namespace foxtail::ctl

#endif

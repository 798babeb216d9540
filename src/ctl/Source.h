#ifndef foxtail_ctl_Source_h
#define foxtail_ctl_Source_h

#include <string>

#include "nlohmann/json.hpp"

#include "ctl/Command.h"
#include "foxtail/config/Chain.h"

namespace foxtail::ctl {

// Reads a JSON file. Throws DaemonError 963 if it cannot be read, ConfigError
// 201 if it is not JSON.
nlohmann::json
ReadJsonFile(const std::string& aPath);

// Reads the configuration in a file: a config.base value, or a document alone,
// which gets version number zero.
config::Base
ReadConfigFile(const std::string& aPath);

// Reads the configuration that --config or --agent names. Throws DaemonError
// 960 unless exactly one of them is given.
config::Base
ReadConfig(const Options& aOptions);

// Sends GET aPath to the daemon at aAddress (IP:PORT) and returns the JSON of
// its response. Throws DaemonError 960 if aAddress is malformed, 961 if the
// daemon does not answer, and 962 if the response is not 200 with JSON.
nlohmann::json
FetchFromDaemon(const std::string& aAddress, const std::string& aPath);

} // namespace foxtail::ctl

#endif

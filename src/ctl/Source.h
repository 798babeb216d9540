#ifndef foxtail_ctl_Source_h
#define foxtail_ctl_Source_h

#include <string>

#include "nlohmann/json.hpp"

#include "ctl/Command.h"
#include "foxtail/config/Chain.h"

namespace foxtail::ctl {

// JSON of a file. Throws DaemonError 963 when it cannot be read, ConfigError
// 201 when it is not JSON.
nlohmann::json
ReadJsonFile(const std::string& aPath);

// The configuration in a file: a base or a document alone, which gets version
// number zero.
config::Base
ReadConfigFile(const std::string& aPath);

// The configuration that --config or --agent names. Throws DaemonError 960
// unless just one of them is given.
config::Base
ReadConfig(const Options& aOptions);

// JSON that a daemon answers GET aPath with. aAddress is IP:PORT. Throws
// DaemonError 960 when it is none, 961 when the daemon does not answer and 962
// when it answers anything but 200 and JSON.
nlohmann::json
FetchFromDaemon(const std::string& aAddress, const std::string& aPath);

} // namespace foxtail::ctl

#endif

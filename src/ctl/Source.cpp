#include "ctl/Source.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "httplib.h"

#include "foxtail/config/Document.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Address.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Time.h"

namespace foxtail::ctl {

namespace {

using nlohmann::json;

constexpr int kNotJson = 201;
constexpr int kWrongUsage = 960;
constexpr int kNotReachable = 961;
constexpr int kUnexpectedResponse = 962;
constexpr int kUnreadable = 963;
constexpr int kHttpOk = 200;
constexpr milliseconds kTimeout{ 3000 };

Address
ParseDaemonAddress(const std::string& aText)
{
  try {
    return Address::Parse(aText);
  } catch (const NetError&) {
    throw DaemonError(kWrongUsage,
                      aText.empty() ? "address" : aText,
                      "expected the HTTP address of a daemon, IP:PORT, like "
                      "--balancer=10.1.2.3:9690 or --agent=10.1.2.3:9691");
  }
}

// Returns the message of a daemon's {"error": ...} response; its HTTP status if
// the response is not of this form.
std::string
ReasonOf(const httplib::Response& aResponse)
{
  const json body = json::parse(aResponse.body, nullptr, false);
  const bool hasReason =
    body.is_object() && body.contains("error") && body["error"].is_string();
  return hasReason ? body["error"].get<std::string>()
                   : absl::StrCat("the daemon answered with HTTP status ",
                                  aResponse.status);
}

} // namespace

json
ReadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw DaemonError(
      kUnreadable,
      aPath,
      absl::StrCat("cannot read the file (",
                   std::strerror(errno),
                   "); check the path and the file's permissions"));
  }
  std::string reason;
  auto value =
    config::ParseBoundedJson(text.str(), config::kMaxDocumentBytes, reason);
  if (!value) {
    throw ConfigError(kNotJson, aPath, reason);
  }
  return std::move(*value);
}

config::Base
ReadConfigFile(const std::string& aPath)
{
  json value = ReadJsonFile(aPath);
  if (value.is_object() && value.contains("config")) {
    return config::Base::FromJson(std::move(value));
  }
  return { {}, std::move(value) };
}

config::Base
ReadConfig(const Options& aOptions)
{
  if (aOptions.mConfig.empty() == aOptions.mAgent.empty()) {
    throw DaemonError(kWrongUsage,
                      "--config",
                      "expected either --config=FILE or --agent=IP:PORT");
  }
  return aOptions.mAgent.empty() ? ReadConfigFile(aOptions.mConfig)
                                 : config::Base::FromJson(FetchFromDaemon(
                                     aOptions.mAgent, "/config"));
}

json
FetchFromDaemon(const std::string& aAddress, const std::string& aPath)
{
  const Address address = ParseDaemonAddress(aAddress);
  httplib::Client client(address.IpString(), address.mPort);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto result = client.Get(aPath);
  if (!result) {
    throw DaemonError(kNotReachable,
                      aAddress,
                      absl::StrCat("no answer (",
                                   httplib::to_string(result.error()),
                                   "); check that the daemon runs and that "
                                   "this is its HTTP address"));
  }
  if (result->status != kHttpOk) {
    throw DaemonError(
      kUnexpectedResponse, absl::StrCat(aAddress, aPath), ReasonOf(*result));
  }
  std::string reason;
  auto value =
    config::ParseBoundedJson(result->body, config::kMaxDocumentBytes, reason);
  if (!value) {
    throw DaemonError(
      kUnexpectedResponse, absl::StrCat(aAddress, aPath), reason);
  }
  return std::move(*value);
}

} // namespace foxtail::ctl

#include "absl/strings/str_cat.h"

#include "ctl/Command.h"
#include "ctl/Source.h"
#include "foxtail/core/Address.h"
#include "foxtail/core/Error.h"

namespace foxtail::ctl {

namespace {

using nlohmann::json;

constexpr int kWrongUsage = 960;

// Returns one line "a.b.0: value" for each leaf of aValue.
std::string
FlattenToText(const json& aValue)
{
  std::string text;
  const json flat = aValue.flatten();
  for (const auto& it : flat.items()) {
    std::string key = it.key().empty() ? "" : it.key().substr(1);
    for (char& c : key) {
      c = c == '/' ? '.' : c;
    }
    const std::string value = it.value().is_string()
                                ? it.value().get<std::string>()
                                : it.value().dump();
    absl::StrAppend(&text, key, ": ", value, "\n");
  }
  return text;
}

CommandResult
ResultOf(json aAnswer)
{
  CommandResult result;
  result.mText = FlattenToText(aAnswer);
  result.mJson = std::move(aAnswer);
  return result;
}

std::string
RequireAddress(const std::string& aText, const std::string& aArgument)
{
  try {
    return Address::Parse(aText).ToString();
  } catch (const NetError&) {
    throw DaemonError(kWrongUsage,
                      aArgument,
                      absl::StrCat("expected IP:PORT like 10.1.2.3:5683; "
                                   "found \"",
                                   aText,
                                   "\""));
  }
}

} // namespace

CommandResult
ShowStatus(const Arguments& aArguments, const Options& aOptions)
{
  RequireArguments(aArguments, 0, "status --balancer=IP:PORT");
  return ResultOf(FetchFromDaemon(aOptions.mBalancer, "/status"));
}

CommandResult
ExplainFlow(const Arguments& aArguments, const Options& aOptions)
{
  RequireArguments(aArguments, 2, "explain CALLER SERVICE --balancer=IP:PORT");
  const std::string caller = RequireAddress(aArguments[0], "CALLER");
  const std::string service = RequireAddress(aArguments[1], "SERVICE");
  return ResultOf(FetchFromDaemon(
    aOptions.mBalancer,
    absl::StrCat("/explain?caller=", caller, "&service=", service)));
}

} // namespace foxtail::ctl

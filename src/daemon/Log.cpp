#include "foxtail/daemon/Log.h"

#include <chrono>
#include <cstdlib>

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "easylogging++.h"
#include "nlohmann/json.hpp"

INITIALIZE_EASYLOGGINGPP

namespace foxtail::daemon {

namespace {

struct Identity
{
  std::string mProcess;
  std::string mVm;
};

Identity&
ProcessIdentity()
{
  static Identity sIdentity;
  return sIdentity;
}

nlohmann::ordered_json
EventJson(const Event& aEvent)
{
  const EventInfo& info = FindEvent(aEvent.mId);
  return { { "event", info.mId },
           { "name", std::string(info.mName) },
           { "severity", std::string(SeverityName(info.mSeverity)) },
           { "process", ProcessIdentity().mProcess },
           { "vm", ProcessIdentity().mVm },
           { "detail", aEvent.mDetail } };
}

std::string
Dump(const nlohmann::ordered_json& aLine)
{
  return aLine.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void
StartLog(const std::string& aProcess, const std::string& aVm)
{
  ProcessIdentity() = { aProcess, aVm };
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureLogger("default", configuration);
}

std::string
FormatEvent(const Event& aEvent)
{
  return Dump(EventJson(aEvent));
}

void
LogEvent(const Event& aEvent)
{
  static const bool sDebug = std::getenv("FOXTAIL_DEBUG") != nullptr;
  const Severity severity = FindEvent(aEvent.mId).mSeverity;
  if (severity == Severity::Debug && !sDebug) {
    return;
  }
  nlohmann::ordered_json line = EventJson(aEvent);
  line["time"] =
    absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
  const std::string text = Dump(line);
  switch (severity) {
    case Severity::Debug:
    case Severity::Info:
      LOG(INFO) << text;
      break;
    case Severity::Warning:
      LOG(WARNING) << text;
      break;
    case Severity::Error:
      LOG(ERROR) << text;
      break;
  }
}

} // namespace foxtail::daemon

#include "foxtail/daemon/Log.h"

#include <chrono>
#include <cstdlib>
#include <mutex>

#include <poll.h>
#include <unistd.h>

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "easylogging++.h"
#include "nlohmann/json.hpp"

#include "foxtail/daemon/LogRateLimiter.h"

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

struct SharedLimiter
{
  std::mutex mMutex;
  LogRateLimiter mLimiter;
};

SharedLimiter&
ProcessLogLimiter()
{
  static SharedLimiter sLimiter;
  return sLimiter;
}

// Writes each line to standard output without blocking; drops and counts the
// line if the reader is too slow. A pipe that poll reports as writable accepts
// PIPE_BUF bytes without blocking, so longer lines are truncated to that
// length, newline included.
class NonBlockingWriter : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const std::string& message = aData->logMessage()->message();
    std::string line = message.substr(0, PIPE_BUF - 1);
    line += '\n';
    pollfd item{ STDOUT_FILENO, POLLOUT, 0 };
    const bool isReady =
      poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
    const bool isWritten =
      isReady && write(STDOUT_FILENO, line.data(), line.size()) ==
                   static_cast<ssize_t>(line.size());
    if (!isWritten) {
      SharedLimiter& shared = ProcessLogLimiter();
      const std::lock_guard<std::mutex> lock(shared.mMutex);
      shared.mLimiter.CountUnwritten();
    }
  }
};

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
  el::Helpers::installLogDispatchCallback<NonBlockingWriter>("non-blocking");
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
}

std::string
FormatEvent(const Event& aEvent)
{
  return Dump(EventJson(aEvent));
}

namespace {

void
WriteEvent(const Event& aEvent)
{
  nlohmann::ordered_json line = EventJson(aEvent);
  line["time"] =
    absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
  const std::string text = Dump(line);
  switch (FindEvent(aEvent.mId).mSeverity) {
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

} // namespace

void
LogEvent(const Event& aEvent)
{
  static const bool sDebug = std::getenv("FOXTAIL_DEBUG") != nullptr;
  if (FindEvent(aEvent.mId).mSeverity == Severity::Debug && !sDebug) {
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  std::optional<Event> report;
  bool mayWrite = false;
  {
    SharedLimiter& shared = ProcessLogLimiter();
    const std::lock_guard<std::mutex> lock(shared.mMutex);
    report = shared.mLimiter.TakeReport(now);
    mayWrite = shared.mLimiter.Allow(now, aEvent.mId);
  }
  if (report) {
    WriteEvent(*report);
  }
  if (mayWrite) {
    WriteEvent(aEvent);
  }
}

} // namespace foxtail::daemon

#ifndef foxtail_daemon_Log_h
#define foxtail_daemon_Log_h

#include <string>

#include "foxtail/core/Event.h"

namespace foxtail::daemon {

// Sets up logging to standard output, one JSON object a line. Called once,
// before the first LogEvent; aProcess and aVm stand in each line.
void
StartLog(const std::string& aProcess, const std::string& aVm);

// Writes one numbered event. Thread-safe. Debug events are written only with
// FOXTAIL_DEBUG=1 in the environment.
void
LogEvent(const Event& aEvent);

// The line that LogEvent writes for aEvent, without the time.
std::string
FormatEvent(const Event& aEvent);

} // namespace foxtail::daemon

#endif

#ifndef foxtail_daemon_Log_h
#define foxtail_daemon_Log_h

#include <string>

#include "foxtail/core/Event.h"

namespace foxtail::daemon {

// Sets up logging to standard output, one JSON object per line. Call it once,
// before the first LogEvent; each line carries aProcess and aVm. A line is
// truncated to PIPE_BUF bytes; the rest of a longer line is lost, and the line
// is not valid JSON then.
void
StartLog(const std::string& aProcess, const std::string& aVm);

// Writes one numbered event. Thread-safe. Debug events are written only if
// FOXTAIL_DEBUG is set in the environment (FOXTAIL_DEBUG=1).
void
LogEvent(const Event& aEvent);

// Formats aEvent as LogEvent writes it, without the time.
std::string
FormatEvent(const Event& aEvent);

} // namespace foxtail::daemon

#endif

#ifndef foxtail_daemon_Process_h
#define foxtail_daemon_Process_h

namespace foxtail::daemon {

// Raises the limit of open descriptors as far as the system lets it.
void
RaiseDescriptorLimit();

// SIGTERM and SIGINT ask the process to stop; the second of them ends it at
// once with exit code 1. Called once, before the first thread is started.
void
InstallStopSignals();

// True after the first SIGTERM or SIGINT. Thread-safe.
bool
StopRequested();

} // namespace foxtail::daemon

#endif

#ifndef foxtail_daemon_Process_h
#define foxtail_daemon_Process_h

namespace foxtail::daemon {

// Raises the process's soft limit of open file descriptors to its hard limit.
void
RaiseDescriptorLimit();

// Effect of a second SIGTERM or SIGINT.
enum class SecondStopSignal
{
  // The process exits at once with code 1.
  Exit,
  // The graceful stop continues.
  Ignore
};

// Installs the handlers of SIGTERM and SIGINT, which request a stop, and
// ignores SIGPIPE. Call it once, before the first thread is started.
void
InstallStopSignals(SecondStopSignal aSecondSignal = SecondStopSignal::Exit);

// Returns whether SIGTERM or SIGINT was received. Thread-safe.
bool
StopRequested();

} // namespace foxtail::daemon

#endif

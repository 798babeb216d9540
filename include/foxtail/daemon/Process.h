#ifndef foxtail_daemon_Process_h
#define foxtail_daemon_Process_h

namespace foxtail::daemon {

// Raises the limit of open descriptors as far as the system lets it.
void
RaiseDescriptorLimit();

// What a second stop signal does.
enum class SecondStopSignal
{
  // The process ends at once with exit code 1.
  Exit,
  // The stop that was asked for goes on.
  Ignore
};

// SIGTERM and SIGINT ask the process to stop. Called once, before the first
// thread is started.
void
InstallStopSignals(SecondStopSignal aSecondSignal = SecondStopSignal::Exit);

// True after the first SIGTERM or SIGINT. Thread-safe.
bool
StopRequested();

} // namespace foxtail::daemon

#endif

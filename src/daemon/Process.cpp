#include "foxtail/daemon/Process.h"

#include <atomic>
#include <csignal>

#include <sys/resource.h>
#include <unistd.h>

namespace foxtail::daemon {

namespace {

std::atomic<int> sStopSignalCount{ 0 };
std::atomic<bool> sExitOnSecondSignal{ true };
static_assert(std::atomic<int>::is_always_lock_free,
              "the signal handler needs a lock-free atomic");

void
OnStopSignal(int /*aSignal*/)
{
  if (++sStopSignalCount > 1 && sExitOnSecondSignal) {
    _exit(1);
  }
}

} // namespace

void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

void
InstallStopSignals(SecondStopSignal aSecondSignal)
{
  sExitOnSecondSignal = aSecondSignal == SecondStopSignal::Exit;
  struct sigaction action = {};
  action.sa_handler = OnStopSignal;
  sigemptyset(&action.sa_mask);
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool
StopRequested()
{
  return sStopSignalCount > 0;
}

} // namespace foxtail::daemon

#ifndef foxtail_daemon_DaemonMain_h
#define foxtail_daemon_DaemonMain_h

#include <functional>
#include <string>

#include "foxtail/daemon/Settings.h"
#include "foxtail/daemon/StatusServer.h"
#include "foxtail/daemon/Supervisor.h"

namespace foxtail::daemon {

// The parts of DaemonMain that differ between the daemons.
struct DaemonProgram
{
  // File name of the program; each log line carries it as "process".
  std::string mName;
  // Summary line of --help.
  std::string mSummary;
  // Runs the daemon until a stop signal.
  std::function<void(const Settings&)> mRun;
};

// The main function of a daemon: --settings=FILE, --check_settings, --help,
// --version. Returns the exit code: 0 after a stop signal, --help, --version or
// valid --check_settings; 1 for an error while running, for example if a
// supervised part failed too often or an address cannot be bound; 2 for wrong
// usage or settings. A second stop signal ends the process with code 1.
int
DaemonMain(int aCount, char** aArguments, const DaemonProgram& aProgram);

// Runs aSupervisor until a stop signal, then calls aDrain, then stops
// aSupervisor and aStatus. Throws DaemonError 930 if a part failed too often.
void
RunUntilSignal(Supervisor& aSupervisor,
               StatusServer& aStatus,
               const std::function<void()>& aDrain);

} // namespace foxtail::daemon

#endif

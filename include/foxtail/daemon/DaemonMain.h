#ifndef foxtail_daemon_DaemonMain_h
#define foxtail_daemon_DaemonMain_h

#include <functional>
#include <string>

#include "foxtail/daemon/Settings.h"
#include "foxtail/daemon/StatusServer.h"
#include "foxtail/daemon/Supervisor.h"

namespace foxtail::daemon {

// What tells one daemon from another on its command line.
struct DaemonProgram
{
  // File name, which the log repeats.
  std::string mName;
  // One line for --help.
  std::string mSummary;
  // Runs the daemon until it was asked to stop.
  std::function<void(const Settings&)> mRun;
};

// The main function of a daemon: --settings=FILE, --check_settings, --help,
// --version. Returns the exit code: 0 stopped as asked, 1 a part failed too
// often or an address cannot be bound, 2 wrong usage or settings.
int
DaemonMain(int aCount, char** aArguments, const DaemonProgram& aProgram);

// Runs aSupervisor until a stop signal, then aDrain, then ends the tree and
// aStatus. Throws DaemonError 930 when a part was given up.
void
RunUntilSignal(Supervisor& aSupervisor,
               StatusServer& aStatus,
               const std::function<void()>& aDrain);

} // namespace foxtail::daemon

#endif

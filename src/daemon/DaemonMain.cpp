#include "foxtail/daemon/DaemonMain.h"

#include <exception>
#include <iostream>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"

#include "foxtail/core/Error.h"
#include "foxtail/daemon/CommandLine.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/Process.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the VM's settings");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");

namespace foxtail::daemon {

namespace {

constexpr milliseconds kSignalPollInterval{ 20 };

std::string
HelpText(const DaemonProgram& aProgram)
{
  return absl::StrCat(
    aProgram.mSummary,
    "\n\n  ",
    aProgram.mName,
    " --settings=FILE [--check_settings]\n\n"
    "Exit codes: 0 stopped by a signal; 1 a supervised part failed too often\n"
    "or an address cannot be bound; 2 wrong usage or settings.\n");
}

void
Run(const DaemonProgram& aProgram, const Settings& aSettings)
{
  RaiseDescriptorLimit();
  InstallStopSignals();
  StartLog(aProgram.mName, aSettings.mVm.mName);
  aProgram.mRun(aSettings);
}

} // namespace

int
DaemonMain(int aCount, char** aArguments, const DaemonProgram& aProgram)
{
  Settings settings;
  try {
    const CommandLine line =
      ParseCommandLine(aCount, aArguments, HelpText(aProgram), __FILE__);
    if (line.mIsDone) {
      return kExitOk;
    }
    settings = LoadSettings(absl::GetFlag(FLAGS_settings));
  } catch (const Error& e) {
    std::cerr << e.what() << "\n";
    return kExitBadInput;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    Run(aProgram, settings);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

void
RunUntilSignal(Supervisor& aSupervisor,
               StatusServer& aStatus,
               const std::function<void()>& aDrain)
{
  StopToken stop;
  StopToken supervisorEnded;
  std::thread watcher([&] {
    while (!StopRequested() && !supervisorEnded.WaitFor(kSignalPollInterval)) {
    }
    if (!supervisorEnded.IsRequested()) {
      LogEvent({ 1002, "" });
      aDrain();
    }
    stop.Request();
  });
  const auto finish = [&] {
    supervisorEnded.Request();
    watcher.join();
    aStatus.Stop();
  };
  try {
    aSupervisor.Run(stop);
  } catch (...) {
    finish();
    throw;
  }
  finish();
}

} // namespace foxtail::daemon

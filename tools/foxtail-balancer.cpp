// The data path daemon of a VM.

#include <exception>
#include <iostream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"

#include "foxtail/balancerd/BalancerDaemon.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/daemon/Process.h"
#include "foxtail/daemon/Settings.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the VM's settings");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

foxtail::daemon::Settings
LoadOrExit()
{
  try {
    return foxtail::daemon::LoadSettings(absl::GetFlag(FLAGS_settings));
  } catch (const foxtail::Error& e) {
    std::cerr << e.what() << "\n";
    std::exit(kExitBadSettings);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Data path daemon of a foxtailcove VM.\n\n"
    "  foxtail-balancer --settings=FILE [--check_settings]\n\n"
    "Exit codes: 0 stopped as asked, 1 a part failed too often or an address "
    "cannot be bound, 2 bad settings.");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("foxtail-balancer 0.1.0\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);

  const foxtail::daemon::Settings settings = LoadOrExit();
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "settings are valid\n";
    return 0;
  }
  foxtail::daemon::RaiseDescriptorLimit();
  foxtail::daemon::InstallStopSignals();
  foxtail::daemon::StartLog("foxtail-balancer", settings.mVm.mName);
  try {
    foxtail::balancerd::BalancerDaemon(settings).Run();
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitFailed;
  }
  return 0;
}

// Control plane daemon of a VM: membership, configuration and upstream loads.

#include "foxtail/agent/Agent.h"
#include "foxtail/daemon/DaemonMain.h"

int
main(int argc, char** argv)
{
  return foxtail::daemon::DaemonMain(
    argc,
    argv,
    { "foxtail-agent",
      "Control plane daemon of a foxtailcove VM.",
      [](const foxtail::daemon::Settings& s) {
        foxtail::agent::Agent(s).Run();
      } });
}

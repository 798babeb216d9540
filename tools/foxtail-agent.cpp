// The control daemon of a VM: membership, configuration, upstream loads.

#include "foxtail/agent/Agent.h"
#include "foxtail/daemon/DaemonMain.h"

int
main(int argc, char** argv)
{
  return foxtail::daemon::DaemonMain(argc,
                                     argv,
                                     { "foxtail-agent",
                                       "Control daemon of a foxtailcove VM.",
                                       [](const foxtail::daemon::Settings& s) {
                                         foxtail::agent::Agent(s).Run();
                                       } });
}

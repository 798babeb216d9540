// Data plane daemon of a VM: forwards requests to upstreams.

#include "foxtail/balancerd/BalancerDaemon.h"
#include "foxtail/daemon/DaemonMain.h"

int
main(int argc, char** argv)
{
  return foxtail::daemon::DaemonMain(
    argc,
    argv,
    { "foxtail-balancer",
      "Data plane daemon of a foxtailcove VM.",
      [](const foxtail::daemon::Settings& s) {
        foxtail::balancerd::BalancerDaemon(s).Run();
      } });
}

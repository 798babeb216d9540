#include <csignal>

#include <iostream>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include "PlatformServer.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "IP:PORT to serve values on");
ABSL_FLAG(std::string, admin, "127.0.0.1:8081", "IP:PORT of the fault control");
ABSL_FLAG(std::string, dir, ".", "folder of the values, files NAME.json");

int
main(int aCount, char** aArguments)
{
  using foxtail::Address;
  using foxtail::standins::PlatformServer;
  absl::SetProgramUsageMessage(
    "Simulates the platform in tests: serves values, counts calls and "
    "fails on demand (POST /fault?mode=ok|down|stale|back|truncate and GET "
    "/counters on the admin port).");
  absl::ParseCommandLine(aCount, aArguments);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    PlatformServer server(Address::Parse(absl::GetFlag(FLAGS_listen)),
                          Address::Parse(absl::GetFlag(FLAGS_admin)),
                          absl::GetFlag(FLAGS_dir));
    std::thread waiter([&] {
      int signal = 0;
      sigwait(&signals, &signal);
      server.Stop();
    });
    waiter.detach();
    server.Run();
  } catch (const std::exception& e) {
    std::cerr << "standin-platform: " << e.what() << "\n";
    return 2;
  }
  return 0;
}

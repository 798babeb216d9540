#ifndef foxtail_daemon_CommandLine_h
#define foxtail_daemon_CommandLine_h

#include <string>
#include <string_view>
#include <vector>

namespace foxtail::daemon {

// Exit codes of every program.
constexpr int kExitOk = 0;
// The operation failed or has a negative result: a patch was refused, two
// configurations differ, a daemon did not give a valid response, or a daemon
// process failed while running.
constexpr int kExitFailed = 1;
// Wrong usage, invalid settings or invalid input.
constexpr int kExitBadInput = 2;

// Version of the library and its programs, for example "0.1.0".
std::string_view
ProgramVersion();

// Result of ParseCommandLine.
struct CommandLine
{
  // The positional arguments, without the program's name.
  std::vector<std::string> mArguments;
  // True if --help or --version was given and printed; the program should exit
  // with kExitOk.
  bool mIsDone = false;
};

// Sets the program's Abseil flags from its command line. --help and -h print
// aHelp, followed by the flags that the source file aFile defines; --version
// prints the version. Throws DaemonError 950 for an unknown flag and 951 for a
// value that a flag does not accept. Abseil's own parser would end the process
// in these cases.
CommandLine
ParseCommandLine(int aCount,
                 char** aArguments,
                 std::string_view aHelp,
                 std::string_view aFile);

} // namespace foxtail::daemon

#endif

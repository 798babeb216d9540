#ifndef foxtail_daemon_CommandLine_h
#define foxtail_daemon_CommandLine_h

#include <string>
#include <string_view>
#include <vector>

namespace foxtail::daemon {

// Exit codes of every program.
constexpr int kExitOk = 0;
// A refusal or another negative answer.
constexpr int kExitRefused = 1;
// Wrong usage, settings or input.
constexpr int kExitBadInput = 2;

// The version of the library and its programs, like "0.1.0".
std::string_view
ProgramVersion();

// A command line after its flags were read.
struct CommandLine
{
  // What is not a flag, without the program's name.
  std::vector<std::string> mArguments;
  // Help or version was asked for and printed; nothing is left to do.
  bool mIsDone = false;
};

// Sets the Abseil flags of the program from its command line. --help and -h
// print aHelp followed by the flags of aFile (the source file that defines
// them), --version the version. Throws DaemonError 950 for an unknown flag and
// 951 for a value that a flag does not take; Abseil itself would end the
// process.
CommandLine
ParseCommandLine(int aCount,
                 char** aArguments,
                 std::string_view aHelp,
                 std::string_view aFile);

} // namespace foxtail::daemon

#endif

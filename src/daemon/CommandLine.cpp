#include "foxtail/daemon/CommandLine.h"

#include <iostream>
#include <map>
#include <optional>

#include "absl/flags/reflection.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

constexpr int kUnknownFlag = 950;
constexpr int kInvalidValue = 951;

absl::string_view
ToAbslView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Returns whether the source file aFile defines aFlag. Abseil normalizes the
// path of a flag's file, so that one path may be a suffix of the other.
bool
IsDefinedIn(const absl::CommandLineFlag& aFlag, std::string_view aFile)
{
  return aFlag.Filename() == aFile ||
         absl::EndsWith(ToAbslView(aFile), aFlag.Filename()) ||
         absl::EndsWith(aFlag.Filename(), ToAbslView(aFile));
}

void
PrintHelp(std::string_view aHelp, std::string_view aFile)
{
  std::cout << aHelp << "\nFlags:\n";
  // The map sorts the flags by name.
  std::map<std::string, const absl::CommandLineFlag*> flags;
  for (const auto& it : absl::GetAllFlags()) {
    if (IsDefinedIn(*it.second, aFile)) {
      flags.emplace(std::string(it.first), it.second);
    }
  }
  for (const auto& it : flags) {
    std::cout << "  --" << it.first << "\n      " << it.second->Help()
              << " (default: \"" << it.second->DefaultValue() << "\")\n";
  }
  std::cout
    << "  --help\n      prints this help\n  --version\n      prints the "
       "version\n";
}

// A flag as written on the command line: "--name=value", "--name value", or
// "--name" or "--noname" for a boolean flag.
struct FlagArgument
{
  std::string mName;
  std::optional<std::string> mValue;
};

FlagArgument
SplitFlag(absl::string_view aText)
{
  absl::ConsumePrefix(&aText, "-");
  absl::ConsumePrefix(&aText, "-");
  const size_t equals = aText.find('=');
  if (equals == absl::string_view::npos) {
    return { std::string(aText), std::nullopt };
  }
  return { std::string(aText.substr(0, equals)),
           std::string(aText.substr(equals + 1)) };
}

// Returns the flag that aArgument names. For "noNAME", where NAME is a boolean
// flag, returns the flag NAME and sets aArgument's value to "false". Throws
// DaemonError 950 for an unknown flag.
absl::CommandLineFlag&
FindFlag(FlagArgument& aArgument)
{
  if (auto* flag = absl::FindCommandLineFlag(aArgument.mName)) {
    return *flag;
  }
  absl::string_view name = aArgument.mName;
  if (absl::ConsumePrefix(&name, "no") && !aArgument.mValue) {
    auto* flag = absl::FindCommandLineFlag(name);
    if (flag != nullptr && flag->IsOfType<bool>()) {
      aArgument.mValue = "false";
      return *flag;
    }
  }
  throw DaemonError(kUnknownFlag,
                    absl::StrCat("--", aArgument.mName),
                    "unknown flag; --help lists the flags");
}

void
SetFlag(absl::CommandLineFlag& aFlag, const std::string& aValue)
{
  std::string reason;
  if (!aFlag.ParseFrom(aValue, &reason)) {
    throw DaemonError(kInvalidValue,
                      absl::StrCat("--", aFlag.Name()),
                      absl::StrCat("invalid value \"",
                                   aValue,
                                   "\"; the flag's meaning: ",
                                   aFlag.Help(),
                                   reason.empty() ? "" : "; ",
                                   reason));
  }
}

} // namespace

std::string_view
ProgramVersion()
{
  return FOXTAIL_VERSION;
}

CommandLine
ParseCommandLine(int aCount,
                 char** aArguments,
                 std::string_view aHelp,
                 std::string_view aFile)
{
  CommandLine line;
  for (int it = 1; it < aCount; ++it) {
    const std::string_view text = aArguments[it];
    if (text == "--help" || text == "-h") {
      PrintHelp(aHelp, aFile);
      line.mIsDone = true;
      return line;
    }
    if (text == "--version") {
      std::cout << "foxtailcove " << ProgramVersion() << "\n";
      line.mIsDone = true;
      return line;
    }
    // A single "-" is a positional argument.
    if (text.size() < 2 || text[0] != '-') {
      line.mArguments.emplace_back(text);
      continue;
    }
    FlagArgument argument = SplitFlag(ToAbslView(text));
    absl::CommandLineFlag& flag = FindFlag(argument);
    if (!argument.mValue && flag.IsOfType<bool>()) {
      argument.mValue = "true";
    }
    if (!argument.mValue && it + 1 < aCount) {
      argument.mValue = aArguments[++it];
    }
    SetFlag(flag, argument.mValue.value_or(""));
  }
  return line;
}

} // namespace foxtail::daemon

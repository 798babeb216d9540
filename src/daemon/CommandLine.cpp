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
constexpr int kWrongValue = 951;

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
IsOfFile(const absl::CommandLineFlag& aFlag, std::string_view aFile)
{
  return aFlag.Filename() == aFile ||
         absl::EndsWith(View(aFile), aFlag.Filename()) ||
         absl::EndsWith(aFlag.Filename(), View(aFile));
}

void
PrintHelp(std::string_view aHelp, std::string_view aFile)
{
  std::cout << aHelp << "\nFlags:\n";
  // Ordered by name.
  std::map<std::string, const absl::CommandLineFlag*> flags;
  for (const auto& it : absl::GetAllFlags()) {
    if (IsOfFile(*it.second, aFile)) {
      flags.emplace(std::string(it.first), it.second);
    }
  }
  for (const auto& it : flags) {
    std::cout << "  --" << it.first << "\n      " << it.second->Help()
              << " (default: \"" << it.second->DefaultValue() << "\")\n";
  }
  std::cout << "  --help\n      prints this\n  --version\n      prints the "
               "version\n";
}

// A flag as it was written: "--name=value", "--name value", "--name" or
// "--noname" for a boolean one.
struct WrittenFlag
{
  std::string mName;
  std::optional<std::string> mValue;
};

WrittenFlag
Split(absl::string_view aText)
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

// The flag with this name; "noNAME" gives a boolean flag NAME and sets the
// value to false.
absl::CommandLineFlag&
FindFlag(WrittenFlag& aWritten)
{
  if (auto* flag = absl::FindCommandLineFlag(aWritten.mName)) {
    return *flag;
  }
  absl::string_view name = aWritten.mName;
  if (absl::ConsumePrefix(&name, "no") && !aWritten.mValue) {
    auto* flag = absl::FindCommandLineFlag(name);
    if (flag != nullptr && flag->IsOfType<bool>()) {
      aWritten.mValue = "false";
      return *flag;
    }
  }
  throw DaemonError(kUnknownFlag,
                    absl::StrCat("--", aWritten.mName),
                    "unknown flag; --help lists the flags");
}

void
SetFlag(absl::CommandLineFlag& aFlag, const std::string& aValue)
{
  std::string why;
  if (!aFlag.ParseFrom(aValue, &why)) {
    throw DaemonError(kWrongValue,
                      absl::StrCat("--", aFlag.Name()),
                      absl::StrCat("does not take \"",
                                   aValue,
                                   "\"; expected: ",
                                   aFlag.Help(),
                                   why.empty() ? "" : "; ",
                                   why));
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
    if (text.size() < 2 || text[0] != '-') {
      line.mArguments.emplace_back(text);
      continue;
    }
    WrittenFlag written = Split(View(text));
    absl::CommandLineFlag& flag = FindFlag(written);
    if (!written.mValue && flag.IsOfType<bool>()) {
      written.mValue = "true";
    }
    if (!written.mValue && it + 1 < aCount) {
      written.mValue = aArguments[++it];
    }
    SetFlag(flag, written.mValue.value_or(""));
  }
  return line;
}

} // namespace foxtail::daemon

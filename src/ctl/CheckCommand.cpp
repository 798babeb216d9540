#include "absl/strings/str_cat.h"

#include "ctl/Command.h"
#include "ctl/Difference.h"
#include "ctl/Source.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/CommandLine.h"

namespace foxtail::ctl {

namespace {

using nlohmann::json;

constexpr int kWrongUsage = 960;
const char* const kUsage =
  "check PATCH --against=N with --config=FILE or --agent=IP:PORT";

// Reads a patch file and returns the patch as an entry of config.patches:
// {"against": N, "patch": [...]}. The file holds either such an entry or the
// operations alone; --against then gives the version that they are written
// against. Throws DaemonError 960 if --against is missing or contradicts the
// file.
json
ReadPatchEntry(const std::string& aPath, const Options& aOptions)
{
  json value = ReadJsonFile(aPath);
  if (value.is_object() && value.contains("against")) {
    if (aOptions.mAgainst && value["against"] != *aOptions.mAgainst) {
      throw DaemonError(kWrongUsage,
                        "--against",
                        absl::StrCat("the patch file has \"against\": ",
                                     value["against"].dump(),
                                     "; the flag must have the same value"));
    }
    return value;
  }
  if (!aOptions.mAgainst) {
    throw DaemonError(kWrongUsage,
                      "--against",
                      "expected the number of the version that the patch is "
                      "written against");
  }
  return { { "against", *aOptions.mAgainst }, { "patch", std::move(value) } };
}

CommandResult
AcceptedResult(const json& aEntry,
               const config::Snapshot& aBefore,
               const config::Snapshot& aAfter)
{
  const std::vector<Change> changes = Compare(aBefore, aAfter);
  const uint64_t number = aAfter.mVersion.mNumber;
  CommandResult result;
  result.mJson = { { "accepted", true },
                   { "becomes", number },
                   { "changes", ToJson(changes) },
                   { "entry", aEntry } };
  result.mText =
    absl::StrCat("accepted: the configuration would become version ",
                 number,
                 "\n",
                 changes.empty() ? "  no change\n" : ToText(changes),
                 "publish it as the last entry of "
                 "config.patches:\n  ",
                 aEntry.dump(),
                 "\n");
  return result;
}

CommandResult
RefusedResult(const config::RefusedPatch& aRefused)
{
  CommandResult result;
  result.mExit = daemon::kExitFailed;
  result.mJson = { { "accepted", false },
                   { "error", aRefused.mErrorId },
                   { "reason", aRefused.mReason } };
  result.mText = absl::StrCat("refused: ", aRefused.mReason, "\n");
  return result;
}

} // namespace

CommandResult
CheckPatch(const Arguments& aArguments, const Options& aOptions)
{
  RequireArguments(aArguments, 1, kUsage);
  const json entry = ReadPatchEntry(aArguments[0], aOptions);
  config::Base base = ReadConfig(aOptions);
  config::Version& version = base.mPoint.mVersion;
  // A document alone has no version number; assume that it is the version that
  // the patch is written against.
  if (version.mNumber == 0 && entry["against"].is_number_unsigned()) {
    version.mNumber = entry["against"].get<uint64_t>();
  }
  if (version.mNumber == 0) {
    throw DaemonError(
      kWrongUsage, "--against", "expected a version number of 1 or greater");
  }
  config::Chain chain;
  chain.Offer(base);
  const config::SnapshotPtr before = chain.Current();
  const auto result = std::get<config::Advanced>(
    chain.Offer(config::PatchList{ base.mPoint.mPosition, { entry } }));
  return result.mRefused.empty()
           ? AcceptedResult(entry, *before, *chain.Current())
           : RefusedResult(result.mRefused.front());
}

} // namespace foxtail::ctl

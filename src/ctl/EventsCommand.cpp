#include "absl/strings/str_cat.h"

#include "ctl/Command.h"
#include "foxtail/core/Event.h"

namespace foxtail::ctl {

namespace {

const char*
Name(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return "debug";
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      break;
  }
  return "error";
}

} // namespace

CommandResult
ListEvents(const Arguments& aArguments)
{
  RequireArguments(aArguments, 0, "events");
  CommandResult result;
  result.mJson = nlohmann::json::array();
  for (const EventInfo& it : EventCatalogue()) {
    const std::string name(it.mName);
    const std::string meaning(it.mMeaning);
    result.mJson.push_back({ { "id", it.mId },
                             { "severity", Name(it.mSeverity) },
                             { "name", name },
                             { "meaning", meaning } });
    absl::StrAppend(&result.mText,
                    it.mId,
                    " ",
                    Name(it.mSeverity),
                    " ",
                    name,
                    ": ",
                    meaning,
                    "\n");
  }
  return result;
}

} // namespace foxtail::ctl

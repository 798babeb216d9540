#include "absl/strings/str_cat.h"

#include "ctl/Command.h"
#include "foxtail/core/Event.h"

namespace foxtail::ctl {

CommandResult
ListEvents(const Arguments& aArguments)
{
  RequireArguments(aArguments, 0, "events");
  CommandResult result;
  result.mJson = nlohmann::json::array();
  for (const EventInfo& it : EventCatalogue()) {
    const std::string name(it.mName);
    const std::string meaning(it.mMeaning);
    result.mJson.push_back(
      { { "id", it.mId },
        { "severity", std::string(SeverityName(it.mSeverity)) },
        { "name", name },
        { "meaning", meaning } });
    absl::StrAppend(&result.mText,
                    it.mId,
                    " ",
                    std::string(SeverityName(it.mSeverity)),
                    " ",
                    name,
                    ": ",
                    meaning,
                    "\n");
  }
  return result;
}

} // namespace foxtail::ctl

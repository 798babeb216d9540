#include "ctl/Command.h"
#include "daemon/SettingsPage.h"
#include "daemon/SettingsSchema.h"

namespace foxtail::ctl {

CommandResult
ListSettings(const Arguments& aArguments)
{
  RequireArguments(aArguments, 0, "settings");
  CommandResult result;
  result.mJson = nlohmann::json::parse(daemon::kSettingsSchema);
  result.mText = daemon::SettingsPage();
  return result;
}

} // namespace foxtail::ctl

#ifndef foxtail_daemon_SettingsPage_h
#define foxtail_daemon_SettingsPage_h

#include <string>

namespace foxtail::daemon {

// The operators' page docs/SETTINGS.md, made from the settings schema.
std::string
SettingsPage();

} // namespace foxtail::daemon

#endif

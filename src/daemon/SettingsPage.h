#ifndef foxtail_daemon_SettingsPage_h
#define foxtail_daemon_SettingsPage_h

#include <string>

namespace foxtail::daemon {

// Returns the text of docs/SETTINGS.md, generated from the settings schema.
std::string
SettingsPage();

} // namespace foxtail::daemon

#endif

#ifndef foxtail_daemon_SettingsSchema_h
#define foxtail_daemon_SettingsSchema_h

namespace foxtail::daemon {

// Text of schemas/settings.schema.json.
extern const char* const kSettingsSchema;

} // namespace foxtail::daemon

#endif

#ifndef foxtail_config_ConfigurationSchema_h
#define foxtail_config_ConfigurationSchema_h

namespace foxtail::config {

// Text of schemas/configuration.schema.json.
extern const char* const kConfigurationSchema;

} // namespace foxtail::config

#endif

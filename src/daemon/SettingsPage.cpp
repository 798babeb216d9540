#include "daemon/SettingsPage.h"

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

#include "daemon/SettingsSchema.h"

namespace foxtail::daemon {

namespace {

// Keeps the keys in the order of the schema.
using json = nlohmann::ordered_json;

const char* const kIntroduction =
  "# Settings\n"
  "\n"
  "One JSON file holds the settings of both daemons of a VM. It is checked\n"
  "before anything starts: an unknown key, a wrong unit or a value out of\n"
  "range ends the program with a numbered error (docs/ERRORS.md) and exit\n"
  "code 2. Made by scripts/generate-settings-page from\n"
  "schemas/settings.schema.json.\n";

bool
IsRequired(const json& aSection, const std::string& aKey)
{
  for (const json& it : aSection.value("required", json::array())) {
    if (it == aKey) {
      return true;
    }
  }
  return false;
}

std::string
AcceptedValues(const json& aKeySchema)
{
  const std::string type = aKeySchema.at("type");
  return aKeySchema.contains("minimum")
           ? absl::StrCat(type,
                          ", ",
                          aKeySchema["minimum"].dump(),
                          " to ",
                          aKeySchema["maximum"].dump())
           : type;
}

std::string
DefaultText(const json& aSection,
            const std::string& aKey,
            const json& aKeySchema)
{
  if (aKeySchema.contains("default")) {
    return absl::StrCat("`", aKeySchema["default"].dump(), "`");
  }
  return IsRequired(aSection, aKey) ? "required" : "none";
}

std::string
SectionText(const std::string& aName, const json& aSection)
{
  std::string text = absl::StrCat("\n## ",
                                  aName,
                                  "\n\nWhat it holds: ",
                                  aSection.value("description", ""),
                                  ".\n\n| key | accepts | default | meaning "
                                  "|\n| --- | --- | --- | --- |\n");
  for (const auto& it : aSection.at("properties").items()) {
    absl::StrAppend(&text,
                    "| `",
                    it.key(),
                    "` | ",
                    AcceptedValues(it.value()),
                    " | ",
                    DefaultText(aSection, it.key(), it.value()),
                    " | ",
                    it.value().value("description", ""),
                    " |\n");
  }
  return text;
}

} // namespace

std::string
SettingsPage()
{
  const json schema = json::parse(kSettingsSchema);
  std::string page = kIntroduction;
  for (const auto& it : schema.at("properties").items()) {
    page += SectionText(it.key(), it.value());
  }
  return page;
}

} // namespace foxtail::daemon

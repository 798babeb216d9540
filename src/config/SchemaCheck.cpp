#include "foxtail/config/SchemaCheck.h"

#include <cassert>
#include <stdexcept>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "valijson/adapters/nlohmann_json_adapter.hpp"
#include "valijson/schema.hpp"
#include "valijson/schema_parser.hpp"
#include "valijson/validation_results.hpp"
#include "valijson/validator.hpp"

namespace foxtail::config {

namespace {

using nlohmann::json;

constexpr int kMaxJsonDepth = 32;

struct TooDeep
{};

// Reads the element names out of valijson's "<root>", "[name]", "[0]".
std::vector<std::string>
PathElements(const std::vector<std::string>& aContext)
{
  std::vector<std::string> elements;
  for (size_t it = 1; it < aContext.size(); ++it) {
    elements.push_back(aContext[it].substr(1, aContext[it].size() - 2));
  }
  return elements;
}

// A schema node, the value that it describes and the value's path.
struct Node
{
  const json* mSchema;
  const json* mValue;
  std::string mPath;
};

void
Enter(Node& aNode, const std::string& aElement)
{
  if (aNode.mValue->is_array()) {
    aNode.mSchema = &aNode.mSchema->at("items");
    aNode.mValue = &aNode.mValue->at(std::stoul(aElement));
  } else {
    aNode.mSchema = &aNode.mSchema->at("properties").at(aElement);
    aNode.mValue = &aNode.mValue->at(aElement);
  }
  absl::StrAppend(&aNode.mPath, "/", aElement);
}

std::string
Known(const json& aSchema)
{
  std::vector<std::string> keys;
  for (const auto& it : aSchema.at("properties").items()) {
    keys.push_back(it.key());
  }
  return absl::StrJoin(keys, ", ");
}

std::string
Described(const json& aSchema, const std::string& aKey)
{
  return aSchema.at("properties").at(aKey).value("description", aKey);
}

std::string
Stem(const std::string& aKey)
{
  return aKey.substr(0, aKey.rfind('_'));
}

// The known key that differs from aKey in its unit alone.
std::optional<std::string>
SameWithOtherUnit(const json& aSchema, const std::string& aKey)
{
  for (const auto& it : aSchema.at("properties").items()) {
    const bool hasUnit = it.key().find('_') != std::string::npos;
    if (hasUnit && (Stem(it.key()) == Stem(aKey) || Stem(it.key()) == aKey)) {
      return it.key();
    }
  }
  return std::nullopt;
}

std::optional<SchemaFault>
FindKeyFault(const Node& aNode)
{
  const json& schema = *aNode.mSchema;
  for (const auto& it : aNode.mValue->items()) {
    if (schema.at("properties").contains(it.key())) {
      continue;
    }
    const std::string path = absl::StrCat(aNode.mPath, "/", it.key());
    if (const auto known = SameWithOtherUnit(schema, it.key())) {
      return SchemaFault{ FaultKind::WrongUnit,
                          path,
                          absl::StrCat("wrong unit in the key; use ",
                                       *known,
                                       ": ",
                                       Described(schema, *known)) };
    }
    return SchemaFault{ FaultKind::UnknownKey,
                        path,
                        absl::StrCat("unknown key; remove or correct it, "
                                     "known here are: ",
                                     Known(schema)) };
  }
  for (const json& it : schema.value("required", json::array())) {
    const std::string& key = it.get_ref<const std::string&>();
    if (!aNode.mValue->contains(key)) {
      return SchemaFault{ FaultKind::MissingKey,
                          absl::StrCat(aNode.mPath, "/", key),
                          absl::StrCat("missing; add it: ",
                                       Described(schema, key)) };
    }
  }
  return std::nullopt;
}

bool
HasType(const json& aValue, const std::string& aType)
{
  if (aType == "object") {
    return aValue.is_object();
  }
  if (aType == "array") {
    return aValue.is_array();
  }
  if (aType == "string") {
    return aValue.is_string();
  }
  if (aType == "boolean") {
    return aValue.is_boolean();
  }
  return aValue.is_number_integer();
}

// "an integer from 1 to 65535: UDP port ...".
std::string
Expected(const json& aSchema)
{
  const std::string type = aSchema.at("type");
  std::string text = type == "integer" || type == "array" || type == "object"
                       ? absl::StrCat("an ", type)
                       : absl::StrCat("a ", type);
  if (aSchema.contains("minimum")) {
    absl::StrAppend(&text,
                    " from ",
                    aSchema["minimum"].dump(),
                    " to ",
                    aSchema["maximum"].dump());
  }
  if (aSchema.contains("maxLength")) {
    absl::StrAppend(&text,
                    " of ",
                    aSchema.value("minLength", 0),
                    " to ",
                    aSchema["maxLength"].dump(),
                    " characters");
  }
  if (aSchema.contains("maxItems")) {
    absl::StrAppend(&text, " of at most ", aSchema["maxItems"].dump());
  }
  // The root has a title in place of a description.
  const std::string title = aSchema.value("title", "");
  return absl::StrCat(text, ": ", aSchema.value("description", title));
}

std::string
Shown(const json& aValue)
{
  constexpr size_t kMaxShown = 40;
  if (aValue.is_structured()) {
    return absl::StrCat("an ", aValue.type_name());
  }
  const std::string text =
    aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  return text.size() <= kMaxShown
           ? text
           : absl::StrCat(text.substr(0, kMaxShown), "...");
}

SchemaFault
FindValueFault(const Node& aNode)
{
  const json& schema = *aNode.mSchema;
  const std::string advice = absl::StrCat(
    "expected ", Expected(schema), "; found ", Shown(*aNode.mValue));
  if (!HasType(*aNode.mValue, schema.at("type"))) {
    return { FaultKind::WrongType, aNode.mPath, advice };
  }
  return { aNode.mValue->is_string() ? FaultKind::BadFormat
                                     : FaultKind::OutOfRange,
           aNode.mPath,
           advice };
}

SchemaFault
Explain(const json& aSchema,
        const json& aValue,
        const std::vector<std::string>& aContext)
{
  Node node{ &aSchema, &aValue, "" };
  for (const std::string& it : PathElements(aContext)) {
    Enter(node, it);
  }
  if (node.mValue->is_object() && node.mSchema->at("type") == "object") {
    if (auto fault = FindKeyFault(node)) {
      return *fault;
    }
  }
  return FindValueFault(node);
}

} // namespace

struct SchemaCheck::State
{
  json mText;
  valijson::Schema mSchema;
  // Keeps compiled patterns from check to check.
  valijson::Validator mValidator;
};

SchemaCheck::SchemaCheck(std::string_view aSchema)
  : mState(std::make_unique<State>())
{
  mState->mText = json::parse(aSchema);
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter adapter(mState->mText);
  parser.populateSchema(adapter, mState->mSchema);
}

SchemaCheck::~SchemaCheck() = default;
SchemaCheck::SchemaCheck(SchemaCheck&&) noexcept = default;
SchemaCheck&
SchemaCheck::operator=(SchemaCheck&&) noexcept = default;

std::optional<SchemaFault>
SchemaCheck::FindFault(const json& aValue) const
{
  const valijson::adapters::NlohmannJsonAdapter adapter(aValue);
  // Without results valijson stops at the first difference.
  if (mState->mValidator.validate(mState->mSchema, adapter, nullptr)) {
    return std::nullopt;
  }
  valijson::ValidationResults results;
  mState->mValidator.validate(mState->mSchema, adapter, &results);
  valijson::ValidationResults::Error error;
  const bool found = results.popError(error);
  assert(found);
  static_cast<void>(found);
  return Explain(mState->mText, aValue, error.context);
}

std::optional<json>
ParseBoundedJson(std::string_view aText, size_t aMaxBytes, std::string& aReason)
{
  if (aText.size() > aMaxBytes) {
    aReason = absl::StrCat(
      aText.size(), " bytes; expected at most ", aMaxBytes, " bytes");
    return std::nullopt;
  }
  const auto checkDepth = [](int aDepth, json::parse_event_t, json&) {
    if (aDepth > kMaxJsonDepth) {
      throw TooDeep{};
    }
    return true;
  };
  try {
    return json::parse(aText, checkDepth);
  } catch (const TooDeep&) {
    aReason =
      absl::StrCat("expected JSON nested at most ", kMaxJsonDepth, " deep");
  } catch (const json::exception& e) {
    aReason = absl::StrCat("expected JSON; ", e.what());
  }
  return std::nullopt;
}

} // namespace foxtail::config

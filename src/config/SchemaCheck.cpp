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

// Extracts the element names from the path of a valijson error, which has the
// form "<root>", "[name]", "[0]".
std::vector<std::string>
PathElements(const std::vector<std::string>& aContext)
{
  std::vector<std::string> elements;
  for (size_t it = 1; it < aContext.size(); ++it) {
    elements.push_back(aContext[it].substr(1, aContext[it].size() - 2));
  }
  return elements;
}

// A node of the schema, the value that it describes, and the path of the value.
struct Node
{
  const json* mSchema;
  const json* mValue;
  std::string mPath;
};

// Moves to the element aElement of the value.
void
Descend(Node& aNode, const std::string& aElement)
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
KnownKeys(const json& aSchema)
{
  std::vector<std::string> keys;
  for (const auto& it : aSchema.at("properties").items()) {
    keys.push_back(it.key());
  }
  return absl::StrJoin(keys, ", ");
}

std::string
Description(const json& aSchema, const std::string& aKey)
{
  return aSchema.at("properties").at(aKey).value("description", aKey);
}

std::string
KeyWithoutSuffix(const std::string& aKey)
{
  return aKey.substr(0, aKey.rfind('_'));
}

// The known key that differs from aKey only in its unit. The part after the
// last underscore of a key is taken for its unit.
std::optional<std::string>
FindKeyWithOtherUnit(const json& aSchema, const std::string& aKey)
{
  for (const auto& it : aSchema.at("properties").items()) {
    const bool hasUnit = it.key().find('_') != std::string::npos;
    if (hasUnit && (KeyWithoutSuffix(it.key()) == KeyWithoutSuffix(aKey) ||
                    KeyWithoutSuffix(it.key()) == aKey)) {
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
    if (const auto known = FindKeyWithOtherUnit(schema, it.key())) {
      return SchemaFault{ FaultKind::WrongUnit,
                          path,
                          absl::StrCat("wrong unit in the key; use ",
                                       *known,
                                       ": ",
                                       Description(schema, *known)) };
    }
    return SchemaFault{ FaultKind::UnknownKey,
                        path,
                        absl::StrCat("unknown key; remove or correct it, "
                                     "known here are: ",
                                     KnownKeys(schema)) };
  }
  for (const json& it : schema.value("required", json::array())) {
    const std::string& key = it.get_ref<const std::string&>();
    if (!aNode.mValue->contains(key)) {
      return SchemaFault{ FaultKind::MissingKey,
                          absl::StrCat(aNode.mPath, "/", key),
                          absl::StrCat("missing; add it: ",
                                       Description(schema, key)) };
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

// Text such as "an integer from 1 to 65535: UDP port ...".
std::string
DescribeExpected(const json& aSchema)
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
  // The root of the schema has a title instead of a description.
  const std::string title = aSchema.value("title", "");
  return absl::StrCat(text, ": ", aSchema.value("description", title));
}

std::string
DescribeFound(const json& aValue)
{
  constexpr size_t kMaxShownBytes = 40;
  if (aValue.is_structured()) {
    return absl::StrCat("an ", aValue.type_name());
  }
  const std::string text =
    aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  return text.size() <= kMaxShownBytes
           ? text
           : absl::StrCat(text.substr(0, kMaxShownBytes), "...");
}

SchemaFault
FindValueFault(const Node& aNode)
{
  const json& schema = *aNode.mSchema;
  const std::string advice = absl::StrCat("expected ",
                                          DescribeExpected(schema),
                                          "; found ",
                                          DescribeFound(*aNode.mValue));
  if (!HasType(*aNode.mValue, schema.at("type"))) {
    return { FaultKind::WrongType, aNode.mPath, advice };
  }
  return { aNode.mValue->is_string() ? FaultKind::BadFormat
                                     : FaultKind::OutOfRange,
           aNode.mPath,
           advice };
}

SchemaFault
FindFaultAt(const json& aSchema,
            const json& aValue,
            const std::vector<std::string>& aContext)
{
  Node node{ &aSchema, &aValue, "" };
  for (const std::string& it : PathElements(aContext)) {
    Descend(node, it);
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
  json mSchemaJson;
  valijson::Schema mSchema;
  // Caches compiled patterns across checks.
  valijson::Validator mValidator;
};

SchemaCheck::SchemaCheck(std::string_view aSchema)
  : mState(std::make_unique<State>())
{
  mState->mSchemaJson = json::parse(aSchema);
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter adapter(mState->mSchemaJson);
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
  // Without a results object valijson stops at the first error. Only an invalid
  // value is validated again, to get the error.
  if (mState->mValidator.validate(mState->mSchema, adapter, nullptr)) {
    return std::nullopt;
  }
  valijson::ValidationResults results;
  mState->mValidator.validate(mState->mSchema, adapter, &results);
  valijson::ValidationResults::Error error;
  const bool found = results.popError(error);
  assert(found);
  static_cast<void>(found);
  return FindFaultAt(mState->mSchemaJson, aValue, error.context);
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
    aReason = absl::StrCat(
      "expected JSON with at most ", kMaxJsonDepth, " levels of nesting");
  } catch (const json::exception& e) {
    aReason = absl::StrCat("expected JSON; ", e.what());
  }
  return std::nullopt;
}

} // namespace foxtail::config

#ifndef foxtail_config_SchemaCheck_h
#define foxtail_config_SchemaCheck_h

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "nlohmann/json.hpp"

namespace foxtail::config {

// How a value differs from its schema. Error families number their schema
// errors by adding the position in this list to a base.
enum class FaultKind
{
  UnknownKey,
  MissingKey,
  // A known key with another unit in its name, like drain_s for drain_ms.
  WrongUnit,
  WrongType,
  OutOfRange,
  BadFormat
};

// The first difference found.
struct SchemaFault
{
  FaultKind mKind;
  // JSON pointer to the value or key, like /services/0/timeout_ms.
  std::string mPath;
  // What was expected and what to do, one plain sentence.
  std::string mAdvice;
};

// One JSON schema, ready to check values against. Not thread-safe.
class SchemaCheck
{
public:
  // aSchema is the text of a draft 7 schema without references; malformed
  // text is a programming error.
  explicit SchemaCheck(std::string_view aSchema);
  ~SchemaCheck();
  SchemaCheck(SchemaCheck&&) noexcept;
  SchemaCheck& operator=(SchemaCheck&&) noexcept;

  // Empty when aValue agrees with the schema.
  std::optional<SchemaFault> FindFault(const nlohmann::json& aValue) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

// Reads JSON text of at most aMaxBytes, nested at most 32 deep. On failure
// returns the reason in aReason, and nothing.
std::optional<nlohmann::json>
ParseBoundedJson(std::string_view aText,
                 size_t aMaxBytes,
                 std::string& aReason);

} // namespace foxtail::config

#endif

#ifndef foxtail_config_SchemaCheck_h
#define foxtail_config_SchemaCheck_h

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "nlohmann/json.hpp"

namespace foxtail::config {

// How a value violates its schema. In SettingsError and ConfigError, the number
// of a schema error is the number for UnknownKey plus the value of the
// enumerator, so the order must not change.
enum class FaultKind
{
  UnknownKey,
  MissingKey,
  // A known key with a different unit in its name, such as drain_s for
  // drain_ms.
  WrongUnit,
  WrongType,
  OutOfRange,
  BadFormat
};

// The first violation found in a value.
struct SchemaFault
{
  FaultKind mKind;
  // JSON pointer to the value or key, such as /services/0/timeout_ms.
  std::string mPath;
  // What was expected and what to change, in one sentence.
  std::string mAdvice;
};

// A parsed JSON schema that values are checked against. Not thread-safe.
class SchemaCheck
{
public:
  // aSchema is the text of a JSON Schema draft 7 without references. Malformed
  // text is a programming error.
  explicit SchemaCheck(std::string_view aSchema);
  ~SchemaCheck();
  SchemaCheck(SchemaCheck&&) noexcept;
  SchemaCheck& operator=(SchemaCheck&&) noexcept;

  // Returns the first violation; empty if aValue conforms to the schema.
  std::optional<SchemaFault> FindFault(const nlohmann::json& aValue) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

// Parses JSON text of at most aMaxBytes with at most 32 levels of nesting. On
// failure returns an empty optional and the reason in aReason.
std::optional<nlohmann::json>
ParseBoundedJson(std::string_view aText,
                 size_t aMaxBytes,
                 std::string& aReason);

} // namespace foxtail::config

#endif

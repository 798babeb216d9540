#ifndef foxtail_config_PatchTransaction_h
#define foxtail_config_PatchTransaction_h

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace foxtail::config {

// Applies the operations of an RFC 6902 patch to a configuration document in
// place, remembers how to undo them and which services they left alone.
class PatchTransaction
{
public:
  // aDocument, which holds aServices services, must outlive the transaction.
  PatchTransaction(nlohmann::json& aDocument, size_t aServices);

  // Applies all operations. Throws ConfigError 220 when the patch is malformed
  // and 221 when an operation does not fit the document; then, and whenever
  // the result is not wanted, call Revert.
  void Apply(const nlohmann::json& aOperations);

  // Takes back what was applied.
  void Revert();

  // True when the services as a whole were replaced.
  bool TouchesAll() const { return mTouchesAll; }

  // For each service now: where it was before if nothing in it was touched.
  const std::vector<std::optional<size_t>>& Origins() const { return mOrigins; }

private:
  using Pointer = nlohmann::json::json_pointer;

  void ApplyOne(const nlohmann::json& aOperation);
  void Add(const Pointer& aPath, const nlohmann::json& aValue);
  void Remove(const Pointer& aPath);
  void Replace(const Pointer& aPath, const nlohmann::json& aValue);
  // The value at aPath, counted against the limit of copied values.
  nlohmann::json Copied(const Pointer& aPath);
  // The path with "-" replaced by the index that it stands for.
  Pointer Resolve(const Pointer& aPath) const;
  // Notes that the value at aPath is about to be added, removed or replaced.
  enum class Change
  {
    Add,
    Remove,
    Replace
  };
  void Touch(const Pointer& aPath, Change aChange);
  void Run(const nlohmann::json& aOperation);

  nlohmann::json& mDocument;
  std::vector<nlohmann::json> mUndo;
  std::vector<std::optional<size_t>> mOrigins;
  size_t mCopiedValues = 0;
  bool mTouchesAll = false;
};

} // namespace foxtail::config

#endif

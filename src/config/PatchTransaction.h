#ifndef foxtail_config_PatchTransaction_h
#define foxtail_config_PatchTransaction_h

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace foxtail::config {

// Applies the operations of an RFC 6902 patch to a configuration document in
// place. Records how to undo them and which services they left unchanged.
class PatchTransaction
{
public:
  // aDocument has aServiceCount services and must outlive the transaction.
  PatchTransaction(nlohmann::json& aDocument, size_t aServiceCount);

  // Applies all operations. Throws ConfigError 220 if the patch is not a list
  // of operations, has an unknown operation or a malformed path, moves a value
  // into itself or exceeds a limit. Throws ConfigError 221 if an operation is
  // incomplete or does not fit the document. Call Revert after an error, or if
  // the result is rejected: the operations stay applied otherwise.
  void Apply(const nlohmann::json& aOperations);

  // Undoes all applied operations.
  void Revert();

  // True if an operation changed the list of services as a whole, so that
  // PreviousIndices has no meaning.
  bool ReplacesAllServices() const { return mReplacesAllServices; }

  // For each service after the patch: its index before the patch, or nothing if
  // the patch added or changed it.
  const std::vector<std::optional<size_t>>& PreviousIndices() const
  {
    return mPreviousIndices;
  }

private:
  using Pointer = nlohmann::json::json_pointer;

  void ApplyOne(const nlohmann::json& aOperation);
  void Add(const Pointer& aPath, const nlohmann::json& aValue);
  void Remove(const Pointer& aPath);
  void Replace(const Pointer& aPath, const nlohmann::json& aValue);
  // Returns a copy of the value at aPath. The copy counts towards the limit of
  // copied values.
  nlohmann::json CopyValue(const Pointer& aPath);
  // Replaces a final "-", the end of an array, by the index that it stands for.
  Pointer ResolveEndIndex(const Pointer& aPath) const;
  enum class Change
  {
    Add,
    Remove,
    Replace
  };
  // Updates mPreviousIndices after the value at aPath was added, removed or
  // replaced.
  void RecordChange(const Pointer& aPath, Change aChange);
  // Executes one operation on the document without recording anything.
  void Execute(const nlohmann::json& aOperation);

  nlohmann::json& mDocument;
  // The inverse of each applied operation, in the order of application.
  std::vector<nlohmann::json> mUndo;
  std::vector<std::optional<size_t>> mPreviousIndices;
  size_t mCopiedValues = 0;
  bool mReplacesAllServices = false;
};

} // namespace foxtail::config

#endif

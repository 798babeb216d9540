#include "config/PatchTransaction.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "foxtail/core/Error.h"

namespace foxtail::config {

namespace {

using nlohmann::json;

constexpr int kMalformedPatch = 220;
constexpr int kOperationFailed = 221;
constexpr size_t kMaxOperations = 10000;
// JSON values that one patch may copy or move. Without this limit, copies of
// copies could grow the document without bound.
constexpr size_t kMaxCopiedValues = 200000;

size_t
CountValues(const json& aValue)
{
  size_t n = 1;
  if (aValue.is_structured()) {
    for (const json& it : aValue) {
      n += CountValues(it);
    }
  }
  return n;
}

std::vector<std::string>
PathElements(json::json_pointer aPath)
{
  std::vector<std::string> elements;
  while (!aPath.empty()) {
    elements.push_back(aPath.back());
    aPath.pop_back();
  }
  std::reverse(elements.begin(), elements.end());
  return elements;
}

json
MakeOperation(const char* aName, const json::json_pointer& aPath)
{
  return { { "op", aName }, { "path", aPath.to_string() } };
}

json
MakeOperation(const char* aName,
              const json::json_pointer& aPath,
              const json& aValue)
{
  return { { "op", aName },
           { "path", aPath.to_string() },
           { "value", aValue } };
}

json::json_pointer
ReadPath(const json& aOperation, const char* aKey)
{
  return json::json_pointer(aOperation.at(aKey).get<std::string>());
}

// Refuses to move a value into itself, which RFC 6902 forbids. nlohmann::json
// does not refuse it: after the removal, the path may name the next array
// element, and the value would be moved into that element.
void
RequireNotInside(const json::json_pointer& aFrom,
                 const json::json_pointer& aPath)
{
  if (absl::StartsWith(aPath.to_string(), aFrom.to_string() + "/")) {
    throw ConfigError(kMalformedPatch,
                      aPath.to_string(),
                      "a value cannot be moved into itself; correct the path");
  }
}

} // namespace

PatchTransaction::PatchTransaction(json& aDocument, size_t aServiceCount)
  : mDocument(aDocument)
  , mPreviousIndices(aServiceCount)
{
  for (size_t it = 0; it < aServiceCount; ++it) {
    mPreviousIndices[it] = it;
  }
}

void
PatchTransaction::Apply(const json& aOperations)
{
  if (!aOperations.is_array() || aOperations.size() > kMaxOperations) {
    throw ConfigError(kMalformedPatch,
                      "/patch",
                      absl::StrCat("expected a list of at most ",
                                   kMaxOperations,
                                   " RFC 6902 operations"));
  }
  size_t index = 0;
  for (const json& it : aOperations) {
    const std::string where = absl::StrCat("/patch/", index++);
    try {
      ApplyOne(it);
    } catch (const json::parse_error& e) {
      throw ConfigError(
        kMalformedPatch,
        where,
        absl::StrCat("expected an RFC 6902 operation; ", e.what()));
    } catch (const json::exception& e) {
      throw ConfigError(
        kOperationFailed,
        where,
        absl::StrCat(
          "the operation is incomplete or does not fit the document; "
          "check its members, and its path against the version it "
          "is written for; ",
          e.what()));
    }
  }
}

void
PatchTransaction::Revert()
{
  for (auto it = mUndo.rbegin(); it != mUndo.rend(); ++it) {
    Execute(*it);
  }
  mUndo.clear();
}

void
PatchTransaction::ApplyOne(const json& aOperation)
{
  const std::string name = aOperation.at("op").get<std::string>();
  const Pointer path = ReadPath(aOperation, "path");
  if (name == "add") {
    Add(path, aOperation.at("value"));
  } else if (name == "remove") {
    Remove(path);
  } else if (name == "replace") {
    Replace(path, aOperation.at("value"));
  } else if (name == "copy") {
    Add(path, CopyValue(ReadPath(aOperation, "from")));
  } else if (name == "move") {
    const Pointer from = ReadPath(aOperation, "from");
    RequireNotInside(from, path);
    const json value = CopyValue(from);
    Remove(from);
    Add(path, value);
  } else {
    // A test operation, or an unknown operation that nlohmann::json refuses.
    Execute(aOperation);
  }
}

void
PatchTransaction::Add(const Pointer& aPath, const json& aValue)
{
  if (aPath.empty()) {
    Replace(aPath, aValue);
    return;
  }
  const Pointer path = ResolveEndIndex(aPath);
  const json& parent = mDocument.at(path.parent_pointer());
  const bool replaces = parent.is_object() && parent.contains(path.back());
  const json undo = replaces
                      ? MakeOperation("replace", path, parent[path.back()])
                      : MakeOperation("remove", path);
  Execute(MakeOperation("add", path, aValue));
  mUndo.push_back(undo);
  RecordChange(path, replaces ? Change::Replace : Change::Add);
}

void
PatchTransaction::Remove(const Pointer& aPath)
{
  const json undo = MakeOperation("add", aPath, mDocument.at(aPath));
  Execute(MakeOperation("remove", aPath));
  mUndo.push_back(undo);
  RecordChange(aPath, Change::Remove);
}

void
PatchTransaction::Replace(const Pointer& aPath, const json& aValue)
{
  const json undo = MakeOperation("replace", aPath, mDocument.at(aPath));
  Execute(MakeOperation("replace", aPath, aValue));
  mUndo.push_back(undo);
  RecordChange(aPath, Change::Replace);
}

json
PatchTransaction::CopyValue(const Pointer& aPath)
{
  const json& value = mDocument.at(aPath);
  mCopiedValues += CountValues(value);
  if (mCopiedValues > kMaxCopiedValues) {
    throw ConfigError(kMalformedPatch,
                      aPath.to_string(),
                      absl::StrCat("a patch may copy and move at most ",
                                   kMaxCopiedValues,
                                   " JSON values; split the patch"));
  }
  return value;
}

PatchTransaction::Pointer
PatchTransaction::ResolveEndIndex(const Pointer& aPath) const
{
  const json& parent = mDocument.at(aPath.parent_pointer());
  // nlohmann::json does not report an addition to a value that is neither an
  // object nor an array.
  if (!parent.is_structured()) {
    throw ConfigError(kOperationFailed,
                      aPath.to_string(),
                      "the parent is neither an object nor an array; correct "
                      "the path");
  }
  return parent.is_array() && aPath.back() == "-"
           ? aPath.parent_pointer() / parent.size()
           : aPath;
}

void
PatchTransaction::RecordChange(const Pointer& aPath, Change aChange)
{
  const std::vector<std::string> elements = PathElements(aPath);
  if (elements.empty() || (elements.size() == 1 && elements[0] == "services")) {
    mReplacesAllServices = true;
  }
  if (mReplacesAllServices || elements[0] != "services") {
    return;
  }
  // The operation has succeeded, so the path element should be an index in
  // range. If it is not a number, the whole document is checked again.
  size_t index = 0;
  if (!absl::SimpleAtoi(elements[1], &index)) {
    mReplacesAllServices = true;
    return;
  }
  const auto at = mPreviousIndices.begin() + static_cast<ptrdiff_t>(index);
  if (elements.size() > 2 || aChange == Change::Replace) {
    *at = std::nullopt;
  } else if (aChange == Change::Add) {
    mPreviousIndices.insert(at, std::nullopt);
  } else {
    mPreviousIndices.erase(at);
  }
}

void
PatchTransaction::Execute(const json& aOperation)
{
  mDocument.patch_inplace(json::array({ aOperation }));
}

} // namespace foxtail::config

#include "foxtail/config/Chain.h"

#include <algorithm>
#include <cassert>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"

namespace foxtail::config {

namespace {

using nlohmann::json;

constexpr int kMalformedPatch = 220;
constexpr int kWrongVersion = 222;
constexpr int kMalformedBase = 230;
constexpr int kMalformedList = 231;
constexpr int kMalformedAnswer = 232;
// Limit of the patch text retained for peers, in bytes. A peer that is further
// behind gets the complete document.
constexpr size_t kMaxRetainedBytes = size_t{ 1 } << 20;
constexpr size_t kDigestDigits = 16;

// Returns the member aKey of aValue. Throws ConfigError aErrorId if the key is
// missing. The error names aValue as aValueName.
const json&
RequireKey(const json& aValue,
           const char* aKey,
           int aErrorId,
           const char* aValueName)
{
  const auto it = aValue.is_object() ? aValue.find(aKey) : aValue.end();
  if (it == aValue.end()) {
    throw ConfigError(aErrorId,
                      absl::StrCat(aValueName, "/", aKey),
                      "missing; docs/PROTOCOLS.md describes the format");
  }
  return *it;
}

uint64_t
RequireNumber(const json& aValue,
              const char* aKey,
              int aErrorId,
              const char* aValueName)
{
  const json& value = RequireKey(aValue, aKey, aErrorId, aValueName);
  if (!value.is_number_unsigned()) {
    throw ConfigError(aErrorId,
                      absl::StrCat(aValueName, "/", aKey),
                      "expected a non-negative integer");
  }
  return value.get<uint64_t>();
}

uint64_t
RequireDigest(const json& aValue, const char* aValueName)
{
  const json& value = RequireKey(aValue, "digest", kMalformedBase, aValueName);
  const auto digest = value.is_string()
                        ? ParseDigest(value.get_ref<const std::string&>())
                        : std::nullopt;
  if (!digest) {
    throw ConfigError(kMalformedBase,
                      absl::StrCat(aValueName, "/digest"),
                      "expected 16 lower-case hexadecimal digits");
  }
  return *digest;
}

// The text of a published entry, identical in every process, because versions
// are identified by a digest of these texts.
std::string
CanonicalText(const json& aEntry)
{
  return aEntry.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
RequireEntryShape(const json& aEntry)
{
  const bool ok = aEntry.is_object() && aEntry.size() == 2 &&
                  aEntry.contains("patch") && aEntry.contains("against") &&
                  aEntry["against"].is_number_unsigned();
  if (!ok) {
    throw ConfigError(kMalformedPatch,
                      "/",
                      "expected {\"against\": VERSION, \"patch\": [RFC 6902 "
                      "operations]} and no other key");
  }
}

void
RequireVersion(const json& aEntry, uint64_t aCurrent)
{
  const uint64_t against = aEntry["against"].get<uint64_t>();
  if (against != aCurrent) {
    throw ConfigError(kWrongVersion,
                      "/against",
                      absl::StrCat("written against version ",
                                   against,
                                   " but the current version is ",
                                   aCurrent,
                                   "; write it against ",
                                   aCurrent,
                                   ", check it and publish it again"));
  }
}

json
ParseAnswerText(const std::string& aText, size_t aMaxBytes)
{
  std::string reason;
  auto value = ParseBoundedJson(aText, aMaxBytes, reason);
  if (!value) {
    throw ConfigError(kMalformedAnswer, "peer answer", reason);
  }
  return std::move(*value);
}

std::string
VersionText(const ChainPoint& aPoint)
{
  return absl::StrCat("version ",
                      aPoint.mVersion.mNumber,
                      " with digest ",
                      DigestText(aPoint.mVersion.mDigest));
}

} // namespace

bool
ChainPoint::IsNewerThan(const ChainPoint& aOther) const
{
  return mVersion.mNumber != aOther.mVersion.mNumber
           ? mVersion.mNumber > aOther.mVersion.mNumber
           : mPosition > aOther.mPosition;
}

Base
Base::FromJson(json aValue)
{
  constexpr const char* kValueName = "config.base";
  Base base;
  base.mPoint.mVersion.mNumber =
    RequireNumber(aValue, "number", kMalformedBase, kValueName);
  base.mPoint.mVersion.mDigest = RequireDigest(aValue, kValueName);
  base.mPoint.mPosition =
    RequireNumber(aValue, "position", kMalformedBase, kValueName);
  RequireKey(aValue, "config", kMalformedBase, kValueName);
  if (base.mPoint.mVersion.mNumber == 0) {
    throw ConfigError(kMalformedBase,
                      "config.base/number",
                      "expected 1 or greater; 0 stands for no version");
  }
  if (aValue.size() != 4) {
    throw ConfigError(kMalformedBase,
                      kValueName,
                      "unknown key; known here are: number, digest, position, "
                      "config");
  }
  base.mConfig = std::move(aValue["config"]);
  return base;
}

json
Base::ToJson() const
{
  return { { "number", mPoint.mVersion.mNumber },
           { "digest", DigestText(mPoint.mVersion.mDigest) },
           { "position", mPoint.mPosition },
           { "config", mConfig } };
}

PatchList
PatchList::FromJson(json aValue)
{
  constexpr const char* kValueName = "config.patches";
  PatchList list;
  list.mFirst = RequireNumber(aValue, "first", kMalformedList, kValueName);
  const json& patches =
    RequireKey(aValue, "patches", kMalformedList, kValueName);
  if (!patches.is_array()) {
    throw ConfigError(
      kMalformedList, "config.patches/patches", "expected a list of patches");
  }
  if (patches.size() > UINT64_MAX - list.mFirst) {
    throw ConfigError(
      kMalformedList,
      "config.patches/first",
      "the position of the last patch exceeds 64 bits; expected "
      "a smaller position");
  }
  list.mEntries = std::move(aValue["patches"]).get<std::vector<json>>();
  return list;
}

OfferResult
Chain::Offer(const Base& aBase)
{
  return Adopt(aBase.mPoint, aBase.mConfig);
}

OfferResult
Chain::Adopt(const ChainPoint& aPoint, const json& aConfig)
{
  const uint64_t currentNumber = mPoint.mVersion.mNumber;
  if (aPoint.mVersion.mNumber == currentNumber &&
      aPoint.mVersion.mDigest != mPoint.mVersion.mDigest) {
    return Conflict{ aPoint,
                     absl::StrCat("another document has the same number as ",
                                  VersionText(mPoint)) };
  }
  if (aPoint == mPoint) {
    return Unchanged{};
  }
  if (!aPoint.IsNewerThan(mPoint)) {
    return OlderIgnored{ aPoint };
  }
  Advanced result;
  if (aPoint.mVersion.mNumber != currentNumber) {
    mDocument = Document(aConfig);
    mCurrent = mDocument.MakeSnapshot(aPoint.mVersion);
    result.mAccepted.push_back(aPoint.mVersion);
  }
  mPoint = aPoint;
  mRetainedPatches.clear();
  mRetainedBytes = 0;
  mVersionBeforeRetained = aPoint.mVersion;
  return result;
}

OfferResult
Chain::Offer(const PatchList& aPatches)
{
  const uint64_t end = aPatches.mFirst + aPatches.mEntries.size();
  if (mCurrent == nullptr || aPatches.mFirst > mPoint.mPosition) {
    return Gap{ mPoint.mPosition, aPatches.mFirst };
  }
  if (const auto position = FindConflict(aPatches)) {
    return Conflict{ { {}, end },
                     absl::StrCat("the patch published at position ",
                                  *position,
                                  " differs from the one processed before") };
  }
  if (end < mPoint.mPosition) {
    return OlderIgnored{ { {}, end } };
  }
  if (end == mPoint.mPosition) {
    return Unchanged{};
  }
  Advanced result;
  ProcessNewEntries(aPatches, result);
  return result;
}

OfferResult
Chain::Offer(const ChainAnswer& aAnswer)
{
  if (aAnswer.IsEmpty()) {
    return Unchanged{};
  }
  if (!aAnswer.mDocument.empty()) {
    // Adopt ignores the document unless its version number is greater, so it is
    // parsed only then.
    const bool isNewer =
      aAnswer.mPoint.mVersion.mNumber > mPoint.mVersion.mNumber;
    return Adopt(aAnswer.mPoint,
                 isNewer ? ParseAnswerText(aAnswer.mDocument, kMaxDocumentBytes)
                         : json());
  }
  return OfferPatches(aAnswer);
}

OfferResult
Chain::ClassifyOldAnswer(const ChainPoint& aPoint) const
{
  if (aPoint == mPoint) {
    return Unchanged{};
  }
  const bool contradicts =
    aPoint.mVersion.mNumber > mPoint.mVersion.mNumber ||
    (aPoint.mVersion.mNumber == mPoint.mVersion.mNumber &&
     aPoint.mVersion.mDigest != mPoint.mVersion.mDigest);
  if (contradicts) {
    return Conflict{ aPoint,
                     absl::StrCat(
                       "a peer reports ",
                       VersionText(aPoint),
                       " at a position where this process had at most ",
                       VersionText(mPoint)) };
  }
  return OlderIgnored{ aPoint };
}

OfferResult
Chain::OfferPatches(const ChainAnswer& aAnswer)
{
  const uint64_t end = aAnswer.mPoint.mPosition;
  if (aAnswer.mPatches.size() > end) {
    throw ConfigError(kMalformedAnswer,
                      "peer answer",
                      "more patches than are published before the position of "
                      "the answer");
  }
  if (end <= mPoint.mPosition) {
    return ClassifyOldAnswer(aAnswer.mPoint);
  }
  PatchList list;
  list.mFirst = end - aAnswer.mPatches.size();
  for (const std::string& it : aAnswer.mPatches) {
    list.mEntries.push_back(ParseAnswerText(it, kMaxValueBytes));
  }
  // Apply the patches to a copy, and accept it only if it reaches the version
  // that the answer claims.
  Chain trial = *this;
  OfferResult result = trial.Offer(list);
  if (!std::holds_alternative<Advanced>(result)) {
    return result;
  }
  if (!(trial.mPoint == aAnswer.mPoint)) {
    return Conflict{ aAnswer.mPoint,
                     absl::StrCat("a peer's patches lead to ",
                                  VersionText(trial.mPoint),
                                  ", not to its ",
                                  VersionText(aAnswer.mPoint)) };
  }
  *this = std::move(trial);
  return result;
}

ChainAnswer
Chain::Answer(const ChainPoint& aHave) const
{
  ChainAnswer answer;
  answer.mPoint = mPoint;
  if (mCurrent == nullptr || !mPoint.IsNewerThan(aHave)) {
    return answer;
  }
  const bool hasPatchesSince = aHave.mVersion.mNumber != 0 &&
                               aHave.mPosition >= FirstRetainedPosition() &&
                               aHave.mPosition <= mPoint.mPosition &&
                               VersionAt(aHave.mPosition) == aHave.mVersion;
  if (hasPatchesSince) {
    for (uint64_t it = aHave.mPosition; it < mPoint.mPosition; ++it) {
      answer.mPatches.push_back(
        mRetainedPatches[it - FirstRetainedPosition()].mText);
    }
    return answer;
  }
  if (mPoint.mVersion.mNumber > aHave.mVersion.mNumber ||
      mPoint.mVersion == aHave.mVersion) {
    answer.mDocument = CanonicalText(mDocument.ToJson());
  }
  return answer;
}

std::optional<uint64_t>
Chain::FindConflict(const PatchList& aPatches) const
{
  const uint64_t begin = std::max(aPatches.mFirst, FirstRetainedPosition());
  const uint64_t end =
    std::min(aPatches.mFirst + aPatches.mEntries.size(), mPoint.mPosition);
  for (uint64_t it = begin; it < end; ++it) {
    const json& entry = aPatches.mEntries[it - aPatches.mFirst];
    if (CanonicalText(entry) !=
        mRetainedPatches[it - FirstRetainedPosition()].mText) {
      return it;
    }
  }
  return std::nullopt;
}

void
Chain::ProcessNewEntries(const PatchList& aPatches, Advanced& aResult)
{
  const size_t skip = mPoint.mPosition - aPatches.mFirst;
  for (size_t it = skip; it < aPatches.mEntries.size(); ++it) {
    ProcessEntry(aPatches.mEntries[it], aResult);
  }
  if (!aResult.mAccepted.empty()) {
    mCurrent = mDocument.MakeSnapshot(mPoint.mVersion);
  }
}

void
Chain::ProcessEntry(const json& aEntry, Advanced& aResult)
{
  std::string text = CanonicalText(aEntry);
  try {
    RequireEntryShape(aEntry);
    RequireVersion(aEntry, mPoint.mVersion.mNumber);
    mDocument.Apply(aEntry["patch"]);
    ++mPoint.mVersion.mNumber;
    mPoint.mVersion.mDigest = StableHash(text, mPoint.mVersion.mDigest);
    aResult.mAccepted.push_back(mPoint.mVersion);
  } catch (const ConfigError& e) {
    aResult.mRefused.push_back({ mPoint.mPosition, e.Id(), e.what() });
  }
  ++mPoint.mPosition;
  mRetainedBytes += text.size();
  mRetainedPatches.push_back({ std::move(text), mPoint.mVersion });
  while (mRetainedBytes > kMaxRetainedBytes) {
    DropOldestRetained();
  }
}

void
Chain::DropOldestRetained()
{
  mRetainedBytes -= mRetainedPatches.front().mText.size();
  mVersionBeforeRetained = mRetainedPatches.front().mVersionAfter;
  mRetainedPatches.pop_front();
}

const Version&
Chain::VersionAt(uint64_t aPosition) const
{
  assert(aPosition >= FirstRetainedPosition() && aPosition <= mPoint.mPosition);
  const size_t index = aPosition - FirstRetainedPosition();
  return index == 0 ? mVersionBeforeRetained
                    : mRetainedPatches[index - 1].mVersionAfter;
}

std::string
DigestText(uint64_t aDigest)
{
  return absl::StrCat(absl::Hex(aDigest, absl::kZeroPad16));
}

std::optional<uint64_t>
ParseDigest(std::string_view aText)
{
  uint64_t digest = 0;
  const absl::string_view text(aText.data(), aText.size());
  const bool ok = aText.size() == kDigestDigits &&
                  absl::SimpleHexAtoi(text, &digest) &&
                  DigestText(digest) == aText;
  return ok ? std::optional(digest) : std::nullopt;
}

} // namespace foxtail::config

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
// Patches kept for peers, in bytes of text; a peer further behind gets the
// whole document.
constexpr size_t kMaxKeptBytes = size_t{ 1 } << 20;
constexpr size_t kDigestDigits = 16;

const json&
Key(const json& aValue, const char* aKey, int aErrorId, const char* aWhat)
{
  const auto it = aValue.is_object() ? aValue.find(aKey) : aValue.end();
  if (it == aValue.end()) {
    throw ConfigError(aErrorId,
                      absl::StrCat(aWhat, "/", aKey),
                      "missing; expected as docs/PROTOCOLS.md has it");
  }
  return *it;
}

uint64_t
Number(const json& aValue, const char* aKey, int aErrorId, const char* aWhat)
{
  const json& value = Key(aValue, aKey, aErrorId, aWhat);
  if (!value.is_number_unsigned()) {
    throw ConfigError(aErrorId,
                      absl::StrCat(aWhat, "/", aKey),
                      "expected an integer that is not negative");
  }
  return value.get<uint64_t>();
}

uint64_t
Digest(const json& aValue, const char* aWhat)
{
  const json& value = Key(aValue, "digest", kMalformedBase, aWhat);
  const auto digest = value.is_string()
                        ? ParseDigest(value.get_ref<const std::string&>())
                        : std::nullopt;
  if (!digest) {
    throw ConfigError(kMalformedBase,
                      absl::StrCat(aWhat, "/digest"),
                      "expected 16 lower-case hexadecimal digits");
  }
  return *digest;
}

// The same text in every process for the same published entry.
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
                                   " but meets version ",
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
NumberText(const ChainPoint& aPoint)
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
  constexpr const char* kWhat = "config.base";
  Base base;
  base.mPoint.mVersion.mNumber =
    Number(aValue, "number", kMalformedBase, kWhat);
  base.mPoint.mVersion.mDigest = Digest(aValue, kWhat);
  base.mPoint.mPosition = Number(aValue, "position", kMalformedBase, kWhat);
  Key(aValue, "config", kMalformedBase, kWhat);
  if (base.mPoint.mVersion.mNumber == 0) {
    throw ConfigError(kMalformedBase,
                      "config.base/number",
                      "expected 1 or greater; 0 stands for no version");
  }
  if (aValue.size() != 4) {
    throw ConfigError(kMalformedBase,
                      kWhat,
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
  constexpr const char* kWhat = "config.patches";
  PatchList list;
  list.mFirst = Number(aValue, "first", kMalformedList, kWhat);
  const json& patches = Key(aValue, "patches", kMalformedList, kWhat);
  if (!patches.is_array()) {
    throw ConfigError(
      kMalformedList, "config.patches/patches", "expected a list of patches");
  }
  if (patches.size() > UINT64_MAX - list.mFirst) {
    throw ConfigError(
      kMalformedList, "config.patches/first", "expected a smaller position");
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
  const uint64_t ours = mPoint.mVersion.mNumber;
  if (aPoint.mVersion.mNumber == ours &&
      aPoint.mVersion.mDigest != mPoint.mVersion.mDigest) {
    return Conflict{ aPoint,
                     absl::StrCat("another document claims the number of ",
                                  NumberText(mPoint)) };
  }
  if (aPoint == mPoint) {
    return Unchanged{};
  }
  if (!aPoint.IsNewerThan(mPoint)) {
    return OlderIgnored{ aPoint };
  }
  Advanced result;
  if (aPoint.mVersion.mNumber != ours) {
    mDocument = Document(aConfig);
    mCurrent = mDocument.MakeSnapshot(aPoint.mVersion);
    result.mAccepted.push_back(aPoint.mVersion);
  }
  mPoint = aPoint;
  mKept.clear();
  mKeptBytes = 0;
  mBeforeKept = aPoint.mVersion;
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
                                  " is not the one that was read there") };
  }
  if (end < mPoint.mPosition) {
    return OlderIgnored{ { {}, end } };
  }
  if (end == mPoint.mPosition) {
    return Unchanged{};
  }
  Advanced result;
  ReadFrom(aPatches, result);
  return result;
}

OfferResult
Chain::Offer(const ChainAnswer& aAnswer)
{
  if (aAnswer.IsEmpty()) {
    return Unchanged{};
  }
  if (!aAnswer.mDocument.empty()) {
    // A document that would not be taken need not be read.
    const bool isRead =
      aAnswer.mPoint.mVersion.mNumber > mPoint.mVersion.mNumber;
    return Adopt(aAnswer.mPoint,
                 isRead ? ParseAnswerText(aAnswer.mDocument, kMaxDocumentBytes)
                        : json());
  }
  return OfferPatches(aAnswer);
}

OfferResult
Chain::JudgeRead(const ChainPoint& aPoint) const
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
                     absl::StrCat("a peer claims ",
                                  NumberText(aPoint),
                                  " after patches that led to ",
                                  NumberText(mPoint)) };
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
                      "expected no more patches than its position counts");
  }
  if (end <= mPoint.mPosition) {
    return JudgeRead(aAnswer.mPoint);
  }
  PatchList list;
  list.mFirst = end - aAnswer.mPatches.size();
  for (const std::string& it : aAnswer.mPatches) {
    list.mEntries.push_back(ParseAnswerText(it, kMaxValueBytes));
  }
  // The answer names the version that it leads to; take it only if it does.
  Chain trial = *this;
  OfferResult result = trial.Offer(list);
  if (!std::holds_alternative<Advanced>(result)) {
    return result;
  }
  if (!(trial.mPoint == aAnswer.mPoint)) {
    return Conflict{ aAnswer.mPoint,
                     absl::StrCat("a peer's patches lead to ",
                                  NumberText(trial.mPoint),
                                  ", not to its ",
                                  NumberText(aAnswer.mPoint)) };
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
  const bool bridges = aHave.mVersion.mNumber != 0 &&
                       aHave.mPosition >= FirstKept() &&
                       aHave.mPosition <= mPoint.mPosition &&
                       VersionAt(aHave.mPosition) == aHave.mVersion;
  if (bridges) {
    for (uint64_t it = aHave.mPosition; it < mPoint.mPosition; ++it) {
      answer.mPatches.push_back(mKept[it - FirstKept()].mText);
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
  const uint64_t begin = std::max(aPatches.mFirst, FirstKept());
  const uint64_t end =
    std::min(aPatches.mFirst + aPatches.mEntries.size(), mPoint.mPosition);
  for (uint64_t it = begin; it < end; ++it) {
    const json& entry = aPatches.mEntries[it - aPatches.mFirst];
    if (CanonicalText(entry) != mKept[it - FirstKept()].mText) {
      return it;
    }
  }
  return std::nullopt;
}

void
Chain::ReadFrom(const PatchList& aPatches, Advanced& aResult)
{
  const size_t skip = mPoint.mPosition - aPatches.mFirst;
  for (size_t it = skip; it < aPatches.mEntries.size(); ++it) {
    Read(aPatches.mEntries[it], aResult);
  }
  if (!aResult.mAccepted.empty()) {
    mCurrent = mDocument.MakeSnapshot(mPoint.mVersion);
  }
}

void
Chain::Read(const json& aEntry, Advanced& aResult)
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
  mKeptBytes += text.size();
  mKept.push_back({ std::move(text), mPoint.mVersion });
  while (mKeptBytes > kMaxKeptBytes) {
    DropOldest();
  }
}

void
Chain::DropOldest()
{
  mKeptBytes -= mKept.front().mText.size();
  mBeforeKept = mKept.front().mAfter;
  mKept.pop_front();
}

const Version&
Chain::VersionAt(uint64_t aPosition) const
{
  assert(aPosition >= FirstKept() && aPosition <= mPoint.mPosition);
  const size_t index = aPosition - FirstKept();
  return index == 0 ? mBeforeKept : mKept[index - 1].mAfter;
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

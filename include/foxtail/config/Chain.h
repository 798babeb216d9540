#ifndef foxtail_config_Chain_h
#define foxtail_config_Chain_h

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "nlohmann/json.hpp"

#include "foxtail/config/Document.h"
#include "foxtail/config/Model.h"

namespace foxtail::config {

// The largest document that is taken from a peer, in bytes; patches can make a
// document larger than a value of the platform.
constexpr size_t kMaxDocumentBytes = size_t{ 8 } << 20;

// How far a process has come: the version in force and the number of
// published patches read, refused ones included. Number zero stands for no
// version yet.
struct ChainPoint
{
  Version mVersion;
  uint64_t mPosition = 0;

  // Greater version number, or the same with more patches read.
  bool IsNewerThan(const ChainPoint& aOther) const;

  friend bool operator==(const ChainPoint& a, const ChainPoint& b)
  {
    return a.mVersion == b.mVersion && a.mPosition == b.mPosition;
  }
};

// A whole configuration, the platform's value config.base.
struct Base
{
  ChainPoint mPoint;
  nlohmann::json mConfig;

  // Throws ConfigError 230 naming the key that is wrong.
  static Base FromJson(nlohmann::json aValue);
  nlohmann::json ToJson() const;
};

// Published patches in their order, the platform's value config.patches. An
// entry stays as published: whether it is well formed is part of its verdict.
struct PatchList
{
  // Position of the first entry.
  uint64_t mFirst = 0;
  std::vector<nlohmann::json> mEntries;

  // Throws ConfigError 231 naming the key that is wrong.
  static PatchList FromJson(nlohmann::json aValue);
};

// What one process gives another: either the patches that lead from the
// asker's point to mPoint, or a whole document, or neither when it has
// nothing newer.
struct ChainAnswer
{
  ChainPoint mPoint;
  // JSON text of the document at mPoint.
  std::string mDocument;
  // JSON text of each published patch, the last one at mPoint.
  std::vector<std::string> mPatches;

  bool IsEmpty() const { return mDocument.empty() && mPatches.empty(); }
};

// A patch that was read and not applied.
struct RefusedPatch
{
  uint64_t mPosition = 0;
  // Number of the ConfigError that speaks against it.
  int mErrorId = 0;
  // What is wrong, where, and what to change.
  std::string mReason;
};

// The chain moved on: the versions now accepted, oldest first, and the patches
// refused on the way.
struct Advanced
{
  std::vector<Version> mAccepted;
  std::vector<RefusedPatch> mRefused;
};
// Just what is in force already.
struct Unchanged
{};
// Older than what is in force; ignored.
struct OlderIgnored
{
  ChainPoint mOffered;
};
// Patches between what is in force and the offer are missing; fetch the base
// or ask a peer.
struct Gap
{
  uint64_t mPosition = 0;
  uint64_t mFirstOffered = 0;
};
// The offer contradicts what was accepted before; ignored, and worth an
// operator's attention.
struct Conflict
{
  ChainPoint mOffered;
  std::string mReason;
};

using OfferResult =
  std::variant<Advanced, Unchanged, OlderIgnored, Gap, Conflict>;

// The accepted versions of one process. Acceptance is a function of the
// published order alone, so every process that has read as far holds the same
// version. Never goes back: whatever is offered, Point() only grows. An offer
// that throws changes nothing.
class Chain
{
public:
  const ChainPoint& Point() const { return mPoint; }

  // The version in force; null before the first one.
  const SnapshotPtr& Current() const { return mCurrent; }

  const Document& CurrentDocument() const { return mDocument; }

  // From the platform. Throws the errors of Document for a newer base that is
  // not a valid document.
  OfferResult Offer(const Base& aBase);

  // From the platform. Reads the patches that are new and gives each its
  // verdict.
  OfferResult Offer(const PatchList& aPatches);

  // From a peer. Throws ConfigError 232 when a text in it is not JSON, and the
  // errors of Document for a newer whole document that is not valid.
  OfferResult Offer(const ChainAnswer& aAnswer);

  // What a process that has come as far as aHave is told.
  ChainAnswer Answer(const ChainPoint& aHave) const;

private:
  // A patch that was read, and the version in force after it.
  struct ReadPatch
  {
    std::string mText;
    Version mAfter;
  };

  OfferResult Adopt(const ChainPoint& aPoint, const nlohmann::json& aConfig);
  OfferResult OfferPatches(const ChainAnswer& aAnswer);
  // What a peer's patches are that end at aPoint, when all of them were read.
  OfferResult JudgeRead(const ChainPoint& aPoint) const;
  // The first published patch that differs from what was read at its
  // position; empty when all that are kept agree.
  std::optional<uint64_t> FindConflict(const PatchList& aPatches) const;
  void Read(const nlohmann::json& aEntry, Advanced& aResult);
  void ReadFrom(const PatchList& aPatches, Advanced& aResult);
  void DropOldest();
  uint64_t FirstKept() const { return mPoint.mPosition - mKept.size(); }
  // The version in force at a position not before FirstKept().
  const Version& VersionAt(uint64_t aPosition) const;

  ChainPoint mPoint;
  Document mDocument;
  SnapshotPtr mCurrent;
  // The latest patches read, for peers; mBeforeKept was in force before them.
  std::deque<ReadPatch> mKept;
  size_t mKeptBytes = 0;
  Version mBeforeKept;
};

// Text of a digest: 16 hexadecimal digits.
std::string
DigestText(uint64_t aDigest);

// Empty when aText is no digest.
std::optional<uint64_t>
ParseDigest(std::string_view aText);

} // namespace foxtail::config

#endif

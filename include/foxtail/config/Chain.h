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

// The largest document accepted from a peer, in bytes. Larger than
// kMaxValueBytes, because patches can make a document larger than one value of
// the platform.
constexpr size_t kMaxDocumentBytes = size_t{ 8 } << 20;

// The progress of a process: the version in force and the position up to which
// it has processed the published patches. Version number 0 means that the
// process has no version yet.
struct ChainPoint
{
  Version mVersion;
  // Number of published patches processed, including refused patches.
  uint64_t mPosition = 0;

  // True if the version number is greater, or if the version numbers are equal
  // and the position is greater.
  bool IsNewerThan(const ChainPoint& aOther) const;

  friend bool operator==(const ChainPoint& a, const ChainPoint& b)
  {
    return a.mVersion == b.mVersion && a.mPosition == b.mPosition;
  }
};

// A complete configuration document, published as the platform's value
// config.base.
struct Base
{
  ChainPoint mPoint;
  nlohmann::json mConfig;

  // Throws ConfigError 230 if a key is missing, malformed or unknown.
  static Base FromJson(nlohmann::json aValue);
  nlohmann::json ToJson() const;
};

// Published patches in their order, the platform's value config.patches. An
// entry is the JSON value of one published patch, well formed if it is
// {"against": VERSION, "patch": [RFC 6902 operations]}. Entries are kept as
// published: Chain refuses the malformed ones.
struct PatchList
{
  // Position of mEntries[0].
  uint64_t mFirst = 0;
  std::vector<nlohmann::json> mEntries;

  // Throws ConfigError 231, which names the malformed key. Entries are not
  // checked.
  static PatchList FromJson(nlohmann::json aValue);
};

// The answer to a peer that asks for a newer configuration: either the patches
// that lead from the peer's point to mPoint, or the complete document at
// mPoint, or neither. It is neither if the answering process has nothing newer,
// or has the same version number with another digest.
struct ChainAnswer
{
  // The point of the answering process.
  ChainPoint mPoint;
  // JSON text of the document at mPoint; empty if there is none.
  std::string mDocument;
  // JSON text of each published patch; applying the last one leads to mPoint.
  std::vector<std::string> mPatches;

  bool IsEmpty() const { return mDocument.empty() && mPatches.empty(); }
};

// A published patch that was not applied.
struct RefusedPatch
{
  uint64_t mPosition = 0;
  // Number of the ConfigError for which the patch was refused.
  int mErrorId = 0;
  // Text of the ConfigError: what is wrong, where, and what to change.
  std::string mReason;
};

// The offer advanced the chain.
struct Advanced
{
  // The newly accepted versions, oldest first.
  std::vector<Version> mAccepted;
  // The patches of the offer that were refused, in published order.
  std::vector<RefusedPatch> mRefused;
};
// The offer has nothing new: it ends at the current point, or it is an empty
// answer of a peer.
struct Unchanged
{};
// The offer ends before the current point and was ignored.
struct OlderIgnored
{
  // Has version 0 if the offer is a PatchList, which names no version.
  ChainPoint mOffered;
};
// The offered patches start after the current position, so the patches between
// are missing, or the chain has no base yet. Fetch the base or ask a peer.
struct Gap
{
  // The current position.
  uint64_t mPosition = 0;
  // Position of the first offered patch.
  uint64_t mFirstOffered = 0;
};
// The offer contradicts the accepted history. It was ignored, and an operator
// should look into it.
struct Conflict
{
  // Has version 0 if the offer is a PatchList, which names no version.
  ChainPoint mOffered;
  std::string mReason;
};

using OfferResult =
  std::variant<Advanced, Unchanged, OlderIgnored, Gap, Conflict>;

// The chain of configuration versions that one process has accepted. Whether a
// patch is accepted depends only on the published order, so all processes at
// the same position hold the same version. Point() never goes back, whatever is
// offered. An offer that throws changes nothing.
class Chain
{
public:
  // The version in force and the position reached.
  const ChainPoint& Point() const { return mPoint; }

  // The version in force; null before the first version.
  const SnapshotPtr& Current() const { return mCurrent; }

  // The document of the version in force.
  const Document& CurrentDocument() const { return mDocument; }

  // Offers a base from the platform. Throws the errors of Document if the base
  // is newer and its document is not valid.
  OfferResult Offer(const Base& aBase);

  // Offers patches from the platform. Applies or refuses each patch beyond the
  // current position.
  OfferResult Offer(const PatchList& aPatches);

  // Offers the answer of a peer. Throws ConfigError 232 if a text in the answer
  // is not JSON or the answer has more patches than its position allows, and
  // the errors of Document if its document is newer and not valid.
  OfferResult Offer(const ChainAnswer& aAnswer);

  // The answer to a peer whose point is aHave.
  ChainAnswer Answer(const ChainPoint& aHave) const;

private:
  // The canonical text of a published patch that was applied or refused.
  struct ProcessedPatch
  {
    std::string mText;
    // The version in force after the patch.
    Version mVersionAfter;
  };

  // Moves to aPoint if it is newer than the current point. Uses aConfig only if
  // the version number is greater.
  OfferResult Adopt(const ChainPoint& aPoint, const nlohmann::json& aConfig);
  // Offers the patches of a peer's answer. All of them or none are applied.
  OfferResult OfferPatches(const ChainAnswer& aAnswer);
  // The result for a peer's answer with patches whose position, that of aPoint,
  // is not greater than the current position.
  OfferResult ClassifyOldAnswer(const ChainPoint& aPoint) const;
  // Position of the first offered patch that differs from the retained patch at
  // the same position; empty if there is none.
  std::optional<uint64_t> FindConflict(const PatchList& aPatches) const;
  // Applies or refuses one published patch and advances the position.
  void ProcessEntry(const nlohmann::json& aEntry, Advanced& aResult);
  // Processes the entries from the current position on.
  void ProcessNewEntries(const PatchList& aPatches, Advanced& aResult);
  void DropOldestRetained();
  uint64_t FirstRetainedPosition() const
  {
    return mPoint.mPosition - mRetainedPatches.size();
  }
  // The version in force at aPosition, which must not be before
  // FirstRetainedPosition().
  const Version& VersionAt(uint64_t aPosition) const;

  ChainPoint mPoint;
  Document mDocument;
  SnapshotPtr mCurrent;
  // The latest processed patches, kept for answers to peers.
  std::deque<ProcessedPatch> mRetainedPatches;
  size_t mRetainedBytes = 0;
  // The version in force before mRetainedPatches.
  Version mVersionBeforeRetained;
};

// The digest as 16 lower-case hexadecimal digits.
std::string
DigestText(uint64_t aDigest);

// Empty if aText is not a digest in the form of DigestText.
std::optional<uint64_t>
ParseDigest(std::string_view aText);

} // namespace foxtail::config

#endif

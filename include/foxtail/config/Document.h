#ifndef foxtail_config_Document_h
#define foxtail_config_Document_h

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "nlohmann/json.hpp"

#include "foxtail/config/Model.h"

namespace foxtail::config {

// The largest value that the platform holds, in bytes.
constexpr size_t kMaxValueBytes = size_t{ 1 } << 20;
// Sizes that one document may have.
constexpr size_t kMaxServices = 4000;
constexpr size_t kMaxUpstreams = 40000;

// A checked configuration document that patches can be applied to. A patch
// costs what it touches, not what the document holds.
//
// Errors are ConfigError: 203 unknown key, 204 missing key, 205 wrong unit,
// 206 wrong type, 207 out of range, 208 bad format, 210 name used twice, 211
// address used twice, 212 service without upstreams, 213 two names with the
// same id, 214 too large, 220 malformed patch, 221 patch operation failed.
class Document
{
public:
  // An empty document: no services.
  Document();

  // Checks the whole of aJson against schema and rules.
  explicit Document(nlohmann::json aJson);

  // Applies the operations of an RFC 6902 patch. On an error the document is
  // as it was before.
  void Apply(const nlohmann::json& aOperations);

  SnapshotPtr MakeSnapshot(Version aVersion) const;

  const nlohmann::json& ToJson() const { return mJson; }

private:
  // One service as parsed; mUpstreams of the service is unused here.
  struct Entry
  {
    Service mService;
    std::vector<Upstream> mUpstreams;
  };

  // Names, ids and addresses in use and how often.
  struct Index
  {
    absl::flat_hash_map<std::string, int> mServiceNames;
    absl::flat_hash_map<std::string, int> mUpstreamNames;
    absl::flat_hash_map<uint32_t, int> mUpstreamIds;
    absl::flat_hash_map<Address, int> mAddresses;
  };

  Entry ReadEntry(size_t aService) const;
  void Count(const Entry& aEntry, int aDelta);
  void RequireUnique(const Entry& aEntry, size_t aService) const;
  void RequireSizes(size_t aServices) const;
  // Takes over the services of mJson after a patch. aOrigins has for each its
  // place before, if it is unchanged.
  void Replace(const std::vector<std::optional<size_t>>& aOrigins);
  void RequireFresh(const std::vector<std::optional<size_t>>& aOrigins,
                    const std::vector<Entry>& aFresh) const;

  nlohmann::json mJson;
  std::vector<Entry> mEntries;
  Index mIndex;
  size_t mUpstreams = 0;
};

// Checks a whole document and makes the version aVersion of it; errors as
// Document.
SnapshotPtr
ParseDocument(const nlohmann::json& aJson, Version aVersion);

// Reads and checks the text of a whole document; errors as Document, and 201
// not JSON.
SnapshotPtr
ParseDocumentText(std::string_view aText, Version aVersion);

// The document that a snapshot was made of, with every default written out.
nlohmann::json
ToJson(const Snapshot& aSnapshot);

} // namespace foxtail::config

#endif

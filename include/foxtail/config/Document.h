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

// The largest value that the platform stores, in bytes.
constexpr size_t kMaxValueBytes = size_t{ 1 } << 20;
// Limits of one document.
constexpr size_t kMaxServices = 4000;
constexpr size_t kMaxUpstreams = 40000;

// A valid configuration document to which patches can be applied. Only the
// services that a patch changes are validated again, so the cost of a patch
// depends on its changes rather than on the size of the document.
//
// All errors are ConfigError: 203 unknown key, 204 missing key, 205 wrong unit,
// 206 wrong type, 207 out of range, 208 bad format, 210 name used twice, 211
// address used twice, 212 service without upstreams, 213 two
// upstream names with the same id, 214 too large, 220 malformed patch, 221
// patch operation failed.
class Document
{
public:
  // A document without services.
  Document();

  // Checks all of aJson against the schema and the rules of uniqueness and
  // size.
  explicit Document(nlohmann::json aJson);

  // Applies the operations of an RFC 6902 patch. An error leaves the document
  // unchanged.
  void Apply(const nlohmann::json& aOperations);

  SnapshotPtr MakeSnapshot(Version aVersion) const;

  const nlohmann::json& ToJson() const { return mJson; }

private:
  // One parsed service and its upstreams. Service::mUpstreams stays empty here;
  // MakeSnapshot fills it.
  struct ServiceEntry
  {
    Service mService;
    std::vector<Upstream> mUpstreams;
  };

  // How often each name, id and address is used in the document.
  struct UseCounts
  {
    absl::flat_hash_map<std::string, int> mServiceNames;
    absl::flat_hash_map<std::string, int> mUpstreamNames;
    absl::flat_hash_map<uint32_t, int> mUpstreamIds;
    absl::flat_hash_map<Address, int> mAddresses;
  };

  // Checks and parses the service at aServiceIndex in mJson.
  ServiceEntry ReadServiceEntry(size_t aServiceIndex) const;
  // Adds aDelta, 1 or -1, to the counts of everything that aEntry uses.
  void UpdateUseCounts(const ServiceEntry& aEntry, int aDelta);
  void RequireUnique(const ServiceEntry& aEntry, size_t aServiceIndex) const;
  void RequireSizes(size_t aServiceCount) const;
  // Updates mEntries and mUseCounts from mJson after a patch. aPreviousIndices
  // has for each service its index before the patch, or nothing if the patch
  // added or changed the service.
  void ReplaceServices(
    const std::vector<std::optional<size_t>>& aPreviousIndices);
  // Checks the sizes and that the added or changed services use no name, id or
  // address twice. aChanged has these services in document order.
  void RequireValidChanges(
    const std::vector<std::optional<size_t>>& aPreviousIndices,
    const std::vector<ServiceEntry>& aChanged) const;

  nlohmann::json mJson;
  std::vector<ServiceEntry> mEntries;
  UseCounts mUseCounts;
  size_t mUpstreamCount = 0;
};

// Checks a complete document and makes a snapshot of it as version aVersion.
// Throws the errors of Document.
SnapshotPtr
ParseDocument(const nlohmann::json& aJson, Version aVersion);

// The same for the JSON text of a document of at most kMaxValueBytes. Throws
// the errors of Document, and ConfigError 201 if the text is too long or not
// JSON.
SnapshotPtr
ParseDocumentText(std::string_view aText, Version aVersion);

// The document from which a snapshot was made, with all defaults written out.
nlohmann::json
ToJson(const Snapshot& aSnapshot);

} // namespace foxtail::config

#endif

#include "foxtail/config/Document.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "config/ConfigurationSchema.h"
#include "config/PatchTransaction.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"

namespace foxtail::config {

namespace {

using nlohmann::json;

constexpr int kNotJson = 201;
constexpr int kFirstSchemaFault = 203;
constexpr int kBadFormat = 208;
constexpr int kDuplicateName = 210;
constexpr int kDuplicateAddress = 211;
constexpr int kNoUpstreams = 212;
constexpr int kIdCollision = 213;
constexpr int kTooLarge = 214;

const json&
Schema()
{
  static const json sSchema = json::parse(kConfigurationSchema);
  return sSchema;
}

const json&
ServiceSchema()
{
  return Schema().at("properties").at("services").at("items");
}

void
RequireSchema(const SchemaCheck& aCheck,
              const json& aValue,
              const std::string& aPath)
{
  if (const auto fault = aCheck.FindFault(aValue)) {
    const std::string path = absl::StrCat(aPath, fault->mPath);
    throw ConfigError(kFirstSchemaFault + static_cast<int>(fault->mKind),
                      path.empty() ? "document" : path,
                      fault->mAdvice);
  }
}

// Checks everything except the contents of the services, which
// RequireServiceSchema checks one by one.
void
RequireRootSchema(const json& aJson)
{
  thread_local const SchemaCheck sCheck(kConfigurationSchema);
  const auto services =
    aJson.is_object() ? aJson.find("services") : aJson.end();
  if (services == aJson.end() || !services->is_array()) {
    RequireSchema(sCheck, aJson, "");
    return;
  }
  json root = json::object();
  for (const auto& it : aJson.items()) {
    root[it.key()] = it.key() == "services" ? json::array() : it.value();
  }
  RequireSchema(sCheck, root, "");
}

void
RequireServiceSchema(const json& aService, const std::string& aPath)
{
  thread_local const SchemaCheck sCheck(ServiceSchema().dump());
  RequireSchema(sCheck, aService, aPath);
}

std::string
ServicePath(size_t aIndex)
{
  return absl::StrCat("/services/", aIndex);
}

std::string
UpstreamPath(size_t aServiceIndex, size_t aIndex)
{
  return absl::StrCat(ServicePath(aServiceIndex), "/upstreams/", aIndex);
}

Address
ReadAddress(const json& aObject, const char* aKey, const std::string& aPath)
{
  const std::string& text = aObject.at(aKey).get_ref<const std::string&>();
  try {
    const Address address = Address::Parse(text);
    // Only the canonical spelling of an address is accepted.
    if (address.mPort != 0 && address.ToString() == text) {
      return address;
    }
  } catch (const NetError&) {
    // Reported below as a ConfigError.
  }
  throw ConfigError(
    kBadFormat,
    absl::StrCat(aPath, "/", aKey),
    absl::StrCat("expected an IPv4 address and port like 10.1.2.3:5683; "
                 "found \"",
                 text,
                 "\""));
}

uint32_t
UpstreamId(const std::string& aName)
{
  return static_cast<uint32_t>(StableHash(aName));
}

template<typename T>
T
ValueOr(const json& aObject, const json& aSchema, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it != aObject.end()
           ? it->get<T>()
           : aSchema.at("properties").at(aKey).at("default").get<T>();
}

Upstream
ReadUpstream(const json& aJson, const std::string& aPath)
{
  static const json& sSchema =
    ServiceSchema().at("properties").at("upstreams").at("items");
  Upstream upstream;
  upstream.mName = aJson.at("name");
  upstream.mDomain = aJson.at("domain");
  upstream.mAddress = ReadAddress(aJson, "address", aPath);
  upstream.mReportAddress = ReadAddress(aJson, "report_address", aPath);
  upstream.mSlots = aJson.at("slots");
  upstream.mMaxConnections =
    ValueOr<uint32_t>(aJson, sSchema, "max_connections");
  upstream.mDraining = ValueOr<bool>(aJson, sSchema, "draining");
  upstream.mId = UpstreamId(upstream.mName);
  return upstream;
}

Service
ReadService(const json& aJson, const std::string& aPath)
{
  Service service;
  service.mName = aJson.at("name");
  service.mAddress = ReadAddress(aJson, "address", aPath);
  service.mTimeout =
    milliseconds(ValueOr<int64_t>(aJson, ServiceSchema(), "timeout_ms"));
  service.mFlowIdle =
    milliseconds(ValueOr<int64_t>(aJson, ServiceSchema(), "flow_idle_ms"));
  return service;
}

template<typename Map, typename Key>
void
AddToCount(Map& aMap, const Key& aKey, int aDelta)
{
  const auto it = aMap.try_emplace(aKey, 0).first;
  it->second += aDelta;
  if (it->second == 0) {
    aMap.erase(it);
  }
}

[[noreturn]] void
ThrowDuplicate(int aId, const std::string& aPath, const std::string& aWhat)
{
  throw ConfigError(
    aId,
    aPath,
    absl::StrCat(aWhat,
                 " is used twice; give each service and upstream a name and "
                 "address of its own"));
}

} // namespace

Document::Document()
  : mJson({ { "services", json::array() } })
{
}

Document::Document(json aJson)
  : mJson(std::move(aJson))
{
  RequireRootSchema(mJson);
  const json& services = mJson.at("services");
  for (size_t it = 0; it < services.size(); ++it) {
    mEntries.push_back(ReadServiceEntry(it));
    UpdateUseCounts(mEntries.back(), 1);
  }
  RequireSizes(mEntries.size());
  for (size_t it = 0; it < mEntries.size(); ++it) {
    RequireUnique(mEntries[it], it);
  }
}

Document::ServiceEntry
Document::ReadServiceEntry(size_t aServiceIndex) const
{
  const json& service = mJson.at("services").at(aServiceIndex);
  const std::string path = ServicePath(aServiceIndex);
  RequireServiceSchema(service, path);
  ServiceEntry entry{ ReadService(service, path), {} };
  const json& upstreams = service.at("upstreams");
  if (upstreams.empty()) {
    throw ConfigError(kNoUpstreams,
                      absl::StrCat(path, "/upstreams"),
                      "a service needs an upstream; add one or remove the "
                      "service");
  }
  entry.mUpstreams.reserve(upstreams.size());
  for (size_t it = 0; it < upstreams.size(); ++it) {
    entry.mUpstreams.push_back(
      ReadUpstream(upstreams[it], UpstreamPath(aServiceIndex, it)));
  }
  return entry;
}

void
Document::UpdateUseCounts(const ServiceEntry& aEntry, int aDelta)
{
  AddToCount(mUseCounts.mServiceNames, aEntry.mService.mName, aDelta);
  AddToCount(mUseCounts.mAddresses, aEntry.mService.mAddress, aDelta);
  for (const Upstream& it : aEntry.mUpstreams) {
    AddToCount(mUseCounts.mUpstreamNames, it.mName, aDelta);
    AddToCount(mUseCounts.mUpstreamIds, it.mId, aDelta);
    AddToCount(mUseCounts.mAddresses, it.mAddress, aDelta);
    mUpstreamCount += static_cast<size_t>(aDelta);
  }
}

void
Document::RequireUnique(const ServiceEntry& aEntry, size_t aServiceIndex) const
{
  const std::string path = ServicePath(aServiceIndex);
  const Service& service = aEntry.mService;
  if (mUseCounts.mServiceNames.at(service.mName) > 1) {
    ThrowDuplicate(kDuplicateName, path + "/name", service.mName);
  }
  if (mUseCounts.mAddresses.at(service.mAddress) > 1) {
    ThrowDuplicate(
      kDuplicateAddress, path + "/address", service.mAddress.ToString());
  }
  for (size_t it = 0; it < aEntry.mUpstreams.size(); ++it) {
    const Upstream& upstream = aEntry.mUpstreams[it];
    const auto at = [&](const char* aKey) {
      return absl::StrCat(UpstreamPath(aServiceIndex, it), aKey);
    };
    if (mUseCounts.mUpstreamNames.at(upstream.mName) > 1) {
      ThrowDuplicate(kDuplicateName, at("/name"), upstream.mName);
    }
    if (mUseCounts.mAddresses.at(upstream.mAddress) > 1) {
      ThrowDuplicate(
        kDuplicateAddress, at("/address"), upstream.mAddress.ToString());
    }
    if (mUseCounts.mUpstreamIds.at(upstream.mId) > 1) {
      throw ConfigError(kIdCollision,
                        at("/name"),
                        absl::StrCat("the id hashed from ",
                                     upstream.mName,
                                     " equals the id of another upstream; "
                                     "choose another name"));
    }
  }
}

void
Document::RequireSizes(size_t aServiceCount) const
{
  if (aServiceCount > kMaxServices) {
    throw ConfigError(
      kTooLarge,
      "/services",
      absl::StrCat("expected at most ", kMaxServices, " services"));
  }
  if (mUpstreamCount > kMaxUpstreams) {
    throw ConfigError(kTooLarge,
                      "/services",
                      absl::StrCat("expected at most ",
                                   kMaxUpstreams,
                                   " upstreams in all services"));
  }
}

void
Document::Apply(const json& aOperations)
{
  PatchTransaction patch(mJson, mEntries.size());
  try {
    patch.Apply(aOperations);
    if (patch.ReplacesAllServices()) {
      *this = Document(mJson);
    } else {
      ReplaceServices(patch.PreviousIndices());
    }
  } catch (const ConfigError&) {
    patch.Revert();
    throw;
  }
}

void
Document::ReplaceServices(
  const std::vector<std::optional<size_t>>& aPreviousIndices)
{
  RequireRootSchema(mJson);
  // Parse all changed services before changing any member, so that a malformed
  // service leaves the document unchanged.
  std::vector<ServiceEntry> changed;
  std::vector<bool> isUnchanged(mEntries.size(), false);
  for (size_t it = 0; it < aPreviousIndices.size(); ++it) {
    if (aPreviousIndices[it]) {
      isUnchanged[*aPreviousIndices[it]] = true;
    } else {
      changed.push_back(ReadServiceEntry(it));
    }
  }
  std::vector<ServiceEntry> previous = std::exchange(mEntries, {});
  // With 1, replaces the counts of the previous services by those of the
  // changed services; -1 undoes this.
  const auto updateCounts = [&](int aDelta) {
    for (size_t it = 0; it < previous.size(); ++it) {
      if (!isUnchanged[it]) {
        UpdateUseCounts(previous[it], -aDelta);
      }
    }
    for (const ServiceEntry& it : changed) {
      UpdateUseCounts(it, aDelta);
    }
  };
  updateCounts(1);
  try {
    RequireValidChanges(aPreviousIndices, changed);
  } catch (const ConfigError&) {
    updateCounts(-1);
    mEntries = std::move(previous);
    throw;
  }
  auto next = changed.begin();
  for (const std::optional<size_t>& it : aPreviousIndices) {
    mEntries.push_back(std::move(it ? previous[*it] : *next++));
  }
}

void
Document::RequireValidChanges(
  const std::vector<std::optional<size_t>>& aPreviousIndices,
  const std::vector<ServiceEntry>& aChanged) const
{
  RequireSizes(aPreviousIndices.size());
  auto next = aChanged.begin();
  for (size_t it = 0; it < aPreviousIndices.size(); ++it) {
    if (!aPreviousIndices[it]) {
      RequireUnique(*next++, it);
    }
  }
}

SnapshotPtr
Document::MakeSnapshot(Version aVersion) const
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mVersion = aVersion;
  snapshot->mServices.reserve(mEntries.size());
  snapshot->mUpstreams.reserve(mUpstreamCount);
  for (const ServiceEntry& it : mEntries) {
    const auto index = static_cast<ServiceIndex>(snapshot->mServices.size());
    Service& service = snapshot->mServices.emplace_back(it.mService);
    for (const Upstream& u : it.mUpstreams) {
      service.mUpstreams.push_back(
        static_cast<UpstreamIndex>(snapshot->mUpstreams.size()));
      snapshot->mUpstreams.emplace_back(u).mService = index;
    }
  }
  return snapshot;
}

SnapshotPtr
ParseDocument(const json& aJson, Version aVersion)
{
  return Document(aJson).MakeSnapshot(aVersion);
}

SnapshotPtr
ParseDocumentText(std::string_view aText, Version aVersion)
{
  std::string reason;
  const auto value = ParseBoundedJson(aText, kMaxValueBytes, reason);
  if (!value) {
    throw ConfigError(kNotJson, "document", reason);
  }
  return ParseDocument(*value, aVersion);
}

json
ToJson(const Snapshot& aSnapshot)
{
  json services = json::array();
  for (const Service& s : aSnapshot.mServices) {
    json upstreams = json::array();
    for (const UpstreamIndex it : s.mUpstreams) {
      const Upstream& u = aSnapshot.mUpstreams[it];
      upstreams.push_back({ { "name", u.mName },
                            { "domain", u.mDomain },
                            { "address", u.mAddress.ToString() },
                            { "report_address", u.mReportAddress.ToString() },
                            { "slots", u.mSlots },
                            { "max_connections", u.mMaxConnections },
                            { "draining", u.mDraining } });
    }
    services.push_back({ { "name", s.mName },
                         { "address", s.mAddress.ToString() },
                         { "timeout_ms", s.mTimeout.count() },
                         { "flow_idle_ms", s.mFlowIdle.count() },
                         { "upstreams", std::move(upstreams) } });
  }
  return { { "services", std::move(services) } };
}

} // namespace foxtail::config

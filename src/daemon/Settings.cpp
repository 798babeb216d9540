#include "foxtail/daemon/Settings.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

#include "daemon/SettingsSchema.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

using config::SchemaCheck;
using nlohmann::json;

constexpr int kUnreadableFile = 101;
constexpr int kNotJson = 102;
// Errors 103 to 108 are in the order of config::FaultKind.
constexpr int kFirstSchemaFault = 103;
constexpr int kBadFormat = 108;
constexpr int kDuplicatePort = 109;
constexpr size_t kMaxSettingsBytes = size_t{ 64 } << 10;

const json&
Schema()
{
  static const json sSchema = json::parse(kSettingsSchema);
  return sSchema;
}

// Reads the keys of one section of the settings; an absent key has the default
// that the schema gives.
class Section
{
public:
  Section(const json& aSettings, const std::string& aName)
    : mValue(aSettings.value(aName, json::object()))
    , mSchema(Schema().at("properties").at(aName).at("properties"))
    , mPath(absl::StrCat("/", aName, "/"))
  {
  }

  template<typename T>
  T Get(const std::string& aKey) const
  {
    const auto it = mValue.find(aKey);
    return it != mValue.end() ? it->get<T>()
                              : mSchema.at(aKey).at("default").get<T>();
  }

  std::string Text(const std::string& aKey) const
  {
    return Get<std::string>(aKey);
  }

  uint16_t Port(const std::string& aKey) const { return Get<uint16_t>(aKey); }

  // Returns the value of aKey as an address. Throws SettingsError 108 if it is
  // malformed or its port is zero.
  Address Endpoint(const std::string& aKey) const
  {
    const std::string text = Text(aKey);
    const Address address = Parse(aKey, text);
    if (address.mPort == 0) {
      Fail(aKey, text);
    }
    return address;
  }

  // Returns the value of aKey, an IP address without a port. Address::Parse
  // requires a port, so port 0 is appended.
  uint32_t Ip(const std::string& aKey) const
  {
    return Parse(aKey, absl::StrCat(Text(aKey), ":0")).mIp;
  }

private:
  Address Parse(const std::string& aKey, const std::string& aText) const
  {
    try {
      const Address address = Address::Parse(aText);
      // Accepts only the canonical form of the address.
      if (address.ToString() == aText) {
        return address;
      }
    } catch (const NetError&) {
      // Reported by Fail as a SettingsError that names the key.
    }
    Fail(aKey, Text(aKey));
  }

  [[noreturn]] void Fail(const std::string& aKey,
                         const std::string& aText) const
  {
    const std::string expected = mSchema.at(aKey).at("description");
    throw SettingsError(
      kBadFormat,
      absl::StrCat(mPath, aKey),
      absl::StrCat("expected the ", expected, "; found \"", aText, "\""));
  }

  json mValue;
  const json& mSchema;
  std::string mPath;
};

PortSettings
ReadPorts(const Section& aSection)
{
  PortSettings ports;
  ports.mFabric = aSection.Port("fabric");
  ports.mHandoff = aSection.Port("handoff");
  ports.mPeer = aSection.Port("peer");
  ports.mAgent = aSection.Port("agent");
  ports.mLocal = aSection.Port("local");
  ports.mUpstream = aSection.Port("upstream");
  ports.mBalancerHttp = aSection.Port("balancer_http");
  ports.mAgentHttp = aSection.Port("agent_http");
  return ports;
}

void
RequireDistinctPorts(const Section& aSection)
{
  const std::array<const char*, 8> keys = { "fabric",        "handoff",
                                            "peer",          "agent",
                                            "local",         "upstream",
                                            "balancer_http", "agent_http" };
  std::map<uint16_t, const char*> usedPorts;
  for (const char* it : keys) {
    const auto [usedBy, isUnused] = usedPorts.emplace(aSection.Port(it), it);
    if (!isUnused) {
      throw SettingsError(
        kDuplicatePort,
        absl::StrCat("/ports/", it),
        absl::StrCat("port ",
                     usedBy->first,
                     " is already used by /ports/",
                     usedBy->second,
                     " (set or default value); every port must be different"));
    }
  }
}

Settings
ReadSettings(const json& aValue)
{
  const Section vm(aValue, "vm");
  const Section ports(aValue, "ports");
  const Section limits(aValue, "limits");
  const Section trace(aValue, "trace");
  Settings settings;
  settings.mVm.mName = vm.Text("name");
  settings.mVm.mRegion = vm.Text("region");
  settings.mVm.mDomain = vm.Text("domain");
  settings.mVm.mIp = vm.Ip("address");
  settings.mPorts = ReadPorts(ports);
  settings.mPlatformAddress = Section(aValue, "platform").Endpoint("address");
  settings.mFabricReturnAddress =
    Section(aValue, "fabric").Endpoint("return_address");
  settings.mLimits.mControlBytesPerSecond =
    limits.Get<uint32_t>("control_bytes_per_second");
  settings.mLimits.mDrainTime = milliseconds(limits.Get<int64_t>("drain_ms"));
  settings.mTrace.mFile = trace.Text("file");
  settings.mTrace.mSamplePerMillion = trace.Get<uint32_t>("sample_per_million");
  RequireDistinctPorts(ports);
  return settings;
}

} // namespace

Settings
ParseSettings(std::string_view aText, std::string_view aSource)
{
  std::string reason;
  const auto value = config::ParseBoundedJson(aText, kMaxSettingsBytes, reason);
  if (!value) {
    throw SettingsError(kNotJson, aSource, reason);
  }
  const SchemaCheck check(kSettingsSchema);
  if (const auto fault = check.FindFault(*value)) {
    throw SettingsError(kFirstSchemaFault + static_cast<int>(fault->mKind),
                        absl::StrCat(std::string(aSource), " ", fault->mPath),
                        fault->mAdvice);
  }
  return ReadSettings(*value);
}

Settings
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw SettingsError(
      kUnreadableFile,
      aPath,
      absl::StrCat("cannot read the settings file (",
                   std::strerror(errno),
                   "); check the path and the file's permissions"));
  }
  return ParseSettings(text.str(), aPath);
}

} // namespace foxtail::daemon

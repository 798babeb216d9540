#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "daemon/SettingsPage.h"
#include "daemon/SettingsSchema.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Settings.h"
#include "unit/Sample.h"

using namespace foxtail;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const char* const kMinimal = R"({
  "vm": {"name": "agadir-a-1", "region": "souss", "domain": "agadir-a",
         "address": "127.20.1.1"},
  "platform": {"address": "127.20.0.1:8080"},
  "fabric": {"return_address": "127.20.0.2:5690"}})";

// Returns the minimal settings with the JSON merge patch aMerge applied.
std::string
WithMergePatch(const std::string& aMerge)
{
  json value = json::parse(kMinimal);
  value.merge_patch(json::parse(aMerge));
  return value.dump();
}

} // namespace

TEST_CASE("Settings are read into typed values", "[settings]")
{
  const auto settings = daemon::ParseSettings(
    WithMergePatch(
      R"({"limits": {"drain_ms": 1500}, "ports": {"peer": 7001}})"),
    "vm.json");
  CHECK(settings.mVm.mName == "agadir-a-1");
  CHECK(settings.OwnAddress(settings.mPorts.mPeer).ToString() ==
        "127.20.1.1:7001");
  CHECK(settings.mPorts.mAgentHttp == 9691);
  CHECK(settings.mPlatformAddress.ToString() == "127.20.0.1:8080");
  CHECK(settings.mFabricReturnAddress.ToString() == "127.20.0.2:5690");
  CHECK(settings.mLimits.mDrainTime == 1500ms);
  CHECK(settings.mLimits.mControlBytesPerSecond == 7000);
  CHECK(settings.mTrace.mSamplePerMillion == 1000);
}

TEST_CASE("Errors in settings have a number and name the key and the fault",
          "[settings]")
{
  const auto [merge, id, path, words] =
    GENERATE(table<std::string, int, std::string, std::string>({
      { R"({"colour": 1})", 103, "/colour", "known here are: fabric" },
      { R"({"vm": {"zone": "a"}})", 103, "/vm/zone", "unknown key" },
      { R"({"vm": {"region": null}})", 104, "/vm/region", "missing" },
      { R"({"fabric": null})", 104, "/fabric", "missing" },
      { R"({"limits": {"drain_s": 30}})", 105, "/limits/drain_s", "drain_ms" },
      { R"({"limits": {"drain": 30}})", 105, "/limits/drain", "drain_ms" },
      { R"({"limits": {"drain_ms": "30s"}})",
        106,
        "/limits/drain_ms",
        "in milliseconds; found \"30s\"" },
      { R"({"limits": {"drain_ms": 1.5}})",
        106,
        "/limits/drain_ms",
        "an integer" },
      { R"({"vm": []})", 106, "/vm", "an object" },
      { R"({"ports": {"peer": "x"}})", 106, "/ports/peer", "an integer" },
      { R"({"ports": {"peer": 0}})", 107, "/ports/peer", "from 1 to 65535" },
      { R"({"ports": {"peer": 65536}})", 107, "/ports/peer", "found 65536" },
      { R"({"ports": {"peer": -1}})", 107, "/ports/peer", "found -1" },
      { R"({"trace": {"sample_per_million": 18446744073709551615}})",
        107,
        "/trace/sample_per_million",
        "from 0 to 1000000" },
      { R"({"vm": {"name": ""}})", 108, "/vm/name", "of 1 to 64 characters" },
      { R"({"vm": {"name": "a b"}})", 108, "/vm/name", "name of the VM" },
      { R"({"vm": {"address": "127.20.1"}})", 108, "/vm/address", "10.1.2.3" },
      { R"({"vm": {"address": "1.2.3.4:5"}})", 108, "/vm/address", "without" },
      { R"({"platform": {"address": "127.1.1.1:0"}})",
        108,
        "/platform/address",
        "10.1.2.3:8080" },
      { R"({"platform": {"address": "127.1.1.1: 80"}})",
        108,
        "/platform/address",
        "10.1.2.3:8080" },
      { R"({"ports": {"peer": 5690}})", 109, "/ports/peer", "/ports/fabric" },
    }));
  CAPTURE(merge);
  std::string message;
  const std::string text = WithMergePatch(merge);
  const auto parse = [&] { daemon::ParseSettings(text, "vm.json"); };
  CHECK(test::ErrorOf<SettingsError>(parse, message) == id);
  CHECK_THAT(message, Catch::Contains(path + ":"));
  CHECK_THAT(message, Catch::Contains(words));
}

TEST_CASE("Settings that cannot be read or parsed have error numbers",
          "[settings]")
{
  std::string message;
  CHECK(test::ErrorOf<SettingsError>(
          [] { daemon::LoadSettings("/nonexistent/vm.json"); }, message) ==
        101);
  CHECK_THAT(message, Catch::Contains("/nonexistent/vm.json"));
  const std::string text = GENERATE(as<std::string>(),
                                    "",
                                    "{",
                                    "{} x",
                                    std::string(100000, '['),
                                    "\xff",
                                    std::string(100000, ' ') + "{}");
  CHECK(test::ErrorOf<SettingsError>(
          [&] { daemon::ParseSettings(text, "vm.json"); }, message) == 102);
}

TEST_CASE("docs/SETTINGS.md agrees with the settings schema", "[settings]")
{
  std::ifstream file(FOXTAIL_SOURCE_DIR "/docs/SETTINGS.md");
  std::ostringstream page;
  page << file.rdbuf();
  // scripts/generate-settings-page writes the file.
  CHECK(page.str() == daemon::SettingsPage());
}

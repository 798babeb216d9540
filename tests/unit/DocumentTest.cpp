#include <catch2/catch.hpp>

#include <fstream>
#include <random>
#include <sstream>

#include "config/ConfigurationSchema.h"
#include "daemon/SettingsSchema.h"
#include "foxtail/config/Document.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"
#include "unit/Sample.h"

using namespace foxtail;
using namespace foxtail::config;
using namespace std::chrono_literals;
using nlohmann::json;
using test::ErrorOf;
using test::MakeDocument;

TEST_CASE("Embedded schemas equal the schema files", "[config]")
{
  const auto [name, text] = GENERATE(table<std::string, std::string>({
    { "configuration", kConfigurationSchema },
    { "settings", daemon::kSettingsSchema },
  }));
  std::ifstream file(std::string(FOXTAIL_SOURCE_DIR) + "/schemas/" + name +
                     ".schema.json");
  const json onDisk = json::parse(file);
  // scripts/generate-schemas writes the embedded schemas.
  CHECK(json::parse(text) == onDisk);
}

TEST_CASE("A document becomes a snapshot and JSON again", "[config]")
{
  json document = MakeDocument(2, 3);
  document["services"][1]["upstreams"][2]["draining"] = true;
  const SnapshotPtr snapshot = ParseDocument(document, { 12, 34 });
  REQUIRE(snapshot->mServices.size() == 2);
  REQUIRE(snapshot->mUpstreams.size() == 6);
  CHECK(snapshot->mVersion == Version{ 12, 34 });
  CHECK(snapshot->mServices[1].mTimeout == 30s);
  CHECK(snapshot->mServices[1].mFlowIdle == 120s);
  const Upstream& last = snapshot->mUpstreams[5];
  CHECK(last.mDraining);
  CHECK(last.mService == 1);
  CHECK(last.mId == static_cast<uint32_t>(StableHash("s1-2")));
  CHECK(snapshot->FindUpstream(last.mId) == 5);
  CHECK(ToJson(*ParseDocument(ToJson(*snapshot), {})) == ToJson(*snapshot));
}

TEST_CASE("The error of an invalid document has its number and the path",
          "[config]")
{
  const std::string kU = "/services/1/upstreams/1";
  const auto [operation,
              id,
              path] = GENERATE_COPY(table<std::string, int, std::string>({
    { R"({"op": "add", "path": "/x", "value": 1})", 203, "/x" },
    { R"({"op": "add", "path": "/services/1/x", "value": 1})",
      203,
      "/services/1/x" },
    { R"({"op": "add", "path": "/services/1/upstreams/1/x", "value": 1})",
      203,
      kU + "/x" },
    { R"({"op": "remove", "path": "/services"})", 204, "/services" },
    { R"({"op": "remove", "path": "/services/1/name"})",
      204,
      "/services/1/name" },
    { R"({"op": "remove", "path": "/services/1/upstreams/1/slots"})",
      204,
      kU + "/slots" },
    { R"({"op": "add", "path": "/services/1/timeout_s", "value": 1})",
      205,
      "/services/1/timeout_s" },
    { R"({"op": "replace", "path": "", "value": []})", 206, "" },
    { R"({"op": "replace", "path": "/services", "value": {}})",
      206,
      "/services" },
    { R"({"op": "replace", "path": "/services/1", "value": 3})",
      206,
      "/services/1" },
    { R"({"op": "replace", "path": "/services/1/upstreams/1", "value": null})",
      206,
      kU },
    { R"({"op": "add", "path": "/services/1/upstreams/1/draining",
            "value": "yes"})",
      206,
      kU + "/draining" },
    { R"({"op": "replace", "path": "/services/1/timeout_ms", "value": 0})",
      207,
      "/services/1/timeout_ms" },
    { R"({"op": "replace", "path": "/services/1/upstreams/1/slots",
            "value": 65536})",
      207,
      kU + "/slots" },
    { R"({"op": "replace", "path": "/services/1/name", "value": "a b"})",
      208,
      "/services/1/name" },
    { R"({"op": "replace", "path": "/services/1/address",
            "value": "127.1.1.1"})",
      208,
      "/services/1/address" },
    { R"({"op": "replace", "path": "/services/1/address",
            "value": "127.1.1.1:0"})",
      208,
      "/services/1/address" },
    { R"({"op": "replace", "path": "/services/1/upstreams/1/address",
            "value": "127.1.1.1:+1"})",
      208,
      kU + "/address" },
    { R"({"op": "replace", "path": "/services/1/name", "value": "s0"})",
      210,
      "/services/1/name" },
    { R"({"op": "copy", "path": "/services/1/upstreams/1",
            "from": "/services/0/upstreams/0"})",
      210,
      kU + "/name" },
    { R"({"op": "replace", "path": "/services/1/upstreams/1/name",
            "value": "s1-0"})",
      210,
      "/services/1/upstreams/0/name" },
    { R"({"op": "replace", "path": "/services/1/address",
            "value": "127.10.0.1:5683"})",
      211,
      "/services/1/address" },
    { R"({"op": "replace", "path": "/services/1/upstreams/1/address",
            "value": "127.10.0.1:5683"})",
      211,
      kU + "/address" },
    { R"({"op": "replace", "path": "/services/1/upstreams", "value": []})",
      212,
      "/services/1/upstreams" },
    { R"({"op": "remove", "path": "/services/1/upstreams/9"})",
      221,
      "/patch/2" },
    { R"({"op": "add", "path": "/services/1/name/x", "value": 1})",
      221,
      "/services/1/name/x" },
    { R"({"op": "test", "path": "/services/1/name", "value": "other"})",
      221,
      "/patch/2" },
    { R"({"op": "remove", "path": ""})", 221, "/patch/2" },
    { R"({"op": "move", "from": "/services/1", "path": "/services/1/x"})",
      220,
      "/services/1/x" },
    { R"({"op": "merge", "path": "/services/1/name"})", 220, "/patch/2" },
    { R"({"op": "remove", "path": "services"})", 220, "/patch/2" },
    { R"({"op": "remove", "path": "/services/01"})", 220, "/patch/2" },
    { R"({"op": "add", "path": "/services/1/name"})", 221, "/patch/2" },
    { R"(7)", 221, "/patch/2" },
  }));
  CAPTURE(operation);
  // The unrelated operations before the failing one must be undone as well.
  const json patch = { { { "op", "remove" }, { "path", "/services/2" } },
                       { { "op", "add" },
                         { "path", "/services/2" },
                         { "value", MakeDocument(3, 2)["services"][2] } },
                       json::parse(operation) };
  Document document(MakeDocument(3, 2));
  const auto before = document.MakeSnapshot({});
  std::string message;
  const auto apply = [&] { document.Apply(patch); };
  CHECK(ErrorOf<ConfigError>(apply, message) == id);
  const bool inPatch = path.rfind("/patch", 0) == 0;
  CHECK_THAT(message, Catch::Contains(inPatch ? "/patch/2" : path + ":"));
  CHECK(document.ToJson() == MakeDocument(3, 2));
  CHECK(ToJson(*document.MakeSnapshot({})) == ToJson(*before));
}

TEST_CASE("Names with the same id are refused", "[config]")
{
  // Search two names whose hashes have the same low 32 bits.
  json document = MakeDocument(1, 2);
  auto& upstreams = document["services"][0]["upstreams"];
  absl::flat_hash_map<uint32_t, std::string> seen;
  for (int it = 0;; ++it) {
    const std::string name = absl::StrCat("u", it);
    const auto [other, isNew] =
      seen.emplace(static_cast<uint32_t>(StableHash(name)), name);
    if (!isNew) {
      upstreams[0]["name"] = other->second;
      upstreams[1]["name"] = name;
      break;
    }
  }
  std::string message;
  CHECK(ErrorOf<ConfigError>([&] { ParseDocument(document, {}); }, message) ==
        213);
}

TEST_CASE("Documents and patches have a size limit", "[config]")
{
  std::string message;
  SECTION("services")
  {
    const json document = MakeDocument(kMaxServices + 1, 1);
    CHECK(ErrorOf<ConfigError>([&] { ParseDocument(document, {}); }, message) ==
          214);
  }
  SECTION("copies of copies")
  {
    json patch = json::array();
    for (int it = 0; it < 64; ++it) {
      patch.push_back({ { "op", "copy" },
                        { "from", "" },
                        { "path", absl::StrCat("/", it) } });
    }
    Document document(MakeDocument(2, 2));
    CHECK(ErrorOf<ConfigError>([&] { document.Apply(patch); }, message) == 220);
    CHECK(document.ToJson() == MakeDocument(2, 2));
  }
  SECTION("text")
  {
    const std::string text = GENERATE(as<std::string>(),
                                      "",
                                      "{",
                                      "[1,",
                                      std::string(5000, '['),
                                      std::string(kMaxValueBytes, ' ') + "{}");
    CHECK(ErrorOf<ConfigError>([&] { ParseDocumentText(text, {}); }, message) ==
          201);
  }
}

namespace {

json
RandomOperation(std::mt19937& aRandom, const json& aDocument)
{
  const auto upTo = [&](size_t n) { return aRandom() % (n + 1); };
  const size_t services = aDocument["services"].size();
  const std::string service = absl::StrCat("/services/", upTo(services));
  const std::string other = absl::StrCat("/services/", upTo(services));
  const std::string upstream = absl::StrCat(service, "/upstreams/", upTo(2));
  const json newService = MakeDocument(12, 2)["services"][upTo(11)];
  switch (upTo(9)) {
    case 0:
      return { { "op", "remove" }, { "path", service } };
    case 1:
      return { { "op", "add" }, { "path", service }, { "value", newService } };
    case 2:
      return { { "op", "add" },
               { "path", "/services/-" },
               { "value", newService } };
    case 3:
      return { { "op", "move" }, { "from", service }, { "path", other } };
    case 4:
      return { { "op", "remove" }, { "path", upstream } };
    case 5:
      return { { "op", "add" },
               { "path", upstream + "/draining" },
               { "value", true } };
    case 6:
      return { { "op", "replace" },
               { "path", service + "/timeout_ms" },
               { "value", upTo(3) } };
    case 7:
      return { { "op", "copy" },
               { "from", upstream },
               { "path", other + "/upstreams/-" } };
    case 8:
      return { { "op", "replace" },
               { "path", "/services" },
               { "value", MakeDocument(upTo(4), 2)["services"] } };
    default:
      return { { "op", "move" },
               { "from", upstream },
               { "path", other + "/upstreams/0" } };
  }
}

} // namespace

TEST_CASE("A patched document is what a whole check makes of the result",
          "[config]")
{
  std::mt19937 random(7);
  Document document(MakeDocument(3, 2));
  int applied = 0;
  for (int round = 0; round < 4000; ++round) {
    json patch = json::array();
    for (size_t n = 1 + random() % 3; n > 0; --n) {
      patch.push_back(RandomOperation(random, document.ToJson()));
    }
    // The reference: patch a copy of the JSON and parse all of it.
    json expected = document.ToJson();
    bool valid = true;
    try {
      expected = expected.patch(patch);
      ParseDocument(expected, {});
    } catch (const std::exception&) {
      expected = document.ToJson();
      valid = false;
    }
    std::string message;
    const int id =
      ErrorOf<ConfigError>([&] { document.Apply(patch); }, message);
    CAPTURE(round, patch.dump(), message);
    REQUIRE((id == 0) == valid);
    REQUIRE(document.ToJson() == expected);
    REQUIRE(ToJson(*document.MakeSnapshot({})) ==
            ToJson(*ParseDocument(expected, {})));
    applied += valid ? 1 : 0;
  }
  CHECK(applied > 500);
}

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include "foxtail/config/Chain.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/StatusServer.h"
#include "unit/Sample.h"

using namespace foxtail;
using nlohmann::json;

namespace {

struct ProgramResult
{
  int mExit = -1;
  // Standard output and error together.
  std::string mText;
};

ProgramResult
RunProgram(const std::string& aArguments)
{
  const std::string command =
    absl::StrCat(FOXTAIL_BIN_DIR "/foxtailctl ", aArguments, " 2>&1");
  FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  ProgramResult result;
  std::array<char, 4096> buf{};
  while (const size_t n = fread(buf.data(), 1, buf.size(), pipe)) {
    result.mText.append(buf.data(), n);
  }
  result.mExit = WEXITSTATUS(pclose(pipe));
  return result;
}

// A folder of input files, and a stub daemon that answers foxtailctl's HTTP
// requests.
class Fixture
{
public:
  // The folder and the daemon's address are derived from the process id, so
  // that tests that run in parallel do not collide.
  Fixture()
    : mFolder(std::filesystem::temp_directory_path() /
              absl::StrCat("foxtailctl-", getpid()))
    , mDaemon(absl::StrCat("127.61.",
                           1 + getpid() / 250 % 250,
                           ".",
                           1 + getpid() % 250,
                           ":9690"))
  {
    std::filesystem::create_directories(mFolder);
    // Version 12 with digest 0xab at position 15.
    const config::Base base{ { { 12, 0xab }, 15 }, test::MakeDocument(2, 2) };
    json changed = test::MakeDocument(2, 2);
    changed["services"][0]["timeout_ms"] = 5000;
    changed["services"][1]["upstreams"].erase(0);
    Write("document", test::MakeDocument(2, 2).dump());
    Write("base", base.ToJson().dump());
    Write("changed", changed.dump());
    Write("invalid-document", R"({"services": [{"name": "x"}]})");
    Write("not-json", "{");
    Write("drain", R"([{"op": "add", "value": true,
                        "path": "/services/0/upstreams/1/draining"}])");
    Write("patch-entry", R"({"against": 12, "patch": []})");
    Write("unknown-service", R"([{"op": "remove", "path": "/services/9"}])");
    mServer.Serve("/config", "application/json", [base](const auto&) {
      return base.ToJson().dump();
    });
    mServer.Serve("/status", "application/json", [](const auto&) {
      return std::string(R"({"config": {"number": 12}, "flows": 3})");
    });
    mServer.Serve("/explain", "application/json", [](const auto& aQuery) {
      if (aQuery.mService == "127.1.1.1:1") {
        throw RoutingError(404, aQuery.mService, "no such service");
      }
      return json{
        { "caller", aQuery.mCaller }, { "upstream", "s0-1" }
      }.dump();
    });
    mServer.Start(Address::Parse(mDaemon));
  }
  ~Fixture() { std::filesystem::remove_all(mFolder); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  // Replaces DAEMON by the daemon's address and @NAME by the path of the file
  // NAME.
  std::string ExpandArguments(const std::string& aArguments) const
  {
    return absl::StrReplaceAll(
      aArguments, { { "DAEMON", mDaemon }, { "@", mFolder.string() + "/" } });
  }

private:
  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(mFolder / aName) << aText;
  }

  std::filesystem::path mFolder;
  std::string mDaemon;
  daemon::StatusServer mServer;
};

} // namespace

TEST_CASE("foxtailctl prints text or JSON and sets the exit code",
          "[foxtailctl]")
{
  static const Fixture sFixture;
  const std::string drain = "check @drain --config=@base ";
  const auto [arguments, exit, words] =
    GENERATE_COPY(table<std::string, int, std::string>({
      { "--help", 0, "foxtailctl check PATCH --against=N" },
      { "--help", 0, "--balancer\n" },
      { "--version", 0, "foxtailcove 0." },
      { "", 2, "expected a command: check" },
      { "spin", 2, "[foxtail.daemon.960] spin: expected a command" },
      { "status --blancer=x", 2, "[foxtail.daemon.950] --blancer: unknown" },
      { "check @drain --against=x", 2, "[foxtail.daemon.951] --against" },
      { "check", 2, "expected foxtailctl check PATCH --against=N" },
      { "check @drain --config=@base", 2, "--against: expected the number" },
      { drain + "--against=12",
        0,
        "accepted: the configuration would become version 13" },
      { drain + "--against 12",
        0,
        "upstream s0-1 of s0: changed draining from false to true" },
      { drain + "--against=12", 0, R"({"against":12,"patch":[{"op":"add")" },
      { drain + "--against=12 --json", 0, R"("becomes": 13)" },
      { drain + "--against=11",
        1,
        "refused: [foxtail.config.222] /against: written against version 11 "
        "but the current version is 12" },
      { drain + "--against=11 --json", 1, R"("accepted": false)" },
      { "check @patch-entry --config=@base", 0, "no change" },
      { "check @patch-entry --config=@base --against=11",
        2,
        "has \"against\": 12" },
      { "check @unknown-service --config=@base --against=12", 1, "/patch/0" },
      { "check @drain --config=@document --against=3", 0, "version 4" },
      { "check @drain --agent=DAEMON --against=12", 0, "version 13" },
      { "check @drain --agent=DAEMON --config=@base --against=12",
        2,
        "either --config=FILE or --agent=IP:PORT" },
      { "check @none --config=@base --against=12", 2, "cannot read the file" },
      { "check @not-json --config=@base --against=12", 2, "expected JSON" },
      { "check @drain --config=@invalid-document --against=12",
        2,
        "[foxtail.config.204] /services/0/address: missing" },
      { "config", 2, "expected config show or config diff" },
      { "config show --config=@base",
        0,
        "version 12, digest 00000000000000ab, 15 patches read" },
      { "config show --config=@base",
        0,
        "s0-0 in agadir-a at 127.20.0.1:6000, 3 slots, 2000 connections" },
      { "config show --agent=DAEMON --json", 0, R"("position": 15)" },
      { "config diff @document @base", 0, "no difference" },
      { "config diff @base @changed",
        1,
        "service s0: changed timeout_ms from 30000 to 5000" },
      { "config diff @changed @base", 1, "upstream s1-0 of s1: added" },
      { "config diff @base @changed --json", 1, R"("kind": "removed")" },
      { "events", 0, "2001 info config-accepted: " },
      { "events --json", 0, R"("id": 2002)" },
      { "status --balancer=DAEMON", 0, "config.number: 12\nflows: 3" },
      { "status --balancer=DAEMON --json", 0, R"("flows": 3)" },
      { "settings", 0, "| `peer` | integer, 1 to 65535 | `5692` |" },
      { "settings --json", 0, R"("title": "Settings of a VM")" },
      { "status", 2, "expected the HTTP address of a daemon" },
      { "status --balancer=127.61.0.1:1", 1, "[foxtail.daemon.961]" },
      { "status --balancer=127.61.0.1:1 --json", 1, R"("error": 961)" },
      { "explain 127.0.0.1:5000 127.10.0.1:5683 --balancer=DAEMON",
        0,
        "upstream: s0-1" },
      { "explain 127.0.0.1:5000 127.1.1.1:1 --balancer=DAEMON",
        1,
        "no such service" },
      { "explain 127.0.0.1 127.1.1.1:1 --balancer=DAEMON",
        2,
        "CALLER: expected IP:PORT" },
    }));
  CAPTURE(arguments);
  const ProgramResult result = RunProgram(sFixture.ExpandArguments(arguments));
  CHECK(result.mExit == exit);
  CHECK_THAT(result.mText, Catch::Contains(words));
  if (arguments.find("--json") != std::string::npos) {
    CHECK(json::accept(result.mText));
  }
}

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

#include "foxtail/core/Error.h"
#include "foxtail/net/NngLink.h"
#include "foxtail/net/PeerCodec.h"

extern char** environ;

using namespace foxtail;
using namespace foxtail::net;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// A child process that runs one of the project's programs. The destructor kills
// it.
class Child
{
public:
  Child(const std::string& aProgram, std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(),
                      absl::StrCat(FOXTAIL_BIN_DIR, "/", aProgram));
    std::vector<char*> argv;
    argv.reserve(aArguments.size() + 1);
    for (std::string& it : aArguments) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
      &files, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    REQUIRE(posix_spawn(&mId, argv[0], &files, nullptr, argv.data(), environ) ==
            0);
    posix_spawn_file_actions_destroy(&files);
  }
  ~Child()
  {
    if (mId > 0) {
      kill(mId, SIGKILL);
      Wait();
    }
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int aSignal) const { kill(mId, aSignal); }

  bool HasEnded() const
  {
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(mId), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == mId;
  }

  // Waits until the process has ended. Returns its exit code, or the negated
  // number of the signal that ended it.
  int Wait()
  {
    int status = 0;
    waitpid(mId, &status, 0);
    mId = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

private:
  pid_t mId = -1;
};

// Chooses the second octet of the loopback addresses: the first that no other
// test run has locked. The lock files are those of scripts/cluster.sh; the lock
// is held until this program ends.
uint32_t
ChooseNetwork()
{
  for (uint32_t i = 0; i < 200; ++i) {
    const uint32_t n = 30 + (getpid() + i) % 200;
    const std::string file = absl::StrCat("/tmp/foxtail-net-", n, ".lock");
    const int lock = open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
    if (lock >= 0 && flock(lock, LOCK_EX | LOCK_NB) == 0) {
      return 0x7F000100U + (n << 16);
    }
    close(lock);
  }
  FAIL("no free loopback network");
  return 0;
}

const uint32_t kNetwork = ChooseNetwork();

// Address and port for what doesn't run on a VM: the platform and the fabric.
std::string
NonVmAddress(uint32_t aLast, uint16_t aPort)
{
  return Address{ kNetwork - 0x100 + aLast, aPort }.ToString();
}

constexpr size_t kVmCount = 3;

std::string
Ip(size_t aVm)
{
  return Address{ kNetwork + static_cast<uint32_t>(aVm) + 1, 0 }.IpString();
}

// Three agents and the platform stand-in. Of the balancers only the heartbeats
// are simulated.
class Fleet
{
public:
  Fleet()
  {
    char folder[] = "/tmp/foxtail-agent-XXXXXX";
    REQUIRE(mkdtemp(folder) != nullptr);
    mFolder = folder;
    json vms = json::array();
    for (size_t i = 0; i < kVmCount; ++i) {
      vms.push_back({ { "name", absl::StrCat("vm-", i) },
                      { "region", "souss" },
                      { "domain", "agadir-a" },
                      { "address", Ip(i) },
                      { "state", "live" } });
    }
    Publish("vms", { { "vms", vms } });
    Publish("config.base",
            { { "number", 12 },
              { "digest", "00f1e2d3c4b5a697" },
              { "position", 15 },
              { "config", { { "services", json::array() } } } });
    PublishPatches(json::array());
    StartPlatform();
    for (size_t i = 0; i < kVmCount; ++i) {
      StartAgent(i);
      mClients.push_back(std::make_unique<RequestClient>(
        Address{ kNetwork + static_cast<uint32_t>(i) + 1, 5694 },
        kMaxLocalReplySize,
        kNetwork + static_cast<uint32_t>(i) + 1));
    }
  }

  ~Fleet()
  {
    mAgents.clear();
    mPlatform.reset();
    for (const std::string& it : mFiles) {
      unlink(it.c_str());
    }
    rmdir(mFolder.c_str());
  }

  void Publish(const std::string& aName, const json& aValue)
  {
    const std::string file = absl::StrCat(mFolder, "/", aName, ".json");
    std::ofstream(file + ".new") << aValue;
    rename((file + ".new").c_str(), file.c_str());
    mFiles.push_back(file);
  }

  void PublishPatches(const json& aPatches)
  {
    Publish("config.patches", { { "first", 15 }, { "patches", aPatches } });
  }

  void StartPlatform()
  {
    mPlatform = std::make_unique<Child>(
      "standin-platform",
      std::vector<std::string>{ "--listen=" + NonVmAddress(1, 8080),
                                "--admin=" + NonVmAddress(1, 8081),
                                "--dir=" + mFolder });
  }
  void StopPlatform() { mPlatform.reset(); }

  void StartAgent(size_t aVm)
  {
    const json ports = { { "fabric", 5690 },        { "handoff", 5691 },
                         { "peer", 5692 },          { "agent", 5693 },
                         { "local", 5694 },         { "upstream", 5695 },
                         { "balancer_http", 9690 }, { "agent_http", 9691 } };
    const json settings = {
      { "vm",
        { { "name", absl::StrCat("vm-", aVm) },
          { "region", "souss" },
          { "domain", "agadir-a" },
          { "address", Ip(aVm) } } },
      { "ports", ports },
      { "platform", { { "address", NonVmAddress(1, 8080) } } },
      { "fabric", { { "return_address", NonVmAddress(2, 5690) } } },
      { "limits",
        { { "control_bytes_per_second", 7000 }, { "drain_ms", 30000 } } },
      { "trace", { { "file", "" }, { "sample_per_million", 0 } } }
    };
    const std::string file = absl::StrCat(mFolder, "/settings-", aVm);
    std::ofstream(file) << settings;
    mFiles.push_back(file);
    mAgents[aVm] = std::make_unique<Child>(
      "foxtail-agent", std::vector<std::string>{ "--settings=" + file });
  }

  Child& Agent(size_t aVm) { return *mAgents[aVm]; }

  // Sends one heartbeat as the VM's balancer. Empty if the agent did not
  // answer.
  std::optional<LocalReply> SendHeartbeat(size_t aVm)
  {
    const uint32_t ip = kNetwork + static_cast<uint32_t>(aVm) + 1;
    LocalRequest request;
    request.mSelf.mName = absl::StrCat("vm-", aVm);
    request.mSelf.mRegion = "souss";
    request.mSelf.mDomain = "agadir-a";
    request.mSelf.mIncarnation = 500 + aVm;
    request.mSelf.mState = mLeavingVm == aVm ? membership::MemberState::Leaving
                                             : membership::MemberState::Alive;
    request.mSelf.mHandoffAddress = { ip, 5691 };
    request.mSelf.mPeerAddress = { ip, 5692 };
    request.mSelf.mAgentAddress = { ip, 5693 };
    try {
      return DecodeLocalReply(mClients[aVm]->Ask(Encode(request), 300ms));
    } catch (const PeerError&) {
      return std::nullopt;
    }
  }

  // All balancers except the one of aSilentVm send heartbeats for aTime.
  void SendHeartbeatsFor(milliseconds aTime, size_t aSilentVm)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    SendHeartbeatsUntil(
      [&](size_t, const LocalReply&) {
        return std::chrono::steady_clock::now() >= end;
      },
      aSilentVm);
  }

  // All balancers except the one of aSilentVm send heartbeats until aDone holds
  // for the replies to all of them in the same round. Returns false if this
  // does not happen within 300 rounds, about half a minute.
  bool SendHeartbeatsUntil(
    const std::function<bool(size_t, const LocalReply&)>& aDone,
    size_t aSilentVm = kVmCount)
  {
    for (int i = 0; i < 300; ++i) {
      size_t done = 0;
      for (size_t v = 0; v < kVmCount; ++v) {
        const auto reply = v == aSilentVm ? std::nullopt : SendHeartbeat(v);
        done += v == aSilentVm || (reply && aDone(v, *reply)) ? 1 : 0;
      }
      if (done == kVmCount) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  size_t mLeavingVm = kVmCount;

private:
  std::string mFolder;
  std::vector<std::string> mFiles;
  std::unique_ptr<Child> mPlatform;
  std::map<size_t, std::unique_ptr<Child>> mAgents;
  std::vector<std::unique_ptr<RequestClient>> mClients;
};

// True if the view is complete and not in doubt and version aConfig is in
// force.
bool
HasConverged(const LocalReply& aReply, size_t aMembers, uint64_t aConfig)
{
  return aReply.mMembers.size() == aMembers && !aReply.mViewInDoubt &&
         aReply.mConfig.mVersion.mNumber == aConfig;
}

} // namespace

TEST_CASE("Agents as processes", "[agent][process]")
{
  Fleet fleet;
  const auto hasConverged = [](size_t, const LocalReply& r) {
    return HasConverged(r, kVmCount, 12);
  };
  REQUIRE(fleet.SendHeartbeatsUntil(hasConverged));

  SECTION("a patch comes into force everywhere")
  {
    fleet.PublishPatches({ { { "against", 12 },
                             { "patch",
                               { { { "op", "test" },
                                   { "path", "/services" },
                                   { "value", json::array() } } } } } });
    CHECK(fleet.SendHeartbeatsUntil([](size_t, const LocalReply& r) {
      return r.mConfig.mVersion.mNumber == 13;
    }));
  }
  SECTION("a killed agent that starts anew with the platform down")
  {
    fleet.StopPlatform();
    fleet.Agent(1).Signal(SIGKILL);
    CHECK(fleet.Agent(1).Wait() == -SIGKILL);
    CHECK(fleet.SendHeartbeatsUntil(
      [](size_t, const LocalReply& r) { return r.mMembers.size() == 2; }, 1));
    fleet.StartAgent(1);
    CHECK(fleet.SendHeartbeatsUntil(hasConverged));
  }
  SECTION("a stopped process that resumes late")
  {
    fleet.Agent(1).Signal(SIGSTOP);
    CHECK(fleet.SendHeartbeatsUntil(
      [](size_t, const LocalReply& r) { return r.mMembers.size() == 2; }, 1));
    fleet.SendHeartbeatsFor(2s, 1);
    fleet.Agent(1).Signal(SIGCONT);
    CHECK(fleet.SendHeartbeatsUntil([](size_t v, const LocalReply& r) {
      return v == 1 ? r.mRefusedIncarnation == 501 : r.mMembers.size() == 2;
    }));
  }
  SECTION("a graceful stop: peers are told, exit code 0")
  {
    fleet.mLeavingVm = 1;
    fleet.Agent(1).Signal(SIGTERM);
    CHECK(fleet.SendHeartbeatsUntil(
      [](size_t, const LocalReply& r) {
        const auto it =
          std::find_if(r.mMembers.begin(), r.mMembers.end(), [](const auto& m) {
            return m.mName == "vm-1";
          });
        return it == r.mMembers.end() ||
               it->mState == membership::MemberState::Leaving;
      },
      1));
    CHECK(fleet.SendHeartbeatsUntil(
      [](size_t, const LocalReply& r) { return r.mMembers.size() == 2; }, 1));
    CHECK(fleet.Agent(1).Wait() == 0);
  }
  SECTION("a second signal ends it at once")
  {
    // A process that is stopped has handled neither of two signals when it goes
    // on, and they count as one.
    const bool arriveTogether = GENERATE(false, true);
    if (arriveTogether) {
      fleet.Agent(1).Signal(SIGSTOP);
      fleet.Agent(1).Signal(SIGTERM);
      fleet.Agent(1).Signal(SIGTERM);
      fleet.Agent(1).Signal(SIGCONT);
    } else {
      fleet.Agent(1).Signal(SIGTERM);
    }
    // The balancer still runs, so the agent keeps running for its drain time.
    CHECK(fleet.SendHeartbeat(1));
    for (int i = 0; i < 100 && !fleet.Agent(1).HasEnded(); ++i) {
      fleet.Agent(1).Signal(SIGTERM);
      std::this_thread::sleep_for(20ms);
    }
    CHECK(fleet.Agent(1).Wait() == 1);
  }
}

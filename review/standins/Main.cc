// Plays one scenario of the review around real foxtail-node processes.
//
//   world SCENARIO ROOT SCRATCH RECORD TROUBLE
//
// Exit codes: 0 the rules held, 1 a rule was broken, 2 the case could not run.
#include "World.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

using namespace review;

namespace {

struct Route
{
  std::string mName;
  IpPort mAddress;
  std::string mKind;
  std::string mService;
};

// The operator: writes whole configurations with rising versions.
class Operator
{
public:
  explicit Operator(World& aWorld)
    : mWorld(aWorld)
  {
    Add("lookup", aWorld.Ip(40, 1), 8443, "safe", "ledger");
    Add("post", aWorld.Ip(40, 1), 8080, "unsafe", "ledger");
    Add("statement", aWorld.Ip(40, 2), 443, "download", "statements");
    AddIdle(110);
  }
  void Add(const std::string& aName,
           uint32_t aIp,
           uint16_t aPort,
           const std::string& aKind,
           const std::string& aService)
  {
    mRoutes[aName] = { aName, { aIp, aPort }, aKind, aService };
  }
  void Drop(const std::string& aName) { mRoutes.erase(aName); }
  void AddIdle(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const int n = ++mIdle;
      Add("idle" + std::to_string(n),
          mWorld.Ip(50, 1 + n / 200),
          static_cast<uint16_t>(2000 + n % 200),
          "safe",
          "ledger");
    }
  }
  // Writes the next version. Returns the time of the acknowledgement.
  int64_t Write(int aIdleTimeoutMs = 15000)
  {
    mVersion += 1 + static_cast<int>(mWorld.mRandom() % 3);
    std::string text =
      "{\"version\":" + std::to_string(mVersion) + ",\"routes\":[";
    bool isFirst = true;
    for (const auto& [name, route] : mRoutes) {
      text += isFirst ? "" : ",";
      isFirst = false;
      text += "{\"name\":\"r-" + name + "\",\"hostname\":\"" +
              route.mAddress.Ip() + "\",\"prefix\":\"/" +
              std::to_string(route.mAddress.mPort) + "/\",\"kind\":\"" +
              route.mKind +
              "\",\"timeout_ms\":4000,\"target_latency_ms\":250,"
              "\"priority\":2,\"service\":\"" +
              route.mService + "\",\"max_attempts\":2}";
    }
    text += "],\"services\":[";
    for (const char* const it : { "ledger", "statements" }) {
      text += text.back() == '[' ? "" : ",";
      text += std::string("{\"name\":\"") + it +
              "\",\"health_path\":\"/health\",\"max_flows\":2000,"
              "\"protocol\":\"h1\",\"tls\":false}";
    }
    text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":" +
            std::to_string(aIdleTimeoutMs) + "}}";
    const int64_t at = mWorld.mStore->Put("op/config", text);
    mWorld.Log().Line("store acknowledges configuration " +
                      std::to_string(mVersion) + ": " +
                      std::to_string(mRoutes.size()) + " routes, " +
                      std::to_string(text.size()) + " bytes");
    return at;
  }
  const Route& Get(const std::string& aName) const { return mRoutes.at(aName); }

private:
  World& mWorld;
  std::map<std::string, Route> mRoutes;
  int mIdle = 0;
  int mVersion = 0;
};

std::string
RandomId(World& aWorld)
{
  char buf[16];
  snprintf(buf,
           sizeof(buf),
           "i-%010llx",
           static_cast<unsigned long long>(aWorld.mRandom() & 0xFFFFFFFFFFULL));
  return buf;
}

const std::vector<std::pair<std::string, int>> kZones{ { "agadir-a", 3 },
                                                       { "agadir-b", 2 },
                                                       { "taroudant", 2 } };

// Sends aPerSecond requests a second from all zones until aEnd.
void
Traffic(World& aWorld,
        const Operator& aOperator,
        int aPerSecond,
        int64_t aEnd,
        int aRequests = 1)
{
  if (NowMs() >= aEnd) {
    return;
  }
  const uint64_t at = aWorld.mRandom() % 96;
  const char* const name = at < 70 ? "lookup" : at < 90 ? "post" : "statement";
  const std::string zone = kZones[aWorld.mRandom() % kZones.size()].first;
  aWorld.Send(aOperator.Get(name).mAddress, name, zone, nullptr, aRequests);
  const int64_t gap = 1000 / aPerSecond;
  aWorld.At(NowMs() + gap, [&aWorld, &aOperator, aPerSecond, aEnd, aRequests] {
    Traffic(aWorld, aOperator, aPerSecond, aEnd, aRequests);
  });
}

// DRAIN, judged by the opening packet that the endpoint took.
void
CheckDrain(World& aWorld)
{
  aWorld.mOnOpened = [&aWorld](const Endpoint& aEndpoint,
                               const Endpoint::Flow& aFlow,
                               Machine* aMachine,
                               uint64_t aRequest) {
    if (aEndpoint.mLeftAt == 0 ||
        aFlow.mSynAt - aEndpoint.mLeftAt <= World::kDrainMs) {
      return;
    }
    const std::string text =
      "request " + std::to_string(aRequest) + " reached " + aEndpoint.mId +
      " " + std::to_string(aFlow.mSynAt - aEndpoint.mLeftAt) +
      " ms after the store acknowledged that it is " +
      (aEndpoint.mState == "draining" ? "draining" : "gone") + ", through " +
      (aMachine ? aMachine->mName : "?");
    if (aMachine != nullptr && aWorld.IsInTouch(*aMachine)) {
      aWorld.Broken("DRAIN", text);
    } else {
      aWorld.Log().Line("not counted, the machine is not in touch: " + text);
    }
  };
}

void
AddEndpoints(World& aWorld)
{
  for (int i = 0; i < 14; ++i) {
    aWorld.AddEndpoint(RandomId(aWorld), "ledger", kZones[i % 3].first);
  }
  for (int i = 0; i < 4; ++i) {
    aWorld.AddEndpoint(RandomId(aWorld), "statements", kZones[i % 3].first);
  }
  for (Endpoint& it : aWorld.mEndpoints) {
    it.mLastBeat -=
      static_cast<int64_t>(aWorld.mRandom() % World::kHeartbeatMs);
  }
}

// Configurations in quick succession. The configuration has grown by many
// routes before.
void
PlayStorm(World& aWorld, Operator& aOperator)
{
  constexpr int kRoutesMore = 1400;
  constexpr int kChanges = 25;
  constexpr int64_t kGapMs = 60;
  CheckDrain(aWorld);
  const int64_t begin = NowMs();
  const int64_t end = begin + 30000;
  Traffic(aWorld, aOperator, 120, end);
  for (const int64_t at : { 1000, 3000 }) {
    aWorld.At(begin + at, [&] {
      aOperator.AddIdle(kRoutesMore);
      aOperator.Write();
    });
  }
  const int64_t storm = begin + 7000;
  if (aWorld.mOptions.mTrouble) {
    for (int i = 0; i < kChanges; ++i) {
      aWorld.At(storm + i * kGapMs,
                [&, i] { aOperator.Write(14000 - 10 * i); });
    }
  }
  // The change after the storm adds a route and drops one.
  int64_t inForce = 0;
  const IpPort added{ aWorld.Ip(40, 3), 8443 };
  const IpPort dropped{ aWorld.Ip(40, 4), 8443 };
  aOperator.Add("old", dropped.mIp, dropped.mPort, "safe", "ledger");
  aWorld.At(storm + kChanges * kGapMs, [&] {
    aOperator.Add("new", added.mIp, added.mPort, "safe", "ledger");
    aOperator.Drop("old");
    inForce = aOperator.Write();
  });
  aWorld.mOnEnd = [&](const Attempt& aAttempt, const std::string& aHow) {
    const bool isBound =
      inForce != 0 && aAttempt.mSentAt - inForce > World::kConfigMs &&
      aAttempt.mMachine != nullptr && aWorld.IsInTouch(*aAttempt.mMachine);
    if (isBound && aAttempt.mRouteName == "new" && aHow == "reset") {
      aWorld.Broken("CONFIG",
                    "request " + std::to_string(aAttempt.mId) + " sent " +
                      std::to_string(aAttempt.mSentAt - inForce) +
                      " ms after the acknowledgement was refused though the "
                      "route is there, by " +
                      aAttempt.mMachine->mName);
    }
    if (isBound && aAttempt.mRouteName == "old" && aHow == "200") {
      aWorld.Broken("CONFIG",
                    "request " + std::to_string(aAttempt.mId) + " sent " +
                      std::to_string(aAttempt.mSentAt - inForce) +
                      " ms after the acknowledgement was run with a dropped "
                      "route, through " +
                      aAttempt.mMachine->mName);
    }
  };
  for (int64_t at = storm + 2000; at < end; at += 1000) {
    aWorld.At(at, [&] {
      for (Machine& it : aWorld.mMachines) {
        aWorld.Send(added, "new", it.mZone, &it);
        aWorld.Send(dropped, "old", it.mZone, &it);
      }
    });
  }
  // Two upstreams of ledger are emptied and taken away.
  for (const size_t n : { 0, 1 }) {
    aWorld.At(storm + 2500 + 100 * static_cast<int64_t>(n),
              [&aWorld, n] { aWorld.Drain(aWorld.mEndpoints[n]); });
    aWorld.At(storm + 11500,
              [&aWorld, n] { aWorld.End(aWorld.mEndpoints[n]); });
  }
  aWorld.RunUntil(end + 4500);
}

// Endpoints that are alive lose their path to the store, so the store removes
// their entries. Meanwhile single processes of the system are killed.
void
PlayUnlisted(World& aWorld, Operator& aOperator)
{
  constexpr size_t kRounds = 8;
  constexpr int64_t kRoundMs = 11500;
  constexpr int64_t kCutMs = 9500;
  constexpr size_t kCut = 3;
  constexpr size_t kLedger = 14;
  CheckDrain(aWorld);
  const int64_t begin = NowMs();
  const int64_t end = begin + kRounds * kRoundMs;
  Traffic(aWorld, aOperator, 150, end);
  const bool cuts = aWorld.mOptions.mTrouble;
  const bool kills = aWorld.mOptions.mTrouble && getenv("NO_KILLS") == nullptr;
  for (size_t round = 0; round < kRounds; ++round) {
    const int64_t cut = begin + static_cast<int64_t>(round) * kRoundMs + 1000;
    for (size_t k = 0; cuts && k < kCut; ++k) {
      const size_t n = (round * kCut + k) % kLedger;
      aWorld.At(cut, [&aWorld, n] {
        Endpoint& it = aWorld.mEndpoints[n];
        it.mReachesStore = false;
        aWorld.Log().Line("endpoint " + it.mId +
                          " loses its path to the store");
      });
      aWorld.At(cut + kCutMs, [&aWorld, n] {
        Endpoint& it = aWorld.mEndpoints[n];
        it.mReachesStore = true;
        aWorld.Log().Line("endpoint " + it.mId + " reaches the store again");
      });
    }
    for (size_t k = 0; kills && k < 2; ++k) {
      // Machines that are listed as seeds: the first ones of the zones.
      aWorld.At(
        cut + 3000 + 400 * static_cast<int64_t>(k), [&aWorld, round, k] {
          const std::string zone = kZones[(round + k) % kZones.size()].first;
          for (Machine& it : aWorld.mMachines) {
            if (it.mName == "front-" + zone + "-1") {
              aWorld.StopMachine(it, SIGKILL);
            }
          }
        });
    }
  }
  aWorld.RunUntil(end + 1500);
}

// Endpoints are replaced one after the other. The ids of the new ones are
// chosen.
void
PlayCollision(World& aWorld, Operator& aOperator)
{
  // Ids of ten hexadecimal digits that are different as numbers.
  const std::vector<std::pair<std::string, std::string>> kIds{
#include "CollidingIds.inc"
  };
  const int64_t begin = NowMs();
  const int64_t end = begin + 20000;
  // Clients that keep a flow open for six requests, with pauses.
  Traffic(aWorld, aOperator, 30, end, 6);
  aWorld.mOnResetOpen = [&](const Attempt& aAttempt) {
    aWorld.Broken("FLOW",
                  "the client of open flow " + std::to_string(aAttempt.mId) +
                    " got a reset that its endpoint didn't send");
  };
  for (size_t i = 0; i < kIds.size(); ++i) {
    aWorld.AddEndpoint(kIds[i].first, "ledger", kZones[i % 3].first);
  }
  for (size_t i = 0; i < kIds.size(); ++i) {
    const int64_t at = begin + 5000 + 2000 * static_cast<int64_t>(i);
    aWorld.At(at, [&aWorld, &kIds, i] {
      const std::string id =
        aWorld.mOptions.mTrouble ? kIds[i].second : RandomId(aWorld);
      aWorld.AddEndpoint(id, "ledger", kZones[i % 3].first);
    });
    aWorld.At(at + 1500, [&aWorld, &kIds, i] {
      for (Endpoint& it : aWorld.mEndpoints) {
        if (it.mId == kIds[i].first) {
          aWorld.Drain(it);
        }
      }
    });
  }
  aWorld.RunUntil(end + 4500);
}

int
Play(const Options& aOptions)
{
  World world(aOptions);
  Operator admin(world);
  AddEndpoints(world);
  admin.Write();
  if (!world.Start(kZones)) {
    world.Log().Line("not all machines became ready");
    return 2;
  }
  world.RunUntil(NowMs() + World::kStableWindowMs + 500);
  if (aOptions.mScenario == "storm") {
    PlayStorm(world, admin);
  } else if (aOptions.mScenario == "unlisted") {
    PlayUnlisted(world, admin);
  } else if (aOptions.mScenario == "collision") {
    PlayCollision(world, admin);
  } else {
    return 2;
  }
  world.Log().Line("sent " + std::to_string(world.mSent) + ", answered " +
                   std::to_string(world.mAnswered) + ", rules broken " +
                   std::to_string(world.BrokenCount()));
  // A run in which hardly anything is served shows nothing.
  if (world.mAnswered * 4 < world.mSent) {
    return 2;
  }
  return world.BrokenCount() > 0 ? 1 : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 6) {
    fprintf(stderr, "usage: world SCENARIO ROOT SCRATCH RECORD TROUBLE\n");
    return 2;
  }
  try {
    return Play(
      { argv[2], argv[3], argv[4], argv[1], std::string(argv[5]) != "0" });
  } catch (const std::exception& e) {
    fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}

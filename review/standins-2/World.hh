#ifndef review2_World_hh
#define review2_World_hh

// A small deployment on loopback addresses: three zones, seven daemons, a
// store, endpoints and clients. All addresses are in 127.B.0.0/16, where B is
// drawn at the start.

#include <cstdarg>
#include <random>

#include "Caller.hh"
#include "Fleet.hh"
#include "Proxy.hh"
#include "Upstream.hh"

// Bounds of the small deployments.
constexpr double kSmallDrainMs = 3000;
constexpr double kSmallConfigApplyMs = 3000;
constexpr double kSmallStableWindowMs = 4000;

struct Options
{
  std::string scenario;
  std::string folder;
  std::string root;
  std::string record;
  bool hasTrouble = true;
};

struct ServicePlan
{
  std::string name;
  std::vector<int> perZone;
  double workMs;
};

class World
{
public:
  const std::vector<std::string> kZones{ "agadir-a", "agadir-b", "taroudant" };
  const std::vector<int> kMachines{ 3, 2, 2 };

  explicit World(Options options)
    : mOptions(std::move(options))
    , mStore(mLoop)
  {
    mRecord = fopen(mOptions.record.c_str(), "w");
    if (mRecord == nullptr) {
      throw CannotRun("cannot write " + mOptions.record);
    }
    std::random_device random;
    mBase = 127U << 24 | (16 + random() % 200) << 16;
    const auto port = static_cast<uint16_t>(20000 + random() % 400 * 20);
    mFleetSettings.folder = mOptions.folder;
    mFleetSettings.root = mOptions.root;
    mFleetSettings.datagramPort = port;
    mFleetSettings.readyPort = port + 1;
    mFleetSettings.controlPort = port + 2;
    mFleetSettings.zones = kZones;
    mInsidePort = port + 2000;
    mOutsidePort = port + 4000;
  }
  ~World()
  {
    mFleet.reset();
    fclose(mRecord);
  }

  void Log(const char* format, ...) __attribute__((format(printf, 2, 3)))
  {
    va_list args;
    va_start(args, format);
    fprintf(mRecord, "%9.1f ", NowMs());
    vfprintf(mRecord, format, args);
    fputc('\n', mRecord);
    va_end(args);
    fflush(mRecord);
  }

  // 127.B.group.number
  Addr At(uint32_t group, uint32_t number, uint16_t port = 0) const
  {
    return { mBase | group << 8 | number, port };
  }
  Addr Route(uint32_t number) const { return At(220, number, 8443); }

  // Writes op/config with these routes: number and service.
  uint64_t WriteConfiguration(uint64_t version,
                              const std::map<uint32_t, std::string>& routes)
  {
    std::string list;
    const auto add = [&](const std::string& name,
                         const Addr& at,
                         const std::string& service,
                         const char* kind) {
      list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") + name +
              "\",\"hostname\":\"" + at.IpText() + "\",\"prefix\":\"/" +
              std::to_string(at.port) + "/\",\"kind\":\"" + kind +
              "\",\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":2,"
              "\"service\":\"" +
              service + "\",\"max_attempts\":2}";
    };
    for (const auto& [number, service] : routes) {
      add("r-" + std::to_string(number), Route(number), service, "safe");
    }
    for (uint32_t i = 0; i < 20; ++i) {
      add("idle-" + std::to_string(i),
          At(221, 1 + i, 8080),
          "statements",
          "safe");
    }
    std::string services;
    for (const std::string& it :
         { std::string("ledger"), std::string("statements") }) {
      services += (services.empty() ? "" : ",") + std::string("{\"name\":\"") +
                  it +
                  "\",\"health_path\":\"/health\",\"max_flows\":2000,"
                  "\"protocol\":\"h1\",\"tls\":false" +
                  mServiceExtra + "}";
    }
    const uint64_t revision = mStore.Put(
      "op/config",
      "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
        "],\"services\":[" + services +
        "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    Log("store: op/config version %lu accepted as revision %lu",
        static_cast<unsigned long>(version),
        static_cast<unsigned long>(revision));
    return revision;
  }

  Upstream& AddUpstream(const std::string& service, int zone, double workMs)
  {
    const auto n = static_cast<uint32_t>(mUpstreams.size());
    UpstreamSettings s;
    s.instance = 0x9000000000ULL + std::random_device{}() % 0x7fffffff * 16 + n;
    char id[32];
    snprintf(
      id, sizeof(id), "i-%010llx", static_cast<unsigned long long>(s.instance));
    s.id = id;
    s.address = At(64 + zone, 10 + n, mFleetSettings.datagramPort + 7);
    s.service = service;
    s.zone = kZones[zone];
    s.workMs = workMs;
    s.clientPort = mFleetSettings.datagramPort;
    mUpstreams.push_back(std::make_unique<Upstream>(mLoop, mStore, s));
    Log("endpoint %s of %s in %s at %s",
        id,
        service.c_str(),
        s.zone.c_str(),
        s.address.Text().c_str());
    return *mUpstreams.back();
  }

  // Starts everything. With proxiesFirstZone, the traffic between the daemons
  // of the first zone and the others goes through a proxy.
  void Start(bool proxiesFirstZone)
  {
    WriteConfiguration(2, { { 1, "ledger" }, { 2, "statements" } });
    for (int zone = 0; zone < 3; ++zone) {
      const std::vector<int> ledger{ 5, 5, 4 };
      const std::vector<int> statements{ 2, 1, 1 };
      for (int i = 0; i < ledger[zone]; ++i) {
        AddUpstream("ledger", zone, 47);
      }
      for (int i = 0; i < statements[zone]; ++i) {
        AddUpstream("statements", zone, 4.2);
      }
      mCallers.push_back(std::make_unique<Caller>(
        mLoop, At(128 + zone, 10, mFleetSettings.datagramPort)));
    }
    mFleet = std::make_unique<Fleet>(mLoop, mFleetSettings);
    std::vector<uint32_t> inside;
    std::vector<uint32_t> outside;
    for (int zone = 0; zone < 3; ++zone) {
      for (int i = 0; i < kMachines[zone]; ++i) {
        const uint32_t ip = At(1 + zone, 10 + i).ip;
        const bool isInside = proxiesFirstZone && zone == 0;
        (isInside ? inside : outside).push_back(ip);
        mFleet->Add(kZones[zone], ip, isInside ? mInsidePort : mOutsidePort);
      }
    }
    if (proxiesFirstZone) {
      mProxy = std::make_unique<ZoneProxy>(
        mLoop, inside, mInsidePort, outside, mOutsidePort);
    }
    for (Node& it : mFleet->Nodes()) {
      mStore.Listen(StoreOf(it), it.index);
      mFleet->WriteSettings(it, StoreOf(it), Seeds(), true);
      mFleet->Start(it);
      Log("%s starts at %s in %s",
          it.name.c_str(),
          it.ingress.IpText().c_str(),
          it.zone.c_str());
    }
  }
  Addr StoreOf(const Node& n) const
  {
    return At(200, 1 + n.index, mFleetSettings.datagramPort + 9);
  }
  std::vector<Addr> Seeds() const
  {
    const uint16_t port = mFleetSettings.controlPort;
    return { At(1, 10, port), At(2, 10, port), At(3, 10, port) };
  }

  // Waits until all daemons are in rotation. Throws CannotRun if they are not
  // within 15 s.
  void WaitUntilReady()
  {
    const double end = NowMs() + 15000;
    while (mFleet->ReadyCount() < mFleet->Nodes().size()) {
      if (NowMs() > end) {
        throw CannotRun("not all daemons became ready");
      }
      mLoop.RunUntil(NowMs() + 50);
    }
    Log("all %zu daemons are in rotation", mFleet->Nodes().size());
  }

  // Lets the clients of each zone ask at this rate until mHasTraffic is false.
  void StartTraffic(double perSecondInZone)
  {
    for (int zone = 0; zone < 3; ++zone) {
      mLoop.Every(1000 / perSecondInZone, [this, zone] {
        if (!mHasTraffic) {
          return;
        }
        const uint32_t route = ++mAsked % 8 == 0 ? 2 : 1;
        const std::string id = "q" + std::to_string(mAsked);
        mCallers[zone]->Ask(
          Route(route),
          id,
          [this, zone](const Addr& source) {
            return mFleet->Pick(kZones[zone], source);
          },
          [this, zone](const Caller::Result& r) {
            ++mEnds[{ zone, Caller::Name(r.end) }];
            mResults.push_back(r);
          });
      });
    }
  }
  void LogEnds()
  {
    for (const auto& [key, n] : mEnds) {
      Log("requests of clients in %s: %s: %lu",
          kZones[key.first].c_str(),
          key.second.c_str(),
          static_cast<unsigned long>(n));
    }
  }

  const Node* NodeAt(uint32_t ip) const
  {
    for (const Node& it : mFleet->Nodes()) {
      if (it.ingress.ip == ip) {
        return &it;
      }
    }
    return nullptr;
  }

  Options mOptions;
  Loop mLoop;
  Store mStore;
  FleetSettings mFleetSettings;
  std::string mServiceExtra;
  std::unique_ptr<Fleet> mFleet;
  std::unique_ptr<ZoneProxy> mProxy;
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::vector<std::unique_ptr<Caller>> mCallers;
  bool mHasTraffic = true;
  std::vector<Caller::Result> mResults;
  std::map<std::pair<int, std::string>, uint64_t> mEnds;
  uint64_t mAsked = 0;

private:
  FILE* mRecord = nullptr;
  uint32_t mBase = 0;
  uint16_t mInsidePort = 0;
  uint16_t mOutsidePort = 0;
};

#endif

// Runs one case of the review: starts the deployment, causes the disruption and
// checks the rule. Exit codes: 0 the rule held, 1 it was broken, 2 the case
// could not run.

#include <cstring>
#include <iostream>

#include "World.hh"

namespace {

// The scenario is to be started again with other addresses.
constexpr int kOtherAddresses = -1;
constexpr int kMaxStarts = 12;

// Nothing gets out of the first zone for a while, and what goes in still
// arrives; with DIRECTION=in it is the other way round. Just after the start of
// the cut, the configuration gets a route and an endpoint of the zone begins to
// drain.
int
RunOneWay(World& w)
{
  // Length of the cut and bounds as on the site whose page names it.
  constexpr double kCutMs = 5500;
  constexpr double kDrainMs = 5000;
  constexpr double kConfigApplyMs = 5000;
  constexpr double kStableWindowMs = 5000;
  constexpr uint32_t kNewRoute = 3;
  const char* direction = getenv("DIRECTION");
  const bool isIn = direction != nullptr && strcmp(direction, "in") == 0;
  w.mFleetSettings.drainMs = static_cast<int>(kDrainMs);
  w.mFleetSettings.configApplyMs = static_cast<int>(kConfigApplyMs);
  w.mFleetSettings.stableWindowMs = static_cast<int>(kStableWindowMs);
  w.Start(/*proxiesFirstZone=*/true);
  w.WaitUntilReady();
  w.mLoop.RunUntil(NowMs() + 1000);
  std::vector<uint64_t> atStart;
  for (const Node& it : w.mFleet->Nodes()) {
    atStart.push_back(w.mStore.CallCount(it.index));
  }
  w.mLoop.RunUntil(NowMs() + 1500);
  // One daemon reads the store for all, which one depends on the addresses. The
  // daemons on the other side of the cut must not have it among them.
  for (const Node& it : w.mFleet->Nodes()) {
    const bool isAffected = (it.zone == w.kZones[0]) != isIn;
    if (isAffected && w.mStore.CallCount(it.index) > atStart[it.index]) {
      w.Log("%s reads the store for all: once more with other addresses",
            it.name.c_str());
      return kOtherAddresses;
    }
  }
  w.StartTraffic(40);
  // All is calm for longer than stable_window_ms.
  w.mLoop.RunUntil(NowMs() + kStableWindowMs + 2000);
  bool isCut = false;
  // The daemons' packets to the endpoints are cut off in the same direction.
  for (const auto& it : w.mUpstreams) {
    const bool isInside = it->Settings().zone == w.kZones[0];
    it->mIsCut = [&w, &isCut, isInside, isIn](uint32_t from) {
      const Node* node = w.NodeAt(from);
      return isCut && node != nullptr && isInside == isIn &&
             (node->zone == w.kZones[0]) != isIn;
    };
  }
  const double cutAt = NowMs();
  if (w.mOptions.hasTrouble) {
    isCut = true;
    w.mProxy->SetCut(isIn ? ZoneProxy::Cut::In : ZoneProxy::Cut::Out);
    w.Log("disruption: nothing gets %s %s %s the other zones for %.0f ms; the "
          "store, the clients and the other direction are reachable",
          isIn ? "into" : "out of",
          w.kZones[0].c_str(),
          isIn ? "from" : "to",
          kCutMs);
  }
  w.mLoop.RunUntil(cutAt + 30);
  w.WriteConfiguration(
    5, { { 1, "ledger" }, { 2, "statements" }, { kNewRoute, "statements" } });
  // An endpoint of a zone whose daemons lack the change.
  Upstream& drained = isIn ? *w.mUpstreams[7] : *w.mUpstreams.front();
  drained.Drain();
  const double acknowledgedAt = NowMs();
  w.Log("store: endpoint %s is draining", drained.Settings().id.c_str());
  std::vector<uint64_t> calls;
  for (const Node& it : w.mFleet->Nodes()) {
    calls.push_back(w.mStore.CallCount(it.index));
  }
  // Requests of the new route, sent to each affected daemon in turn later than
  // config_apply_ms after the acknowledgement.
  std::vector<const Node*> affected;
  for (const Node& it : w.mFleet->Nodes()) {
    if ((it.zone == w.kZones[0]) != isIn) {
      affected.push_back(&it);
    }
  }
  uint64_t refused = 0;
  uint64_t served = 0;
  uint64_t unanswered = 0;
  const double firstProbeAt = acknowledgedAt + kConfigApplyMs + 20;
  const double lastProbeAt = cutAt + kCutMs - 50;
  int n = 0;
  for (double at = firstProbeAt; at < lastProbeAt; at += 30, ++n) {
    const Node& node = *affected[n % affected.size()];
    w.mLoop.At(at, [&, n] {
      w.mCallers[0]->Ask(
        w.Route(kNewRoute),
        "new-route-" + std::to_string(n),
        [&node](const Addr&) { return node.ingress; },
        [&, n](const Caller::Result& r) {
          w.Log("request new-route-%d, sent %.0f ms after the acknowledgement "
                "through %s: %s",
                n,
                r.sentMs - acknowledgedAt,
                node.name.c_str(),
                Caller::Name(r.end));
          refused += r.end == Caller::End::ResetBySystem ? 1 : 0;
          served += r.end == Caller::End::Answered ? 1 : 0;
          unanswered +=
            r.end == Caller::End::NotOpened || r.end == Caller::End::NoAnswer
              ? 1
              : 0;
        });
    });
  }
  w.mLoop.RunUntil(cutAt + kCutMs);
  const double healedAt = NowMs();
  for (const Node& it : w.mFleet->Nodes()) {
    w.Log("%s called the store %lu times since the acknowledgement",
          it.name.c_str(),
          static_cast<unsigned long>(w.mStore.CallCount(it.index) -
                                     calls[it.index]));
  }
  isCut = false;
  w.mProxy->SetCut(ZoneProxy::Cut::None);
  w.Log("end of the disruption");
  w.mLoop.RunUntil(NowMs() + 3000);
  w.mHasTraffic = false;
  w.mLoop.RunUntil(NowMs() + 2000);
  w.LogEnds();
  uint64_t late = 0;
  uint64_t lateInSmall = 0;
  for (const Upstream::Opening& it : drained.mOpenings) {
    const bool isLate =
      it.arrivedMs > acknowledgedAt + kDrainMs && it.arrivedMs < healedAt;
    lateInSmall +=
      it.arrivedMs > acknowledgedAt + kSmallDrainMs && it.arrivedMs < healedAt
        ? 1
        : 0;
    if (isLate) {
      ++late;
      const Node* node = w.NodeAt(it.via);
      w.Log(
        "DRAIN: endpoint %s took a flow %.0f ms after its drain, through %s",
        drained.Settings().id.c_str(),
        it.arrivedMs - acknowledgedAt,
        node == nullptr ? "?" : node->name.c_str());
    }
  }
  w.Log("CONFIG: requests of the new route: %lu refused, %lu not answered, "
        "%lu served",
        static_cast<unsigned long>(refused),
        static_cast<unsigned long>(unanswered),
        static_cast<unsigned long>(served));
  w.Log("DRAIN: %lu flows opened later than %.0f ms after the drain, %lu later "
        "than the %.0f ms of a small deployment",
        static_cast<unsigned long>(late),
        kDrainMs,
        static_cast<unsigned long>(lateInSmall),
        kSmallDrainMs);
  return refused > 0 || late > 0 ? 1 : 0;
}

// The settings files change: they get keys of a matter that is not open on this
// deployment, without a value. Then the machines are stopped and started in
// turn.
int
RunEmptyKeys(World& w)
{
  constexpr double kGapMs = 2000;
  // Share of the machines that get a SIGHUP.
  constexpr double kSignalledShare = 0.6;
  constexpr double kRestartDelayMs = 1000;
  constexpr double kRecoveryMs = 12000;
  // Ends by itself that make a machine count for the rule "Fault".
  constexpr int kEndsOfMachine = 3;
  w.Start(/*proxiesFirstZone=*/false);
  w.WaitUntilReady();
  w.StartTraffic(20);
  w.mLoop.RunUntil(NowMs() + kSmallStableWindowMs + 1000);
  w.LogEnds();
  if (w.mOptions.hasTrouble) {
    w.mFleet->SetExtraBounds(",\"cold_overage\":null,\"cold_slack\":null,"
                             "\"evacuate_ms\":null");
    w.Log(
      "disruption: the settings files get the keys cold_overage, cold_slack "
      "and evacuate_ms, which are empty");
  }
  auto& nodes = w.mFleet->Nodes();
  for (Node& it : nodes) {
    w.mFleet->WriteSettings(it, w.StoreOf(it), w.Seeds(), false);
    if (it.index + 1 <= kSignalledShare * static_cast<double>(nodes.size())) {
      Fleet::Signal(it, SIGHUP);
      w.Log("SIGHUP to %s", it.name.c_str());
    }
  }
  w.mLoop.RunUntil(NowMs() + 2000);
  w.Log("planned work: roll_term, one machine each %.0f ms", kGapMs);
  std::vector<int> failedStarts(nodes.size());
  std::vector<bool> isRolled(nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    w.mLoop.After(kGapMs * static_cast<double>(i), [&, i] {
      isRolled[i] = true;
      Fleet::Signal(nodes[i], SIGTERM);
      w.Log("SIGTERM to %s", nodes[i].name.c_str());
    });
  }
  // A process that ended is started again after a short delay.
  std::vector<double> restartAt(nodes.size(), -1);
  bool isWatching = true;
  w.mLoop.Every(50, [&, isWatchingPtr = &isWatching] {
    for (size_t i = 0; *isWatchingPtr && i < nodes.size(); ++i) {
      if (nodes[i].pid != 0 || !isRolled[i]) {
        continue;
      }
      if (restartAt[i] < 0) {
        restartAt[i] = NowMs() + kRestartDelayMs;
        const int status = nodes[i].status;
        const bool isError = !WIFEXITED(status) || WEXITSTATUS(status) != 0;
        failedStarts[i] += isError ? 1 : 0;
        if (failedStarts[i] <= kEndsOfMachine) {
          w.Log("%s ended with exit code %d",
                nodes[i].name.c_str(),
                WIFEXITED(status) ? WEXITSTATUS(status) : -1);
        }
      } else if (NowMs() >= restartAt[i]) {
        restartAt[i] = -1;
        w.mFleet->Start(nodes[i]);
      }
    }
  });
  w.mLoop.RunUntil(NowMs() + kGapMs * 7 + 3000 + kRecoveryMs);
  w.Log(
    "daemons in rotation: %zu of %zu", w.mFleet->ReadyCount(), nodes.size());
  w.mResults.clear();
  const double from = NowMs();
  w.mLoop.RunUntil(from + 2000);
  w.mHasTraffic = false;
  w.mLoop.RunUntil(NowMs() + 4500);
  uint64_t asked = 0;
  uint64_t served = 0;
  for (const Caller::Result& it : w.mResults) {
    if (it.sentMs >= from) {
      ++asked;
      served += it.end == Caller::End::Answered ? 1 : 0;
    }
  }
  isWatching = false;
  int affected = 0;
  for (size_t i = 0; i < nodes.size(); ++i) {
    w.Log("%s: %d starts failed", nodes[i].name.c_str(), failedStarts[i]);
    affected += failedStarts[i] >= kEndsOfMachine ? 1 : 0;
  }
  w.LogEnds();
  w.Log("Fault: on %d of %zu machines the program failed to start %d times or "
        "more; %lu of the last %lu requests were served",
        affected,
        nodes.size(),
        kEndsOfMachine,
        static_cast<unsigned long>(served),
        static_cast<unsigned long>(asked));
  return affected >= 2 ? 1 : 0;
}

// Three endpoints lose their path to the store, so that the store removes their
// entries, and the two machines that read the store are partitioned from it.
int
RunLateRemoval(World& w)
{
  constexpr int kRounds = 7;
  constexpr int kEndpoints = 3;
  constexpr double kLossMs = 9500;
  constexpr double kCutMs = 4000;
  constexpr double kSpacingMs = 700;
  constexpr double kRestMs = 3500;
  w.Start(/*proxiesFirstZone=*/false);
  w.WaitUntilReady();
  w.StartTraffic(50);
  w.mLoop.RunUntil(NowMs() + kSmallStableWindowMs + 1000);
  auto& nodes = w.mFleet->Nodes();
  // Returns the machine that has called the store most often in the last time.
  const auto reader = [&](double ms, int except) {
    std::vector<uint64_t> before;
    for (const Node& it : nodes) {
      before.push_back(w.mStore.CallCount(it.index));
    }
    w.mLoop.RunUntil(NowMs() + ms);
    int best = -1;
    uint64_t most = 0;
    for (const Node& it : nodes) {
      const uint64_t calls = w.mStore.CallCount(it.index) - before[it.index];
      if (it.index != except && calls > most) {
        most = calls;
        best = it.index;
      }
    }
    return best;
  };
  // NO_CUTS=1 leaves the machines' paths to the store open.
  const bool hasCuts = w.mOptions.hasTrouble && getenv("NO_CUTS") == nullptr;
  const auto cut = [&](int node) {
    if (node < 0 || !hasCuts) {
      return;
    }
    w.mStore.SetPath(node, Store::Path::Silent);
    w.Log("disruption: %s is partitioned from the store for %.0f ms",
          nodes[node].name.c_str(),
          kCutMs);
    w.mLoop.After(kCutMs,
                  [&w, node] { w.mStore.SetPath(node, Store::Path::Open); });
  };
  uint64_t late = 0;
  for (int round = 0; round < kRounds; ++round) {
    const double startedAt = NowMs();
    std::vector<Upstream*> lost;
    for (int i = 0; i < kEndpoints && w.mOptions.hasTrouble; ++i) {
      lost.push_back(w.mUpstreams[(round * kEndpoints + i) % 14].get());
      w.Log("disruption: endpoint %s loses its path to the store for %.0f ms",
            lost.back()->Settings().id.c_str(),
            kLossMs);
      w.mLoop.At(startedAt + i * kSpacingMs,
                 [it = lost.back()] { it->LoseStore(); });
    }
    const int first = reader(1200, -1);
    cut(first);
    const int second = reader(1200, first);
    cut(second);
    w.mLoop.RunUntil(startedAt + kLossMs);
    for (Upstream* it : lost) {
      const double removedAt = it->RemovedMs();
      w.Log("store: the entry of %s was removed at %.1f",
            it->Settings().id.c_str(),
            removedAt);
      for (const Upstream::Opening& n : it->mOpenings) {
        const Node* node = w.NodeAt(n.via);
        const bool isCut =
          node != nullptr && (node->index == first || node->index == second);
        const bool isInTouch = node != nullptr && !(hasCuts && isCut);
        if (removedAt > 0 && isInTouch &&
            n.arrivedMs > removedAt + kSmallDrainMs) {
          ++late;
          w.Log("DRAIN: endpoint %s took a flow %.0f ms after the removal, "
                "through %s, which is in touch",
                it->Settings().id.c_str(),
                n.arrivedMs - removedAt,
                node->name.c_str());
        }
      }
      it->mOpenings.clear();
      it->FindStore();
    }
    w.mLoop.RunUntil(NowMs() + kRestMs);
  }
  w.mHasTraffic = false;
  w.mLoop.RunUntil(NowMs() + 2000);
  w.LogEnds();
  w.Log("DRAIN: %lu flows opened later than %.0f ms after the removal",
        static_cast<unsigned long>(late),
        kSmallDrainMs);
  return late > 0 ? 1 : 0;
}

std::string
Value(const char* argument, const char* name)
{
  const size_t n = strlen(name);
  return strncmp(argument, name, n) == 0 ? argument + n : "";
}

} // namespace

int
main(int argc, char** argv)
{
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string folder = Value(argv[i], "--folder=");
    const std::string root = Value(argv[i], "--root=");
    const std::string record = Value(argv[i], "--record=");
    options.folder = folder.empty() ? options.folder : folder;
    options.root = root.empty() ? options.root : root;
    options.record = record.empty() ? options.record : record;
    if (strncmp(argv[i], "--", 2) != 0) {
      options.scenario = argv[i];
    }
  }
  const char* trouble = getenv("TROUBLE");
  options.hasTrouble = trouble == nullptr || strcmp(trouble, "0") != 0;
  signal(SIGPIPE, SIG_IGN);
  const std::map<std::string, int (*)(World&)> scenarios{
    { "one-way", RunOneWay },
    { "empty-keys", RunEmptyKeys },
    { "late-removal", RunLateRemoval },
  };
  const auto scenario = scenarios.find(options.scenario);
  if (scenario == scenarios.end()) {
    std::cerr << "unknown case " << options.scenario << "\n";
    return 2;
  }
  try {
    for (int i = 0; i < kMaxStarts; ++i) {
      World world(options);
      const int code = scenario->second(world);
      if (code != kOtherAddresses) {
        world.Log("result: %s",
                  code == 0 ? "the rule held" : "the rule was broken");
        return code;
      }
    }
    std::cerr << "no addresses found that fit the case\n";
    return 2;
  } catch (const CannotRun& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
}

#ifndef review2_Fleet_hh
#define review2_Fleet_hh

// Starts the nodes as processes, with settings like those of a small
// deployment, and stands in for the routers.

#include <csignal>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "Store.hh"

struct Node
{
  std::string name;
  std::string zone;
  Addr ingress;
  Addr ready;
  uint16_t internalPort = 0;
  int index = 0;
  pid_t pid = 0;
  int misses = 2;
  std::string settingsPath;
  std::string logPath;
  // Wait status of the process after its end.
  int status = -1;
};

struct FleetSettings
{
  std::string folder;
  std::string root;
  uint16_t datagramPort = 0;
  uint16_t readyPort = 0;
  uint16_t controlPort = 0;
  Addr store;
  std::vector<std::string> zones;
  int drainMs = 3000;
  int configApplyMs = 3000;
  int stableWindowMs = 4000;
  std::string extraBounds;
};

class Fleet
{
public:
  Fleet(Loop& loop, FleetSettings settings)
    : mLoop(loop)
    , mSettings(std::move(settings))
  {
    loop.Every(500, [this] { ProbeAll(); });
    loop.Every(20, [this] { Reap(); });
  }
  ~Fleet()
  {
    for (Node& it : mNodes) {
      if (it.pid > 0) {
        kill(it.pid, SIGCONT);
        kill(it.pid, SIGKILL);
        waitpid(it.pid, nullptr, 0);
      }
    }
  }

  Node& Add(const std::string& zone, uint32_t ip, uint16_t internalPort)
  {
    mNodes.reserve(64);
    Node n;
    n.index = static_cast<int>(mNodes.size());
    n.zone = zone;
    n.name = "front-" + zone + "-" + std::to_string(n.index);
    n.ingress = { ip, mSettings.datagramPort };
    n.ready = { ip, mSettings.readyPort };
    n.internalPort = internalPort;
    n.settingsPath = mSettings.folder + "/" + n.name + ".json";
    n.logPath = mSettings.folder + "/" + n.name + ".log";
    mNodes.push_back(n);
    return mNodes.back();
  }
  std::vector<Node>& Nodes() { return mNodes; }

  // Text that is added to the bounds in settings files that are written later.
  void SetExtraBounds(const std::string& text) { mSettings.extraBounds = text; }

  // `store` is the address at which this node finds the store.
  void WriteSettings(const Node& n,
                     const Addr& store,
                     const std::vector<Addr>& seeds,
                     bool bootstrap) const
  {
    std::string zones;
    for (const std::string& it : mSettings.zones) {
      zones += (zones.empty() ? "\"" : ",\"") + it + "\":\"souss\"";
    }
    std::string seedText;
    for (const Addr& it : seeds) {
      seedText += (seedText.empty() ? "\"" : ",\"") + it.Text() + "\"";
    }
    const std::string ip = n.ingress.IpText();
    std::ofstream(n.settingsPath)
      << "{\"node\":\"" << n.name
      << "\",\"role\":\"balancer\",\"machine_class\":\"front\","
         "\"serves\":[\"front\",\"control\"],\"ip\":\""
      << ip << "\",\"zone\":\"" << n.zone
      << "\",\"region\":\"souss\",\"zones\":{" << zones
      << "},\"listen\":{\"datagram_addr\":\"" << n.ingress.Text()
      << "\",\"ready_addr\":\"" << n.ready.Text() << "\",\"control\":\"" << ip
      << ":" << mSettings.controlPort << "\"},\"internal_ports\":["
      << n.internalPort << "," << n.internalPort + 15 << "],\"seeds\":["
      << seedText << "],\"bootstrap\":" << (bootstrap ? "true" : "false")
      << ",\"include_in_tolerance\":false,\"limits\":{\"cpu_share\":0.25,"
         "\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,"
         "\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
         "\"entry\":\"announce\",\"heartbeat_ms\":1200,\"contracts\":[\"base\","
         "\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"],"
         "\"fault_tolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},"
         "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
         "\"stable_window_ms\":"
      << mSettings.stableWindowMs
      << ",\"ack_ms\":5000,\"catch_up_s\":4,\"drain_ms\":" << mSettings.drainMs
      << ",\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":"
      << mSettings.configApplyMs
      << ",\"rollback_slack_ms\":250,"
         "\"max_stretch_ms\":12000,\"recovery_s\":12,"
         "\"reorder_window_ms\":2000,\"max_flow_s\":60"
      << mSettings.extraBounds
      << "},\"flow_hash\":\"mod\",\"access_mode\":\"echo\",\"platform\":{"
         "\"address\":\""
      << store.Text()
      << "\",\"access_mode\":\"read\",\"writes_per_s\":400,"
         "\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,"
         "\"ttl_min_ms\":1000}}\n";
  }

  void Start(Node& n)
  {
    n.status = -1;
    n.misses = 2;
    n.pid = fork();
    if (n.pid != 0) {
      return;
    }
    // A daemon must not outlive the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      open(n.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    setenv("FOXTAILCOVE_NODE_FILE", n.settingsPath.c_str(), 1);
    if (chdir(mSettings.root.c_str()) == 0) {
      execl("target/bin/foxtail-node",
            "target/bin/foxtail-node",
            "--status_port=9464",
            nullptr);
    }
    _exit(127);
  }
  static void Signal(const Node& n, int signal)
  {
    if (n.pid > 0) {
      kill(n.pid, signal);
    }
  }

  static bool IsInRotation(const Node& n) { return n.misses < 2; }
  size_t ReadyCount() const
  {
    size_t n = 0;
    for (const Node& it : mNodes) {
      n += IsInRotation(it) ? 1 : 0;
    }
    return n;
  }

  // Returns the node of a zone that the routers choose for a flow.
  Addr Pick(const std::string& zone, const Addr& source) const
  {
    std::vector<const Node*> all;
    std::vector<const Node*> in;
    std::vector<const Node*> anywhere;
    for (const Node& it : mNodes) {
      if (it.zone == zone) {
        all.push_back(&it);
        if (IsInRotation(it)) {
          in.push_back(&it);
        }
      } else if (IsInRotation(it)) {
        anywhere.push_back(&it);
      }
    }
    const auto& from = in.empty()                   ? anywhere
                       : 2 * in.size() < all.size() ? all
                                                    : in;
    if (from.empty()) {
      return {};
    }
    const uint64_t hash =
      (source.ip * 0x9E3779B97F4A7C15ULL + source.port) * 0xBF58476D1CE4E5B9ULL;
    return from[(hash >> 33) % from.size()]->ingress;
  }

private:
  void Reap()
  {
    for (Node& it : mNodes) {
      int status = 0;
      if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
        it.pid = 0;
        it.status = status;
      }
    }
  }

  void ProbeAll()
  {
    for (Node& it : mNodes) {
      Probe(it);
    }
  }
  void Probe(Node& n)
  {
    const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in a = ToSockaddr(n.ready);
    connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a));
    auto isOver = std::make_shared<bool>(false);
    auto isSent = std::make_shared<bool>(false);
    const auto end = [this, fd, isOver, &n](bool isReady) {
      if (!*isOver) {
        *isOver = true;
        mLoop.Close(fd);
        n.misses = isReady ? 0 : std::min(n.misses + 1, 2);
      }
    };
    mLoop.Add(fd, POLLOUT, [this, fd, isSent, end, &n](short events) {
      if (!*isSent) {
        const std::string request =
          "GET /v1/ready HTTP/1.1\r\nHost: " + n.ready.Text() +
          "\r\nConnection: close\r\n\r\n";
        if ((events & (POLLERR | POLLHUP)) != 0 ||
            send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
          end(false);
          return;
        }
        *isSent = true;
        mLoop.SetEvents(fd, POLLIN);
        return;
      }
      char buffer[512];
      const ssize_t got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      end(got > 12 && std::string(buffer, 12) == "HTTP/1.1 200");
    });
    mLoop.After(450, [end] { end(false); });
  }

  Loop& mLoop;
  FleetSettings mSettings;
  std::vector<Node> mNodes;
};

#endif

#ifndef review2_Upstream_hh
#define review2_Upstream_hh

// Stand-in for an endpoint: speaks the packets of the platform's pages, keeps
// its entry in the store and reports what it took and ran.

#include <deque>
#include <memory>

#include "Packet.hh"
#include "Store.hh"

struct UpstreamSettings
{
  std::string id;
  uint64_t instance = 0;
  Addr address;
  std::string service;
  std::string zone;
  uint32_t slots = 3;
  double workMs = 30;
  // Port of the clients, the one of datagram_addr.
  uint16_t clientPort = 0;
};

class Upstream
{
public:
  // A flow whose handshake ended here: when its opening packet and its last
  // packet of the handshake arrived, and the node that sent the opening packet.
  struct Opening
  {
    double arrivedMs;
    uint32_t via;
    Addr caller;
  };

  static constexpr double kHeartbeatMs = 1200;

  Upstream(Loop& loop, Store& store, UpstreamSettings settings)
    : mLoop(loop)
    , mStore(store)
    , mSettings(std::move(settings))
    , mUdp(
        loop,
        mSettings.address,
        [this](const Addr& from, const std::string& b) { OnDatagram(from, b); })
    , mSeed(static_cast<uint32_t>(mSettings.instance) * 2654435761U)
  {
    Write();
    // Endpoints don't write at the same moment.
    mLoop.After(rand() % static_cast<int>(kHeartbeatMs), [this] {
      if (mHasStore) {
        Write();
        Beat();
      }
    });
  }

  const UpstreamSettings& Settings() const { return mSettings; }
  void Drain()
  {
    mState = "draining";
    Write();
  }
  // The entry is no longer written, as when the path to the store is cut. The
  // store removes it after three silent heartbeat intervals.
  void LoseStore()
  {
    mHasStore = false;
    mLoop.At(mWrittenMs + 3 * kHeartbeatMs, [this] {
      if (!mHasStore) {
        mStore.Remove("servers/" + mSettings.id);
        mRemovedMs = NowMs();
      }
    });
  }
  // The path to the store is back.
  void FindStore()
  {
    mHasStore = true;
    mRemovedMs = -1;
    Write();
    Beat();
  }
  // When the store removed the entry; negative while it is there.
  double RemovedMs() const { return mRemovedMs; }

  std::vector<Opening> mOpenings;
  // Request-Ids in the order in which they ran.
  std::vector<std::string> mRuns;
  uint64_t mForged = 0;
  // Whether a datagram of a node does not arrive.
  std::function<bool(uint32_t)> mIsCut = [](uint32_t) { return false; };

private:
  using Key = std::pair<Addr, Addr>;
  struct Flow
  {
    bool isOpen = false;
    uint32_t clientNext = 0;
    uint32_t seq = 0;
    uint32_t echo = 0;
    uint32_t sent = 0;
    uint32_t acked = 0;
    std::string answer;
    bool hasRequest = false;
    bool isFinished = false;
    double arrivedMs = 0;
    uint32_t via = 0;
    int tries = 0;
  };

  void Write()
  {
    mWrittenMs = NowMs();
    mStore.Put(
      "servers/" + mSettings.id,
      "{\"service\":\"" + mSettings.service + "\",\"address\":\"" +
        mSettings.address.Text() + "\",\"zone\":\"" + mSettings.zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(mSettings.slots) +
        ",\"state\":\"" + mState + "\",\"cold_remaining_ms\":0,\"sequence\":" +
        std::to_string(++mSequence) +
        ",\"born\":" + std::to_string(1760000000000 + mSeed % 1000) + "}");
  }
  void Beat()
  {
    mLoop.After(kHeartbeatMs, [this] {
      if (mHasStore) {
        Write();
        Beat();
      }
    });
  }

  void Send(const Key& key,
            uint8_t flags,
            uint32_t seq,
            uint32_t ack,
            uint32_t echo,
            const std::string& data)
  {
    Packet p;
    p.src = key.second;
    p.dst = key.first;
    p.flags = flags;
    p.seq = seq;
    p.ack = ack;
    p.echo = echo;
    p.data = data;
    mUdp.Send({ key.first.ip, mSettings.clientPort }, p.Encode());
  }

  void OnDatagram(const Addr& from, const std::string& bytes)
  {
    if (bytes.size() < 8 + kHead || mIsCut(from.ip)) {
      return;
    }
    uint64_t instance = 0;
    for (int i = 0; i < 8; ++i) {
      instance = instance << 8 | static_cast<uint8_t>(bytes[i]);
    }
    if (instance != 0 && instance != mSettings.instance) {
      return;
    }
    Packet p;
    if (!Packet::Decode(bytes.substr(8), p) || p.sum != p.Sum()) {
      ++mForged;
      return;
    }
    const Key key{ p.src, p.dst };
    const auto known = mFlows.find(key);
    if ((p.flags & kSyn) != 0) {
      if (known == mFlows.end()) {
        Flow& flow = mFlows[key];
        flow.clientNext = p.seq + 1;
        flow.seq = mSeed += 0x9E3779B9;
        flow.sent = flow.acked = flow.seq + 1;
        flow.echo = p.echo;
        flow.arrivedMs = NowMs();
        flow.via = from.ip;
      }
      const Flow& flow = mFlows[key];
      Send(key, kSyn | kAck, flow.seq, flow.clientNext, flow.echo, "");
      return;
    }
    if (known == mFlows.end()) {
      if ((p.flags & kRst) == 0) {
        Send(key, kRst, p.ack, p.seq, p.echo, "");
      }
      return;
    }
    OnFlowPacket(key, known->second, p);
  }

  void OnFlowPacket(const Key& key, Flow& flow, const Packet& p)
  {
    if ((p.flags & kRst) != 0) {
      mFlows.erase(key);
      return;
    }
    if (!flow.isOpen) {
      if (p.ack != flow.seq + 1) {
        Send(key, kRst, p.ack, p.seq, p.echo, "");
        return;
      }
      flow.isOpen = true;
      mOpenings.push_back({ flow.arrivedMs, flow.via, p.src });
    }
    flow.echo = p.echo;
    if (static_cast<int32_t>(p.ack - flow.acked) > 0) {
      flow.acked = p.ack;
    }
    if (!p.data.empty() && p.seq == flow.clientNext && !flow.hasRequest) {
      flow.hasRequest = true;
      flow.clientNext += static_cast<uint32_t>(p.data.size());
      Enqueue(key, p.data);
    }
    if ((p.flags & kFin) != 0) {
      Send(key, kFin | kAck, flow.sent, p.seq + 1, flow.echo, "");
      flow.isFinished = true;
      mLoop.After(3000, [this, key] { mFlows.erase(key); });
    }
  }

  void Enqueue(const Key& key, const std::string& request)
  {
    mQueue.push_back({ key, request });
    StartWork();
  }
  void StartWork()
  {
    while (mBusy < mSettings.slots && !mQueue.empty()) {
      ++mBusy;
      const auto [key, request] = mQueue.front();
      mQueue.pop_front();
      const size_t at = request.find("Request-Id: ") + 12;
      const std::string id = request.substr(at, request.find('\r', at) - at);
      mRuns.push_back(id);
      mLoop.After(mSettings.workMs, [this, key = key, id] {
        --mBusy;
        const auto it = mFlows.find(key);
        if (it != mFlows.end()) {
          const std::string body = "answer to " + id;
          it->second.answer =
            "HTTP/1.1 200 OK\r\nResponse-Signature: " + id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
          it->second.sent += static_cast<uint32_t>(it->second.answer.size());
          Transmit(key, 200);
        }
        StartWork();
      });
    }
  }
  void Transmit(const Key& key, double interval)
  {
    const auto it = mFlows.find(key);
    if (it == mFlows.end()) {
      return;
    }
    Flow& flow = it->second;
    if (flow.acked == flow.sent || flow.tries++ > 8) {
      return;
    }
    Send(key, kAck, flow.seq + 1, flow.clientNext, flow.echo, flow.answer);
    mLoop.After(interval, [this, key, interval] {
      Transmit(key, std::min(interval * 2, 1600.0));
    });
  }

  Loop& mLoop;
  Store& mStore;
  UpstreamSettings mSettings;
  Udp mUdp;
  uint32_t mSeed;
  std::string mState = "ready";
  uint64_t mSequence = 0;
  bool mHasStore = true;
  double mWrittenMs = 0;
  double mRemovedMs = -1;
  std::map<Key, Flow> mFlows;
  std::deque<std::pair<Key, std::string>> mQueue;
  uint32_t mBusy = 0;
};

#endif

#ifndef review2_Caller_hh
#define review2_Caller_hh

// Stand-in for clients: one flow for each request, copies of the opening packet
// after 200 ms and 600 ms, and the end of the try after 1.4 s.

#include <memory>

#include "Packet.hh"

class Caller
{
public:
  enum class End
  {
    Answered,
    // A reset of the system (its sum is zero).
    ResetBySystem,
    ResetByUpstream,
    // No handshake within 1.4 s.
    NotOpened,
    // No answer until the deadline.
    NoAnswer,
    WrongAnswer
  };
  struct Result
  {
    End end;
    double sentMs;
    double endedMs;
    bool wasOpen;
    std::string id;
  };
  using Done = std::function<void(const Result&)>;

  Caller(Loop& loop, const Addr& at)
    : mLoop(loop)
    , mUdp(loop, at, [this](const Addr&, const std::string& b) { OnPacket(b); })
  {
  }

  static const char* Name(End end)
  {
    static const char* const kNames[] = {
      "answered",   "reset by the system", "reset by the endpoint",
      "not opened", "no answer",           "wrong answer"
    };
    return kNames[static_cast<int>(end)];
  }

  // Sends one request to a route. `pick` returns the node that the router
  // chooses for a packet.
  void Ask(const Addr& route,
           const std::string& id,
           std::function<Addr(const Addr& source)> pick,
           Done done,
           double deadlineMs = 4000)
  {
    auto flow = std::make_shared<Flow>();
    flow->self = { mUdp.mAt.ip, ++mPort == 0 ? ++mPort : mPort };
    flow->route = route;
    flow->id = id;
    flow->pick = std::move(pick);
    flow->done = std::move(done);
    flow->seq = static_cast<uint32_t>(rand());
    flow->sentMs = NowMs();
    mFlows[flow->self.port] = flow;
    for (const auto& [delay, copy] :
         { std::pair<double, uint32_t>{ 0, 0 }, { 200, 1 }, { 600, 2 } }) {
      mLoop.After(delay, [this, flow, copy = copy] {
        if (!flow->isDone && !flow->isOpen) {
          Send(*flow, kSyn, flow->seq, copy, "");
        }
      });
    }
    mLoop.After(1400, [this, flow] {
      if (!flow->isOpen) {
        Finish(*flow, End::NotOpened);
      }
    });
    mLoop.After(deadlineMs, [this, flow] { Finish(*flow, End::NoAnswer); });
  }

private:
  struct Flow
  {
    Addr self;
    Addr route;
    std::string id;
    std::function<Addr(const Addr&)> pick;
    Done done;
    uint32_t seq = 0;
    uint32_t peerNext = 0;
    uint32_t echo = 0;
    double sentMs = 0;
    bool isOpen = false;
    bool isDone = false;
    std::string request;
  };

  void Send(Flow& f,
            uint8_t flags,
            uint32_t seq,
            uint32_t ack,
            const std::string& data)
  {
    Packet p;
    p.src = f.self;
    p.dst = f.route;
    p.flags = flags;
    p.seq = seq;
    p.ack = ack;
    p.echo = f.echo;
    p.data = data;
    const Addr to = f.pick(f.self);
    if (to.ip != 0) {
      mUdp.Send(to, p.Encode());
    }
  }

  void Finish(Flow& f, End end)
  {
    if (f.isDone) {
      return;
    }
    f.isDone = true;
    f.done({ end, f.sentMs, NowMs(), f.isOpen, f.id });
    const uint16_t port = f.self.port;
    mLoop.After(2000, [this, port] { mFlows.erase(port); });
  }

  void SendRequest(const std::shared_ptr<Flow>& f, double interval)
  {
    if (f->isDone) {
      return;
    }
    Send(*f, kAck, f->seq + 1, f->peerNext, f->request);
    mLoop.After(interval, [this, f, interval] {
      SendRequest(f, std::min(interval * 2, 1600.0));
    });
  }

  void OnPacket(const std::string& bytes)
  {
    Packet p;
    if (!Packet::Decode(bytes, p)) {
      return;
    }
    const auto it = mFlows.find(p.dst.port);
    if (it == mFlows.end() || it->second->isDone) {
      return;
    }
    const std::shared_ptr<Flow> f = it->second;
    if (p.src.ip != f->route.ip || p.src.port != f->route.port) {
      return;
    }
    if ((p.flags & kRst) != 0) {
      const bool isOwn = p.sum == 0 && p.data.empty();
      const auto distance = static_cast<int32_t>(p.seq - f->peerNext);
      const bool counts = !f->isOpen || (distance > -76800 && distance < 76800);
      if (counts && (isOwn || p.sum == p.Sum())) {
        Finish(*f, isOwn ? End::ResetBySystem : End::ResetByUpstream);
      }
      return;
    }
    if (p.sum != p.Sum()) {
      Finish(*f, End::WrongAnswer);
      return;
    }
    if ((p.flags & kSyn) != 0) {
      if (!f->isOpen) {
        f->isOpen = true;
        f->peerNext = p.seq + 1;
        f->echo = p.echo;
        f->request =
          "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + f->id + "\r\n\r\n";
        SendRequest(f, 200);
      }
      return;
    }
    if (!p.data.empty() && p.seq == f->peerNext) {
      f->echo = p.echo;
      f->peerNext += static_cast<uint32_t>(p.data.size());
      const auto next = f->seq + 1 + static_cast<uint32_t>(f->request.size());
      Send(*f, kAck, next, f->peerNext, "");
      Send(*f, kAck | kFin, next, f->peerNext, "");
      const bool isOwn = p.data.find("answer to " + f->id) != std::string::npos;
      Finish(*f, isOwn ? End::Answered : End::WrongAnswer);
    }
  }

  Loop& mLoop;
  Udp mUdp;
  uint16_t mPort = 20000;
  std::map<uint16_t, std::shared_ptr<Flow>> mFlows;
};

#endif

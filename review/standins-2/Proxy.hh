#ifndef review2_Proxy_hh
#define review2_Proxy_hh

// Carries the daemons' own traffic between one zone and the others. The daemons
// of the zone have other internal ports than the rest, so each side finds this
// proxy at the addresses of the other side. It can drop all that goes out of
// the zone while it carries all that goes in, or the other way round.

#include <memory>
#include <utility>

#include "Net.hh"

class ZoneProxy
{
public:
  // Internal ports: the daemons use the first one for datagrams and the next
  // one for their replicas.
  ZoneProxy(Loop& loop,
            std::vector<uint32_t> inside,
            uint16_t insidePort,
            std::vector<uint32_t> outside,
            uint16_t outsidePort)
    : mLoop(loop)
    , mInsidePort(insidePort)
    , mOutsidePort(outsidePort)
  {
    for (const uint32_t ip : outside) {
      mFromInside[ip] = std::make_unique<Udp>(
        loop,
        Addr{ ip, insidePort },
        [this, ip](const Addr& from, const std::string& b) {
          const auto it = mFromOutside.find(from.ip);
          if (mCut != Cut::Out && it != mFromOutside.end()) {
            it->second->Send({ ip, mOutsidePort }, b);
          }
        });
      Listen({ ip, static_cast<uint16_t>(insidePort + 1) },
             { ip, static_cast<uint16_t>(outsidePort + 1) });
    }
    for (const uint32_t ip : inside) {
      mFromOutside[ip] = std::make_unique<Udp>(
        loop,
        Addr{ ip, outsidePort },
        [this, ip](const Addr& from, const std::string& b) {
          const auto it = mFromInside.find(from.ip);
          if (mCut != Cut::In && it != mFromInside.end()) {
            it->second->Send({ ip, mInsidePort }, b);
          }
        });
      Listen({ ip, static_cast<uint16_t>(outsidePort + 1) },
             { ip, static_cast<uint16_t>(insidePort + 1) });
    }
  }

  enum class Cut
  {
    None,
    // Nothing gets out of the zone.
    Out,
    // Nothing gets into the zone.
    In
  };

  // A TCP connection needs packets both ways, so during a cut open ones stand
  // still, and attempts to open one get no reply: the queues of the listening
  // sockets are full, so the kernel drops the opening packets.
  void SetCut(Cut cut)
  {
    mCut = cut;
    const bool isCut = cut != Cut::None;
    for (const auto& [fd, at] : mListeners) {
      mLoop.SetEvents(fd, isCut ? 0 : POLLIN);
      listen(fd, isCut ? 0 : kBacklog);
      for (int i = 0; isCut && i < kFillers; ++i) {
        const int filler =
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = ToSockaddr(at);
        connect(filler, reinterpret_cast<const sockaddr*>(&a), sizeof(a));
        mFillers.push_back(filler);
      }
    }
    if (isCut) {
      return;
    }
    for (const int fd : std::exchange(mFillers, {})) {
      close(fd);
    }
    for (const auto& [fd, peer] : mPeers) {
      mLoop.SetEvents(fd, POLLIN);
    }
  }

private:
  static constexpr int kBacklog = 128;
  // A queue of length zero takes one connection.
  static constexpr int kFillers = 3;

  void Listen(const Addr& at, const Addr& target)
  {
    const int fd = Bind(SOCK_STREAM, at);
    if (listen(fd, kBacklog) != 0) {
      throw CannotRun("cannot listen on " + at.Text());
    }
    mListeners[fd] = at;
    mLoop.Add(fd, POLLIN, [this, fd, target](short) {
      const int in =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (in < 0) {
        return;
      }
      const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in a = ToSockaddr(target);
      if (connect(out, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
        close(out);
        close(in);
        return;
      }
      fcntl(out, F_SETFL, O_NONBLOCK);
      mPeers[in] = out;
      mPeers[out] = in;
      for (const int it : { in, out }) {
        mLoop.Add(it, POLLIN, [this, it](short events) { Pump(it, events); });
      }
    });
  }

  void Pump(int from, short events)
  {
    if (mCut != Cut::None) {
      mLoop.SetEvents(from, 0);
      if ((events & (POLLERR | POLLHUP)) == 0) {
        return;
      }
    }
    char buffer[65536];
    const ssize_t n = recv(from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    const int to = mPeers[from];
    // Replicas of a small fleet fit into the socket's buffer.
    if (n <= 0 || mCut != Cut::None || send(to, buffer, n, MSG_NOSIGNAL) != n) {
      mPeers.erase(from);
      mPeers.erase(to);
      mLoop.Close(from);
      mLoop.Close(to);
    }
  }

  Loop& mLoop;
  uint16_t mInsidePort;
  uint16_t mOutsidePort;
  Cut mCut = Cut::None;
  // By address of the daemon outside, and inside.
  std::map<uint32_t, std::unique_ptr<Udp>> mFromInside;
  std::map<uint32_t, std::unique_ptr<Udp>> mFromOutside;
  std::map<int, int> mPeers;
  std::map<int, Addr> mListeners;
  std::vector<int> mFillers;
};

#endif

#ifndef review2_Net_hh
#define review2_Net_hh

// Sockets, time and addresses for the stand-ins. Everything runs in one thread
// that polls all descriptors.

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// Thrown when the case cannot run, for example because an address is in use.
struct CannotRun : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

struct Addr
{
  uint32_t ip = 0;
  uint16_t port = 0;
  bool operator<(const Addr& o) const
  {
    return ip != o.ip ? ip < o.ip : port < o.port;
  }
  std::string IpText() const
  {
    const in_addr a{ htonl(ip) };
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &a, text, sizeof(text));
    return text;
  }
  std::string Text() const { return IpText() + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSockaddr(const Addr& a)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(a.ip);
  out.sin_port = htons(a.port);
  return out;
}

inline Addr
FromSockaddr(const sockaddr_in& a)
{
  return { ntohl(a.sin_addr.s_addr), ntohs(a.sin_port) };
}

// Milliseconds on the steady clock since the first call.
inline double
NowMs()
{
  using Clock = std::chrono::steady_clock;
  static const auto start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
    .count();
}

inline int
Bind(int type, const Addr& at)
{
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  const sockaddr_in a = ToSockaddr(at);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    throw CannotRun("cannot bind " + at.Text());
  }
  return fd;
}

class Loop
{
public:
  using Handler = std::function<void(short)>;

  void Add(int fd, short events, Handler handler)
  {
    mItems[fd] = { events, std::move(handler) };
  }
  void SetEvents(int fd, short events)
  {
    const auto it = mItems.find(fd);
    if (it != mItems.end()) {
      it->second.events = events;
    }
  }
  void Close(int fd)
  {
    if (mItems.erase(fd) > 0) {
      close(fd);
    }
  }
  void At(double ms, std::function<void()> job)
  {
    mTimers.emplace(ms, std::move(job));
  }
  void After(double ms, std::function<void()> job)
  {
    At(NowMs() + ms, std::move(job));
  }
  // Calls job every `period` milliseconds until the loop ends.
  void Every(double period, std::function<void()> job)
  {
    After(period, [this, period, job] {
      job();
      Every(period, job);
    });
  }

  void RunUntil(double end)
  {
    while (NowMs() < end) {
      while (!mTimers.empty() && mTimers.begin()->first <= NowMs()) {
        auto job = std::move(mTimers.begin()->second);
        mTimers.erase(mTimers.begin());
        job();
      }
      std::vector<pollfd> fds;
      for (const auto& [fd, item] : mItems) {
        fds.push_back({ fd, item.events, 0 });
      }
      double wait = end - NowMs();
      if (!mTimers.empty()) {
        wait = std::min(wait, mTimers.begin()->first - NowMs());
      }
      const int ms = wait <= 0 ? 0 : static_cast<int>(wait) + 1;
      poll(fds.data(), fds.size(), std::min(ms, 50));
      for (const pollfd& it : fds) {
        const auto item = mItems.find(it.fd);
        if (it.revents != 0 && item != mItems.end()) {
          const Handler handler = item->second.handler;
          handler(it.revents);
        }
      }
    }
  }

private:
  struct Item
  {
    short events;
    Handler handler;
  };
  std::map<int, Item> mItems;
  std::multimap<double, std::function<void()>> mTimers;
};

// A UDP socket that calls a handler for each datagram.
class Udp
{
public:
  using Handler = std::function<void(const Addr&, const std::string&)>;

  Udp(Loop& loop, const Addr& at, Handler handler)
    : mAt(at)
    , mFd(Bind(SOCK_DGRAM, at))
  {
    const int size = 1 << 20;
    setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    loop.Add(mFd, POLLIN, [this, handler](short) {
      char buffer[65536];
      sockaddr_in from{};
      for (;;) {
        socklen_t n = sizeof(from);
        const ssize_t got = recvfrom(mFd,
                                     buffer,
                                     sizeof(buffer),
                                     MSG_DONTWAIT,
                                     reinterpret_cast<sockaddr*>(&from),
                                     &n);
        if (got < 0) {
          return;
        }
        handler(FromSockaddr(from), std::string(buffer, got));
      }
    });
  }
  void Send(const Addr& to, const std::string& bytes) const
  {
    const sockaddr_in a = ToSockaddr(to);
    sendto(mFd,
           bytes.data(),
           bytes.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&a),
           sizeof(a));
  }
  const Addr mAt;

private:
  int mFd;
};

#endif

#ifndef review2_Store_hh
#define review2_Store_hh

// Stand-in for the platform's store: keys, ranges and watches over HTTP/1.1.
// Each node gets an address of its own, so that the store can tell the nodes
// apart and can be cut off from one of them.

#include <list>
#include <memory>
#include <set>

#include "Net.hh"

class Store
{
public:
  enum class Path
  {
    Open,
    // Nothing passes: calls that come in get no answer.
    Silent,
    // Every call is answered with 503.
    Busy
  };

  explicit Store(Loop& loop)
    : mLoop(loop)
  {
    loop.Every(5, [this] { CheckWatches(); });
  }

  void Listen(const Addr& at, int node)
  {
    const int fd = Bind(SOCK_STREAM, at);
    if (listen(fd, 128) != 0) {
      throw CannotRun("cannot listen on " + at.Text());
    }
    mLoop.Add(fd, POLLIN, [this, fd, node](short) {
      const int client =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (client >= 0) {
        const int one = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        auto state = std::make_shared<Connection>();
        state->fd = client;
        state->node = node;
        mLoop.Add(client, POLLIN, [this, state](short) { OnBytes(state); });
      }
    });
  }

  void SetPath(int node, Path path) { mPaths[node] = path; }

  uint64_t Put(const std::string& key, const std::string& value)
  {
    Item& item = mItems[key];
    item.value = value;
    item.revision = ++mRevision;
    if (item.created == 0) {
      item.created = mRevision;
    }
    mEvents.push_back({ mRevision, key, false, value, item.created });
    CheckWatches();
    return mRevision;
  }
  uint64_t Remove(const std::string& key)
  {
    if (mItems.erase(key) > 0) {
      mEvents.push_back({ ++mRevision, key, true, "", 0 });
      CheckWatches();
    }
    return mRevision;
  }

  uint64_t CallCount(int node) const
  {
    const auto it = mCalls.find(node);
    return it == mCalls.end() ? 0 : it->second;
  }

private:
  struct Item
  {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Change
  {
    uint64_t revision;
    std::string key;
    bool removed;
    std::string value;
    uint64_t created;
  };
  struct Connection
  {
    int fd = -1;
    int node = 0;
    std::string in;
    bool isClosed = false;
  };
  // The store is never restored from a copy here.
  static constexpr uint64_t kEra = 0;

  struct Watch
  {
    std::shared_ptr<Connection> connection;
    std::string prefix;
    uint64_t after;
    double until;
  };

  static std::string Base64(const std::string& in)
  {
    static const char* const kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < in.size(); i += 3) {
      uint32_t v = 0;
      for (size_t k = 0; k < 3; ++k) {
        v = v << 8 | (i + k < in.size() ? static_cast<uint8_t>(in[i + k]) : 0);
      }
      for (size_t k = 0; k < 4; ++k) {
        out.push_back(i + k > in.size() ? '='
                                        : kAlphabet[(v >> (18 - 6 * k)) & 63]);
      }
    }
    return out;
  }
  static std::string Quote(const std::string& in)
  {
    std::string out = "\"";
    for (const char c : in) {
      if (c == '"' || c == '\\') {
        out.push_back('\\');
      }
      out.push_back(c);
    }
    return out + "\"";
  }
  static std::string Param(const std::string& path, const std::string& name)
  {
    const size_t query = path.find('?');
    size_t at = query;
    while (at != std::string::npos) {
      const size_t end = path.find('&', at + 1);
      const std::string pair = path.substr(at + 1, end - at - 1);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        std::string out;
        for (size_t i = name.size() + 1; i < pair.size(); ++i) {
          if (pair[i] == '%') {
            out.push_back(
              static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16)));
            i += 2;
          } else {
            out.push_back(pair[i]);
          }
        }
        return out;
      }
      at = end;
    }
    return "";
  }

  void OnBytes(const std::shared_ptr<Connection>& c)
  {
    char buffer[8192];
    for (;;) {
      const ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        break;
      }
      if (n <= 0) {
        c->isClosed = true;
        mLoop.Close(c->fd);
        return;
      }
      c->in.append(buffer, n);
    }
    for (;;) {
      const size_t end = c->in.find("\r\n\r\n");
      if (end == std::string::npos) {
        return;
      }
      const size_t path = c->in.find(' ') + 1;
      const std::string target =
        c->in.substr(path, c->in.find(' ', path) - path);
      c->in.erase(0, end + 4);
      Handle(c, target);
    }
  }

  Path PathOf(int node) const
  {
    const auto it = mPaths.find(node);
    return it == mPaths.end() ? Path::Open : it->second;
  }

  void Handle(const std::shared_ptr<Connection>& c, const std::string& target)
  {
    if (PathOf(c->node) == Path::Silent) {
      return;
    }
    ++mCalls[c->node];
    if (PathOf(c->node) == Path::Busy) {
      Answer(c, 503, "{}");
    } else if (target.rfind("/v1/kv-key", 0) == 0) {
      const auto it = mItems.find(Param(target, "key"));
      if (it == mItems.end()) {
        Answer(c, 404, "{\"current_rev\":" + std::to_string(mRevision) + "}");
      } else {
        std::string body = ItemText(it->first, it->second);
        body.pop_back();
        Answer(
          c, 200, body + ",\"current_rev\":" + std::to_string(mRevision) + "}");
      }
    } else if (target.rfind("/v1/kv-range", 0) == 0) {
      Range(c, Param(target, "prefix"), Param(target, "after"));
    } else if (target.rfind("/v1/kv-watch", 0) == 0) {
      mWatches.push_back(
        { c,
          Param(target, "prefix"),
          std::stoull("0" + Param(target, "after")),
          NowMs() + std::stod("0" + Param(target, "wait_ms")) });
      CheckWatches();
    } else {
      Answer(c, 404, "{}");
    }
  }

  static std::string ItemText(const std::string& key, const Item& item)
  {
    return "{\"key\":" + Quote(key) + ",\"value\":\"" + Base64(item.value) +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created_rev\":" + std::to_string(item.created) + ",\"lease\":0}";
  }

  void Range(const std::shared_ptr<Connection>& c,
             const std::string& prefix,
             const std::string& after)
  {
    constexpr size_t kPage = 50;
    std::string items;
    size_t n = 0;
    bool hasMore = false;
    for (auto it = mItems.upper_bound(after); it != mItems.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      if (n == kPage) {
        hasMore = true;
        break;
      }
      items += (n++ == 0 ? "" : ",") + ItemText(it->first, it->second);
    }
    Answer(c,
           200,
           "{\"items\":[" + items +
             "],\"has_more\":" + (hasMore ? "true" : "false") +
             ",\"current_rev\":" + std::to_string(mRevision) + "}");
  }

  void CheckWatches()
  {
    for (auto it = mWatches.begin(); it != mWatches.end();) {
      if (it->connection->isClosed) {
        it = mWatches.erase(it);
        continue;
      }
      std::string events;
      for (const Change& e : mEvents) {
        if (e.revision <= it->after ||
            e.key.compare(0, it->prefix.size(), it->prefix) != 0) {
          continue;
        }
        events += events.empty() ? "" : ",";
        events += e.removed
                    ? "{\"key\":" + Quote(e.key) +
                        ",\"revision\":" + std::to_string(e.revision) +
                        ",\"removed\":true}"
                    : ItemText(e.key, { e.value, e.revision, e.created });
      }
      if (events.empty() && NowMs() < it->until) {
        ++it;
        continue;
      }
      if (PathOf(it->connection->node) == Path::Open) {
        Answer(it->connection,
               200,
               "{\"events\":[" + events +
                 "],\"current_rev\":" + std::to_string(mRevision) + "}");
      }
      it = mWatches.erase(it);
    }
  }

  void Answer(const std::shared_ptr<Connection>& c,
              int status,
              const std::string& body)
  {
    if (c->isClosed) {
      return;
    }
    const std::string out =
      "HTTP/1.1 " + std::to_string(status) +
      (status == 200 ? " OK" : " Error") +
      "\r\nContent-Type: application/json\r\nStore-Era: " +
      std::to_string(kEra) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    // Answers are short; a socket buffer holds several of them.
    if (send(c->fd, out.data(), out.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(out.size())) {
      c->isClosed = true;
      mLoop.Close(c->fd);
    }
  }

  Loop& mLoop;
  std::map<std::string, Item> mItems;
  std::vector<Change> mEvents;
  uint64_t mRevision = 1;
  std::list<Watch> mWatches;
  std::map<int, Path> mPaths;
  std::map<int, uint64_t> mCalls;
};

#endif

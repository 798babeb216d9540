#include "World.hpp"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int64_t kAnswerMs = 4;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1 << 20;
constexpr int64_t kMaxWaitMs = 30000;

std::string
Base64(const std::string& aIn)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((aIn.size() + 2) / 3 * 4);
  for (size_t i = 0; i < aIn.size(); i += 3) {
    uint32_t n = 0;
    for (size_t k = 0; k < 3; ++k) {
      n = n << 8 | (i + k < aIn.size() ? static_cast<uint8_t>(aIn[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k <= aIn.size() ? kDigits[n >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

std::string
Unescape(const std::string& aText)
{
  std::string out;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aPath)
{
  std::map<std::string, std::string> out;
  size_t at = aPath.find('?');
  while (at != std::string::npos) {
    const size_t end = aPath.find('&', at + 1);
    const std::string part = aPath.substr(at + 1, end - at - 1);
    const size_t eq = part.find('=');
    out[part.substr(0, eq)] =
      eq == std::string::npos ? "" : Unescape(part.substr(eq + 1));
    at = end;
  }
  return out;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t n =
      send(aSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<size_t>(n);
  }
  return true;
}

std::string
ItemJson(const std::string& aKey,
         const std::string& aValue,
         uint64_t aRevision,
         uint64_t aCreated)
{
  return "{\"key\":\"" + aKey + "\",\"value\":\"" + Base64(aValue) +
         "\",\"revision\":" + std::to_string(aRevision) +
         ",\"created_rev\":" + std::to_string(aCreated) + ",\"lease\":0}";
}

} // namespace

Store::Store(const IpPort& aListen, int64_t aHistoryMs)
  : mHistoryMs(aHistoryMs)
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aListen.mIp);
  address.sin_port = htons(aListen.mPort);
  if (bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(mListener, 128) != 0) {
    throw std::runtime_error("the store cannot listen on " + aListen.Text());
  }
  mAcceptor = std::thread([this] { Accept(); });
}

Store::~Store()
{
  Close();
}

void
Store::Close()
{
  if (mStop.exchange(true)) {
    return;
  }
  shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  close(mListener);
  mChanged.notify_all();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int it : mSockets) {
      shutdown(it, SHUT_RDWR);
    }
  }
  for (std::thread& it : mThreads) {
    it.join();
  }
}

int64_t
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Item& item = mItems[aKey];
  item.mValue = aValue;
  item.mRevision = ++mRevision;
  item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
  mEvents.push_back({ NowMs(),
                      mRevision,
                      ItemJson(aKey, aValue, item.mRevision, item.mCreated) });
  mChanged.notify_all();
  return NowMs();
}

int64_t
Store::Remove(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mItems.erase(aKey) > 0) {
    ++mRevision;
    mEvents.push_back({ NowMs(),
                        mRevision,
                        "{\"key\":\"" + aKey + "\",\"revision\":" +
                          std::to_string(mRevision) + ",\"removed\":true}" });
    mChanged.notify_all();
  }
  return NowMs();
}

void
Store::Accept()
{
  for (;;) {
    const int s = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (mStop || s < 0) {
      if (s >= 0) {
        close(s);
      }
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.push_back(s);
    mThreads.emplace_back([this, s] { Serve(s); });
  }
}

void
Store::Serve(int aSocket)
{
  std::string in;
  char buf[4096];
  for (;;) {
    size_t end = in.find("\r\n\r\n");
    while (end == std::string::npos) {
      const ssize_t n = recv(aSocket, buf, sizeof(buf), 0);
      if (n <= 0) {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSockets.erase(std::find(mSockets.begin(), mSockets.end(), aSocket));
        close(aSocket);
        return;
      }
      in.append(buf, static_cast<size_t>(n));
      end = in.find("\r\n\r\n");
    }
    const size_t space = in.find(' ');
    const std::string path =
      in.substr(space + 1, in.find(' ', space + 1) - space - 1);
    in.erase(0, end + 4);
    std::this_thread::sleep_for(std::chrono::milliseconds(kAnswerMs));
    int status = 200;
    const std::string body = Answer(path, status);
    const std::string head =
      "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Gone") +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
    if (!SendAll(aSocket, head) || !SendAll(aSocket, body)) {
      shutdown(aSocket, SHUT_RDWR);
    }
  }
}

std::string
Store::Answer(const std::string& aPath, int& aStatus)
{
  const auto query = ParseQuery(aPath);
  if (aPath.rfind("/v1/kv-range", 0) == 0) {
    return Range(query);
  }
  if (aPath.rfind("/v1/kv-watch", 0) == 0) {
    return Watch(query, aStatus);
  }
  aStatus = 404;
  return "{}";
}

std::string
Store::Range(const std::map<std::string, std::string>& aQuery)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::string prefix = aQuery.count("prefix") ? aQuery.at("prefix") : "";
  const std::string after = aQuery.count("after") ? aQuery.at("after") : "";
  auto it = after.empty() ? mItems.lower_bound(prefix)
                          : mItems.upper_bound(std::max(after, prefix));
  std::string items;
  size_t n = 0;
  for (; it != mItems.end() && it->first.rfind(prefix, 0) == 0; ++it, ++n) {
    if (n == kPageItems || items.size() >= kPageBytes) {
      break;
    }
    items += n == 0 ? "" : ",";
    items += ItemJson(
      it->first, it->second.mValue, it->second.mRevision, it->second.mCreated);
  }
  const bool hasMore = it != mItems.end() && it->first.rfind(prefix, 0) == 0;
  return "{\"items\":[" + items +
         "],\"has_more\":" + (hasMore ? "true" : "false") +
         ",\"current_rev\":" + std::to_string(mRevision) + "}";
}

std::string
Store::Watch(const std::map<std::string, std::string>& aQuery, int& aStatus)
{
  const uint64_t after = std::stoull(aQuery.at("after"));
  const int64_t wait =
    std::min<int64_t>(std::stoll(aQuery.at("wait_ms")), kMaxWaitMs);
  const std::string prefix = aQuery.count("prefix") ? aQuery.at("prefix") : "";
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait_for(lock, std::chrono::milliseconds(wait), [&] {
    return mStop || mRevision > after;
  });
  while (!mEvents.empty() && mEvents.front().mAt < NowMs() - mHistoryMs) {
    mDropped = mEvents.front().mRevision;
    mEvents.pop_front();
  }
  if (after < mDropped) {
    aStatus = 410;
    return "{}";
  }
  std::string events;
  const std::string key = "{\"key\":\"" + prefix;
  for (const Event& it : mEvents) {
    if (it.mRevision > after && it.mJson.rfind(key, 0) == 0) {
      events += events.empty() ? "" : ",";
      events += it.mJson;
    }
  }
  return "{\"events\":[" + events +
         "],\"current_rev\":" + std::to_string(mRevision) + "}";
}

} // namespace review

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "absl/strings/str_cat.h"
#include "httplib.h"

#include "foxtail/config/Document.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/PlatformClient.h"
#include "unit/Sample.h"

using namespace foxtail;
using namespace foxtail::net;
using namespace std::chrono_literals;
using nlohmann::json;
using test::ErrorOf;

namespace {

constexpr PlatformTimeouts kShort{ 500ms, 300ms };

// Accepts one connection, reads one request and answers with the given bytes.
class CannedServer
{
public:
  // With aHold the connection stays open after the answer, until destruction.
  CannedServer(std::string aAnswer, bool aHold)
    : mListener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = inet_addr("127.61.0.1");
    socklen_t n = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(mListener, generic, n) == 0);
    REQUIRE(listen(mListener, 1) == 0);
    REQUIRE(getsockname(mListener, generic, &n) == 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread(
      [this, answer = std::move(aAnswer), aHold] { Serve(answer, aHold); });
  }
  ~CannedServer()
  {
    mRelease.set_value();
    mThread.join();
    close(mListener);
  }
  CannedServer(const CannedServer&) = delete;
  CannedServer& operator=(const CannedServer&) = delete;

  Address ListenAddress() const
  {
    return Address::Parse(absl::StrCat("127.61.0.1:", mPort));
  }
  size_t RequestBytes() const { return mRequestBytes.get_future().get(); }

private:
  void Serve(const std::string& aAnswer, bool aHold)
  {
    const int peer = accept(mListener, nullptr, nullptr);
    std::string request;
    std::array<char, 4096> buf{};
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t n = recv(peer, buf.data(), buf.size(), 0);
      if (n <= 0) {
        break;
      }
      request.append(buf.data(), static_cast<size_t>(n));
    }
    mRequestBytes.set_value(request.size());
    send(peer, aAnswer.data(), aAnswer.size(), MSG_NOSIGNAL);
    if (aHold) {
      mRelease.get_future().wait();
    }
    close(peer);
  }

  int mListener;
  uint16_t mPort = 0;
  std::promise<void> mRelease;
  mutable std::promise<size_t> mRequestBytes;
  std::thread mThread;
};

std::string
Ok(const std::string& aBody)
{
  return absl::StrCat(
    "HTTP/1.1 200 OK\r\nContent-Length: ", aBody.size(), "\r\n\r\n", aBody);
}

} // namespace

TEST_CASE("Each kind of bad platform response has its error number",
          "[platform]")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
  const std::string large(config::kMaxValueBytes + 100, ' ');
  const auto [name, bytes, hold, id] =
    GENERATE_COPY(table<std::string, std::string, bool, int>({
      { "nothing, then closed", "", false, 801 },
      { "nothing, held open", "", true, 802 },
      { "half a status line, held open", "HTTP/1.1 200 O", true, 802 },
      { "half a body, held open", head + "20\r\n\r\n{", true, 802 },
      { "not HTTP", "hello\r\n\r\n", false, 801 },
      { "404",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        false,
        803 },
      { "500", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, 804 },
      { "redirect",
        "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        false,
        804 },
      { "304 to a read",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n",
        false,
        804 },
      { "too large", Ok(large), false, 805 },
      { "too large without a length",
        "HTTP/1.1 200 OK\r\n\r\n" + large,
        false,
        805 },
      { "empty", Ok(""), false, 806 },
      { "not JSON", Ok("<html>"), false, 806 },
      { "bad UTF-8", Ok("{\"index\": 1, \"value\": \"\xff\"}"), false, 806 },
      { "nested too deep", Ok(std::string(9000, '[')), false, 806 },
      { "not an object", Ok("[1]"), false, 806 },
      { "no index", Ok(R"({"value": 1})"), false, 806 },
      { "no value", Ok(R"({"index": 1})"), false, 806 },
      { "index of another type",
        Ok(R"({"index": "1", "value": 1})"),
        false,
        806 },
      { "negative index", Ok(R"({"index": -1, "value": 1})"), false, 806 },
      { "cut short", head + "40\r\n\r\n{\"index\": 1,", false, 807 },
    }));
  CAPTURE(name);
  const CannedServer server(bytes, hold);
  PlatformClient client(server.ListenAddress(), kShort);
  std::string message;
  CHECK(ErrorOf<PlatformError>([&] { client.Read("vms"); }, message) == id);
  CHECK_THAT(message, Catch::Contains("/v1/values/vms"));
  CHECK(client.LastBytes().mSent == server.RequestBytes());
}

TEST_CASE("An unreachable platform is reported", "[platform]")
{
  PlatformClient client(Address::Parse("127.61.0.1:1"), kShort);
  std::string message;
  CHECK(ErrorOf<PlatformError>([&] { client.Read("vms"); }, message) == 801);
}

TEST_CASE("A watch accepts only a greater index", "[platform]")
{
  const auto [index, id] =
    GENERATE(table<int, int>({ { 4, 808 }, { 5, 808 }, { 6, 0 } }));
  const std::string answer =
    Ok(absl::StrCat(R"({"index": )", index, R"(, "value": [7]})"));
  const CannedServer server(answer, false);
  PlatformClient client(server.ListenAddress(), kShort);
  std::string message;
  CHECK(ErrorOf<PlatformError>([&] { client.Watch("vms", 5, 10ms); },
                               message) == id);
  CHECK(client.LastBytes().mReceived == answer.size());
}

namespace {

// The platform stand-in as a separate process. Its addresses depend on the
// process id, so that runs at the same time don't share them.
class StandinPlatform
{
public:
  StandinPlatform()
    : mFolder(std::filesystem::temp_directory_path() /
              absl::StrCat("foxtail-platform-", getpid()))
    , mIp(absl::StrCat("127.61.",
                       1 + getpid() / 250 % 250,
                       ".",
                       1 + getpid() % 250))
  {
    std::filesystem::create_directories(mFolder);
    Publish("vms", R"({"vms": []})");
    Start();
  }
  ~StandinPlatform()
  {
    kill(mPid, SIGTERM);
    int status = 0;
    waitpid(mPid, &status, 0);
    std::filesystem::remove_all(mFolder);
  }
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  Address ListenAddress() const { return Address::Parse(mIp + ":8080"); }

  void Publish(const std::string& aName, const std::string& aText) const
  {
    const auto target = mFolder / (aName + ".json");
    const auto temporary = mFolder / (aName + ".new");
    std::ofstream(temporary) << aText;
    std::filesystem::rename(temporary, target);
  }

  httplib::Result Post(const std::string& aPath) const
  {
    httplib::Client client(mIp, 8081);
    return client.Post(aPath.c_str());
  }

  json Counters() const
  {
    httplib::Client client(mIp, 8081);
    return json::parse(client.Get("/counters")->body);
  }

private:
  void Start()
  {
    std::vector<std::string> arguments = { FOXTAIL_BIN_DIR "/standin-platform",
                                           "--listen=" + mIp + ":8080",
                                           "--admin=" + mIp + ":8081",
                                           "--dir=" + mFolder.string() };
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (std::string& it : arguments) {
      raw.push_back(it.data());
    }
    raw.push_back(nullptr);
    REQUIRE(posix_spawn(&mPid, raw[0], nullptr, nullptr, raw.data(), environ) ==
            0);
    httplib::Client client(mIp, 8081);
    while (!client.Get("/counters")) {
      std::this_thread::sleep_for(10ms);
    }
  }

  std::filesystem::path mFolder;
  std::string mIp;
  pid_t mPid = 0;
};

} // namespace

TEST_CASE("The platform stand-in serves as docs/PROTOCOLS.md says",
          "[platform]")
{
  const StandinPlatform platform;
  PlatformClient client(platform.ListenAddress(), { 1s, 2s });
  std::string message;
  const auto readError = [&](const std::string& aName) {
    return ErrorOf<PlatformError>([&] { client.Read(aName); }, message);
  };
  const auto fault = [&](const std::string& aMode) {
    return platform.Post("/fault?mode=" + aMode)->status;
  };
  const PlatformValue first = client.Read("vms");
  CHECK(first.mIndex == 1);
  CHECK(first.mValue == json{ { "vms", json::array() } });

  SECTION("a watch ends with the change and counts as one call")
  {
    CHECK_FALSE(client.Watch("vms", 1, 50ms));
    CHECK(client.LastBytes().mReceived > 0);
    auto change = std::async(std::launch::async,
                             [&] { return client.Watch("vms", 1, 20s); });
    platform.Publish("vms", R"({"vms": [1]})");
    const auto value = change.get();
    REQUIRE(value);
    CHECK(value->mIndex == 2);
    CHECK(value->mValue["vms"].size() == 1);
    CHECK(platform.Counters()["calls"] == 3);
    CHECK(platform.Counters()["watches"] == 2);
  }
  SECTION("nothing can be written")
  {
    httplib::Client writer(platform.ListenAddress().IpString(), 8080);
    CHECK(writer.Put("/v1/values/vms", "{}", "application/json")->status ==
          405);
    CHECK(writer.Post("/v1/values/vms", "{}", "application/json")->status ==
          405);
    CHECK(client.Read("vms").mIndex == 1);
  }
  SECTION("unknown names and malformed numbers")
  {
    CHECK(readError("other") == 803);
    httplib::Client reader(platform.ListenAddress().IpString(), 8080);
    CHECK(reader.Get("/v1/values/vms?after=x")->status == 400);
    CHECK(fault("odd") == 400);
  }
  SECTION("a value over 1 MiB is ignored")
  {
    platform.Publish("vms",
                     "\"" + std::string(config::kMaxValueBytes, 'x') + "\"");
    while (platform.Counters()["oversized_values"] == 0) {
      std::this_thread::sleep_for(5ms);
    }
    CHECK(client.Read("vms").mIndex == 1);
  }
  SECTION("down and up again")
  {
    CHECK(fault("down") == 200);
    CHECK(readError("vms") == 801);
    CHECK(fault("ok") == 200);
    CHECK(client.Read("vms").mIndex == 1);
  }
  SECTION("stale: changes are not served")
  {
    CHECK(fault("stale") == 200);
    platform.Publish("vms", "[]");
    CHECK_FALSE(client.Watch("vms", 1, 100ms));
    CHECK(fault("ok") == 200);
    CHECK(client.Watch("vms", 1, 20s)->mIndex == 2);
  }
  SECTION("back: the first values are served again")
  {
    platform.Publish("vms", "[]");
    CHECK(client.Watch("vms", 1, 20s)->mIndex == 2);
    CHECK(fault("back") == 200);
    CHECK(client.Read("vms").mIndex == 1);
    CHECK_FALSE(client.Watch("vms", 2, 50ms));
  }
  SECTION("a truncated response")
  {
    CHECK(fault("truncate") == 200);
    CHECK(readError("vms") == 807);
  }
  SECTION("a watch that is stopped ends at once")
  {
    auto watch = std::async(std::launch::async, [&] {
      return ErrorOf<PlatformError>([&] { client.Watch("vms", 1, 60s); },
                                    message);
    });
    while (platform.Counters()["watches"] == 0) {
      std::this_thread::sleep_for(5ms);
    }
    client.Stop();
    CHECK(watch.get() == 809);
    CHECK(readError("vms") == 809);
  }
}

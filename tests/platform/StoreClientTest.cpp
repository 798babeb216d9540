#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "absl/strings/escaping.h"
#include "httplib.h"
#include "nlohmann/json.hpp"

#include "Reader.h"
#include "StoreClient.h"
#include "foxtail/core/Error.h"

using namespace foxtail;
using namespace foxtail::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// A stand-in of the store that speaks its published protocol.
class StandInStore
{
public:
  StandInStore()
  {
    mServer.Get("/v1/kv-range", [this](const auto& q, auto& r) { List(q, r); });
    mServer.Get("/v1/kv-watch",
                [this](const auto& q, auto& r) { Watch(q, r); });
    mAddress = { 0x7F000001,
                 static_cast<uint16_t>(mServer.bind_to_any_port("127.0.0.1")) };
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    mServer.WaitUntilRunning();
  }
  ~StandInStore()
  {
    mServer.stop();
    mThread.join();
  }

  const Address& Where() const { return mAddress; }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const json item = { { "key", aKey },
                        { "value", absl::Base64Escape(aValue) },
                        { "revision", ++mRevision },
                        { "created_rev", mRevision },
                        { "lease", 0 } };
    mItems[aKey] = item;
    mEvents.push_back(item);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mItems.erase(aKey);
    mEvents.push_back(
      { { "key", aKey }, { "revision", ++mRevision }, { "removed", true } });
  }
  void ForgetHistory()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEvents.clear();
    mFirstEvent = mRevision;
  }

  // What the next calls get in place of an answer.
  std::atomic<int> mRefusals{ 0 };
  std::atomic<int> mStatus{ 503 };
  std::atomic<bool> mIsGarbled{ false };
  std::atomic<int> mSilentMs{ 0 };
  std::atomic<int> mCalls{ 0 };

private:
  class Server : public httplib::Server
  {
  public:
    void WaitUntilRunning()
    {
      while (!is_running()) {
        std::this_thread::sleep_for(1ms);
      }
    }
  };

  bool Misbehave(httplib::Response& aResponse)
  {
    ++mCalls;
    std::this_thread::sleep_for(milliseconds(mSilentMs));
    if (mRefusals > 0) {
      --mRefusals;
      aResponse.status = mStatus;
      return true;
    }
    if (mIsGarbled) {
      aResponse.set_content("{\"items\": [", "application/json");
      return true;
    }
    return false;
  }
  void List(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    if (Misbehave(aResponse)) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    // Pages of two.
    json items = json::array();
    auto it = mItems.upper_bound(aRequest.get_param_value("after"));
    for (; it != mItems.end() && items.size() < 2; ++it) {
      items.push_back(it->second);
    }
    const json answer = { { "items", items },
                          { "has_more", it != mItems.end() },
                          { "current_rev", mRevision } };
    aResponse.set_content(answer.dump(), "application/json");
  }
  void Watch(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    if (Misbehave(aResponse)) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    const uint64_t after = std::stoull(aRequest.get_param_value("after"));
    if (after < mFirstEvent) {
      aResponse.status = 410;
      return;
    }
    json events = json::array();
    for (const json& it : mEvents) {
      if (it["revision"].get<uint64_t>() > after) {
        events.push_back(it);
      }
    }
    const json answer = { { "events", events }, { "current_rev", mRevision } };
    aResponse.set_content(answer.dump(), "application/json");
  }

  Server mServer;
  Address mAddress;
  std::thread mThread;
  std::mutex mMutex;
  std::map<std::string, json> mItems;
  std::vector<json> mEvents;
  uint64_t mRevision = 100;
  uint64_t mFirstEvent = 100;
};

std::string
Entry(const std::string& aState = "ready")
{
  return json({ { "service", "s" },
                { "address", "10.0.0.1:80" },
                { "zone", "a" },
                { "version", "v1" },
                { "slots", 3 },
                { "state", aState },
                { "cold_remaining_ms", 0 },
                { "sequence", 1 } })
    .dump();
}

const char* const kConfiguration =
  R"({"version":1,"routes":[{"name":"r","hostname":"198.18.0.1",)"
  R"("prefix":"/80/","service":"s"}]})";

int
ErrorOf(const std::function<void()>& aCall)
{
  try {
    aCall();
  } catch (const PlatformError& e) {
    return e.Id();
  }
  return 0;
}

} // namespace

TEST_CASE("A listing is read page by page", "[platform][store]")
{
  StandInStore store;
  store.Put("op/config", kConfiguration);
  for (const char* it : { "servers/i-1", "servers/i-2", "servers/i-3" }) {
    store.Put(it, Entry());
  }
  store.Put("other/key", "?");
  StoreClient client(store.Where());
  const flow::ReplicaUpdate update = client.ReadAll();
  CHECK(update.mIsComplete);
  CHECK(update.mConfirmed == 105);
  CHECK(update.mUpstreams.size() == 3);
  REQUIRE(update.mConfiguration);
  CHECK(update.mConfiguration->mVersion == 1);
  CHECK(store.mCalls == 3);
}

TEST_CASE("Only the last change of a key counts", "[platform][store]")
{
  StandInStore store;
  store.Put("servers/i-1", Entry());
  store.Put("servers/i-2", Entry());
  store.Remove("servers/i-1");
  store.Put("servers/i-1", Entry("draining"));
  store.Remove("servers/i-2");
  StoreClient client(store.Where());
  const flow::ReplicaUpdate update = client.ReadChanges(100, 10ms);
  REQUIRE(update.mUpstreams.size() == 1);
  CHECK(update.mUpstreams[0].mState == flow::UpstreamState::Draining);
  REQUIRE(update.mRemoved.size() == 1);
  CHECK(update.mRemoved[0].mId == "i-2");
  CHECK_FALSE(update.mIsComplete);
}

TEST_CASE("Malformed values are named and the others hold", "[platform][store]")
{
  StandInStore store;
  store.Put("op/config", "no JSON");
  store.Put("servers/i-1", "\xFF\xFE");
  store.Put("servers/i-2", Entry());
  StoreClient client(store.Where());
  const flow::ReplicaUpdate update = client.ReadChanges(100, 10ms);
  CHECK_FALSE(update.mConfiguration);
  REQUIRE(update.mUpstreams.size() == 2);
  CHECK(update.mUpstreams[0].mState == flow::UpstreamState::Unusable);
  CHECK(update.mUpstreams[1].mState == flow::UpstreamState::Ready);
  CHECK(client.TakeFaults().size() == 2);
  CHECK(client.TakeFaults().empty());
}

TEST_CASE("Failures of the store have numbers", "[platform][store]")
{
  StandInStore store;
  store.Put("servers/i-1", Entry());
  StoreClient client(store.Where());
  const auto read = [&] { client.ReadChanges(100, 10ms); };
  SECTION("refused")
  {
    store.mRefusals = 1;
    store.mStatus = GENERATE(429, 503);
    CHECK(ErrorOf(read) == 810);
  }
  SECTION("garbled")
  {
    store.mIsGarbled = true;
    CHECK(ErrorOf(read) == 811);
    store.mIsGarbled = false;
  }
  SECTION("history gone")
  {
    store.ForgetHistory();
    CHECK(ErrorOf(read) == 812);
    CHECK(client.ReadAll().mUpstreams.size() == 1);
    return;
  }
  SECTION("silent")
  {
    store.mSilentMs = 1300;
    CHECK(ErrorOf(read) == 802);
    store.mSilentMs = 0;
  }
  CHECK(ErrorOf(read) == 0);
}

TEST_CASE("A page that is refused is asked for again", "[platform][store]")
{
  StandInStore store;
  for (const char* it : { "servers/i-1", "servers/i-2", "servers/i-3" }) {
    store.Put(it, Entry());
  }
  store.mStatus = 429;
  store.mRefusals = 2;
  StoreClient client(store.Where());
  CHECK(client.ReadAll().mUpstreams.size() == 3);
  CHECK(store.mCalls == 4);
}

TEST_CASE("A long listing goes on where it was", "[platform][store]")
{
  StandInStore store;
  for (const char* it : { "servers/i-1", "servers/i-2", "servers/i-3" }) {
    store.Put(it, Entry());
  }
  StoreClient client(store.Where());
  CHECK(ErrorOf([&] { client.ReadAll(1); }) == 813);
  // Changed meanwhile, on the page that was read: comes with the changes.
  store.Put("servers/i-1", Entry("draining"));
  const flow::ReplicaUpdate update = client.ReadAll(1);
  CHECK(update.mUpstreams.size() == 3);
  CHECK(update.mConfirmed == 103);
  CHECK(store.mCalls == 2);
  CHECK(client.ReadChanges(update.mConfirmed, 10ms).mUpstreams.size() == 1);
}

TEST_CASE("A store that cannot be reached has a number", "[platform][store]")
{
  StoreClient client(Address{ 0x7F000001, 1 });
  CHECK(ErrorOf([&] { client.ReadAll(); }) == 801);
}

TEST_CASE("The reader lists anew when the history is gone", "[platform][store]")
{
  StandInStore store;
  store.Put("op/config", kConfiguration);
  store.Put("servers/i-1", Entry());
  store.ForgetHistory();
  std::atomic<int> wakes{ 0 };
  Reader reader(store.Where(), 1, [&] { ++wakes; });
  daemon::StopToken stop;
  std::thread thread([&] { reader.Run(stop); });
  const auto next = [&](flow::ReadPublisher aRead) {
    const int before = wakes;
    reader.Ask(aRead);
    while (wakes == before) {
      std::this_thread::sleep_for(1ms);
    }
    return reader.TakeResults().at(0);
  };
  CHECK_FALSE(next({ 50, false }).mUpdate);
  const ReadResult second = next({ 50, false });
  REQUIRE(second.mUpdate);
  CHECK(second.mUpdate->mIsComplete);
  const ReadResult third = next({ second.mUpdate->mConfirmed, false });
  REQUIRE(third.mUpdate);
  CHECK_FALSE(third.mUpdate->mIsComplete);
  stop.Request();
  reader.Interrupt();
  thread.join();
}

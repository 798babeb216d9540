#include "PlatformServer.h"

#include <sys/stat.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace foxtail::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kMaxValueBytes = size_t{ 1 } << 20;
// Each waiting watch occupies a thread.
constexpr size_t kThreads = 256;
// Idle connections delay a stop of the server by up to this time.
constexpr time_t kKeepAliveSeconds = 1;
constexpr milliseconds kRefreshPeriod{ 20 };
constexpr milliseconds kMaxWait{ 60'000 };
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
const char* const kJson = "application/json";

// Returns a stamp of the file that changes when the file is replaced.
std::string
StampOf(const std::string& aFile)
{
  struct stat status
  {};
  if (stat(aFile.c_str(), &status) != 0) {
    return "";
  }
  std::ostringstream stamp;
  stamp << status.st_ino << ' ' << status.st_size << ' '
        << status.st_mtim.tv_sec << ' ' << status.st_mtim.tv_nsec;
  return stamp.str();
}

const std::map<std::string, PlatformFault>&
FaultNames()
{
  static const std::map<std::string, PlatformFault> sNames = {
    { "ok", PlatformFault::Ok },
    { "down", PlatformFault::Down },
    { "stale", PlatformFault::Stale },
    { "back", PlatformFault::Back },
    { "truncate", PlatformFault::Truncate }
  };
  return sNames;
}

uint64_t
NumberParameter(const httplib::Request& aRequest, const char* aKey)
{
  const std::string text = aRequest.get_param_value(aKey);
  return text.empty() ? 0 : std::stoull(text);
}

void
SendHalf(httplib::Response& aResponse, std::string aBody)
{
  const size_t size = aBody.size();
  aResponse.set_content_provider(
    size,
    kJson,
    [body =
       std::move(aBody)](size_t aOffset, size_t n, httplib::DataSink& aSink) {
      if (aOffset == 0) {
        aSink.write(body.data(), n / 2);
      }
      return false;
    });
}

} // namespace

ValueFolder::ValueFolder(std::string aPath)
  : mPath(std::move(aPath))
{
}

bool
ValueFolder::Refresh()
{
  bool changed = false;
  for (const auto& it : std::filesystem::directory_iterator(mPath)) {
    if (it.path().extension() == ".json") {
      changed |= Take(mValues[it.path().stem()], it.path());
    }
  }
  return changed;
}

bool
ValueFolder::Take(Value& aValue, const std::string& aFile)
{
  const std::string stamp = StampOf(aFile);
  if (stamp.empty() || stamp == aValue.mStamp) {
    return false;
  }
  aValue.mStamp = stamp;
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  if (text.str().size() > kMaxValueBytes) {
    ++mOversized;
    return false;
  }
  aValue.mLatest = { aValue.mLatest.mIndex + 1, text.str() };
  if (aValue.mLatest.mIndex == 1) {
    aValue.mFirst = aValue.mLatest;
  }
  return true;
}

const ValueFolder::Revision*
ValueFolder::Find(const std::string& aName, bool aFirst) const
{
  const auto it = mValues.find(aName);
  if (it == mValues.end() || it->second.mLatest.mIndex == 0) {
    return nullptr;
  }
  return aFirst ? &it->second.mFirst : &it->second.mLatest;
}

PlatformServer::PlatformServer(const Address& aListen,
                               const Address& aAdmin,
                               const std::string& aFolder)
  : mListen(aListen)
  , mAdminAddress(aAdmin)
  , mFolder(aFolder)
{
  mFolder.Refresh();
}

PlatformServer::~PlatformServer()
{
  StopServing();
}

void
PlatformServer::Run()
{
  StartServing();
  ServeAdmin();
  std::thread admin([this] { mAdmin.listen_after_bind(); });
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mChanged.wait_for(lock, kRefreshPeriod, [this] { return mStopping; });
    if (mFault != PlatformFault::Stale && mFolder.Refresh()) {
      mChanged.notify_all();
    }
  }
  lock.unlock();
  mAdmin.stop();
  admin.join();
}

void
PlatformServer::Stop()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mStopping = true;
  mChanged.notify_all();
}

void
PlatformServer::StartServing()
{
  const std::lock_guard<std::mutex> serving(mServing);
  if (mServer) {
    return;
  }
  mServer = std::make_unique<httplib::Server>();
  mServer->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  mServer->set_tcp_nodelay(true);
  mServer->set_keep_alive_timeout(kKeepAliveSeconds);
  mServer->Get(R"(/v1/values/([A-Za-z0-9._-]+))",
               [this](const Request& aRequest, Response& aResponse) {
                 Answer(aRequest, aResponse);
               });
  const auto refuse = [this](const Request&, Response& aResponse) {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRefused;
    aResponse.status = kMethodNotAllowed;
  };
  mServer->Post(".*", refuse);
  mServer->Put(".*", refuse);
  mServer->Patch(".*", refuse);
  mServer->Delete(".*", refuse);
  if (!mServer->bind_to_port(mListen.IpString().c_str(), mListen.mPort)) {
    throw std::runtime_error("cannot listen on " + mListen.ToString());
  }
  mServerThread =
    std::thread([server = mServer.get()] { server->listen_after_bind(); });
}

void
PlatformServer::StopServing()
{
  const std::lock_guard<std::mutex> serving(mServing);
  if (!mServer) {
    return;
  }
  mServer->stop();
  mServerThread.join();
  mServer.reset();
}

void
PlatformServer::ServeAdmin()
{
  mAdmin.Post("/fault", [this](const Request& aRequest, Response& aResponse) {
    const auto it = FaultNames().find(aRequest.get_param_value("mode"));
    if (it == FaultNames().end()) {
      aResponse.status = kBadRequest;
      aResponse.set_content("mode is ok, down, stale, back or truncate\n",
                            "text/plain");
      return;
    }
    SetFault(it->second);
    aResponse.set_content(Counters().dump(), kJson);
  });
  mAdmin.Get("/counters", [this](const Request&, Response& aResponse) {
    aResponse.set_content(Counters().dump(), kJson);
  });
  if (!mAdmin.bind_to_port(mAdminAddress.IpString().c_str(),
                           mAdminAddress.mPort)) {
    throw std::runtime_error("cannot listen on " + mAdminAddress.ToString());
  }
}

void
PlatformServer::SetFault(PlatformFault aFault)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFault = aFault;
    // Wakes waiting watches, so that the fault takes effect at once.
    mChanged.notify_all();
  }
  if (aFault == PlatformFault::Down) {
    StopServing();
  } else {
    StartServing();
  }
}

void
PlatformServer::Answer(const Request& aRequest, Response& aResponse)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const std::string name = aRequest.matches[1];
  ++mCallsByName[name];
  const ValueFolder::Revision* revision = nullptr;
  try {
    revision = Await(lock, aRequest, name);
  } catch (const std::logic_error&) {
    aResponse.status = kBadRequest;
    return;
  }
  if (mStopping || mFault == PlatformFault::Down) {
    // The call arrived before the listener was closed.
    aResponse.status = kUnavailable;
    return;
  }
  if (mFolder.Find(name, false) == nullptr) {
    aResponse.status = kNotFound;
    return;
  }
  if (revision == nullptr) {
    aResponse.status = kNotModified;
    return;
  }
  std::string body = R"({"index": )" + std::to_string(revision->mIndex) +
                     R"(, "value": )" + revision->mText + "}";
  mBytesSent += body.size();
  if (mFault == PlatformFault::Truncate) {
    SendHalf(aResponse, std::move(body));
    return;
  }
  aResponse.set_content(body, kJson);
}

// Waits for the revision to answer with; returns null when a watch timed out or
// was interrupted. Throws std::logic_error on a malformed number.
const ValueFolder::Revision*
PlatformServer::Await(std::unique_lock<std::mutex>& aLock,
                      const Request& aRequest,
                      const std::string& aName)
{
  const auto current = [&] {
    return mFolder.Find(aName, mFault == PlatformFault::Back);
  };
  if (!aRequest.has_param("after")) {
    ++mReads;
    return current();
  }
  ++mWatches;
  const uint64_t after = NumberParameter(aRequest, "after");
  const auto wait =
    std::min(milliseconds(NumberParameter(aRequest, "wait_ms")), kMaxWait);
  const auto isNewer = [&] {
    return current() == nullptr || current()->mIndex > after;
  };
  mChanged.wait_for(aLock, wait, [&] {
    return mStopping || mFault == PlatformFault::Down || isNewer();
  });
  return isNewer() ? current() : nullptr;
}

json
PlatformServer::Counters()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { { "calls", mReads + mWatches },
           { "reads", mReads },
           { "watches", mWatches },
           { "refused_methods", mRefused },
           { "oversized_values", mFolder.Oversized() },
           { "bytes_sent", mBytesSent },
           { "calls_by_name", mCallsByName } };
}

} // namespace foxtail::standins

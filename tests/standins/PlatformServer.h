#ifndef foxtail_standins_PlatformServer_h
#define foxtail_standins_PlatformServer_h

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "httplib.h"
#include "nlohmann/json.hpp"

#include "foxtail/core/Address.h"

namespace foxtail::standins {

enum class PlatformFault
{
  Ok,
  // Not listening.
  Down,
  // Serves the values as they were when the fault began.
  Stale,
  // Serves the first published revision of each value, with its old index.
  Back,
  // Responses end after half of the body.
  Truncate
};

// Values read from files NAME.json in a folder; a value is read again when its
// file is replaced. Files over 1 MiB are ignored.
class ValueFolder
{
public:
  struct Revision
  {
    uint64_t mIndex = 0;
    std::string mText;
  };

  explicit ValueFolder(std::string aPath);

  // Reads replaced files; returns true when a value changed.
  bool Refresh();

  // Returns the first or the latest revision; null for an unknown name.
  const Revision* Find(const std::string& aName, bool aFirst) const;

  uint64_t Oversized() const { return mOversized; }

private:
  struct Value
  {
    // Identifies the file that was read, to detect that it was replaced.
    std::string mStamp;
    Revision mFirst;
    Revision mLatest;
  };

  bool Take(Value& aValue, const std::string& aFile);

  std::string mPath;
  std::map<std::string, Value> mValues;
  uint64_t mOversized = 0;
};

// Simulated platform as specified in docs/PROTOCOLS.md: serves reads and
// watches over HTTP and counts calls. An admin port controls the injected
// faults.
class PlatformServer
{
public:
  PlatformServer(const Address& aListen,
                 const Address& aAdmin,
                 const std::string& aFolder);
  ~PlatformServer();

  // Serves until Stop is called from another thread.
  void Run();
  void Stop();

private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void StartServing();
  void StopServing();
  void ServeAdmin();
  void SetFault(PlatformFault aFault);
  void Answer(const Request& aRequest, Response& aResponse);
  const ValueFolder::Revision* Await(std::unique_lock<std::mutex>& aLock,
                                     const Request& aRequest,
                                     const std::string& aName);
  nlohmann::json Counters();

  const Address mListen;
  const Address mAdminAddress;

  std::mutex mMutex;
  std::condition_variable mChanged;
  ValueFolder mFolder;
  PlatformFault mFault = PlatformFault::Ok;
  bool mStopping = false;
  uint64_t mReads = 0;
  uint64_t mWatches = 0;
  uint64_t mRefused = 0;
  uint64_t mBytesSent = 0;
  std::map<std::string, uint64_t> mCallsByName;

  // Serializes changes of the fault, so that starting and stopping the server
  // never overlap.
  std::mutex mServing;
  std::unique_ptr<httplib::Server> mServer;
  std::thread mServerThread;
  httplib::Server mAdmin;
};

} // namespace foxtail::standins

#endif

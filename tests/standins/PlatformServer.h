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
  // Values stay as they were when the fault began.
  Stale,
  // The first value that was ever published, under its index.
  Back,
  // Answers end in their middle.
  Truncate
};

// Values of a folder, read anew when a file NAME.json is replaced. Files over
// 1 MiB are not taken.
class ValueFolder
{
public:
  struct Revision
  {
    uint64_t mIndex = 0;
    std::string mText;
  };

  explicit ValueFolder(std::string aPath);

  // Looks for replaced files; true when a value changed.
  bool Refresh();

  // Null for an unknown name.
  const Revision* Find(const std::string& aName, bool aFirst) const;

  uint64_t Oversized() const { return mOversized; }

private:
  struct Value
  {
    // Tells a replaced file from the one that was read.
    std::string mStamp;
    Revision mFirst;
    Revision mLatest;
  };

  bool Take(Value& aValue, const std::string& aFile);

  std::string mPath;
  std::map<std::string, Value> mValues;
  uint64_t mOversized = 0;
};

// The platform as docs/PROTOCOLS.md has it: reads and watches over HTTP, calls
// counted, with a second port for the hand that brings about its failures.
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

  // Serializes faults, so that serving starts and stops one at a time.
  std::mutex mServing;
  std::unique_ptr<httplib::Server> mServer;
  std::thread mServerThread;
  httplib::Server mAdmin;
};

} // namespace foxtail::standins

#endif

#ifndef foxtail_daemon_Supervisor_h
#define foxtail_daemon_Supervisor_h

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Tells a part that it should end. Thread-safe.
class StopToken
{
public:
  void Request();
  // Takes the request back, for another run.
  void Reset();
  bool IsRequested() const;

  // Waits up to aTime; true when the stop was requested.
  bool WaitFor(Duration aTime) const;

private:
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mRequested = false;
};

// How often and how soon a part that failed is started again.
struct RestartLimits
{
  milliseconds mInitialBackoff{ 100 };
  // The backoff doubles with each failure up to this.
  milliseconds mMaxBackoff{ 5000 };
  // More failures than this within mWindow and the part is given up.
  size_t mMaxFailures = 8;
  seconds mWindow{ 60 };
};

// The decision alone; it reads no clock.
class RestartPolicy
{
public:
  explicit RestartPolicy(const RestartLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  // How long to wait before the part is started again; empty when it is given
  // up.
  std::optional<Duration> OnFailure(TimePoint aNow);

private:
  RestartLimits mLimits;
  std::deque<TimePoint> mFailures;
};

// Runs parts, each in a thread of its own. A part that throws or returns
// before it should is started again after a backoff, and its siblings go on.
// When one fails too often, Run ends. Supervisors make a tree: Run fits the
// body of a part of another one.
class Supervisor
{
public:
  // Runs until the token is requested. Throwing means failure.
  using Body = std::function<void(const StopToken&)>;
  using Report = std::function<void(const Event&)>;

  // aReport is told of failures (events 1004 and 1005), from any thread.
  Supervisor(std::string aName, Report aReport, RestartLimits aLimits = {});
  ~Supervisor();

  // Adds a part; before Run. aInterrupt, if given, is called from another
  // thread to end what the body waits in.
  void Add(std::string aName,
           Body aBody,
           std::function<void()> aInterrupt = nullptr);

  // Starts the parts in the order in which they were added and returns when
  // aStop is requested and all have ended, the last one first. Throws
  // DaemonError 930 when a part was given up; all others have ended then.
  void Run(const StopToken& aStop);

private:
  struct Part;

  void RunPart(Part& aPart);
  void StopAll();

  std::string mName;
  Report mReport;
  RestartLimits mLimits;
  std::vector<std::unique_ptr<Part>> mParts;
  // Requested when a part was given up.
  StopToken mGaveUp;
  std::string mGivenUpPart;
  std::mutex mMutex;
};

} // namespace foxtail::daemon

#endif

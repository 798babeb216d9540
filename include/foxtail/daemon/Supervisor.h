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

// Stop request that one thread makes and other threads poll or wait for.
// Thread-safe.
class StopToken
{
public:
  void Request();
  // Clears the request, so that the token can be used for another run.
  void Reset();
  bool IsRequested() const;

  // Waits for a stop request for at most aTime. Returns whether the stop was
  // requested.
  bool WaitFor(Duration aTime) const;

private:
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mRequested = false;
};

// How often and how soon a failed part is restarted.
struct RestartLimits
{
  milliseconds mInitialBackoff{ 100 };
  // The backoff doubles with each failure, up to this limit.
  milliseconds mMaxBackoff{ 5000 };
  // A part with more failures than this within mWindow is given up.
  size_t mMaxFailures = 8;
  seconds mWindow{ 60 };
};

// Decides whether and when a part is restarted. The caller passes the time, so
// that the decision does not depend on a clock.
class RestartPolicy
{
public:
  explicit RestartPolicy(const RestartLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  // Records a failure. Returns the backoff before the part is restarted; empty
  // if the part is given up.
  std::optional<Duration> OnFailure(TimePoint aNow);

private:
  RestartLimits mLimits;
  std::deque<TimePoint> mFailures;
};

// Runs parts of a program, each in its own thread. A part that throws, or that
// returns before its stop was requested, is restarted after a backoff; the
// other parts keep running. If a part fails too often, it is given up: all
// parts are stopped and Run throws. Supervisors can be nested: the body of a
// part may call Run of another supervisor.
class Supervisor
{
public:
  // Runs a part until the token's stop is requested. An exception counts as a
  // failure.
  using Body = std::function<void(const StopToken&)>;
  using Report = std::function<void(const Event&)>;

  // aReport is called for each failure (events 1004 and 1005), from any thread.
  Supervisor(std::string aName, Report aReport, RestartLimits aLimits = {});
  ~Supervisor();

  // Adds a part. Call it before Run. aInterrupt, if given, is called from
  // another thread after the stop request, to wake a body that is blocked in a
  // wait of its own.
  void Add(std::string aName,
           Body aBody,
           std::function<void()> aInterrupt = nullptr);

  // Starts the parts in the order in which they were added. Once aStop is
  // requested, stops them in reverse order and returns when all have ended.
  // Throws DaemonError 930 if a part was given up, after all parts have ended.
  void Run(const StopToken& aStop);

private:
  struct Part;

  void RunPart(Part& aPart);
  void StopAll();

  std::string mName;
  Report mReport;
  RestartLimits mLimits;
  std::vector<std::unique_ptr<Part>> mParts;
  // Requested once a part is given up.
  StopToken mGaveUp;
  std::string mGivenUpPart;
  std::mutex mMutex;
};

} // namespace foxtail::daemon

#endif

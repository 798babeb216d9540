#include "foxtail/daemon/Supervisor.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

// Run waits for mGaveUp, and polls the caller's stop token at this interval.
constexpr milliseconds kStopPollInterval{ 20 };

Duration
Backoff(const RestartLimits& aLimits, size_t aFailures)
{
  milliseconds backoff = aLimits.mInitialBackoff;
  for (size_t i = 1; i < aFailures && backoff < aLimits.mMaxBackoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, aLimits.mMaxBackoff);
}

// Runs aBody. Returns why it failed; empty if it returned after a stop request.
std::string
RunBody(const Supervisor::Body& aBody, const StopToken& aStop)
{
  try {
    aBody(aStop);
  } catch (const std::exception& e) {
    return e.what();
  }
  return aStop.IsRequested() ? "" : "ended by itself";
}

} // namespace

void
StopToken::Request()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRequested = true;
  }
  mChanged.notify_all();
}

void
StopToken::Reset()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRequested = false;
}

bool
StopToken::IsRequested() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRequested;
}

bool
StopToken::WaitFor(Duration aTime) const
{
  std::unique_lock<std::mutex> lock(mMutex);
  return mChanged.wait_for(lock, aTime, [&] { return mRequested; });
}

std::optional<Duration>
RestartPolicy::OnFailure(TimePoint aNow)
{
  mFailures.push_back(aNow);
  while (aNow - mFailures.front() > mLimits.mWindow) {
    mFailures.pop_front();
  }
  if (mFailures.size() > mLimits.mMaxFailures) {
    return std::nullopt;
  }
  return Backoff(mLimits, mFailures.size());
}

struct Supervisor::Part
{
  std::string mName;
  Body mBody;
  std::function<void()> mInterrupt;
  StopToken mStop;
  std::thread mThread;
};

Supervisor::Supervisor(std::string aName, Report aReport, RestartLimits aLimits)
  : mName(std::move(aName))
  , mReport(std::move(aReport))
  , mLimits(aLimits)
{
}

Supervisor::~Supervisor()
{
  StopAll();
}

void
Supervisor::Add(std::string aName, Body aBody, std::function<void()> aInterrupt)
{
  auto part = std::make_unique<Part>();
  part->mName = std::move(aName);
  part->mBody = std::move(aBody);
  part->mInterrupt = std::move(aInterrupt);
  mParts.push_back(std::move(part));
}

void
Supervisor::RunPart(Part& aPart)
{
  RestartPolicy policy(mLimits);
  while (!aPart.mStop.IsRequested()) {
    const std::string reason = RunBody(aPart.mBody, aPart.mStop);
    if (aPart.mStop.IsRequested()) {
      return;
    }
    const std::string path = absl::StrCat(mName, "/", aPart.mName);
    const std::optional<Duration> backoff =
      policy.OnFailure(std::chrono::steady_clock::now());
    if (!backoff) {
      mReport({ 1005, absl::StrCat("part=", path, " why=", reason) });
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mGivenUpPart = path;
      }
      mGaveUp.Request();
      return;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(*backoff);
    mReport(
      { 1004,
        absl::StrCat(
          "part=", path, " backoff_ms=", wait.count(), " why=", reason) });
    aPart.mStop.WaitFor(*backoff);
  }
}

void
Supervisor::StopAll()
{
  for (auto it = mParts.rbegin(); it != mParts.rend(); ++it) {
    Part& part = **it;
    part.mStop.Request();
    if (part.mInterrupt) {
      part.mInterrupt();
    }
    if (part.mThread.joinable()) {
      part.mThread.join();
    }
  }
}

void
Supervisor::Run(const StopToken& aStop)
{
  mGaveUp.Reset();
  mGivenUpPart.clear();
  for (const auto& it : mParts) {
    it->mStop.Reset();
    it->mThread = std::thread([this, &part = *it] { RunPart(part); });
  }
  while (!aStop.IsRequested() && !mGaveUp.WaitFor(kStopPollInterval)) {
  }
  StopAll();
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mGivenUpPart.empty()) {
    throw DaemonError(
      930, mGivenUpPart, "failed too often; all parts were stopped");
  }
}

} // namespace foxtail::daemon

#include "foxtail/agent/PlatformFeed.h"

#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Error.h"
#include "foxtail/daemon/Log.h"

namespace foxtail::agent {

namespace {

constexpr char kBaseName[] = "config.base";
// Mean time between two unconditional reads of the base.
constexpr seconds kFullBaseReadPeriod{ 1800 };
constexpr char kPatchesName[] = "config.patches";
// Interval at which an agent that is not a watcher checks whether it has become
// one.
constexpr milliseconds kWatcherCheckInterval{ 500 };

} // namespace

PlatformFeed::PlatformFeed(SharedCore& aCore,
                           daemon::Metrics& aMetrics,
                           const Address& aPlatform,
                           std::string aName,
                           uint64_t aSeed)
  : mCore(aCore)
  , mMetrics(aMetrics)
  , mPlatform(aPlatform)
  , mName(std::move(aName))
  , mRandom(aSeed)
{
}

void
PlatformFeed::Run(const daemon::StopToken& aStop)
{
  auto client = std::make_shared<net::PlatformClient>(mPlatform);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClient = client;
  }
  const auto spread = static_cast<uint64_t>(kFirstReadSpread.count());
  aStop.WaitFor(milliseconds(mRandom() % spread));
  while (!aStop.IsRequested()) {
    try {
      Step(*client, aStop);
      OnSuccess();
    } catch (const PlatformError& e) {
      CountBytes(*client);
      if (!aStop.IsRequested()) {
        OnFailure(e);
        aStop.WaitFor(Jittered(mBackoff));
      }
    }
  }
}

void
PlatformFeed::Interrupt()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mClient) {
    mClient->Stop();
  }
}

void
PlatformFeed::Step(net::PlatformClient& aClient, const daemon::StopToken& aStop)
{
  if (std::chrono::steady_clock::now() >= mNextReadAt) {
    ReadValue(aClient);
    mNextReadAt = std::chrono::steady_clock::now() + Jittered(kReadPeriod);
    return;
  }
  const bool watches =
    mCore.With([](AgentCore& c, TimePoint) { return c.WatchesPlatform(); });
  if (!watches) {
    aStop.WaitFor(kWatcherCheckInterval);
    return;
  }
  const std::optional<net::PlatformValue> value =
    aClient.Watch(mName, mIndex, kWatchTimeout);
  if (value) {
    Apply(aClient, *value);
  } else {
    CountBytes(aClient);
  }
}

// The base is large and seldom changes, so most reads request it only if it has
// a newer index. An unconditional read from time to time detects a platform
// whose index has restarted.
void
PlatformFeed::ReadValue(net::PlatformClient& aClient)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (mName != kBaseName || now >= mNextFullReadAt) {
    mNextFullReadAt = now + Jittered(kFullBaseReadPeriod);
    Apply(aClient, aClient.Read(mName));
    return;
  }
  const auto value = aClient.Watch(mName, mIndex, milliseconds(0));
  if (value) {
    Apply(aClient, *value);
  } else {
    CountBytes(aClient);
  }
}

void
PlatformFeed::Apply(net::PlatformClient& aClient,
                    const net::PlatformValue& aValue)
{
  CountBytes(aClient);
  mIndex = aValue.mIndex;
  const bool isContiguous = mCore.With([&](AgentCore& c, TimePoint aNow) {
    if (mName == kBaseName) {
      c.ApplyBase(aNow, aValue.mValue);
    } else if (mName == kPatchesName) {
      return c.ApplyPatches(aNow, aValue.mValue);
    } else {
      c.ApplyVmList(aNow, aValue.mValue, aValue.mIndex);
    }
    return true;
  });
  if (isContiguous) {
    return;
  }
  // The patches begin after the position of the configuration in force here, so
  // the base is needed.
  const net::PlatformValue base = aClient.Read(kBaseName);
  CountBytes(aClient);
  mCore.With([&](AgentCore& c, TimePoint aNow) {
    c.ApplyBase(aNow, base.mValue);
    c.ApplyPatches(aNow, aValue.mValue);
  });
}

void
PlatformFeed::CountBytes(const net::PlatformClient& aClient)
{
  const net::CallBytes& bytes = aClient.LastBytes();
  const std::string help = "Control traffic by kind, without IP headers.";
  const std::string kind = absl::StrCat("platform_", mName);
  mMetrics
    .Counter("foxtail_control_bytes_total",
             help,
             { { "kind", kind }, { "direction", "sent" } })
    .Increment(static_cast<double>(bytes.mSent));
  mMetrics
    .Counter("foxtail_control_bytes_total",
             help,
             { { "kind", kind }, { "direction", "received" } })
    .Increment(static_cast<double>(bytes.mReceived));
  mMetrics
    .Counter("foxtail_platform_calls_total",
             "Reads and watches of the platform.",
             { { "value", mName } })
    .Increment();
}

void
PlatformFeed::OnFailure(const Error& aError)
{
  if (mBackoff == Duration(0)) {
    daemon::LogEvent(
      { 8001, absl::StrCat("value=", mName, " why=", aError.what()) });
    mBackoff = kInitialBackoff;
    return;
  }
  mBackoff = std::min(mBackoff * 2, Duration(kMaxBackoff));
}

void
PlatformFeed::OnSuccess()
{
  mBackoff = Duration(0);
}

Duration
PlatformFeed::Jittered(Duration aTime)
{
  const Duration half = aTime / 2;
  return half + Duration(mRandom() % (aTime.count() + 1));
}

} // namespace foxtail::agent

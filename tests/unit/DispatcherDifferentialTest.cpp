#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "foxtail/core/Hash.h"
#include "foxtail/routing/Dispatcher.h"

using namespace foxtail;
using namespace foxtail::routing;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kConnections = 4;

// A simple dispatcher that breaks the invariants: sends every request at once
// to the upstreams in turn, retries after every failure, and refuses each
// expired request as not run.
class NaiveDispatcher
{
public:
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint)
  {
    mSnapshot = std::move(aSnapshot);
  }
  void OnReport(const LoadReport&, TimePoint) {}
  void OnPeerLoads(uint64_t, const std::vector<LoadReport>&, TimePoint) {}
  void OnPeerGone(uint64_t) {}
  void Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions)
  {
    mWorks[aWork.mSerial] = aWork;
    Send(aWork, aActions);
  }
  bool Finish(uint32_t aSerial, Outcome aOutcome, TimePoint, WorkActions& a)
  {
    const Work work = mWorks[aSerial];
    if (aOutcome == Outcome::Answered || aOutcome == Outcome::Cancelled) {
      mWorks.erase(aSerial);
      return false;
    }
    Send(work, a);
    return true;
  }
  void Cancel(uint32_t aSerial, TimePoint, WorkActions& a)
  {
    mWorks.erase(aSerial);
  }
  void Tick(TimePoint aNow, WorkActions& aActions)
  {
    for (auto it = mWorks.begin(); it != mWorks.end();) {
      if (it->second.mDeadline > aNow) {
        ++it;
        continue;
      }
      aActions.push_back(
        RefuseWork{ it->first, RefusalReason::DeadlinePassed, 1s });
      it = mWorks.erase(it);
    }
  }

private:
  void Send(const Work& aWork, WorkActions& aActions)
  {
    const size_t services = mSnapshot->mServices.size();
    const auto& all =
      mSnapshot->mServices[aWork.mService % services].mUpstreams;
    aActions.push_back(SendWork{ aWork.mSerial, all[mNext++ % all.size()] });
  }

  config::SnapshotPtr mSnapshot;
  std::map<uint32_t, Work> mWorks;
  uint32_t mNext = 0;
};

// Number of times that each invariant was broken.
struct Violations
{
  // Sent although the upstream's connection limit was reached.
  int mOverConnectionLimit = 0;
  // Refused as not run although it may have run.
  int mFalseRefusal = 0;
  int mEndedTwice = 0;
  int mNeverEnded = 0;
  // Sent again although it may have run or was still running.
  int mUnsafeResend = 0;
  int mSentToDraining = 0;
  int mSentLate = 0;

  int Sum() const
  {
    return mOverConnectionLimit + mFalseRefusal + mEndedTwice + mNeverEnded +
           mUnsafeResend + mSentToDraining + mSentLate;
  }
};

// Drives a dispatcher with random events of every kind, and checks each of its
// actions against a record of the requests' states.
template<typename D>
class RandomDriver
{
public:
  RandomDriver(D& aDispatcher, uint64_t aSeed)
    : mDispatcher(aDispatcher)
    , mRandom(aSeed)
  {
    ChangeConfig();
  }

  Violations Run(int aSteps)
  {
    for (int n = 0; n < aSteps; ++n) {
      mNow += microseconds(Draw(2000));
      Step();
    }
    mNow += 10s;
    Apply([&](WorkActions& a) { mDispatcher.Tick(mNow, a); });
    for (const auto& [serial, it] : mRecords) {
      mViolations.mNeverEnded += it.mEndCount == 0 ? 1 : 0;
    }
    return mViolations;
  }

private:
  struct Record
  {
    Work mWork;
    // The id of the upstream that runs the request, zero for none.
    uint32_t mRunsAt = 0;
    bool mMayHaveRun = false;
    int mEndCount = 0;
  };

  uint32_t Draw(uint32_t aBelow) { return mRandom() % aBelow; }

  template<typename Call>
  void Apply(Call aCall)
  {
    WorkActions actions;
    aCall(actions);
    for (const WorkAction& it : actions) {
      std::visit([this](const auto& a) { Check(a); }, it);
    }
  }

  void Step()
  {
    const uint32_t draw = Draw(100);
    if (draw < 45) {
      Submit();
    } else if (draw < 80) {
      Finish();
    } else if (draw < 85) {
      Cancel();
    } else if (draw < 95) {
      Apply([&](WorkActions& a) { mDispatcher.Tick(mNow, a); });
    } else if (draw < 98) {
      SendReports();
    } else {
      ChangeConfig();
    }
  }

  void Submit()
  {
    Work work;
    work.mSerial = ++mSerial;
    work.mService = Draw(static_cast<uint32_t>(mSnapshot->mServices.size()));
    work.mRankHash = mRandom();
    work.mDeadline = mNow + milliseconds(1 + Draw(300));
    work.mIdempotent = Draw(2) == 0;
    const auto& all = mSnapshot->mServices[work.mService].mUpstreams;
    if (Draw(3) == 0) {
      work.mBoundUpstream = all[Draw(static_cast<uint32_t>(all.size()))];
    }
    mRecords[work.mSerial].mWork = work;
    Apply([&](WorkActions& a) { mDispatcher.Submit(work, mNow, a); });
  }

  // Picks a request that runs at an upstream; null when none does.
  Record* PickRunning()
  {
    std::vector<Record*> running;
    for (auto& [serial, it] : mRecords) {
      if (it.mRunsAt != 0 && it.mEndCount == 0) {
        running.push_back(&it);
      }
    }
    return running.empty()
             ? nullptr
             : running[Draw(static_cast<uint32_t>(running.size()))];
  }

  void Finish()
  {
    Record* record = PickRunning();
    if (record == nullptr) {
      return;
    }
    const uint32_t draw = Draw(100);
    const Outcome outcome = draw < 60   ? Outcome::Answered
                            : draw < 85 ? Outcome::Shed
                            : draw < 95 ? Outcome::TimedOut
                                        : Outcome::Cancelled;
    record->mMayHaveRun |= outcome != Outcome::Shed;
    MarkStopped(*record);
    const uint32_t serial = record->mWork.mSerial;
    bool isRetried = false;
    Apply([&](WorkActions& a) {
      isRetried = mDispatcher.Finish(serial, outcome, mNow, a);
    });
    if (!isRetried && record->mEndCount == 0) {
      MarkEnded(*record);
    }
  }

  void Cancel()
  {
    const uint32_t serial = 1 + Draw(mSerial + 1);
    const auto it = mRecords.find(serial);
    if (it == mRecords.end() || it->second.mEndCount > 0) {
      return;
    }
    Apply([&](WorkActions& a) { mDispatcher.Cancel(serial, mNow, a); });
    if (it->second.mEndCount == 0) {
      MarkStopped(it->second);
      MarkEnded(it->second);
    }
  }

  void SendReports()
  {
    LoadReport report;
    report.mUpstream =
      mSnapshot->mUpstreams[Draw(mSnapshot->mUpstreams.size())].mId;
    report.mInFlight = Draw(2) * Draw(100);
    report.mHealthy = Draw(3) != 0;
    report.mDraining = Draw(5) == 0;
    report.mSampledAt = mNow - milliseconds(Draw(1000));
    mDispatcher.OnReport(report, mNow);
    mDispatcher.OnPeerLoads(Draw(6) + 2, { report, report }, mNow);
    if (Draw(4) == 0) {
      mDispatcher.OnPeerGone(Draw(6) + 2);
    }
  }

  // Adds and removes services and upstreams at random, and drains some.
  void ChangeConfig()
  {
    auto snapshot = std::make_shared<config::Snapshot>();
    for (uint32_t n = 0; n < 3; ++n) {
      if (n > 0 && Draw(8) == 0) {
        continue;
      }
      config::Service& service = snapshot->mServices.emplace_back();
      service.mName = "service-" + std::to_string(n);
      for (uint32_t u = 0; u < 4; ++u) {
        if (u > 0 && Draw(6) == 0) {
          continue;
        }
        config::Upstream& it = snapshot->mUpstreams.emplace_back();
        it.mName = service.mName + "-" + std::to_string(u);
        it.mSlots = 1 + u;
        it.mMaxConnections = kConnections;
        it.mDraining = Draw(5) == 0;
        it.mService = static_cast<uint32_t>(snapshot->mServices.size() - 1);
        it.mId = static_cast<uint32_t>(StableHash(it.mName));
        service.mUpstreams.push_back(
          static_cast<uint32_t>(snapshot->mUpstreams.size() - 1));
      }
    }
    mSnapshot = snapshot;
    mDispatcher.SetSnapshot(snapshot, mNow);
  }

  void MarkStopped(Record& aRecord)
  {
    if (aRecord.mRunsAt != 0) {
      --mInFlight[aRecord.mRunsAt];
      aRecord.mRunsAt = 0;
    }
  }
  void MarkEnded(Record& aRecord)
  {
    mViolations.mEndedTwice += aRecord.mEndCount++ > 0 ? 1 : 0;
  }

  void Check(const SendWork& aSend)
  {
    Record& record = mRecords.at(aSend.mSerial);
    const config::Upstream& upstream = mSnapshot->mUpstreams[aSend.mUpstream];
    const bool isBound = record.mWork.mBoundUpstream != config::kNoIndex;
    mViolations.mSentToDraining += upstream.mDraining && !isBound ? 1 : 0;
    mViolations.mUnsafeResend +=
      record.mMayHaveRun || record.mRunsAt != 0 ? 1 : 0;
    mViolations.mEndedTwice += record.mEndCount > 0 ? 1 : 0;
    mViolations.mSentLate += record.mWork.mDeadline <= mNow ? 1 : 0;
    MarkStopped(record);
    record.mRunsAt = upstream.mId;
    const int inFlight = ++mInFlight[upstream.mId];
    mViolations.mOverConnectionLimit +=
      inFlight > static_cast<int>(kConnections) ? 1 : 0;
  }
  void Check(const RefuseWork& aRefusal)
  {
    Record& record = mRecords.at(aRefusal.mSerial);
    mViolations.mFalseRefusal +=
      record.mMayHaveRun || record.mRunsAt != 0 ? 1 : 0;
    MarkStopped(record);
    MarkEnded(record);
  }
  void Check(const ExpireWork& aExpiry)
  {
    Record& record = mRecords.at(aExpiry.mSerial);
    MarkStopped(record);
    MarkEnded(record);
  }

  D& mDispatcher;
  std::mt19937_64 mRandom;
  TimePoint mNow{ 100s };
  config::SnapshotPtr mSnapshot;
  uint32_t mSerial = 0;
  std::map<uint32_t, Record> mRecords;
  std::map<uint32_t, int> mInFlight;
  Violations mViolations;
};

} // namespace

// Guards against requests that are sent twice, to a draining upstream, beyond
// an upstream's connection limit or after their deadline, that are refused
// although they may have run, or that end twice or never.
TEST_CASE("Dispatcher keeps its invariants under random events", "[routing]")
{
  const uint64_t seed = GENERATE(range(1, 41));
  INFO("seed " << seed);
  DispatcherSettings settings;
  settings.mSeed = seed;
  Dispatcher dispatcher(settings);
  dispatcher.SetBalancers({ 1 }, 1);
  const Violations it = RandomDriver(dispatcher, seed).Run(3000);
  CHECK(it.mOverConnectionLimit == 0);
  CHECK(it.mFalseRefusal == 0);
  CHECK(it.mEndedTwice == 0);
  CHECK(it.mNeverEnded == 0);
  CHECK(it.mUnsafeResend == 0);
  CHECK(it.mSentToDraining == 0);
  CHECK(it.mSentLate == 0);
}

// Shows that five of the seven checks of the test above find violations.
TEST_CASE("A naive dispatcher breaks the invariants", "[routing]")
{
  NaiveDispatcher naive;
  const Violations it = RandomDriver(naive, 1).Run(3000);
  CHECK(it.mOverConnectionLimit > 0);
  CHECK(it.mFalseRefusal > 0);
  CHECK(it.mUnsafeResend > 0);
  CHECK(it.mSentToDraining > 0);
  CHECK(it.mSentLate > 0);
}

#include "Simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>

#include "foxtail/core/Hash.h"
#include "foxtail/net/PeerCodec.h"
#include "foxtail/routing/DefaultUpstream.h"
#include "foxtail/routing/Dispatcher.h"

namespace foxtail::swings {

namespace {

constexpr seconds kDeadline{ 10 };
constexpr microseconds kMinDelay{ 500 };
constexpr microseconds kMaxDelay{ 1500 };
constexpr seconds kKeepAlive{ 1 };
// Bytes of nng's length prefix over TCP.
constexpr size_t kMessageOverhead = 8;

using Action = std::function<void()>;
using Seconds = std::chrono::duration<double>;

class EventQueue
{
public:
  void At(TimePoint aTime, Action aAction)
  {
    mEvents.push({ aTime, mCount++, std::move(aAction) });
  }
  TimePoint Now() const { return mNow; }
  void Run()
  {
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      event.mAction();
    }
  }

private:
  struct Event
  {
    TimePoint mTime;
    uint64_t mOrder;
    Action mAction;
    bool operator<(const Event& a) const
    {
      return mTime != a.mTime ? mTime > a.mTime : mOrder > a.mOrder;
    }
  };
  std::priority_queue<Event> mEvents;
  uint64_t mCount = 0;
  TimePoint mNow;
};

struct Upstream
{
  uint32_t mRunning = 0;
  std::deque<size_t> mQueue;
  Duration mBusy{ 0 };
};

config::SnapshotPtr
MakeSnapshot()
{
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->mServices.resize(1);
  snapshot->mServices[0].mName = "ledger";
  for (uint32_t n = 0; n < kUpstreams; ++n) {
    config::Upstream& it = snapshot->mUpstreams.emplace_back();
    it.mName = "ledger-" + std::to_string(n);
    it.mSlots = kSlots;
    it.mMaxConnections = 2000;
    it.mService = 0;
    it.mId = static_cast<uint32_t>(StableHash(it.mName));
    snapshot->mServices[0].mUpstreams.push_back(n);
  }
  return snapshot;
}

size_t
WireSize(const std::vector<routing::LoadReport>& aLoads)
{
  net::FlowRecords message;
  message.mSender = 1;
  for (const routing::LoadReport& it : aLoads) {
    message.mLoads.push_back({ it.mUpstream, it.mInFlight, it.mHealthy });
  }
  return net::Encode(message).size() + kMessageOverhead;
}

// Simulates upstreams and network and collects measurements. The policy under
// test decides when and where requests are sent.
class Simulator
{
public:
  Simulator(const std::vector<Arrival>& aArrivals, uint64_t aSeed)
    : mArrivals(aArrivals)
    , mRandom(aSeed)
    , mUpstreams(kUpstreams)
  {
    std::uniform_int_distribution<int64_t> delay(kMinDelay.count(),
                                                 kMaxDelay.count());
    for (uint32_t n = 0; n < kBalancers * (kUpstreams + kBalancers); ++n) {
      mDelays.push_back(microseconds(delay(mRandom)));
    }
    mWaits.resize(aArrivals.size(), Duration(-1));
  }

  // Called with the index of a request when its answer reaches the balancer.
  std::function<void(size_t)> mOnAnswer;

  EventQueue mEvents;
  const std::vector<Arrival>& mArrivals;
  std::mt19937_64 mRandom;
  std::vector<Upstream> mUpstreams;
  std::vector<Duration> mWaits;

  uint32_t BalancerOf(size_t aRequest) const
  {
    return MixHash(mArrivals[aRequest].mFlow, 77) % kBalancers;
  }
  Duration UpstreamDelay(uint32_t aBalancer, uint32_t aUpstream) const
  {
    return mDelays[aBalancer * kUpstreams + aUpstream];
  }
  Duration PeerDelay(uint32_t aFrom, uint32_t aTo) const
  {
    return mDelays[kBalancers * kUpstreams + aFrom * kBalancers + aTo];
  }

  void Send(size_t aRequest, uint32_t aUpstream)
  {
    const Duration delay = UpstreamDelay(BalancerOf(aRequest), aUpstream);
    mEvents.At(mEvents.Now() + delay, [this, aRequest, aUpstream, delay] {
      Upstream& upstream = mUpstreams[aUpstream];
      upstream.mQueue.push_back(aRequest);
      StartNext(aUpstream);
    });
  }

  // Removes the request from the upstream's queue if it is still queued there.
  void CancelAt(size_t aRequest, uint32_t aUpstream)
  {
    auto& queue = mUpstreams[aUpstream].mQueue;
    queue.erase(std::remove(queue.begin(), queue.end(), aRequest), queue.end());
  }

  void Measure(Result& aResult) const
  {
    std::vector<Duration> waits;
    for (size_t n = 0; n < mArrivals.size(); ++n) {
      if (!mArrivals[n].mStraggler && mWaits[n] >= Duration(0)) {
        waits.push_back(mWaits[n]);
      }
    }
    std::sort(waits.begin(), waits.end());
    aResult.mShortP50 = waits[waits.size() / 2];
    aResult.mShortP99 = waits[waits.size() * 99 / 100];
    Duration most{ 0 };
    Duration all{ 0 };
    for (const Upstream& it : mUpstreams) {
      most = std::max(most, it.mBusy);
      all += it.mBusy;
    }
    aResult.mImbalance = Seconds(most) / Seconds(all) * kUpstreams;
    const Seconds span = mArrivals.back().mAt - TimePoint();
    aResult.mGoodput = Seconds(mGoodWork) / (span * (kUpstreams * kSlots));
  }

private:
  void StartNext(uint32_t aUpstream)
  {
    Upstream& upstream = mUpstreams[aUpstream];
    if (upstream.mRunning == kSlots || upstream.mQueue.empty()) {
      return;
    }
    const size_t request = upstream.mQueue.front();
    upstream.mQueue.pop_front();
    ++upstream.mRunning;
    const Arrival& arrival = mArrivals[request];
    const Duration delay = UpstreamDelay(BalancerOf(request), aUpstream);
    const TimePoint now = mEvents.Now();
    mWaits[request] = now - arrival.mAt - delay;
    mEvents.At(now + arrival.mSize, [this, request, aUpstream, delay] {
      End(request, aUpstream, delay);
    });
  }

  void End(size_t aRequest, uint32_t aUpstream, Duration aDelay)
  {
    const Arrival& arrival = mArrivals[aRequest];
    Upstream& upstream = mUpstreams[aUpstream];
    --upstream.mRunning;
    const TimePoint now = mEvents.Now();
    // Work that ends after the last arrival is not counted, because no load is
    // offered then.
    const TimePoint last = mArrivals.back().mAt;
    if (now <= last) {
      upstream.mBusy += arrival.mSize;
      mGoodWork += now <= arrival.mAt + kDeadline ? arrival.mSize : Duration(0);
    }
    mEvents.At(now + aDelay, [this, aRequest] { mOnAnswer(aRequest); });
    StartNext(aUpstream);
  }

  std::vector<Duration> mDelays;
  Duration mGoodWork{ 0 };
};

// Runs a policy that sends each request on arrival; aChoose returns the
// upstream for a request of a balancer.
template<typename Choose>
Result
RunOnArrival(const std::vector<Arrival>& aArrivals,
             uint64_t aSeed,
             Choose aChoose)
{
  Simulator simulator(aArrivals, aSeed);
  std::vector<std::vector<uint32_t>> counts(kBalancers,
                                            std::vector<uint32_t>(kUpstreams));
  std::vector<uint32_t> chosen(aArrivals.size());
  for (size_t n = 0; n < aArrivals.size(); ++n) {
    simulator.mEvents.At(aArrivals[n].mAt, [&, n] {
      const uint32_t balancer = simulator.BalancerOf(n);
      chosen[n] = aChoose(balancer, counts[balancer], simulator.mRandom);
      ++counts[balancer][chosen[n]];
      simulator.Send(n, chosen[n]);
    });
  }
  simulator.mOnAnswer = [&](size_t n) {
    --counts[simulator.BalancerOf(n)][chosen[n]];
  };
  simulator.mEvents.Run();
  Result result;
  simulator.Measure(result);
  return result;
}

class FoxtailRun
{
public:
  FoxtailRun(const std::vector<Arrival>& aArrivals,
             uint64_t aSeed,
             const Foxtail& aPolicy)
    : mPolicy(aPolicy)
    , mSimulator(aArrivals, aSeed)
    , mSnapshot(MakeSnapshot())
    , mEnd(aArrivals.back().mAt + kDeadline)
  {
    std::vector<uint64_t> incarnations;
    for (uint32_t n = 0; n < kBalancers; ++n) {
      incarnations.push_back(100 + n);
    }
    for (uint32_t n = 0; n < kBalancers; ++n) {
      routing::DispatcherSettings settings;
      settings.mSeed = aSeed * 1000 + n;
      settings.mMaxWait = aPolicy.mMaxWait;
      settings.mAdvertiseOnlyLong = aPolicy.mAdvertiseOnlyLong;
      settings.mPreferOwnSlots = aPolicy.mPreferOwnSlots;
      Balancer& it = mBalancers.emplace_back();
      it.mDispatcher = std::make_unique<routing::Dispatcher>(settings);
      it.mDispatcher->SetBalancers(incarnations, incarnations[n]);
      it.mDispatcher->SetSnapshot(mSnapshot, TimePoint());
    }
  }

  Result Run()
  {
    for (size_t n = 0; n < mSimulator.mArrivals.size(); ++n) {
      mSimulator.mEvents.At(mSimulator.mArrivals[n].mAt,
                            [this, n] { Submit(n); });
    }
    mSimulator.mOnAnswer = [this](size_t n) { OnAnswer(n); };
    StartReports();
    mSimulator.mEvents.Run();
    Result result;
    mSimulator.Measure(result);
    const Seconds span = mSimulator.mArrivals.back().mAt - TimePoint();
    result.mRefused = double(mRefused) / mSimulator.mArrivals.size();
    result.mSlowestRefusal = mSlowestRefusal;
    result.mDeviating = double(mDeviating) / std::max<size_t>(1, mNewFlows);
    result.mPeerBytes = mPeerBytes / span.count() / kBalancers;
    return result;
  }

private:
  struct Balancer
  {
    std::unique_ptr<routing::Dispatcher> mDispatcher;
    TimePoint mTickAt = TimePoint::max();
    TimePoint mAdvertiseAt = TimePoint::max();
    TimePoint mLastAdvertised;
    uint64_t mAdvertisedRevision = 0;
  };

  TimePoint Now() const { return mSimulator.mEvents.Now(); }

  void Submit(size_t aRequest)
  {
    const Arrival& arrival = mSimulator.mArrivals[aRequest];
    routing::Work work;
    work.mSerial = static_cast<uint32_t>(aRequest);
    work.mService = 0;
    work.mRankHash = arrival.mFlow;
    work.mDeadline = arrival.mAt + kDeadline;
    const auto bound = mFlows.find(arrival.mFlow);
    if (bound != mFlows.end()) {
      work.mBoundUpstream = bound->second;
    }
    const uint32_t balancer = mSimulator.BalancerOf(aRequest);
    routing::WorkActions actions;
    mBalancers[balancer].mDispatcher->Submit(work, Now(), actions);
    ExecuteActions(balancer, actions);
  }

  void OnAnswer(size_t aRequest)
  {
    const uint32_t balancer = mSimulator.BalancerOf(aRequest);
    routing::WorkActions actions;
    mBalancers[balancer].mDispatcher->Finish(static_cast<uint32_t>(aRequest),
                                             routing::Outcome::Answered,
                                             Now(),
                                             actions);
    ExecuteActions(balancer, actions);
  }

  void ExecuteActions(uint32_t aBalancer, const routing::WorkActions& aActions)
  {
    for (const routing::WorkAction& it : aActions) {
      std::visit([this](const auto& a) { Execute(a); }, it);
    }
    ScheduleTick(aBalancer);
    ScheduleAdvertisement(aBalancer);
  }

  void Execute(const routing::SendWork& aSend)
  {
    const Arrival& arrival = mSimulator.mArrivals[aSend.mSerial];
    if (mFlows.emplace(arrival.mFlow, aSend.mUpstream).second) {
      ++mNewFlows;
      const auto preferred =
        routing::DefaultUpstream(*mSnapshot, 0, arrival.mFlow);
      mDeviating += preferred != aSend.mUpstream ? 1 : 0;
    }
    mSimulator.Send(aSend.mSerial, aSend.mUpstream);
  }

  void Execute(const routing::RefuseWork& aRefusal)
  {
    ++mRefused;
    const Duration took = Now() - mSimulator.mArrivals[aRefusal.mSerial].mAt;
    mSlowestRefusal = std::max(mSlowestRefusal, took);
  }

  void Execute(const routing::ExpireWork& aExpiry)
  {
    mSimulator.CancelAt(aExpiry.mSerial, aExpiry.mUpstream);
  }

  void ScheduleTick(uint32_t aBalancer)
  {
    Balancer& balancer = mBalancers[aBalancer];
    const auto next = balancer.mDispatcher->NextTick();
    if (!next || *next >= balancer.mTickAt) {
      return;
    }
    balancer.mTickAt = std::max(*next, Now());
    mSimulator.mEvents.At(balancer.mTickAt, [this, aBalancer] {
      Balancer& it = mBalancers[aBalancer];
      if (Now() < it.mTickAt) {
        return;
      }
      it.mTickAt = TimePoint::max();
      routing::WorkActions actions;
      it.mDispatcher->Tick(Now(), actions);
      ExecuteActions(aBalancer, actions);
    });
  }

  void ScheduleAdvertisement(uint32_t aBalancer)
  {
    Balancer& balancer = mBalancers[aBalancer];
    const bool changed =
      balancer.mDispatcher->LoadsRevision() != balancer.mAdvertisedRevision;
    if (mPolicy.mTellGap.count() == 0 || Now() > mEnd) {
      return;
    }
    const Duration gap = changed ? Duration(mPolicy.mTellGap) : kKeepAlive;
    const TimePoint at = std::max(balancer.mLastAdvertised + gap, Now());
    if (at >= balancer.mAdvertiseAt) {
      return;
    }
    balancer.mAdvertiseAt = at;
    mSimulator.mEvents.At(at, [this, aBalancer] {
      if (Now() >= mBalancers[aBalancer].mAdvertiseAt) {
        AdvertiseLoads(aBalancer);
      }
    });
  }

  void AdvertiseLoads(uint32_t aBalancer)
  {
    Balancer& balancer = mBalancers[aBalancer];
    balancer.mAdvertiseAt = TimePoint::max();
    balancer.mLastAdvertised = Now();
    balancer.mAdvertisedRevision = balancer.mDispatcher->LoadsRevision();
    const auto loads = balancer.mDispatcher->LocalLoads(Now());
    mPeerBytes += WireSize(loads) * (kBalancers - 1);
    for (uint32_t to = 0; to < kBalancers; ++to) {
      if (to == aBalancer) {
        continue;
      }
      const TimePoint at = Now() + mSimulator.PeerDelay(aBalancer, to);
      mSimulator.mEvents.At(at, [this, aBalancer, to, loads] {
        mBalancers[to].mDispatcher->OnPeerLoads(100 + aBalancer, loads, Now());
        ScheduleTick(to);
      });
    }
    ScheduleAdvertisement(aBalancer);
  }

  void StartReports()
  {
    if (mPolicy.mReports.mPeriod.count() > 0) {
      for (uint32_t n = 0; n < kUpstreams; ++n) {
        mSimulator.mEvents.At(TimePoint() + n * milliseconds(7),
                              [this, n] { ReportLoad(n); });
      }
    }
  }

  void ReportLoad(uint32_t aUpstream)
  {
    const Upstream& upstream = mSimulator.mUpstreams[aUpstream];
    const Reports& reports = mPolicy.mReports;
    routing::LoadReport report;
    report.mUpstream = mSnapshot->mUpstreams[aUpstream].mId;
    report.mInFlight =
      aUpstream == 0 && reports.mLie >= 0
        ? static_cast<uint32_t>(reports.mLie)
        : upstream.mRunning + static_cast<uint32_t>(upstream.mQueue.size());
    report.mSampledAt = Now();
    mSimulator.mEvents.At(Now() + reports.mAge, [this, report] {
      for (Balancer& it : mBalancers) {
        it.mDispatcher->OnReport(report, Now());
      }
    });
    if (Now() < mEnd) {
      mSimulator.mEvents.At(Now() + reports.mPeriod,
                            [this, aUpstream] { ReportLoad(aUpstream); });
    }
  }

  Foxtail mPolicy;
  Simulator mSimulator;
  config::SnapshotPtr mSnapshot;
  TimePoint mEnd;
  std::vector<Balancer> mBalancers;
  std::unordered_map<uint64_t, config::UpstreamIndex> mFlows;
  size_t mRefused = 0;
  Duration mSlowestRefusal{ 0 };
  size_t mNewFlows = 0;
  size_t mDeviating = 0;
  double mPeerBytes = 0;
};

// Calls aServe with each admitted request and its start time; returns the
// number of refused requests.
template<typename Serve>
size_t
ServeAllKnowing(const std::vector<Arrival>& aArrivals,
                const AllKnowing& aPolicy,
                Serve aServe)
{
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> slots;
  for (uint32_t n = 0; n < kUpstreams * kSlots; ++n) {
    slots.push(TimePoint());
  }
  size_t refused = 0;
  for (const Arrival& it : aArrivals) {
    const TimePoint start = std::max(it.mAt, slots.top());
    if (start - it.mAt > aPolicy.mMaxWait) {
      ++refused;
      continue;
    }
    slots.pop();
    slots.push(start + it.mSize);
    aServe(it, start);
  }
  return refused;
}

Result
RunAllKnowing(const std::vector<Arrival>& aArrivals, const AllKnowing& aPolicy)
{
  std::vector<Duration> waits;
  Duration good{ 0 };
  const auto serve = [&](const Arrival& it, TimePoint aStart) {
    if (!it.mStraggler) {
      waits.push_back(aStart - it.mAt);
    }
    const bool ended = aStart + it.mSize <= aArrivals.back().mAt;
    good += ended ? it.mSize : Duration(0);
  };
  const size_t refused = ServeAllKnowing(aArrivals, aPolicy, serve);
  std::sort(waits.begin(), waits.end());
  Result result;
  result.mShortP50 = waits[waits.size() / 2];
  result.mShortP99 = waits[waits.size() * 99 / 100];
  result.mRefused = double(refused) / aArrivals.size();
  const Seconds span = aArrivals.back().mAt - TimePoint();
  result.mGoodput = Seconds(good) / (span * (kUpstreams * kSlots));
  result.mImbalance = 1.0;
  return result;
}

struct Runner
{
  const std::vector<Arrival>& mArrivals;
  uint64_t mSeed;

  Result operator()(const RoundRobin&) const
  {
    std::vector<uint32_t> next(kBalancers);
    return RunOnArrival(
      mArrivals, mSeed, [&](uint32_t aBalancer, const auto&, auto&) {
        return (aBalancer * 2 + next[aBalancer]++) % kUpstreams;
      });
  }
  Result operator()(const RandomChoice&) const
  {
    return RunOnArrival(
      mArrivals, mSeed, [](uint32_t, const auto&, auto& aRandom) {
        return static_cast<uint32_t>(aRandom() % kUpstreams);
      });
  }
  Result operator()(const LeastConnections&) const
  {
    return RunOnArrival(
      mArrivals, mSeed, [](uint32_t, const auto& aCounts, auto& aRandom) {
        const uint32_t first = aRandom() % kUpstreams;
        uint32_t best = first;
        for (uint32_t n = 1; n < kUpstreams; ++n) {
          const uint32_t it = (first + n) % kUpstreams;
          best = aCounts[it] < aCounts[best] ? it : best;
        }
        return best;
      });
  }
  Result operator()(const Foxtail& aPolicy) const
  {
    return FoxtailRun(mArrivals, mSeed, aPolicy).Run();
  }
  Result operator()(const AllKnowing& aPolicy) const
  {
    return RunAllKnowing(mArrivals, aPolicy);
  }
};

} // namespace

std::vector<Arrival>
Admitted(const std::vector<Arrival>& aArrivals, const AllKnowing& aPolicy)
{
  std::vector<Arrival> admitted;
  ServeAllKnowing(aArrivals, aPolicy, [&](const Arrival& it, TimePoint) {
    admitted.push_back(it);
  });
  return admitted;
}

Result
Run(const std::string& aName,
    const std::vector<Arrival>& aArrivals,
    const Policy& aPolicy,
    uint64_t aSeed)
{
  Result result = std::visit(Runner{ aArrivals, aSeed }, aPolicy);
  result.mName = aName;
  return result;
}

} // namespace foxtail::swings

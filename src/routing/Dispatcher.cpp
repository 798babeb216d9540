#include "foxtail/routing/Dispatcher.h"

#include <algorithm>
#include <queue>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "ServiceQueue.h"
#include "UpstreamChoice.h"
#include "UpstreamTable.h"
#include "foxtail/core/Hash.h"
#include "foxtail/routing/DefaultUpstream.h"

namespace foxtail::routing {

namespace {

// While requests wait, the dispatcher looks for free slots at this interval,
// and also whenever a request ends.
constexpr milliseconds kBacklogPollInterval{ 2 };
// Interval at which upstreams are checked for ejection and return.
constexpr milliseconds kEjectionCheckInterval{ 100 };
// How many of the oldest waiting requests are searched for one whose default
// upstream has a free slot.
constexpr size_t kDefaultMatchDepth = 16;
// Largest number of times that one request is sent to an upstream.
constexpr size_t kMaxAttempts = 3;
// The retry times given to refused callers are spread over this many seconds.
constexpr uint64_t kRetryAfterSpreadSeconds = 3;

enum class JobState
{
  Waiting,
  Sent
};

struct Job
{
  Work mWork;
  JobState mState = JobState::Waiting;
  // Sequence number of the submission, over all services. Orders waiting
  // requests.
  uint64_t mSubmissionOrder = 0;
  // The upstream to which the request was sent; kNoIndex while that upstream is
  // not configured.
  config::UpstreamIndex mUpstream = config::kNoIndex;
  // Upstream::mId of the same upstream, which stays valid when the
  // configuration changes.
  uint32_t mUpstreamId = 0;
  config::UpstreamIndex mDefault = config::kNoIndex;
  TimePoint mSent;
  bool mLong = false;
  TriedUpstreams mTried;
};

// Marks a request as long at mDue if it is still running.
struct LongTimer
{
  TimePoint mDue;
  uint32_t mSerial;

  friend bool operator>(const LongTimer& a, const LongTimer& b)
  {
    return a.mDue > b.mDue;
  }
};

} // namespace

class Dispatcher::Impl
{
public:
  explicit Impl(const DispatcherSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);
  void Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions);
  bool Finish(uint32_t aSerial,
              Outcome aOutcome,
              TimePoint aNow,
              WorkActions& aActions);
  void Cancel(uint32_t aSerial, TimePoint aNow, WorkActions& aActions);
  void Tick(TimePoint aNow, WorkActions& aActions);
  std::optional<TimePoint> NextTick() const;
  std::vector<LoadReport> LocalLoads(TimePoint aNow) const;
  void OnPeerGone(uint64_t aIncarnation)
  {
    mTable.OnPeerGone(aIncarnation, mNow);
  }

  UpstreamTable mTable;
  std::vector<ServiceQueue> mQueues;
  std::array<uint64_t, kRefusalReasonCount> mRefusals{};
  uint64_t mLoadsRevision = 0;

private:
  // Submission.

  // Whether the request has a bound upstream that is configured, belongs to the
  // request's service and is not ejected.
  bool CanUseBoundUpstream(const Job& aJob) const;
  void SubmitBound(Job& aJob, TimePoint aNow, WorkActions& aActions);
  void SubmitUnbound(Job& aJob, TimePoint aNow, WorkActions& aActions);
  Duration ExpectedBoundWait(const Job& aJob) const;

  // Waiting requests.

  // Unbinds the request first if its bound upstream cannot be used.
  void Enqueue(Job& aJob, bool aInFront, TimePoint aNow);
  void Dequeue(const Job& aJob);
  void UpdateBacklog(config::ServiceIndex aService);
  void SendWaiting(config::ServiceIndex aService,
                   TimePoint aNow,
                   WorkActions& aActions);
  void SendBound(config::ServiceIndex aService,
                 TimePoint aNow,
                 WorkActions& aActions);
  bool SendOne(config::ServiceIndex aService,
               TimePoint aNow,
               WorkActions& aActions);
  bool MaySendBound(config::UpstreamIndex aUpstream,
                    bool aMayQueue,
                    TimePoint aNow) const;
  ChoiceRules MakeChoiceRules(config::ServiceIndex aService,
                              bool aMayQueue) const;
  void Send(Job& aJob,
            config::UpstreamIndex aUpstream,
            TimePoint aNow,
            WorkActions& aActions);

  // Ends of requests.
  bool Retry(Job& aJob, TimePoint aNow, WorkActions& aActions);
  bool HasUntriedUpstream(const Job& aJob) const;
  void Release(Job& aJob);
  void RemoveJob(const Job& aJob);
  void Refuse(const Work& aWork, RefusalReason aReason, WorkActions& aActions);
  void Expire(Job& aJob, TimePoint aNow, WorkActions& aActions);

  // Timers and state changes.
  void ExpireDue(TimePoint aNow, WorkActions& aActions);
  void MarkLong(TimePoint aNow);
  void UpdateEjections(TimePoint aNow);
  // Moves the requests that wait for an ejected upstream to the queue of its
  // service.
  void MoveToServiceQueue(config::UpstreamIndex aUpstream, TimePoint aNow);
  void AdjustAdvertisedLoad(config::UpstreamIndex aUpstream, int aChange);
  void TranslateIndexes(
    Job& aJob,
    const config::Snapshot& aBefore,
    const std::vector<config::ServiceIndex>& aNewServiceIndexes);
  void RestoreInFlight(Job& aJob, TimePoint aNow);
  void RebuildQueues(TimePoint aNow);
  uint64_t Random() { return MixHash(mSettings.mSeed, ++mDraws); }
  const config::Snapshot& Current() const { return *mTable.Snapshot(); }

  DispatcherSettings mSettings;
  uint64_t mDraws = 0;
  uint64_t mSubmissions = 0;
  // Time of the latest SetSnapshot, Submit, Finish, Cancel or Tick.
  TimePoint mNow;
  TimePoint mNextEjectionCheck;
  absl::flat_hash_map<uint32_t, Job> mJobs;
  absl::btree_set<std::pair<TimePoint, uint32_t>> mDeadlines;
  std::priority_queue<LongTimer, std::vector<LongTimer>, std::greater<>>
    mLongTimers;
  // Services with waiting requests, be it for any upstream or a particular one.
  absl::btree_set<config::ServiceIndex> mServicesWithWaiting;
  // Requests that were waiting when their service was removed. The next Tick
  // refuses them.
  std::vector<Work> mWithoutService;
  // Numbers of requests that are advertised to peers, by upstream.
  absl::btree_map<config::UpstreamIndex, uint32_t> mAdvertisedLoads;
};

// Configuration.

void
Dispatcher::Impl::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  mNow = aNow;
  const config::SnapshotPtr before = mTable.Snapshot();
  mTable.SetSnapshot(std::move(aSnapshot), aNow);
  const auto& services = Current().mServices;
  std::vector<ServiceQueue> queues(services.size(),
                                   ServiceQueue(mSettings.mMaxWait));
  std::vector<config::ServiceIndex> newServiceIndexes;
  if (before) {
    absl::flat_hash_map<std::string, config::ServiceIndex> byName;
    for (config::ServiceIndex it = 0; it < services.size(); ++it) {
      byName[services[it].mName] = it;
    }
    for (config::ServiceIndex it = 0; it < mQueues.size(); ++it) {
      const auto found = byName.find(before->mServices[it].mName);
      newServiceIndexes.push_back(found == byName.end() ? config::kNoIndex
                                                        : found->second);
      if (found != byName.end()) {
        queues[found->second] = std::move(mQueues[it]);
      }
    }
  }
  mQueues = std::move(queues);
  mAdvertisedLoads.clear();
  for (auto& [serial, job] : mJobs) {
    TranslateIndexes(job, *before, newServiceIndexes);
    if (job.mState == JobState::Sent) {
      RestoreInFlight(job, aNow);
    }
  }
  ++mLoadsRevision;
  RebuildQueues(aNow);
}

void
Dispatcher::Impl::TranslateIndexes(
  Job& aJob,
  const config::Snapshot& aBefore,
  const std::vector<config::ServiceIndex>& aNewServiceIndexes)
{
  const auto translate = [&](config::UpstreamIndex it) {
    return it == config::kNoIndex ? it
                                  : mTable.Find(aBefore.mUpstreams[it].mId);
  };
  Work& work = aJob.mWork;
  if (work.mService != config::kNoIndex) {
    work.mService = aNewServiceIndexes[work.mService];
  }
  work.mBoundUpstream = translate(work.mBoundUpstream);
  for (config::UpstreamIndex& it : aJob.mTried) {
    it = translate(it);
  }
  aJob.mDefault = work.mService == config::kNoIndex
                    ? config::kNoIndex
                    : DefaultUpstream(Current(), work.mService, work.mRankHash);
}

void
Dispatcher::Impl::RestoreInFlight(Job& aJob, TimePoint aNow)
{
  // A removed upstream may be configured again while requests still run there.
  aJob.mUpstream = mTable.Find(aJob.mUpstreamId);
  if (aJob.mUpstream == config::kNoIndex) {
    return;
  }
  aJob.mWork.mService = Current().mUpstreams[aJob.mUpstream].mService;
  mTable.RestoreInFlight(aJob.mUpstream, aJob.mLong, aNow);
  if (aJob.mLong || !mSettings.mAdvertiseOnlyLong) {
    ++mAdvertisedLoads[aJob.mUpstream];
  }
}

void
Dispatcher::Impl::RebuildQueues(TimePoint aNow)
{
  std::vector<Job*> waiting;
  for (auto& [serial, job] : mJobs) {
    if (job.mState == JobState::Waiting) {
      waiting.push_back(&job);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
    return a->mSubmissionOrder < b->mSubmissionOrder;
  });
  mServicesWithWaiting.clear();
  for (ServiceQueue& it : mQueues) {
    it.mWaiting.clear();
    it.mBoundWaitingCount = 0;
  }
  for (config::UpstreamIndex it = 0; it < Current().mUpstreams.size(); ++it) {
    mTable.State(it).mBoundWaiting.clear();
  }
  for (Job* it : waiting) {
    if (it->mWork.mService != config::kNoIndex) {
      Enqueue(*it, false, aNow);
      continue;
    }
    mWithoutService.push_back(it->mWork);
    RemoveJob(*it);
  }
}

// Submission.

void
Dispatcher::Impl::Submit(const Work& aWork,
                         TimePoint aNow,
                         WorkActions& aActions)
{
  mNow = aNow;
  if (aWork.mService >= mQueues.size()) {
    Refuse(aWork, RefusalReason::NoUpstream, aActions);
    return;
  }
  if (aWork.mDeadline <= aNow) {
    Refuse(aWork, RefusalReason::DeadlinePassed, aActions);
    return;
  }
  const auto [it, isNew] = mJobs.try_emplace(aWork.mSerial);
  if (!isNew) {
    return;
  }
  Job& job = it->second;
  job.mWork = aWork;
  job.mSubmissionOrder = ++mSubmissions;
  mDeadlines.insert({ aWork.mDeadline, aWork.mSerial });
  mQueues[aWork.mService].mRetries.OnRequest();
  mQueues[aWork.mService].mDemand.OnSubmit(aNow);
  if (CanUseBoundUpstream(job)) {
    SubmitBound(job, aNow, aActions);
  } else {
    SubmitUnbound(job, aNow, aActions);
  }
}

bool
Dispatcher::Impl::CanUseBoundUpstream(const Job& aJob) const
{
  const config::UpstreamIndex bound = aJob.mWork.mBoundUpstream;
  return bound < Current().mUpstreams.size() &&
         Current().mUpstreams[bound].mService == aJob.mWork.mService &&
         !mTable.State(bound).mOutlier.IsEjected();
}

void
Dispatcher::Impl::SubmitBound(Job& aJob, TimePoint aNow, WorkActions& aActions)
{
  const config::UpstreamIndex bound = aJob.mWork.mBoundUpstream;
  if (mTable.State(bound).mBoundWaiting.empty() &&
      MaySendBound(bound, false, aNow)) {
    Send(aJob, bound, aNow, aActions);
    return;
  }
  const Duration remaining = aJob.mWork.mDeadline - aNow;
  const Duration maxWait = std::min<Duration>(mSettings.mMaxWait, remaining);
  if (ExpectedBoundWait(aJob) > maxWait) {
    const Work work = aJob.mWork;
    RemoveJob(aJob);
    Refuse(work, RefusalReason::Overloaded, aActions);
    return;
  }
  Enqueue(aJob, false, aNow);
  SendWaiting(aJob.mWork.mService, aNow, aActions);
}

void
Dispatcher::Impl::SubmitUnbound(Job& aJob,
                                TimePoint aNow,
                                WorkActions& aActions)
{
  const Work work = aJob.mWork;
  ServiceQueue& queue = mQueues[work.mService];
  if (mTable.PoolOf(work.mService).mCandidates.empty()) {
    RemoveJob(aJob);
    Refuse(work, RefusalReason::NoUpstream, aActions);
    return;
  }
  aJob.mDefault = DefaultUpstream(Current(), work.mService, work.mRankHash);
  if (queue.mWaiting.empty()) {
    const config::UpstreamIndex chosen =
      ChooseUpstream(mTable,
                     work.mService,
                     aJob.mDefault,
                     aJob.mTried,
                     MakeChoiceRules(work.mService, false),
                     Random(),
                     aNow);
    if (chosen != config::kNoIndex) {
      Send(aJob, chosen, aNow, aActions);
      return;
    }
  }
  if (!queue.mAdmission.Admits(
        queue.mWaiting.size(), work.mDeadline - aNow, aNow)) {
    RemoveJob(aJob);
    Refuse(work, RefusalReason::Overloaded, aActions);
    return;
  }
  Enqueue(aJob, false, aNow);
  SendWaiting(work.mService, aNow, aActions);
}

Duration
Dispatcher::Impl::ExpectedBoundWait(const Job& aJob) const
{
  const config::UpstreamIndex bound = aJob.mWork.mBoundUpstream;
  const uint32_t slots = std::max(1U, mTable.Share().OwnSlots(bound));
  const size_t ahead = mTable.State(bound).mBoundWaiting.size();
  return mQueues[aJob.mWork.mService].mTimes.Mean() * ahead / slots;
}

// Waiting requests.

void
Dispatcher::Impl::Enqueue(Job& aJob, bool aInFront, TimePoint aNow)
{
  const uint32_t serial = aJob.mWork.mSerial;
  const config::ServiceIndex service = aJob.mWork.mService;
  ServiceQueue& queue = mQueues[service];
  aJob.mState = JobState::Waiting;
  if (!CanUseBoundUpstream(aJob)) {
    aJob.mWork.mBoundUpstream = config::kNoIndex;
    if (queue.mWaiting.empty()) {
      const double slots =
        std::max(1U, mTable.Share().ShareOf(mTable.PoolOf(service).mSlots));
      const std::chrono::duration<double> mean = queue.mTimes.Mean();
      queue.mAdmission.OnBacklog(slots / mean.count(), aNow);
    }
  }
  const bool bound = aJob.mWork.mBoundUpstream != config::kNoIndex;
  auto& waiting = bound ? mTable.State(aJob.mWork.mBoundUpstream).mBoundWaiting
                        : queue.mWaiting;
  waiting.insert(aInFront ? waiting.begin() : waiting.end(), serial);
  queue.mBoundWaitingCount += bound ? 1 : 0;
  mServicesWithWaiting.insert(service);
}

void
Dispatcher::Impl::Dequeue(const Job& aJob)
{
  ServiceQueue& queue = mQueues[aJob.mWork.mService];
  const bool bound = aJob.mWork.mBoundUpstream != config::kNoIndex;
  auto& waiting = bound ? mTable.State(aJob.mWork.mBoundUpstream).mBoundWaiting
                        : queue.mWaiting;
  waiting.erase(std::find(waiting.begin(), waiting.end(), aJob.mWork.mSerial));
  queue.mBoundWaitingCount -= bound ? 1 : 0;
  UpdateBacklog(aJob.mWork.mService);
}

void
Dispatcher::Impl::UpdateBacklog(config::ServiceIndex aService)
{
  const ServiceQueue& queue = mQueues[aService];
  if (queue.mWaiting.empty() && queue.mBoundWaitingCount == 0) {
    mServicesWithWaiting.erase(aService);
  }
}

void
Dispatcher::Impl::SendWaiting(config::ServiceIndex aService,
                              TimePoint aNow,
                              WorkActions& aActions)
{
  // A request must not be sent after its deadline, even if the Tick that
  // expires the request is still to come.
  ExpireDue(aNow, aActions);
  const ServiceQueue& queue = mQueues[aService];
  if (queue.mBoundWaitingCount > 0) {
    SendBound(aService, aNow, aActions);
  }
  while (!queue.mWaiting.empty() && SendOne(aService, aNow, aActions)) {
  }
}

void
Dispatcher::Impl::SendBound(config::ServiceIndex aService,
                            TimePoint aNow,
                            WorkActions& aActions)
{
  for (const config::UpstreamIndex it :
       Current().mServices[aService].mUpstreams) {
    const auto& waiting = mTable.State(it).mBoundWaiting;
    while (!waiting.empty() && MaySendBound(it, true, aNow)) {
      Job& job = mJobs.at(waiting.front());
      Dequeue(job);
      Send(job, it, aNow, aActions);
    }
  }
}

bool
Dispatcher::Impl::SendOne(config::ServiceIndex aService,
                          TimePoint aNow,
                          WorkActions& aActions)
{
  ServiceQueue& queue = mQueues[aService];
  const ChoiceRules rules = MakeChoiceRules(aService, true);
  Job* job = nullptr;
  config::UpstreamIndex chosen = config::kNoIndex;
  // Prefer, among the oldest requests, one that can go to its default upstream
  // and therefore needs no flow record.
  const size_t depth = std::min(kDefaultMatchDepth, queue.mWaiting.size());
  for (size_t n = 0; n < depth && chosen == config::kNoIndex; ++n) {
    job = &mJobs.at(queue.mWaiting[n]);
    if (IsDefaultAvailable(mTable, job->mDefault, job->mTried, rules, aNow)) {
      chosen = job->mDefault;
    }
  }
  if (chosen == config::kNoIndex) {
    job = &mJobs.at(queue.mWaiting.front());
    chosen = ChooseUpstream(
      mTable, aService, job->mDefault, job->mTried, rules, Random(), aNow);
  }
  if (chosen == config::kNoIndex) {
    return false;
  }
  Dequeue(*job);
  queue.mAdmission.OnDequeued(aNow);
  Send(*job, chosen, aNow, aActions);
  return true;
}

bool
Dispatcher::Impl::MaySendBound(config::UpstreamIndex aUpstream,
                               bool aMayQueue,
                               TimePoint aNow) const
{
  const UpstreamState& state = mTable.State(aUpstream);
  // A bound flow cannot use another upstream. Each balancer may therefore run
  // one request there even without a free slot, except during the upstream's
  // backoff.
  const bool mayRunOne = state.mOwnInFlight == 0 && state.mBlockedUntil <= aNow;
  return mayRunOne || mTable.FreeOwnSlots(aUpstream, aMayQueue, aNow) >= 1 ||
         mTable.FreeSlots(aUpstream, aNow) >= 1;
}

ChoiceRules
Dispatcher::Impl::MakeChoiceRules(config::ServiceIndex aService,
                                  bool aMayQueue) const
{
  const Pool& pool = mTable.PoolOf(aService);
  const ServiceQueue& queue = mQueues[aService];
  const double demand = queue.mDemand.InFlight(queue.mTimes.Median(), mNow);
  ChoiceRules rules;
  rules.mPreferOwnSlots = mSettings.mPreferOwnSlots;
  // Without a preference for the own share, the borrow limit doesn't apply.
  rules.mMayBorrow = !mSettings.mPreferOwnSlots ||
                     pool.mBorrowed < BorrowLimit(pool, mTable.Share(), demand);
  rules.mMayQueue = aMayQueue;
  return rules;
}

void
Dispatcher::Impl::Send(Job& aJob,
                       config::UpstreamIndex aUpstream,
                       TimePoint aNow,
                       WorkActions& aActions)
{
  const uint32_t serial = aJob.mWork.mSerial;
  aJob.mState = JobState::Sent;
  aJob.mUpstream = aUpstream;
  aJob.mUpstreamId = Current().mUpstreams[aUpstream].mId;
  aJob.mSent = aNow;
  aJob.mLong = false;
  mTable.OnSent(aUpstream, aNow);
  if (!mSettings.mAdvertiseOnlyLong) {
    AdjustAdvertisedLoad(aUpstream, 1);
  }
  const Duration longAge = mQueues[aJob.mWork.mService].mTimes.LongAge();
  mLongTimers.push({ aNow + longAge, serial });
  aActions.push_back(SendWork{ serial, aUpstream });
}

// Ends of requests.

bool
Dispatcher::Impl::Finish(uint32_t aSerial,
                         Outcome aOutcome,
                         TimePoint aNow,
                         WorkActions& aActions)
{
  mNow = aNow;
  const auto it = mJobs.find(aSerial);
  if (it == mJobs.end() || it->second.mState != JobState::Sent) {
    return false;
  }
  Job& job = it->second;
  const config::UpstreamIndex upstream = job.mUpstream;
  const config::ServiceIndex service = job.mWork.mService;
  const Duration took = aNow - job.mSent;
  const TimePoint sent = job.mSent;
  Release(job);
  if (upstream != config::kNoIndex) {
    if (aOutcome == Outcome::Answered) {
      ServiceTimes& times = mQueues[service].mTimes;
      mTable.OnAnswer(upstream, aNow);
      if (took <= times.Median()) {
        mTable.OnPromptAnswer(upstream, sent);
      }
      times.OnAnswer(took);
    } else if (aOutcome == Outcome::Shed) {
      mTable.OnShed(upstream, aNow);
    } else if (aOutcome == Outcome::TimedOut) {
      mTable.OnFailure(upstream);
    }
  }
  const bool retried = aOutcome == Outcome::Shed && Retry(job, aNow, aActions);
  if (!retried) {
    RemoveJob(job);
  }
  if (service != config::kNoIndex) {
    SendWaiting(service, aNow, aActions);
  }
  return retried;
}

bool
Dispatcher::Impl::Retry(Job& aJob, TimePoint aNow, WorkActions& aActions)
{
  const Work work = aJob.mWork;
  aJob.mTried.push_back(aJob.mUpstream);
  const bool possible = work.mService != config::kNoIndex &&
                        work.mDeadline > aNow &&
                        aJob.mTried.size() < kMaxAttempts &&
                        (CanUseBoundUpstream(aJob) || HasUntriedUpstream(aJob));
  if (possible && mQueues[work.mService].mRetries.TryRetry()) {
    aJob.mUpstream = config::kNoIndex;
    Enqueue(aJob, true, aNow);
    return true;
  }
  Refuse(work, RefusalReason::ShedNotRetried, aActions);
  return false;
}

bool
Dispatcher::Impl::HasUntriedUpstream(const Job& aJob) const
{
  const auto& candidates = mTable.PoolOf(aJob.mWork.mService).mCandidates;
  return std::any_of(
    candidates.begin(), candidates.end(), [&](config::UpstreamIndex it) {
      return std::find(aJob.mTried.begin(), aJob.mTried.end(), it) ==
             aJob.mTried.end();
    });
}

void
Dispatcher::Impl::Release(Job& aJob)
{
  if (aJob.mUpstream == config::kNoIndex) {
    return;
  }
  mTable.OnEnded(aJob.mUpstream, aJob.mLong);
  if (aJob.mLong || !mSettings.mAdvertiseOnlyLong) {
    AdjustAdvertisedLoad(aJob.mUpstream, -1);
  }
}

void
Dispatcher::Impl::RemoveJob(const Job& aJob)
{
  const uint32_t serial = aJob.mWork.mSerial;
  mDeadlines.erase({ aJob.mWork.mDeadline, serial });
  mJobs.erase(serial);
}

void
Dispatcher::Impl::Refuse(const Work& aWork,
                         RefusalReason aReason,
                         WorkActions& aActions)
{
  Duration wait{ 0 };
  if (aWork.mService < mQueues.size()) {
    const ServiceQueue& queue = mQueues[aWork.mService];
    wait = queue.mAdmission.ExpectedWait(queue.mWaiting.size(), mNow);
  }
  // Spread over time, so that the refused callers don't return together and
  // cause the next load peak.
  const seconds spread(1 + Random() % kRetryAfterSpreadSeconds);
  const seconds after = std::chrono::floor<seconds>(wait) + spread;
  ++mRefusals[static_cast<size_t>(aReason)];
  aActions.push_back(RefuseWork{ aWork.mSerial, aReason, after });
}

void
Dispatcher::Impl::Cancel(uint32_t aSerial,
                         TimePoint aNow,
                         WorkActions& aActions)
{
  mNow = aNow;
  const auto it = mJobs.find(aSerial);
  if (it == mJobs.end()) {
    const auto isThis = [&](const Work& a) { return a.mSerial == aSerial; };
    mWithoutService.erase(
      std::remove_if(mWithoutService.begin(), mWithoutService.end(), isThis),
      mWithoutService.end());
    return;
  }
  Job& job = it->second;
  const config::ServiceIndex service = job.mWork.mService;
  if (job.mState == JobState::Waiting) {
    Dequeue(job);
  } else {
    aActions.push_back(ExpireWork{ aSerial, job.mUpstream });
    Release(job);
  }
  RemoveJob(job);
  if (service != config::kNoIndex) {
    SendWaiting(service, aNow, aActions);
  }
}

void
Dispatcher::Impl::Expire(Job& aJob, TimePoint aNow, WorkActions& aActions)
{
  const Work work = aJob.mWork;
  if (aJob.mState == JobState::Waiting) {
    Dequeue(aJob);
    RemoveJob(aJob);
    Refuse(work, RefusalReason::DeadlinePassed, aActions);
    return;
  }
  aActions.push_back(ExpireWork{ work.mSerial, aJob.mUpstream });
  Release(aJob);
  if (aJob.mUpstream != config::kNoIndex) {
    mTable.OnFailure(aJob.mUpstream);
  }
  RemoveJob(aJob);
}

// Timers and state changes.

void
Dispatcher::Impl::Tick(TimePoint aNow, WorkActions& aActions)
{
  mNow = aNow;
  for (const Work& it : mWithoutService) {
    Refuse(it, RefusalReason::NoUpstream, aActions);
  }
  mWithoutService.clear();
  ExpireDue(aNow, aActions);
  MarkLong(aNow);
  if (aNow >= mNextEjectionCheck && mTable.Snapshot()) {
    mNextEjectionCheck = aNow + kEjectionCheckInterval;
    UpdateEjections(aNow);
  }
  const std::vector<config::ServiceIndex> waitingServices(
    mServicesWithWaiting.begin(), mServicesWithWaiting.end());
  for (const config::ServiceIndex it : waitingServices) {
    SendWaiting(it, aNow, aActions);
  }
}

std::optional<TimePoint>
Dispatcher::Impl::NextTick() const
{
  if (!mWithoutService.empty()) {
    return mNow;
  }
  if (mDeadlines.empty()) {
    return std::nullopt;
  }
  TimePoint next = std::min(mDeadlines.begin()->first, mNextEjectionCheck);
  if (!mLongTimers.empty()) {
    next = std::min(next, mLongTimers.top().mDue);
  }
  if (!mServicesWithWaiting.empty()) {
    next = std::min(next, mNow + kBacklogPollInterval);
  }
  return next;
}

void
Dispatcher::Impl::ExpireDue(TimePoint aNow, WorkActions& aActions)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    Expire(mJobs.at(mDeadlines.begin()->second), aNow, aActions);
  }
}

void
Dispatcher::Impl::MarkLong(TimePoint aNow)
{
  while (!mLongTimers.empty() && mLongTimers.top().mDue <= aNow) {
    const LongTimer timer = mLongTimers.top();
    mLongTimers.pop();
    const auto it = mJobs.find(timer.mSerial);
    // The request has ended, is already long, or was sent again after this
    // timer was due. If it was sent again earlier, this timer still applies,
    // and the request becomes long before it has run for LongAge.
    if (it == mJobs.end() || it->second.mState != JobState::Sent ||
        it->second.mLong || it->second.mSent >= timer.mDue) {
      continue;
    }
    Job& job = it->second;
    job.mLong = true;
    if (job.mUpstream == config::kNoIndex) {
      continue;
    }
    mTable.OnBecameLong(job.mUpstream, aNow);
    if (mSettings.mAdvertiseOnlyLong) {
      AdjustAdvertisedLoad(job.mUpstream, 1);
    }
  }
}

void
Dispatcher::Impl::UpdateEjections(TimePoint aNow)
{
  std::vector<config::UpstreamIndex> ejected;
  mTable.UpdateEjections(aNow, ejected);
  for (const config::UpstreamIndex it : ejected) {
    MoveToServiceQueue(it, aNow);
  }
}

void
Dispatcher::Impl::MoveToServiceQueue(config::UpstreamIndex aUpstream,
                                     TimePoint aNow)
{
  const std::deque<uint32_t> waiting = mTable.State(aUpstream).mBoundWaiting;
  // In reverse order, because each request is put in front of the earlier ones.
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
    Job& job = mJobs.at(*it);
    Dequeue(job);
    job.mDefault =
      DefaultUpstream(Current(), job.mWork.mService, job.mWork.mRankHash);
    Enqueue(job, true, aNow);
  }
}

void
Dispatcher::Impl::AdjustAdvertisedLoad(config::UpstreamIndex aUpstream,
                                       int aChange)
{
  uint32_t& load = mAdvertisedLoads[aUpstream];
  load += aChange;
  if (load == 0) {
    mAdvertisedLoads.erase(aUpstream);
  }
  ++mLoadsRevision;
}

std::vector<LoadReport>
Dispatcher::Impl::LocalLoads(TimePoint aNow) const
{
  std::vector<LoadReport> loads;
  loads.reserve(mAdvertisedLoads.size());
  for (const auto& [upstream, count] : mAdvertisedLoads) {
    LoadReport& it = loads.emplace_back();
    it.mUpstream = Current().mUpstreams[upstream].mId;
    it.mInFlight = count;
    it.mSampledAt = aNow;
  }
  return loads;
}

// Public interface.

Dispatcher::Dispatcher(const DispatcherSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  mImpl->SetSnapshot(std::move(aSnapshot), aNow);
}

void
Dispatcher::SetBalancers(const std::vector<uint64_t>& aIncarnations,
                         uint64_t aOwn)
{
  mImpl->mTable.SetBalancers(aIncarnations, aOwn);
}

void
Dispatcher::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  mImpl->mTable.OnReport(aReport, aNow);
}

void
Dispatcher::OnPeerLoads(uint64_t aIncarnation,
                        const std::vector<LoadReport>& aLoads,
                        TimePoint aNow)
{
  mImpl->mTable.OnPeerLoads(aIncarnation, aLoads, aNow);
}

void
Dispatcher::OnPeerGone(uint64_t aIncarnation)
{
  mImpl->OnPeerGone(aIncarnation);
}

std::vector<LoadReport>
Dispatcher::LocalLoads(TimePoint aNow) const
{
  return mImpl->LocalLoads(aNow);
}

uint64_t
Dispatcher::LoadsRevision() const
{
  return mImpl->mLoadsRevision;
}

void
Dispatcher::Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions)
{
  mImpl->Submit(aWork, aNow, aActions);
}

bool
Dispatcher::Finish(uint32_t aSerial,
                   Outcome aOutcome,
                   TimePoint aNow,
                   WorkActions& aActions)
{
  return mImpl->Finish(aSerial, aOutcome, aNow, aActions);
}

void
Dispatcher::Cancel(uint32_t aSerial, TimePoint aNow, WorkActions& aActions)
{
  mImpl->Cancel(aSerial, aNow, aActions);
}

void
Dispatcher::Tick(TimePoint aNow, WorkActions& aActions)
{
  mImpl->Tick(aNow, aActions);
}

std::optional<TimePoint>
Dispatcher::NextTick() const
{
  return mImpl->NextTick();
}

uint32_t
Dispatcher::InFlight(config::UpstreamIndex aUpstream) const
{
  return mImpl->mTable.State(aUpstream).mOwnInFlight;
}

uint32_t
Dispatcher::Queued(config::ServiceIndex aService) const
{
  const ServiceQueue& queue = mImpl->mQueues[aService];
  return static_cast<uint32_t>(queue.mWaiting.size()) +
         queue.mBoundWaitingCount;
}

uint64_t
Dispatcher::Refusals(RefusalReason aReason) const
{
  return mImpl->mRefusals[static_cast<size_t>(aReason)];
}

} // namespace foxtail::routing

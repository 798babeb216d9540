#include "foxtail/routing/Dispatcher.h"

#include <algorithm>
#include <deque>
#include <set>

#include <absl/container/flat_hash_map.h>

#include "foxtail/routing/DefaultUpstream.h"

namespace foxtail::routing {

namespace {

constexpr seconds kRetryAfter{ 1 };

struct Job
{
  Work mWork;
  config::UpstreamIndex mUpstream = config::kNoIndex;
};

} // namespace

class Dispatcher::Impl
{
public:
  explicit Impl(const DispatcherSettings&) {}

  config::SnapshotPtr mSnapshot;
  std::vector<uint32_t> mInFlight;
  absl::flat_hash_map<uint32_t, Job> mJobs;
  std::vector<std::deque<uint32_t>> mQueues;
  std::set<std::pair<TimePoint, uint32_t>> mDeadlines;
  std::array<uint64_t, 4> mRefusals{};

  void Refuse(uint32_t aSerial, RefusalReason aReason, WorkActions& aActions)
  {
    ++mRefusals[static_cast<size_t>(aReason)];
    aActions.push_back(RefuseWork{ aSerial, aReason, kRetryAfter });
  }

  void Forget(uint32_t aSerial)
  {
    const Job& job = mJobs.at(aSerial);
    mDeadlines.erase({ job.mWork.mDeadline, aSerial });
    mJobs.erase(aSerial);
  }

  bool HasSlot(config::UpstreamIndex aUpstream) const
  {
    return mInFlight[aUpstream] < mSnapshot->mUpstreams[aUpstream].mSlots;
  }

  config::UpstreamIndex Choose(const Work& aWork) const
  {
    if (aWork.mBound != config::kNoIndex) {
      return HasSlot(aWork.mBound) ? aWork.mBound : config::kNoIndex;
    }
    const config::UpstreamIndex preferred =
      DefaultUpstream(*mSnapshot, aWork.mService, aWork.mFlowHash);
    if (preferred != config::kNoIndex && HasSlot(preferred)) {
      return preferred;
    }
    config::UpstreamIndex best = config::kNoIndex;
    for (const config::UpstreamIndex it :
         mSnapshot->mServices[aWork.mService].mUpstreams) {
      const bool usable = !mSnapshot->mUpstreams[it].mDraining && HasSlot(it);
      if (usable &&
          (best == config::kNoIndex || mInFlight[it] < mInFlight[best])) {
        best = it;
      }
    }
    return best;
  }

  bool TrySend(Job& aJob, WorkActions& aActions)
  {
    const config::UpstreamIndex upstream = Choose(aJob.mWork);
    if (upstream == config::kNoIndex) {
      return false;
    }
    aJob.mUpstream = upstream;
    ++mInFlight[upstream];
    aActions.push_back(SendWork{ aJob.mWork.mSerial, upstream });
    return true;
  }

  void SendQueued(config::ServiceIndex aService, WorkActions& aActions)
  {
    auto& queue = mQueues[aService];
    for (auto it = queue.begin(); it != queue.end();) {
      it = TrySend(mJobs.at(*it), aActions) ? queue.erase(it) : it + 1;
    }
  }

  void Release(uint32_t aSerial, WorkActions& aActions)
  {
    const Job& job = mJobs.at(aSerial);
    const config::ServiceIndex service = job.mWork.mService;
    --mInFlight[job.mUpstream];
    Forget(aSerial);
    SendQueued(service, aActions);
  }

  void Dequeue(const Job& aJob)
  {
    auto& queue = mQueues[aJob.mWork.mService];
    queue.erase(std::find(queue.begin(), queue.end(), aJob.mWork.mSerial));
  }
};

Dispatcher::Dispatcher(const DispatcherSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  mImpl->mSnapshot = std::move(aSnapshot);
  mImpl->mInFlight.resize(mImpl->mSnapshot->mUpstreams.size());
  mImpl->mQueues.resize(mImpl->mSnapshot->mServices.size());
}

void
Dispatcher::SetBalancers(std::vector<uint64_t> aIncarnations, uint64_t aOwn)
{
}

void
Dispatcher::OnReport(const LoadReport& aReport, TimePoint aNow)
{
}

void
Dispatcher::OnPeerLoads(uint64_t aIncarnation,
                        const std::vector<LoadReport>& aLoads,
                        TimePoint aNow)
{
}

void
Dispatcher::OnPeerGone(uint64_t aIncarnation)
{
}

std::vector<LoadReport>
Dispatcher::LocalLoads(TimePoint aNow) const
{
  return {};
}

uint64_t
Dispatcher::LoadsRevision() const
{
  return 0;
}

void
Dispatcher::Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions)
{
  if (aWork.mDeadline <= aNow) {
    mImpl->Refuse(aWork.mSerial, RefusalReason::DeadlinePassed, aActions);
    return;
  }
  Job& job = mImpl->mJobs[aWork.mSerial];
  job.mWork = aWork;
  mImpl->mDeadlines.insert({ aWork.mDeadline, aWork.mSerial });
  if (!mImpl->TrySend(job, aActions)) {
    mImpl->mQueues[aWork.mService].push_back(aWork.mSerial);
  }
}

bool
Dispatcher::Finish(uint32_t aSerial,
                   Outcome aOutcome,
                   TimePoint aNow,
                   WorkActions& aActions)
{
  const auto it = mImpl->mJobs.find(aSerial);
  if (it == mImpl->mJobs.end() || it->second.mUpstream == config::kNoIndex) {
    return false;
  }
  if (aOutcome == Outcome::Shed) {
    mImpl->Refuse(aSerial, RefusalReason::ShedEverywhere, aActions);
  }
  mImpl->Release(aSerial, aActions);
  return false;
}

void
Dispatcher::Cancel(uint32_t aSerial, TimePoint aNow, WorkActions& aActions)
{
  const auto it = mImpl->mJobs.find(aSerial);
  if (it == mImpl->mJobs.end()) {
    return;
  }
  if (it->second.mUpstream == config::kNoIndex) {
    mImpl->Dequeue(it->second);
    mImpl->Forget(aSerial);
    return;
  }
  aActions.push_back(ExpireWork{ aSerial, it->second.mUpstream });
  mImpl->Release(aSerial, aActions);
}

void
Dispatcher::Tick(TimePoint aNow, WorkActions& aActions)
{
  while (!mImpl->mDeadlines.empty() &&
         mImpl->mDeadlines.begin()->first <= aNow) {
    const uint32_t serial = mImpl->mDeadlines.begin()->second;
    const Job& job = mImpl->mJobs.at(serial);
    if (job.mUpstream == config::kNoIndex) {
      mImpl->Dequeue(job);
      mImpl->Forget(serial);
      mImpl->Refuse(serial, RefusalReason::DeadlinePassed, aActions);
      continue;
    }
    aActions.push_back(ExpireWork{ serial, job.mUpstream });
    mImpl->Release(serial, aActions);
  }
}

std::optional<TimePoint>
Dispatcher::NextTick() const
{
  if (mImpl->mDeadlines.empty()) {
    return std::nullopt;
  }
  return mImpl->mDeadlines.begin()->first;
}

uint32_t
Dispatcher::InFlight(config::UpstreamIndex aUpstream) const
{
  return mImpl->mInFlight[aUpstream];
}

uint32_t
Dispatcher::Queued(config::ServiceIndex aService) const
{
  return static_cast<uint32_t>(mImpl->mQueues[aService].size());
}

uint64_t
Dispatcher::Refusals(RefusalReason aReason) const
{
  return mImpl->mRefusals[static_cast<size_t>(aReason)];
}

} // namespace foxtail::routing

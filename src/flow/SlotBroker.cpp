#include "foxtail/flow/SlotBroker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"
#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// An answer time counts at most as this multiple of the service's mean, so that
// a single long answer doesn't mark its upstream as slow.
constexpr double kMaxAnswerTimeFactor = 4.0;

} // namespace

SlotBroker::SlotBroker(uint64_t aSeed, ColdStartSettings aColdStart)
  : mRandom(aSeed)
  , mColdStart(aColdStart)
{
}

std::vector<SlotBroker::Reply>
SlotBroker::HandleReport(TimePoint aNow,
                         VmIp aFrom,
                         const SlotReport& aReport,
                         const std::string& aServiceName,
                         const Directory& aDirectory,
                         size_t aExpectedReporters)
{
  ServiceState& state = mServices[aReport.mServiceId];
  state.mName = aServiceName;
  state.mExpectedReporters = aExpectedReporters;
  if (state.mReporters.empty()) {
    state.mFirstReportAt = aNow;
  }
  Reporter& reporter = state.mReporters[aFrom];
  if (reporter.mIncarnation != aReport.mIncarnation) {
    if (reporter.mIncarnation > aReport.mIncarnation) {
      return {};
    }
    UncountFlows(state, reporter);
    reporter = {};
    reporter.mIncarnation = aReport.mIncarnation;
  }
  if (aReport.mSequence <= reporter.mSequence) {
    return {};
  }
  reporter.mSequence = aReport.mSequence;
  if (reporter.mReportedAt == TimePoint{}) {
    reporter.mFirstReportedAt = aNow;
  }
  reporter.mReportedAt = aNow;
  reporter.mDomainId = static_cast<uint32_t>(StableHash(aReport.mDomain));
  UncountFlows(state, reporter);
  reporter.mHeld = aReport.mHeld;
  // After a takeover, grant numbers continue after those of the last broker.
  reporter.mLastGrantNumber =
    std::max(reporter.mLastGrantNumber, aReport.mGrantsSeen);
  auto& unconfirmed = reporter.mUnconfirmedGrants;
  unconfirmed.erase(std::remove_if(unconfirmed.begin(),
                                   unconfirmed.end(),
                                   [&](const UnconfirmedGrant& it) {
                                     return it.mGrant.mNumber <=
                                            aReport.mGrantsSeen;
                                   }),
                    unconfirmed.end());
  CountFlows(state, reporter);
  RevokeGrants(aNow, state, aDirectory);
  HandleRejections(aNow, state, aReport, aDirectory);
  if (!aReport.mRequests.empty()) {
    state.mRepliesDue.insert(aFrom);
  }
  UpdateUpstreamStats(aNow, state, aReport);
  DetectOutliers(aNow, state, aReport, aDirectory);
  state.mStallDetector.OnReport(aNow, aFrom, aReport);
  AnnounceStalls(aNow, state, aDirectory);
  Enqueue(aNow, state, aFrom, aReport);
  GrantQueuedFlows(aNow, state, aDirectory);
  return TakeReplies(aReport.mServiceId, state);
}

void
SlotBroker::UpdateUpstreamStats(TimePoint aNow,
                                ServiceState& aState,
                                const SlotReport& aReport)
{
  const auto domainId = static_cast<uint32_t>(StableHash(aReport.mDomain));
  for (const AnswerTime& it : aReport.mAnswerTimes) {
    if (it.mTime == milliseconds(0)) {
      continue;
    }
    aState.mBackoffs.erase(BackoffKey(domainId, it.mUpstream));
    const auto time = static_cast<double>(it.mTime.count());
    // Exponential moving averages: the service's mean has a weight of 0.02 per
    // answer, that of the upstream one of kAnswerTimeWeight.
    double& serviceMean = aState.mServiceAnswerMs;
    serviceMean =
      serviceMean == 0 ? time : serviceMean + (time - serviceMean) * 0.02;
    const double cappedTime =
      std::min(time, kMaxAnswerTimeFactor * serviceMean);
    const auto [entry, isFirst] =
      aState.mUpstreamAnswerMs.emplace(it.mUpstream, serviceMean);
    entry->second += (cappedTime - entry->second) * kAnswerTimeWeight;
  }
  for (const Cookie it : aReport.mUnresponsive) {
    Backoff& backoff = aState.mBackoffs[BackoffKey(domainId, it)];
    const Duration time =
      std::min<Duration>(Duration(kInitialBackoff) *
                           (1U << std::min(backoff.mUnansweredOpenings, 5U)),
                         kMaxBackoff);
    ++backoff.mUnansweredOpenings;
    backoff.mUntil = aNow + time;
  }
}

void
SlotBroker::DetectOutliers(TimePoint aNow,
                           ServiceState& aState,
                           const SlotReport& aReport,
                           const Directory& aDirectory)
{
  for (const AnswerSummary& it : aReport.mCompleteAnswers) {
    RecordIfEjected(aState,
                    aDirectory,
                    it.mUpstream,
                    aState.mOutlierDetector.AddAnswer(aNow, it));
    LearnWork(aNow, aState, aDirectory, it);
  }
  for (const Cookie it : aReport.mUnansweredRequests) {
    RecordIfEjected(aState,
                    aDirectory,
                    it,
                    aState.mOutlierDetector.AddUnansweredRequest(aNow, it));
  }
}

void
SlotBroker::RecordIfEjected(ServiceState& aState,
                            const Directory& aDirectory,
                            Cookie aUpstream,
                            const std::optional<std::string>& aReason)
{
  const Upstream* upstream = aDirectory.FindUpstream(aUpstream);
  if (!aReason || upstream == nullptr) {
    return;
  }
  ++mEjections;
  // An ejection counts at once, also where candidates live longer.
  aState.mCandidatesSource = nullptr;
  mEvents.push_back({ 4104,
                      absl::StrCat("service=",
                                   aState.mName,
                                   " upstream=",
                                   upstream->mRecord.mId,
                                   " ",
                                   *aReason) });
  const size_t upstreams = aDirectory.UpstreamsOf(aState.mName).size();
  if (aState.mOutlierDetector.ResetIfMostEjected(upstreams)) {
    mEvents.push_back(
      { 4105,
        absl::StrCat("service=", aState.mName, " upstreams=", upstreams) });
  }
}

std::vector<Event>
SlotBroker::TakeEvents()
{
  return std::exchange(mEvents, {});
}

void
SlotBroker::Enqueue(TimePoint aNow,
                    ServiceState& aState,
                    VmIp aFrom,
                    const SlotReport& aReport)
{
  std::vector<QueuedFlow>& queue = aState.mQueue.Flows();
  const auto isRequested = [&](const QueuedFlow& n) {
    return std::any_of(
      aReport.mRequests.begin(),
      aReport.mRequests.end(),
      [&](const SlotRequest& it) { return it.mId == n.mRequest.mId; });
  };
  // A request that is listed again replaces the queued one, because it may have
  // changed. If the report lists all requests, flows it omits are dropped.
  std::unordered_map<uint64_t, TimePoint> firstTries;
  queue.erase(std::remove_if(queue.begin(),
                             queue.end(),
                             [&](const QueuedFlow& it) {
                               if (it.mFrom != aFrom) {
                                 return false;
                               }
                               const bool isListed = isRequested(it);
                               if (isListed) {
                                 firstTries[it.mRequest.mId] = it.mFirstTriedAt;
                               }
                               return isListed || aReport.mListsAllRequests;
                             }),
              queue.end());
  const auto& unconfirmed = aState.mReporters[aFrom].mUnconfirmedGrants;
  for (const SlotRequest& it : aReport.mRequests) {
    const bool isGranted = std::any_of(
      unconfirmed.begin(), unconfirmed.end(), [&](const UnconfirmedGrant& n) {
        return n.mGrant.mId == it.mId;
      });
    if (isGranted) {
      continue;
    }
    QueuedFlow queued;
    queued.mFrom = aFrom;
    queued.mRequest = it;
    queued.mArrivedAt = aNow - it.mWaited;
    const auto known = firstTries.find(it.mId);
    queued.mFirstTriedAt = known != firstTries.end()
                             ? known->second
                             : TakeFirstTryTime(aNow, aState, queued);
    queue.push_back(std::move(queued));
  }
}

TimePoint
SlotBroker::TakeFirstTryTime(TimePoint aNow,
                             ServiceState& aState,
                             const QueuedFlow& aFlow)
{
  const auto [begin, end] =
    aState.mRefusals.equal_range(aFlow.mRequest.mCallerIp);
  for (auto it = begin; it != end; ++it) {
    if (aNow - it->second.mRefusedAt < kRetryWindow) {
      const TimePoint firstTry = it->second.mFirstTriedAt;
      aState.mRefusals.erase(it);
      return firstTry;
    }
  }
  return aFlow.mArrivedAt;
}

void
SlotBroker::GrantQueuedFlows(TimePoint aNow,
                             ServiceState& aState,
                             const Directory& aDirectory)
{
  std::vector<QueuedFlow>& queue = aState.mQueue.Flows();
  const bool isTakingOver =
    aState.mReporters.size() < aState.mExpectedReporters &&
    aNow - aState.mFirstReportAt < kTakeoverWait;
  if (queue.empty() || isTakingOver) {
    return;
  }
  RefreshCandidates(aNow, aState, aDirectory);
  UpdateColdLimits(aNow, aState);
  const std::vector<Candidate>& candidates = aState.mCandidates;
  if (candidates.size() > kMaxExactChoice) {
    GrantFromSamples(aNow, aState);
    if (queue.empty()) {
      return;
    }
  }
  const double meanWorkMs = MeanWorkMs(aNow, aState);
  const double free = UpdateLoads(aState, meanWorkMs);
  const size_t count = std::min(queue.size(), static_cast<size_t>(free));
  aState.mQueue.Prioritize(aNow, aState.mServiceAnswerMs, count);
  size_t kept = 0;
  for (size_t i = 0; i < queue.size(); ++i) {
    Candidate* chosen =
      i < count ? ChooseUpstream(aNow, aState, queue[i], meanWorkMs) : nullptr;
    if (chosen != nullptr) {
      AddGrant(aNow, aState, queue[i], *chosen);
      UpdateLoad(aState, *chosen, meanWorkMs);
    } else if (kept++ != i) {
      queue[kept - 1] = std::move(queue[i]);
    }
  }
  queue.resize(kept);
  if (candidates.empty()) {
    RefuseQueuedFlows(aNow, aState, /*aOnlyExpired=*/false);
  }
}

void
SlotBroker::RefuseQueuedFlows(TimePoint aNow,
                              ServiceState& aState,
                              bool aOnlyExpired)
{
  for (auto it = aState.mRefusals.begin(); it != aState.mRefusals.end();) {
    const bool isOld = aNow - it->second.mRefusedAt >= kRetryWindow;
    it = isOld ? aState.mRefusals.erase(it) : std::next(it);
  }
  std::vector<QueuedFlow>& queue = aState.mQueue.Flows();
  queue.erase(std::remove_if(queue.begin(),
                             queue.end(),
                             [&](const QueuedFlow& it) {
                               const bool mustRefuse =
                                 !aOnlyExpired ||
                                 aNow - it.mArrivedAt >= kMaxQueueWait;
                               if (mustRefuse) {
                                 Refuse(aNow, aState, it);
                               }
                               return mustRefuse;
                             }),
              queue.end());
}

void
SlotBroker::Refuse(TimePoint aNow,
                   ServiceState& aState,
                   const QueuedFlow& aFlow)
{
  Reporter& reporter = aState.mReporters[aFlow.mFrom];
  reporter.mRefused.push_back(aFlow.mRequest.mId);
  aState.mRepliesDue.insert(aFlow.mFrom);
  aState.mRefusals.emplace(aFlow.mRequest.mCallerIp,
                           Refusal{ aNow, aFlow.mFirstTriedAt });
}

void
SlotBroker::RefuseHopelessFlows(TimePoint aNow,
                                ServiceState& aState,
                                const Directory& aDirectory)
{
  const std::vector<QueuedFlow> hopeless = aState.mQueue.TakeHopeless(
    aNow, aState.mServiceAnswerMs, [&](uint32_t aRoute) {
      return aDirectory.TimeoutOf(aRoute);
    });
  if (hopeless.empty()) {
    return;
  }
  for (const QueuedFlow& it : hopeless) {
    Refuse(aNow, aState, it);
  }
  mHopelessFlows += hopeless.size();
  mEvents.push_back({ 4120,
                      absl::StrCat("service=",
                                   aState.mName,
                                   " flows=",
                                   hopeless.size(),
                                   " waiting=",
                                   aState.mQueue.Flows().size(),
                                   " grants_per_s=",
                                   static_cast<int64_t>(
                                     aState.mQueue.GrantRate().value_or(0))) });
}

void
SlotBroker::AddGrant(TimePoint aNow,
                     ServiceState& aState,
                     const QueuedFlow& aFlow,
                     Candidate& aCandidate)
{
  if (aCandidate.mColdFlowsLeft) {
    --*aCandidate.mColdFlowsLeft;
    aState.mColdBudget.AddGrant(aNow, aCandidate.mUpstream);
  }
  aState.mQueue.CountGrant(aNow, aFlow);
  Reporter& reporter = aState.mReporters[aFlow.mFrom];
  const SlotGrant grant{ aFlow.mRequest.mId,
                         ++reporter.mLastGrantNumber,
                         aCandidate.mUpstream };
  const auto workMs =
    aState.mWorkEstimator.ExpectedWorkMs(aNow, aFlow.mRequest.mRoute);
  const milliseconds work(std::llround(workMs.value_or(0)));
  reporter.mUnconfirmedGrants.push_back({ grant, aNow, work });
  aState.mLoads[aCandidate.mUpstream].Add(1, work);
  aState.mWorkEstimator.AddPlacement(
    aNow, aCandidate.mUpstream, aCandidate.mLoad, aCandidate.mSlots);
  aState.mRepliesDue.insert(aFlow.mFrom);
}

std::vector<SlotBroker::Reply>
SlotBroker::TakeReplies(uint32_t aServiceId, ServiceState& aState)
{
  std::vector<Reply> replies;
  for (const VmIp it : std::exchange(aState.mRepliesDue, {})) {
    Reporter& reporter = aState.mReporters[it];
    Reply reply;
    reply.mTo = it;
    reply.mReply.mIncarnation = reporter.mIncarnation;
    reply.mReply.mSequence = reporter.mSequence;
    reply.mReply.mServiceId = aServiceId;
    for (const UnconfirmedGrant& grant : reporter.mUnconfirmedGrants) {
      reply.mReply.mGrants.push_back(grant.mGrant);
    }
    reply.mReply.mRefused = std::move(reporter.mRefused);
    reporter.mRefused.clear();
    reply.mReply.mStalled = aState.mStallDetector.Stalled();
    replies.push_back(std::move(reply));
  }
  return replies;
}

void
SlotBroker::PurgeStaleData(TimePoint aNow,
                           ServiceState& aState,
                           const Directory& aDirectory)
{
  aState.mOutlierDetector.PurgeUnused(aNow);
  aState.mRejected.Purge(aNow);
  aState.mWorkEstimator.PurgeUnused(aNow);
  auto& answers = aState.mUpstreamAnswerMs;
  for (auto it = answers.begin(); it != answers.end();) {
    const bool isGone = aDirectory.FindUpstream(it->first) == nullptr;
    it = isGone ? answers.erase(it) : std::next(it);
  }
}

std::vector<SlotBroker::Reply>
SlotBroker::Tick(TimePoint aNow, const Directory& aDirectory)
{
  std::vector<Reply> replies;
  const bool mustPurge = aNow - mPurgedAt >= kPurgePeriod;
  if (mustPurge) {
    mPurgedAt = aNow;
  }
  for (auto& [serviceId, state] : mServices) {
    if (mustPurge) {
      PurgeStaleData(aNow, state, aDirectory);
    }
    for (auto it = state.mReporters.begin(); it != state.mReporters.end();) {
      const VmIp ip = it->first;
      const bool isTimedOut = aNow - it->second.mReportedAt >= kReportTimeout;
      if (!isTimedOut) {
        ++it;
        continue;
      }
      std::vector<QueuedFlow>& queue = state.mQueue.Flows();
      queue.erase(
        std::remove_if(queue.begin(),
                       queue.end(),
                       [ip](const QueuedFlow& w) { return w.mFrom == ip; }),
        queue.end());
      UncountFlows(state, it->second);
      state.mRepliesDue.erase(ip);
      it = state.mReporters.erase(it);
    }
    state.mColdBudget.Expire(aNow);
    RevokeGrants(aNow, state, aDirectory);
    RefuseQueuedFlows(aNow, state, /*aOnlyExpired=*/true);
    JudgeStalls(aNow, state, aDirectory);
    GrantQueuedFlows(aNow, state, aDirectory);
    RefuseHopelessFlows(aNow, state, aDirectory);
    std::vector<Reply> serviceReplies = TakeReplies(serviceId, state);
    replies.insert(replies.end(), serviceReplies.begin(), serviceReplies.end());
  }
  return replies;
}

size_t
SlotBroker::WaitingFlows() const
{
  size_t n = 0;
  for (const auto& [serviceId, state] : mServices) {
    n += state.mQueue.Flows().size();
  }
  return n;
}

uint64_t
SlotBroker::FairGrants() const
{
  uint64_t n = 0;
  for (const auto& [serviceId, state] : mServices) {
    n += state.mQueue.FairGrants();
  }
  return n;
}

} // namespace foxtail::flow

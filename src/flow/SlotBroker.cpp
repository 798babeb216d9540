#include "foxtail/flow/SlotBroker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// An answer time counts at most as this multiple of the service's mean, so that
// a single long answer doesn't mark its upstream as slow.
constexpr double kMaxAnswerTimeFactor = 4.0;
// Bounds of an upstream's answer time relative to that of its service.
constexpr double kMinSlowness = 0.8;
constexpr double kMaxSlowness = 6.0;
// Processing takes about this factor longer on an upstream that is warming up.
constexpr double kWarmUpSlowness = 1.6;
// Score penalty, in flows per slot, of an upstream in another failure domain.
// It weighs less than one flow.
constexpr double kOtherDomainPenalty = 0.05;
// Score penalty, in flows per slot, of a suspected upstream for a flow whose
// request must not be repeated.
constexpr double kSuspicionPenalty = 1.0;

// Whether an answer that takes aAnswerMs from now on comes within the
// objective.
bool
CanMeetObjective(TimePoint aNow,
                 TimePoint aFirstTriedAt,
                 milliseconds aObjective,
                 double aAnswerMs)
{
  const auto answerTime = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aAnswerMs));
  return aNow + answerTime <= aFirstTriedAt + aObjective;
}

uint64_t
BackoffKey(uint32_t aDomainId, Cookie aUpstream)
{
  return (static_cast<uint64_t>(aDomainId) << 32U) | aUpstream;
}

} // namespace

SlotBroker::SlotBroker(uint64_t aSeed)
  : mRandom(aSeed)
{
}

std::vector<SlotBroker::Reply>
SlotBroker::HandleReport(TimePoint aNow,
                         VmIp aFrom,
                         const SlotReport& aReport,
                         const std::string& aService,
                         const Directory& aDirectory,
                         size_t aExpectedReporters)
{
  Pool& pool = mPools[aReport.mService];
  pool.mName = aService;
  pool.mExpectedReporters = aExpectedReporters;
  if (pool.mReporters.empty()) {
    pool.mFirstReportAt = aNow;
  }
  Reporter& reporter = pool.mReporters[aFrom];
  if (reporter.mIncarnation != aReport.mIncarnation) {
    if (reporter.mIncarnation > aReport.mIncarnation) {
      return {};
    }
    reporter = {};
    reporter.mIncarnation = aReport.mIncarnation;
  }
  if (aReport.mSequence <= reporter.mSequence) {
    return {};
  }
  reporter.mSequence = aReport.mSequence;
  reporter.mReportedAt = aNow;
  reporter.mDomain = aReport.mDomain;
  reporter.mDomainId = static_cast<uint32_t>(StableHash(aReport.mDomain));
  reporter.mHeld = aReport.mHeld;
  reporter.mLastGrantNumber =
    std::max(reporter.mLastGrantNumber, aReport.mGrantsSeen);
  auto& pending = reporter.mPendingGrants;
  pending.erase(std::remove_if(pending.begin(),
                               pending.end(),
                               [&](const PendingGrant& it) {
                                 return it.mGrant.mNumber <=
                                        aReport.mGrantsSeen;
                               }),
                pending.end());
  reporter.mReplyDue = !aReport.mRequests.empty();
  UpdateUpstreamStats(aNow, pool, aReport);
  DetectOutliers(aNow, pool, aReport, aDirectory);
  Enqueue(aNow, pool, aFrom, aReport);
  GrantFreeSlots(aNow, pool, aDirectory);
  return TakeReplies(aReport.mService, pool);
}

void
SlotBroker::UpdateUpstreamStats(TimePoint aNow,
                                Pool& aPool,
                                const SlotReport& aReport)
{
  const auto domain = static_cast<uint32_t>(StableHash(aReport.mDomain));
  for (const AnswerTime& it : aReport.mAnswerTimes) {
    aPool.mBackoffs.erase(BackoffKey(domain, it.mUpstream));
    const auto time = static_cast<double>(it.mTime.count());
    double& serviceMean = aPool.mServiceAnswerMs;
    serviceMean =
      serviceMean == 0 ? time : serviceMean + (time - serviceMean) * 0.02;
    const double cappedTime =
      std::min(time, kMaxAnswerTimeFactor * serviceMean);
    const auto [entry, isFirst] =
      aPool.mUpstreamAnswerMs.emplace(it.mUpstream, serviceMean);
    entry->second += (cappedTime - entry->second) * kAnswerTimeWeight;
  }
  for (const Cookie it : aReport.mUnresponsive) {
    Backoff& backoff = aPool.mBackoffs[BackoffKey(domain, it)];
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
                           Pool& aPool,
                           const SlotReport& aReport,
                           const Directory& aDirectory)
{
  for (const AnswerSummary& it : aReport.mCompleteAnswers) {
    RecordEjection(aPool,
                   aDirectory,
                   it.mUpstream,
                   aPool.mOutlierDetector.AddAnswer(aNow, it));
  }
  for (const Cookie it : aReport.mUnanswered) {
    RecordEjection(aPool,
                   aDirectory,
                   it,
                   aPool.mOutlierDetector.AddUnansweredRequest(aNow, it));
  }
}

void
SlotBroker::RecordEjection(Pool& aPool,
                           const Directory& aDirectory,
                           Cookie aUpstream,
                           const std::optional<std::string>& aReason)
{
  const Upstream* upstream = aDirectory.FindUpstream(aUpstream);
  if (!aReason || upstream == nullptr) {
    return;
  }
  ++mEjections;
  mEvents.push_back({ 4104,
                      absl::StrCat("service=",
                                   aPool.mName,
                                   " upstream=",
                                   upstream->mRecord.mId,
                                   " ",
                                   *aReason) });
  const size_t upstreams = aDirectory.UpstreamsOf(aPool.mName).size();
  if (aPool.mOutlierDetector.ResetIfMostEjected(upstreams)) {
    mEvents.push_back(
      { 4105,
        absl::StrCat("service=", aPool.mName, " upstreams=", upstreams) });
  }
}

std::vector<Event>
SlotBroker::TakeEvents()
{
  return std::exchange(mEvents, {});
}

void
SlotBroker::Enqueue(TimePoint aNow,
                    Pool& aPool,
                    VmIp aFrom,
                    const SlotReport& aReport)
{
  auto& queue = aPool.mQueue;
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
  const auto& pending = aPool.mReporters[aFrom].mPendingGrants;
  for (const SlotRequest& it : aReport.mRequests) {
    const bool isGranted =
      std::any_of(pending.begin(), pending.end(), [&](const PendingGrant& n) {
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
                             : TakeFirstTryTime(aNow, aPool, queued);
    queue.push_back(std::move(queued));
  }
}

TimePoint
SlotBroker::TakeFirstTryTime(TimePoint aNow,
                             Pool& aPool,
                             const QueuedFlow& aFlow)
{
  const auto [begin, end] =
    aPool.mRefusals.equal_range(aFlow.mRequest.mCallerIp);
  for (auto it = begin; it != end; ++it) {
    if (aNow - it->second.mRefusedAt < kRetryWindow) {
      const TimePoint firstTry = it->second.mFirstTriedAt;
      aPool.mRefusals.erase(it);
      return firstTry;
    }
  }
  return aFlow.mArrivedAt;
}

std::vector<SlotBroker::Candidate>
SlotBroker::FindCandidates(TimePoint aNow,
                           const Pool& aPool,
                           const Directory& aDirectory) const
{
  std::unordered_map<Cookie, uint32_t> loads;
  loads.reserve(aDirectory.UpstreamsOf(aPool.mName).size());
  for (const auto& [ip, reporter] : aPool.mReporters) {
    for (const SlotCount& it : reporter.mHeld) {
      loads[it.mUpstream] += it.mCount;
    }
    for (const PendingGrant& it : reporter.mPendingGrants) {
      ++loads[it.mGrant.mUpstream];
    }
  }
  std::vector<Candidate> candidates;
  candidates.reserve(aDirectory.UpstreamsOf(aPool.mName).size());
  for (const Cookie it : aDirectory.UpstreamsOf(aPool.mName)) {
    const Upstream* upstream = aDirectory.FindUpstream(it);
    if (!Directory::TakesNewFlows(*upstream, aNow)) {
      continue;
    }
    Candidate candidate;
    candidate.mUpstream = it;
    candidate.mDirectoryEntry = upstream;
    const auto load = loads.find(it);
    candidate.mLoad = load == loads.end() ? 0 : load->second;
    candidate.mStatus = aPool.mOutlierDetector.StatusOf(aNow, it);
    const auto answer = aPool.mUpstreamAnswerMs.find(it);
    if (answer != aPool.mUpstreamAnswerMs.end() && aPool.mServiceAnswerMs > 0) {
      candidate.mSlowness = std::clamp(
        answer->second / aPool.mServiceAnswerMs, kMinSlowness, kMaxSlowness);
    }
    if (upstream->mWarmUpUntil > aNow) {
      candidate.mSlowness = std::max(candidate.mSlowness, kWarmUpSlowness);
    }
    const double slots = std::max(1U, upstream->mRecord.mSlots);
    candidate.mFlowLimit = std::max(
      1.0,
      std::floor(slots * kFlowsPerSlot / std::max(1.0, candidate.mSlowness)));
    if (mIsIsolated) {
      candidate.mFlowLimit = kIsolatedFlowLimit;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void
SlotBroker::GrantFreeSlots(TimePoint aNow,
                           Pool& aPool,
                           const Directory& aDirectory)
{
  auto& queue = aPool.mQueue;
  const bool isTakingOver =
    aPool.mReporters.size() < aPool.mExpectedReporters &&
    aNow - aPool.mFirstReportAt < kTakeoverWait;
  if (queue.empty() || isTakingOver) {
    return;
  }
  std::vector<Candidate> candidates = FindCandidates(aNow, aPool, aDirectory);
  double free = 0;
  for (const Candidate& it : candidates) {
    free += std::max(0.0, it.mFlowLimit - it.mLoad);
  }
  const size_t count = std::min(queue.size(), static_cast<size_t>(free));
  PrioritizeQueue(aNow, aPool, count);
  size_t kept = 0;
  for (size_t i = 0; i < queue.size(); ++i) {
    Candidate* chosen =
      i < count ? ChooseUpstream(aNow, aPool, candidates, queue[i]) : nullptr;
    if (chosen != nullptr) {
      ++chosen->mLoad;
      AddGrant(aNow, aPool, queue[i], chosen->mUpstream);
    } else if (kept++ != i) {
      queue[kept - 1] = std::move(queue[i]);
    }
  }
  queue.resize(kept);
  if (candidates.empty()) {
    RefuseUnservable(aNow, aPool, false);
  }
}

void
SlotBroker::PrioritizeQueue(TimePoint aNow, Pool& aPool, size_t aCount)
{
  auto& queue = aPool.mQueue;
  bool isQueueStanding = false;
  for (QueuedFlow& it : queue) {
    it.mMissesObjective =
      !CanMeetObjective(aNow,
                        it.mFirstTriedAt,
                        it.mRequest.mObjective,
                        kAnswerTimeMargin * aPool.mServiceAnswerMs);
    isQueueStanding |=
      aNow - it.mFirstTriedAt >= it.mRequest.mObjective / kStandingQueueDivisor;
  }
  // Flows that can meet their objective come first, in order of priority. Among
  // flows of the same priority, the oldest comes first. In a standing queue it
  // is the newest: served in order of arrival, each flow would get its slot
  // when it is almost too late.
  const auto comesFirst = [isQueueStanding](const QueuedFlow& a,
                                            const QueuedFlow& b) {
    if (a.mMissesObjective != b.mMissesObjective) {
      return b.mMissesObjective;
    }
    if (a.mRequest.mPriority != b.mRequest.mPriority) {
      return a.mRequest.mPriority < b.mRequest.mPriority;
    }
    const bool newestFirst = isQueueStanding && !a.mMissesObjective;
    return newestFirst ? a.mFirstTriedAt > b.mFirstTriedAt
                       : a.mFirstTriedAt < b.mFirstTriedAt;
  };
  std::partial_sort(queue.begin(),
                    queue.begin() + static_cast<ptrdiff_t>(aCount),
                    queue.end(),
                    comesFirst);
}

void
SlotBroker::RefuseUnservable(TimePoint aNow, Pool& aPool, bool aHasUpstreams)
{
  for (auto it = aPool.mRefusals.begin(); it != aPool.mRefusals.end();) {
    const bool isOld = aNow - it->second.mRefusedAt >= kRetryWindow;
    it = isOld ? aPool.mRefusals.erase(it) : std::next(it);
  }
  auto& queue = aPool.mQueue;
  queue.erase(std::remove_if(
                queue.begin(),
                queue.end(),
                [&](const QueuedFlow& it) {
                  const bool isUnservable =
                    !aHasUpstreams || aNow - it.mArrivedAt >= kMaxQueueWait;
                  if (isUnservable) {
                    Reporter& reporter = aPool.mReporters[it.mFrom];
                    reporter.mRefused.push_back(it.mRequest.mId);
                    reporter.mReplyDue = true;
                    aPool.mRefusals.emplace(it.mRequest.mCallerIp,
                                            Refusal{ aNow, it.mFirstTriedAt });
                  }
                  return isUnservable;
                }),
              queue.end());
}

bool
SlotBroker::IsLastResort(const Candidate& aCandidate, const QueuedFlow& aFlow)
{
  const auto& excluded = aFlow.mRequest.mExcluded;
  if (std::find(excluded.begin(), excluded.end(), aCandidate.mUpstream) !=
      excluded.end()) {
    return true;
  }
  switch (aCandidate.mStatus) {
    case AnswerOutlierDetector::Status::Ejected:
      return true;
    case AnswerOutlierDetector::Status::Probation:
      // Gets one flow at a time, and only flows whose request may be repeated.
      return aCandidate.mLoad > 0 || !aFlow.mRequest.mIsIdempotent;
    case AnswerOutlierDetector::Status::Suspected:
    case AnswerOutlierDetector::Status::Healthy:
      break;
  }
  return false;
}

SlotBroker::Candidate*
SlotBroker::ChooseUpstream(TimePoint aNow,
                           Pool& aPool,
                           std::vector<Candidate>& aCandidates,
                           const QueuedFlow& aFlow)
{
  const Reporter& reporter = aPool.mReporters[aFlow.mFrom];
  const std::string& domain = reporter.mDomain;
  Candidate* best = nullptr;
  double bestScore = 0;
  bool bestIsLastResort = true;
  std::uniform_real_distribution<double> tieBreak(0, 0.01);
  for (Candidate& it : aCandidates) {
    const auto backoff =
      aPool.mBackoffs.find(BackoffKey(reporter.mDomainId, it.mUpstream));
    const bool hasBackoff = backoff != aPool.mBackoffs.end();
    // After its backoff, an upstream gets one flow at a time until it answers.
    const bool isLastResort =
      IsLastResort(it, aFlow) ||
      (hasBackoff && (backoff->second.mUntil > aNow || it.mLoad > 0));
    const double slots = std::max(1U, it.mDirectoryEntry->mRecord.mSlots);
    double score = (it.mLoad + 1) / slots * it.mSlowness + tieBreak(mRandom);
    if (it.mDirectoryEntry->mRecord.mDomain != domain) {
      score += kOtherDomainPenalty;
    }
    const bool isRisky =
      it.mStatus == AnswerOutlierDetector::Status::Suspected &&
      !aFlow.mRequest.mIsIdempotent;
    if (isRisky) {
      score += kSuspicionPenalty;
    }
    const bool isBetter =
      best == nullptr || isLastResort < bestIsLastResort ||
      (isLastResort == bestIsLastResort && score < bestScore);
    if (it.mLoad < it.mFlowLimit && isBetter) {
      best = &it;
      bestScore = score;
      bestIsLastResort = isLastResort;
    }
  }
  // While there are upstreams that answer normally, a flow waits for one of
  // them to have a free slot rather than go to one that is silent or fails.
  const bool hasNormalUpstream = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& it) {
      return !IsLastResort(it, aFlow) &&
             aPool.mBackoffs.count(
               BackoffKey(reporter.mDomainId, it.mUpstream)) == 0;
    });
  if (best != nullptr && bestIsLastResort && hasNormalUpstream) {
    return nullptr;
  }
  return best;
}

void
SlotBroker::AddGrant(TimePoint aNow,
                     Pool& aPool,
                     const QueuedFlow& aFlow,
                     Cookie aUpstream)
{
  Reporter& reporter = aPool.mReporters[aFlow.mFrom];
  const SlotGrant grant{ aFlow.mRequest.mId,
                         ++reporter.mLastGrantNumber,
                         aUpstream };
  reporter.mPendingGrants.push_back({ grant, aNow });
  reporter.mReplyDue = true;
}

std::vector<SlotBroker::Reply>
SlotBroker::TakeReplies(uint32_t aService, Pool& aPool)
{
  std::vector<Reply> replies;
  for (auto& [ip, reporter] : aPool.mReporters) {
    if (!reporter.mReplyDue) {
      continue;
    }
    reporter.mReplyDue = false;
    Reply reply;
    reply.mTo = ip;
    reply.mReply.mIncarnation = reporter.mIncarnation;
    reply.mReply.mSequence = reporter.mSequence;
    reply.mReply.mService = aService;
    for (const PendingGrant& it : reporter.mPendingGrants) {
      reply.mReply.mGrants.push_back(it.mGrant);
    }
    reply.mReply.mRefused = std::move(reporter.mRefused);
    reporter.mRefused.clear();
    replies.push_back(std::move(reply));
  }
  return replies;
}

void
SlotBroker::PurgeStaleData(TimePoint aNow,
                           Pool& aPool,
                           const Directory& aDirectory)
{
  aPool.mOutlierDetector.PurgeUnused(aNow);
  auto& answers = aPool.mUpstreamAnswerMs;
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
  for (auto& [service, pool] : mPools) {
    if (mustPurge) {
      PurgeStaleData(aNow, pool, aDirectory);
    }
    for (auto it = pool.mReporters.begin(); it != pool.mReporters.end();) {
      const VmIp ip = it->first;
      const bool isTimedOut = aNow - it->second.mReportedAt >= kReportTimeout;
      if (!isTimedOut) {
        ++it;
        continue;
      }
      auto& queue = pool.mQueue;
      queue.erase(
        std::remove_if(queue.begin(),
                       queue.end(),
                       [ip](const QueuedFlow& w) { return w.mFrom == ip; }),
        queue.end());
      it = pool.mReporters.erase(it);
    }
    RefuseUnservable(aNow, pool, true);
    GrantFreeSlots(aNow, pool, aDirectory);
    std::vector<Reply> poolReplies = TakeReplies(service, pool);
    replies.insert(replies.end(), poolReplies.begin(), poolReplies.end());
  }
  return replies;
}

size_t
SlotBroker::WaitingFlows() const
{
  size_t n = 0;
  for (const auto& [service, pool] : mPools) {
    n += pool.mQueue.size();
  }
  return n;
}

} // namespace foxtail::flow

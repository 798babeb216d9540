#include "foxtail/flow/SlotBroker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// A single long answer must not mark an upstream as slow.
constexpr double kLongestCounted = 4.0;
// Bounds of how much slower than its service an upstream is taken to be.
constexpr double kLeastSlowness = 0.8;
constexpr double kMostSlowness = 6.0;
// A cold upstream works about this much longer.
constexpr double kColdSlowness = 1.6;
// Weight of the difference between failure domains: less than one flow.
constexpr double kOtherDomain = 0.05;
// What a flow that must not be repeated would rather wait behind, in flows a
// slot, than go to an upstream in doubt.
constexpr double kDoubtCost = 1.0;

// Whether the answer can still come within its objective, given that work
// takes about aWork.
bool
CanBeInTime(TimePoint aNow,
            TimePoint aArrived,
            milliseconds aObjective,
            double aWorkMs)
{
  const auto work = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aWorkMs));
  return aNow + work <= aArrived + aObjective;
}

uint64_t
SilenceKey(uint32_t aDomainId, Cookie aUpstream)
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
                         size_t aExpected)
{
  Pool& pool = mPools[aReport.mService];
  pool.mName = aService;
  pool.mExpected = aExpected;
  if (pool.mReporters.empty()) {
    pool.mSince = aNow;
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
  reporter.mHeard = aNow;
  reporter.mDomain = aReport.mDomain;
  reporter.mDomainId = static_cast<uint32_t>(StableHash(aReport.mDomain));
  reporter.mHeld = aReport.mHeld;
  reporter.mLastGrant = std::max(reporter.mLastGrant, aReport.mGrantsSeen);
  auto& pending = reporter.mPending;
  pending.erase(std::remove_if(pending.begin(),
                               pending.end(),
                               [&](const PendingGrant& it) {
                                 return it.mGrant.mNumber <=
                                        aReport.mGrantsSeen;
                               }),
                pending.end());
  reporter.mReplyDue = !aReport.mRequests.empty();
  Learn(aNow, pool, aReport);
  JudgeUpstreams(aNow, pool, aReport, aDirectory);
  Enqueue(aNow, pool, aFrom, aReport);
  Schedule(aNow, pool, aDirectory);
  return Replies(aReport.mService, pool);
}

void
SlotBroker::Learn(TimePoint aNow, Pool& aPool, const SlotReport& aReport)
{
  const auto domain = static_cast<uint32_t>(StableHash(aReport.mDomain));
  for (const AnswerTime& it : aReport.mAnswerTimes) {
    aPool.mSilences.erase(SilenceKey(domain, it.mUpstream));
    const auto time = static_cast<double>(it.mTime.count());
    double& service = aPool.mMeanAnswerMs;
    service = service == 0 ? time : service + (time - service) * 0.02;
    const double counted = std::min(time, kLongestCounted * service);
    const auto [entry, isFirst] =
      aPool.mAnswerMs.emplace(it.mUpstream, service);
    entry->second += (counted - entry->second) * kAnswerTimeWeight;
  }
  for (const Cookie it : aReport.mUnresponsive) {
    Silence& silence = aPool.mSilences[SilenceKey(domain, it)];
    const Duration time = std::min<Duration>(
      Duration(kInitialBackoff) * (1U << std::min(silence.mMisses, 5U)),
      kMaxBackoff);
    ++silence.mMisses;
    silence.mUntil = aNow + time;
  }
}

void
SlotBroker::JudgeUpstreams(TimePoint aNow,
                           Pool& aPool,
                           const SlotReport& aReport,
                           const Directory& aDirectory)
{
  for (const AnswerSummary& it : aReport.mCompleteAnswers) {
    NoteEjection(aPool,
                 aDirectory,
                 it.mUpstream,
                 aPool.mOutlierDetector.AddAnswer(aNow, it));
  }
  for (const Cookie it : aReport.mUnanswered) {
    NoteEjection(aPool,
                 aDirectory,
                 it,
                 aPool.mOutlierDetector.AddUnansweredRequest(aNow, it));
  }
}

void
SlotBroker::NoteEjection(Pool& aPool,
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
  const auto isAsked = [&](const Waiter& n) {
    return std::any_of(
      aReport.mRequests.begin(),
      aReport.mRequests.end(),
      [&](const SlotRequest& it) { return it.mId == n.mRequest.mId; });
  };
  // A whole report ends what it doesn't name; what is asked for again may say
  // more than before.
  std::unordered_map<uint64_t, TimePoint> first;
  queue.erase(std::remove_if(queue.begin(),
                             queue.end(),
                             [&](const Waiter& it) {
                               if (it.mFrom != aFrom) {
                                 return false;
                               }
                               const bool asked = isAsked(it);
                               if (asked) {
                                 first[it.mRequest.mId] = it.mFirst;
                               }
                               return asked || aReport.mListsAllRequests;
                             }),
              queue.end());
  const auto& pending = aPool.mReporters[aFrom].mPending;
  for (const SlotRequest& it : aReport.mRequests) {
    const bool isGranted =
      std::any_of(pending.begin(), pending.end(), [&](const PendingGrant& n) {
        return n.mGrant.mId == it.mId;
      });
    if (isGranted) {
      continue;
    }
    Waiter waiter;
    waiter.mFrom = aFrom;
    waiter.mRequest = it;
    waiter.mArrived = aNow - it.mWaited;
    const auto known = first.find(it.mId);
    waiter.mFirst =
      known != first.end() ? known->second : FirstTry(aNow, aPool, waiter);
    queue.push_back(std::move(waiter));
  }
}

TimePoint
SlotBroker::FirstTry(TimePoint aNow, Pool& aPool, const Waiter& aWaiter)
{
  const auto [begin, end] =
    aPool.mRefusals.equal_range(aWaiter.mRequest.mCallerIp);
  for (auto it = begin; it != end; ++it) {
    if (aNow - it->second.mAt < kRetryWindow) {
      const TimePoint firstTry = it->second.mFirst;
      aPool.mRefusals.erase(it);
      return firstTry;
    }
  }
  return aWaiter.mArrived;
}

std::vector<SlotBroker::Candidate>
SlotBroker::Candidates(TimePoint aNow,
                       const Pool& aPool,
                       const Directory& aDirectory) const
{
  std::unordered_map<Cookie, uint32_t> loads;
  loads.reserve(aDirectory.UpstreamsOf(aPool.mName).size());
  for (const auto& [ip, reporter] : aPool.mReporters) {
    for (const SlotCount& it : reporter.mHeld) {
      loads[it.mUpstream] += it.mCount;
    }
    for (const PendingGrant& it : reporter.mPending) {
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
    candidate.mRecord = upstream;
    const auto load = loads.find(it);
    candidate.mLoad = load == loads.end() ? 0 : load->second;
    candidate.mStatus = aPool.mOutlierDetector.StatusOf(aNow, it);
    const auto answer = aPool.mAnswerMs.find(it);
    if (answer != aPool.mAnswerMs.end() && aPool.mMeanAnswerMs > 0) {
      candidate.mSlowness = std::clamp(
        answer->second / aPool.mMeanAnswerMs, kLeastSlowness, kMostSlowness);
    }
    if (upstream->mWarmUpUntil > aNow) {
      candidate.mSlowness = std::max(candidate.mSlowness, kColdSlowness);
    }
    const double slots = std::max(1U, upstream->mRecord.mSlots);
    candidate.mLimit = std::max(
      1.0,
      std::floor(slots * kFlowsPerSlot / std::max(1.0, candidate.mSlowness)));
    if (mIsIsolated) {
      candidate.mLimit = kIsolatedFlowLimit;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void
SlotBroker::Schedule(TimePoint aNow, Pool& aPool, const Directory& aDirectory)
{
  auto& queue = aPool.mQueue;
  const bool isTakingOver = aPool.mReporters.size() < aPool.mExpected &&
                            aNow - aPool.mSince < kTakeoverWait;
  if (queue.empty() || isTakingOver) {
    return;
  }
  std::vector<Candidate> candidates = Candidates(aNow, aPool, aDirectory);
  double free = 0;
  for (const Candidate& it : candidates) {
    free += std::max(0.0, it.mLimit - it.mLoad);
  }
  const size_t count = std::min(queue.size(), static_cast<size_t>(free));
  Rank(aNow, aPool, count);
  size_t kept = 0;
  for (size_t i = 0; i < queue.size(); ++i) {
    Candidate* chosen =
      i < count ? Choose(aNow, aPool, candidates, queue[i]) : nullptr;
    if (chosen != nullptr) {
      ++chosen->mLoad;
      GrantTo(aNow, aPool, queue[i], chosen->mUpstream);
    } else if (kept++ != i) {
      queue[kept - 1] = std::move(queue[i]);
    }
  }
  queue.resize(kept);
  if (candidates.empty()) {
    RefuseHopeless(aNow, aPool, false);
  }
}

void
SlotBroker::Rank(TimePoint aNow, Pool& aPool, size_t aCount)
{
  auto& queue = aPool.mQueue;
  bool isStanding = false;
  for (Waiter& it : queue) {
    it.mIsLate = !CanBeInTime(aNow,
                              it.mFirst,
                              it.mRequest.mObjective,
                              kAnswerTimeMargin * aPool.mMeanAnswerMs);
    isStanding |=
      aNow - it.mFirst >= it.mRequest.mObjective / kStandingQueueDivisor;
  }
  // Those that can be in time first, the urgent before others. Among equals
  // the oldest, but the newest while a queue stands: served in turn, each
  // would get its slot when it is almost too late.
  const auto comesFirst = [isStanding](const Waiter& a, const Waiter& b) {
    if (a.mIsLate != b.mIsLate) {
      return b.mIsLate;
    }
    if (a.mRequest.mPriority != b.mRequest.mPriority) {
      return a.mRequest.mPriority < b.mRequest.mPriority;
    }
    const bool newestFirst = isStanding && !a.mIsLate;
    return newestFirst ? a.mFirst > b.mFirst : a.mFirst < b.mFirst;
  };
  std::partial_sort(queue.begin(),
                    queue.begin() + static_cast<ptrdiff_t>(aCount),
                    queue.end(),
                    comesFirst);
}

void
SlotBroker::RefuseHopeless(TimePoint aNow, Pool& aPool, bool aHasUpstreams)
{
  for (auto it = aPool.mRefusals.begin(); it != aPool.mRefusals.end();) {
    const bool isOld = aNow - it->second.mAt >= kRetryWindow;
    it = isOld ? aPool.mRefusals.erase(it) : std::next(it);
  }
  auto& queue = aPool.mQueue;
  queue.erase(
    std::remove_if(queue.begin(),
                   queue.end(),
                   [&](const Waiter& it) {
                     const bool isHopeless =
                       !aHasUpstreams || aNow - it.mArrived >= kMaxQueueWait;
                     if (isHopeless) {
                       Reporter& reporter = aPool.mReporters[it.mFrom];
                       reporter.mRefused.push_back(it.mRequest.mId);
                       reporter.mReplyDue = true;
                       aPool.mRefusals.emplace(it.mRequest.mCallerIp,
                                               Refusal{ aNow, it.mFirst });
                     }
                     return isHopeless;
                   }),
    queue.end());
}

bool
SlotBroker::IsAvoided(const Candidate& aCandidate, const Waiter& aWaiter)
{
  const auto& excluded = aWaiter.mRequest.mExcluded;
  if (std::find(excluded.begin(), excluded.end(), aCandidate.mUpstream) !=
      excluded.end()) {
    return true;
  }
  switch (aCandidate.mStatus) {
    case AnswerOutlierDetector::Status::Ejected:
      return true;
    case AnswerOutlierDetector::Status::Probation:
      // Tried with one flow at a time, of those that may be repeated.
      return aCandidate.mLoad > 0 || !aWaiter.mRequest.mIsIdempotent;
    case AnswerOutlierDetector::Status::Suspected:
    case AnswerOutlierDetector::Status::Healthy:
      break;
  }
  return false;
}

SlotBroker::Candidate*
SlotBroker::Choose(TimePoint aNow,
                   Pool& aPool,
                   std::vector<Candidate>& aCandidates,
                   const Waiter& aWaiter)
{
  const Reporter& reporter = aPool.mReporters[aWaiter.mFrom];
  const std::string& domain = reporter.mDomain;
  Candidate* best = nullptr;
  double bestScore = 0;
  bool bestIsAvoided = true;
  std::uniform_real_distribution<double> tie(0, 0.01);
  for (Candidate& it : aCandidates) {
    const auto silence =
      aPool.mSilences.find(SilenceKey(reporter.mDomainId, it.mUpstream));
    const bool wasSilent = silence != aPool.mSilences.end();
    // A silent upstream is tried with one flow at a time.
    const bool isAvoided =
      IsAvoided(it, aWaiter) ||
      (wasSilent && (silence->second.mUntil > aNow || it.mLoad > 0));
    const double slots = std::max(1U, it.mRecord->mRecord.mSlots);
    double score = (it.mLoad + 1) / slots * it.mSlowness + tie(mRandom);
    if (it.mRecord->mRecord.mDomain != domain) {
      score += kOtherDomain;
    }
    const bool isRisky =
      it.mStatus == AnswerOutlierDetector::Status::Suspected &&
      !aWaiter.mRequest.mIsIdempotent;
    if (isRisky) {
      score += kDoubtCost;
    }
    const bool isBetter = best == nullptr || isAvoided < bestIsAvoided ||
                          (isAvoided == bestIsAvoided && score < bestScore);
    if (it.mLoad < it.mLimit && isBetter) {
      best = &it;
      bestScore = score;
      bestIsAvoided = isAvoided;
    }
  }
  // While others are merely busy, waiting beats an upstream that is silent or
  // fails.
  const bool othersAnswer = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& it) {
      return !IsAvoided(it, aWaiter) &&
             aPool.mSilences.count(
               SilenceKey(reporter.mDomainId, it.mUpstream)) == 0;
    });
  if (best != nullptr && bestIsAvoided && othersAnswer) {
    return nullptr;
  }
  return best;
}

void
SlotBroker::GrantTo(TimePoint aNow,
                    Pool& aPool,
                    const Waiter& aWaiter,
                    Cookie aUpstream)
{
  Reporter& reporter = aPool.mReporters[aWaiter.mFrom];
  const SlotGrant grant{ aWaiter.mRequest.mId,
                         ++reporter.mLastGrant,
                         aUpstream };
  reporter.mPending.push_back({ grant, aNow });
  reporter.mReplyDue = true;
}

std::vector<SlotBroker::Reply>
SlotBroker::Replies(uint32_t aService, Pool& aPool)
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
    for (const PendingGrant& it : reporter.mPending) {
      reply.mReply.mGrants.push_back(it.mGrant);
    }
    reply.mReply.mRefused = std::move(reporter.mRefused);
    reporter.mRefused.clear();
    replies.push_back(std::move(reply));
  }
  return replies;
}

void
SlotBroker::ForgetGone(TimePoint aNow, Pool& aPool, const Directory& aDirectory)
{
  aPool.mOutlierDetector.PurgeUnused(aNow);
  auto& answers = aPool.mAnswerMs;
  for (auto it = answers.begin(); it != answers.end();) {
    const bool isGone = aDirectory.FindUpstream(it->first) == nullptr;
    it = isGone ? answers.erase(it) : std::next(it);
  }
}

std::vector<SlotBroker::Reply>
SlotBroker::Tick(TimePoint aNow, const Directory& aDirectory)
{
  std::vector<Reply> replies;
  const bool forgets = aNow - mForgotAt >= kPurgePeriod;
  if (forgets) {
    mForgotAt = aNow;
  }
  for (auto& [service, pool] : mPools) {
    if (forgets) {
      ForgetGone(aNow, pool, aDirectory);
    }
    for (auto it = pool.mReporters.begin(); it != pool.mReporters.end();) {
      const VmIp ip = it->first;
      const bool isSilent = aNow - it->second.mHeard >= kReportTimeout;
      if (!isSilent) {
        ++it;
        continue;
      }
      auto& queue = pool.mQueue;
      queue.erase(
        std::remove_if(queue.begin(),
                       queue.end(),
                       [ip](const Waiter& w) { return w.mFrom == ip; }),
        queue.end());
      it = pool.mReporters.erase(it);
    }
    RefuseHopeless(aNow, pool, true);
    Schedule(aNow, pool, aDirectory);
    std::vector<Reply> more = Replies(service, pool);
    replies.insert(replies.end(), more.begin(), more.end());
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

#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"
#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// Interval of the checks for expired flows, members and upstreams.
constexpr milliseconds kHousekeepingInterval{ 50 };

} // namespace

FlowBalancer::FlowBalancer(TimePoint aNow,
                           const FlowBalancerSettings& aSettings)
  : mSettings(aSettings)
  , mFleet(aSettings.mSelf, aSettings.mSeeds, aSettings.mRandomSeed)
  , mBroker(aSettings.mRandomSeed + 1, aSettings.mColdStart)
  , mStarted(aNow)
  , mNextRead(aNow)
  , mNextHousekeeping(aNow)
{
  mIsSeed = std::find(aSettings.mSeeds.begin(),
                      aSettings.mSeeds.end(),
                      aSettings.mSelf.mIp) != aSettings.mSeeds.end();
  if (!mIsSeed) {
    mNextRead = aNow + kInitialReadDelay;
  }
  mFleet.SetReady(aNow, false);
  mBroker.SetCostAware(aSettings.mIsCostAware);
}

FlowActions
FlowBalancer::TakeActions()
{
  FlowActions actions;
  actions.swap(mActions);
  return actions;
}

void
FlowBalancer::Log(int aEvent, std::string aDetail)
{
  mActions.push_back(LogLine{ { aEvent, std::move(aDetail) } });
}

// Packets

FlowActions
FlowBalancer::OnPacket(TimePoint aNow, const Packet& aPacket)
{
  ++mCounters.mPackets;
  if (aPacket.mHasSyn) {
    // A SYN with ACK is an upstream's answer. Answers bypass the balancers, so
    // such a packet is dropped.
    if (!aPacket.mHasAck) {
      OnOpeningPacket(aNow, aPacket);
      SendDueReports(aNow);
    }
    return TakeActions();
  }
  const Upstream* upstream = mDirectory.FindUpstream(aPacket.mCookie);
  if (upstream == nullptr) {
    ++mCounters.mUnknownCookie;
    Log(6101,
        absl::StrCat(DescribeFlow(aPacket.mKey),
                     " seq=",
                     aPacket.mSequence,
                     " cookie=",
                     aPacket.mCookie,
                     " replica=",
                     mDirectory.ConfirmedRevision()));
    return TakeActions();
  }
  const FlowProgress progress = TrackProgress(aNow, aPacket, *upstream);
  if (!ResetIfStalled(aNow, aPacket, *upstream, progress)) {
    ForwardTo(*upstream, aPacket.mBytes);
  }
  return TakeActions();
}

void
FlowBalancer::ForwardTo(const Upstream& aUpstream, std::string_view aBytes)
{
  mActions.push_back(ForwardPacket{ aUpstream.mRecord.mAddress,
                                    aUpstream.mRecord.mInstance,
                                    aUpstream.mCookie,
                                    std::string(aBytes) });
}

FlowProgress
FlowBalancer::TrackProgress(TimePoint aNow,
                            const Packet& aPacket,
                            const Upstream& aUpstream)
{
  const FlowProgress progress =
    mFlowTracker.TrackPacket(aNow, aPacket, aUpstream.mCookie);
  const auto pending = mPendingByKey.find(aPacket.mKey);
  if (pending != mPendingByKey.end()) {
    RemovePending(pending->second);
  }
  if (progress.mHandshake) {
    ++mCounters.mEstablished;
    mActions.push_back(
      ObserveLatency{ LatencyKind::Handshake, *progress.mHandshake });
    const Duration error = *progress.mHandshake - mMeanHandshake;
    mMeanHandshake += error / 16;
    mHandshakeDeviation +=
      ((error < Duration(0) ? -error : error) - mHandshakeDeviation) / 8;
  }
  if (progress.mShowsAnswer) {
    RecordAnswer(aNow, aUpstream, progress);
  }
  if (!progress.mTimeToFirstByte && !progress.mReleased &&
      !progress.mCompleteAnswer) {
    return progress;
  }
  BrokerSession& session = SessionOf(aUpstream.mRecord.mService);
  if (progress.mCompleteAnswer) {
    mWorkEstimator.AddAnswer(
      aNow,
      RouteId(aPacket.mKey.mService),
      aUpstream.mCookie,
      ToMilliseconds(progress.mCompleteAnswer->mProcessingTime));
  }
  if (progress.mCompleteAnswer &&
      session.mCompleteAnswers.size() < kMaxQueuedCompleteAnswers) {
    session.mCompleteAnswers.push_back(
      { aUpstream.mCookie,
        RouteId(aPacket.mKey.mService),
        ToMilliseconds(progress.mCompleteAnswer->mProcessingTime),
        progress.mCompleteAnswer->mBytes });
  }
  if (progress.mTimeToFirstByte) {
    mActions.push_back(
      ObserveLatency{ LatencyKind::Answer, *progress.mTimeToFirstByte });
  }
  if (progress.mTimeToFirstByte || progress.mReleased) {
    ScheduleReport(aNow, session, kReleaseReportDelay);
  }
  return progress;
}

// Timers

Duration
FlowBalancer::HandshakeTimeout(TimePoint aNow) const
{
  if (aNow - mFleet.DomainMembersChangedAt() < kFabricSettleTime) {
    return kMaxHandshakeTimeout;
  }
  const Duration limit = mMeanHandshake + 6 * mHandshakeDeviation;
  return std::clamp<Duration>(
           limit, kMinHandshakeTimeout, kMaxHandshakeTimeout) +
         std::min<Duration>(2 * mTimerLag, kMaxHandshakeTimeout);
}

void
FlowBalancer::CheckPendingFlows(TimePoint aNow)
{
  std::vector<uint64_t> timedOut;
  std::map<uint32_t, bool> servicesToReport;
  const Duration limit = HandshakeTimeout(aNow);
  for (auto& [id, pending] : mPendingFlows) {
    if (aNow - pending.mFirstSentAt >= kOpeningTimeout) {
      timedOut.push_back(id);
      continue;
    }
    const bool isSilent =
      pending.mUpstream != 0 && aNow - pending.mOfferedAt >= limit;
    if (!isSilent || pending.mOfferCount >= kMaxOffers) {
      continue;
    }
    Log(4102,
        absl::StrCat(DescribeFlow(pending.mKey),
                     " seq=",
                     pending.mSequence,
                     " upstream_cookie=",
                     pending.mUpstream,
                     " silent_ms=",
                     ToMilliseconds(aNow - pending.mOfferedAt).count(),
                     " limit_ms=",
                     ToMilliseconds(limit).count()));
    mBrokerSessions[pending.mServiceId].mUnresponsive.push_back(
      pending.mUpstream);
    Exclude(pending, pending.mUpstream);
    pending.mUpstream = 0;
    pending.mIsRequested = false;
    mFlowTracker.RemoveFlow(pending.mKey);
    servicesToReport[pending.mServiceId] = true;
  }
  for (const uint64_t id : timedOut) {
    mFlowTracker.RemoveFlow(mPendingFlows.at(id).mKey);
    RemovePending(id);
  }
  for (const auto& [service, isWaiting] : servicesToReport) {
    SendReport(aNow, service, mBrokerSessions[service]);
  }
}

void
FlowBalancer::CheckTrackedFlows(TimePoint aNow)
{
  const FlowTracker::Expired expired = mFlowTracker.Expire(aNow);
  // The fabric may have moved the packets of some flows to other balancers.
  const bool mayHaveMoved =
    aNow - mFleet.DomainMembersChangedAt() <
    kFabricSettleTime + mFlowTracker.UnansweredTimeout();
  if (mayHaveMoved) {
    return;
  }
  for (const Cookie it : expired.mUnanswered) {
    const Upstream* upstream = mDirectory.FindUpstream(it);
    if (upstream == nullptr) {
      continue;
    }
    BrokerSession& session = SessionOf(upstream->mRecord.mService);
    if (session.mUnanswered.size() < kMaxUnansweredPerReport) {
      session.mUnanswered.push_back(it);
    }
  }
}

FlowActions
FlowBalancer::OnTimer(TimePoint aNow)
{
  if (aNow > mExpectedTimer && mExpectedTimer != TimePoint{}) {
    mTimerLag = std::max(mTimerLag, aNow - mExpectedTimer);
  }
  mTimerLag -= mTimerLag / 8;
  RouteDeferredFlows(aNow);
  CheckPendingFlows(aNow);
  mBroker.SetIsolated(IsIsolated(aNow));
  mBroker.SetKnownBalancers(mFleet.KnownCount());
  CheckBrokerAge(aNow);
  CheckBrokerChanges(aNow);
  CheckBrokerTimeouts(aNow);
  if (aNow >= mNextHousekeeping) {
    mNextHousekeeping = aNow + kHousekeepingInterval;
    CheckTrackedFlows(aNow);
    ExpireStalls(aNow);
    SetStallConditions(aNow);
    mDirectory.Expire(aNow);
    ScheduleColdReports(aNow);
    for (Event& it : mFleet.Expire(aNow)) {
      mActions.push_back(LogLine{ std::move(it) });
    }
    UpdateSilentDomains(aNow);
    if (!IsHeldBack(aNow)) {
      DeliverReplies(aNow, mBroker.Tick(aNow, mDirectory));
    }
    mWorkEstimator.PurgeUnused(aNow);
  }
  mFleet.SetReady(aNow, IsReady());
  if (auto round = mFleet.TakeDueRound(aNow)) {
    round->mHeartbeat.mConfirmed = mDirectory.ConfirmedRevision();
    round->mHeartbeat.mNewest = mDirectory.NewestRevision();
    round->mHeartbeat.mCompleteSince = mDirectory.CompleteSince();
    round->mHeartbeat.mConfirmedAge =
      ToMilliseconds(aNow - mDirectory.ConfirmedAt());
    for (const VmIp it : round->mTargets) {
      mActions.push_back(SendToPeer{ it, round->mHeartbeat });
    }
  }
  StartReadIfDue(aNow);
  mExpectedTimer = NextDue(aNow);
  return TakeActions();
}

FlowActions
FlowBalancer::OnIteration(TimePoint aNow)
{
  const Duration gap = aNow - mLastIteration.value_or(aNow);
  mLastIteration = aNow;
  if (gap >= kMinPause) {
    ResumeAfter(aNow, gap);
  }
  return TakeActions();
}

void
FlowBalancer::ResumeAfter(TimePoint aNow, Duration aPause)
{
  Log(1105,
      absl::StrCat("paused_ms=",
                   ToMilliseconds(aPause).count(),
                   " flows=",
                   mFlowTracker.FlowCount(),
                   " waiting=",
                   mPendingFlows.size(),
                   " replica=",
                   mDirectory.ConfirmedRevision(),
                   " age_ms=",
                   ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count()));
  mResumedAt = aNow;
  mExpectedTimer = {};
  // The silence of callers, upstreams and brokers meanwhile tells nothing about
  // them.
  mPendingFlows.clear();
  mPendingByKey.clear();
  mFlowTracker = {};
  mStalledUpstreams = {};
  mBroker = SlotBroker(mSettings.mRandomSeed + 1, mSettings.mColdStart);
  mBroker.SetCostAware(mSettings.mIsCostAware);
  for (auto& [service, session] : mBrokerSessions) {
    BrokerSession renewed;
    renewed.mName = session.mName;
    // Brokers ignore reports that seem older than the last one.
    renewed.mSequence = session.mSequence;
    renewed.mGrantsSeen = session.mGrantsSeen;
    session = std::move(renewed);
  }
  mFleet.OnPause(aNow, aPause);
  mHasRoutedDeferred = false;
  mNextRead = aNow;
  StartReadIfDue(aNow);
}

bool
FlowBalancer::IsHolding(TimePoint aNow) const
{
  const bool isOldAtStart = aNow - mStarted < kMaxHold &&
                            aNow - mDirectory.ConfirmedAt() >= kMaxStartAge;
  // A confirmation that is less than kMinPause older than the end of the pause
  // was received after it.
  const bool isOldAfterPause =
    mResumedAt && aNow - *mResumedAt < kMaxHold &&
    mDirectory.ConfirmedAt() <= *mResumedAt - kMinPause;
  return isOldAtStart || isOldAfterPause;
}

TimePoint
FlowBalancer::NextDue(TimePoint aNow) const
{
  TimePoint due = std::min(mFleet.NextHeartbeatAt(), mNextHousekeeping);
  if (!CanPlace(aNow)) {
    due = std::min(due, std::max(mNextRead, aNow + kStartupPollInterval));
  }
  const Duration limit = HandshakeTimeout(aNow);
  for (const auto& [id, pending] : mPendingFlows) {
    const bool isOffered =
      pending.mUpstream != 0 && pending.mOfferCount < kMaxOffers;
    if (isOffered) {
      due = std::min(due, pending.mOfferedAt + limit);
    }
  }
  for (const auto& [service, session] : mBrokerSessions) {
    if (session.mNextReport) {
      due = std::min(due, *session.mNextReport);
    }
    if (session.mUnansweredSince) {
      due = std::min(due, *session.mUnansweredSince + kReportRetryDelay);
    }
  }
  return due;
}

void
FlowBalancer::SetSeeds(const std::vector<VmIp>& aSeeds)
{
  mSettings.mSeeds = aSeeds;
  mFleet.SetSeeds(aSeeds);
}

void
FlowBalancer::Leave()
{
  mIsLeaving = true;
}

} // namespace foxtail::flow

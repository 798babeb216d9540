#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"

// The part of FlowBalancer that reports to the brokers of services and handles
// their replies.
namespace foxtail::flow {

FlowBalancer::BrokerSession&
FlowBalancer::SessionOf(const std::string& aService)
{
  BrokerSession& session = mBrokerSessions[ServiceId(aService)];
  session.mName = aService;
  return session;
}

void
FlowBalancer::ScheduleReport(TimePoint aNow,
                             BrokerSession& aSession,
                             Duration aDelay)
{
  const TimePoint due = aNow + aDelay;
  if (!aSession.mNextReport || *aSession.mNextReport > due) {
    aSession.mNextReport = due;
  }
}

void
FlowBalancer::SendReport(TimePoint aNow,
                         uint32_t aService,
                         BrokerSession& aSession)
{
  const VmIp broker = BrokerFor(aNow, aService);
  if (broker == mFleet.Self().mIp && IsHeldBack(aNow)) {
    aSession.mNextReport = aNow + kHeldBackRetryDelay;
    aSession.mNeedsFullReport = true;
    return;
  }
  aSession.mNeedsFullReport |= aNow >= aSession.mNextFullReport;
  if (broker != aSession.mBroker) {
    Log(4101,
        absl::StrCat("service=",
                     aSession.mName,
                     " broker=",
                     Address{ broker, 0 }.IpString(),
                     " members=",
                     mFleet.AliveCount(aNow)));
    aSession.mBroker = broker;
    aSession.mFailedTries = 0;
    aSession.mNeedsFullReport = true;
  }
  SlotReport report;
  report.mIncarnation = mFleet.Self().mIncarnation;
  report.mSequence = ++aSession.mSequence;
  report.mServiceId = aService;
  report.mDomain = mFleet.Self().mDomain;
  report.mGrantsSeen = aSession.mGrantsSeen;
  report.mNewest = mDirectory.NewestRevision();
  report.mRejected = std::exchange(aSession.mRejected, {});
  for (const Cookie it : mDirectory.UpstreamsOf(aSession.mName)) {
    const uint32_t held = mFlowTracker.HeldSlots(it);
    if (held > 0) {
      report.mHeld.push_back(
        { it, held, mFlowTracker.RemainingWork(aNow, it, mWorkEstimator) });
    }
  }
  size_t waiting = 0;
  size_t unsentRequests = 0;
  for (auto& [id, pending] : mPendingFlows) {
    if (pending.mServiceId != aService || pending.mUpstream != 0) {
      continue;
    }
    ++waiting;
    // A full report requests grants for all waiting flows again. It is due for
    // a new broker, after an overdue reply and every kReportInterval.
    pending.mIsRequested = pending.mIsRequested && !aSession.mNeedsFullReport;
    if (pending.mIsRequested) {
      continue;
    }
    if (report.mRequests.size() == kMaxRequestsPerReport) {
      ++unsentRequests;
      continue;
    }
    pending.mIsRequested = true;
    report.mRequests.push_back({ id,
                                 ToMilliseconds(aNow - pending.mFirstSentAt),
                                 pending.mObjective,
                                 pending.mPriority,
                                 pending.mKey.mCaller.mIp,
                                 pending.mIsIdempotent,
                                 pending.mExcluded,
                                 RouteId(pending.mKey.mService) });
  }
  // A full report that had to be cut must not make the broker drop the flows
  // that it omits.
  report.mListsAllRequests = aSession.mNeedsFullReport && unsentRequests == 0;
  report.mUnresponsive = std::move(aSession.mUnresponsive);
  FillStallReport(aSession, report);
  const auto answers = aSession.mCompleteAnswers.begin();
  const auto reportedEnd =
    answers + static_cast<ptrdiff_t>(std::min(aSession.mCompleteAnswers.size(),
                                              kMaxCompleteAnswersPerReport));
  report.mUnansweredRequests = std::exchange(aSession.mUnanswered, {});
  report.mCompleteAnswers.assign(answers, reportedEnd);
  aSession.mCompleteAnswers.erase(answers, reportedEnd);
  aSession.mUnresponsive.clear();
  if (!report.mRequests.empty()) {
    aSession.mLastRequestSequence = report.mSequence;
    if (!aSession.mUnansweredSince) {
      aSession.mUnansweredSince = aNow;
    }
  }
  aSession.mNextReport.reset();
  const bool isActive = waiting > 0 || !report.mHeld.empty();
  if (isActive) {
    aSession.mNextReport =
      aNow + (unsentRequests > 0 ? Duration(kQueuedRequestDelay)
                                 : Duration(kReportInterval));
  }
  ScheduleStallReport(aNow, aSession);
  if (aSession.mNeedsFullReport) {
    aSession.mNextFullReport = aNow + kReportInterval;
  }
  aSession.mNeedsFullReport = false;
  if (broker == mFleet.Self().mIp) {
    DeliverReplies(aNow,
                   mBroker.HandleReport(aNow,
                                        broker,
                                        report,
                                        aSession.mName,
                                        mDirectory,
                                        ExpectedReporters(aNow)));
    return;
  }
  mActions.push_back(SendToPeer{ broker, std::move(report) });
}

void
FlowBalancer::DeliverReplies(TimePoint aNow,
                             const std::vector<SlotBroker::Reply>& aReplies)
{
  for (Event& it : mBroker.TakeEvents()) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  for (const SlotBroker::Reply& it : aReplies) {
    if (it.mTo == mFleet.Self().mIp) {
      OnMessage(aNow, it.mTo, it.mReply);
    } else {
      SlotReply reply = it.mReply;
      reply.mNewest = mDirectory.NewestRevision();
      mActions.push_back(SendToPeer{ it.mTo, std::move(reply) });
    }
  }
}

FlowActions
FlowBalancer::OnPeerMessage(TimePoint aNow,
                            VmIp aFrom,
                            const PeerMessage& aMessage)
{
  if (!IsInBacklog(aNow)) {
    std::visit([&](const auto& it) { OnMessage(aNow, aFrom, it); }, aMessage);
  }
  return TakeActions();
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const SlotReport& aReport)
{
  LearnNewest(aNow, aFrom, aReport.mNewest);
  if (IsHeldBack(aNow)) {
    mCounters.mWithheldReplies += aReport.mRequests.empty() ? 0 : 1;
    return;
  }
  const auto session = mBrokerSessions.find(aReport.mServiceId);
  std::string service;
  if (session != mBrokerSessions.end()) {
    service = session->second.mName;
  } else if (mDirectory.CurrentConfiguration()) {
    for (const Route& route : mDirectory.CurrentConfiguration()->mRoutes) {
      for (const RouteTarget& it : route.mTargets) {
        if (ServiceId(it.mService) == aReport.mServiceId) {
          service = it.mService;
        }
      }
    }
  }
  // A balancer that does not know the service, or has no usable replica, sends
  // no reply, so that the sender turns to the next broker.
  if (!service.empty() && mDirectory.IsUsable() && !IsHolding(aNow)) {
    DeliverReplies(
      aNow,
      mBroker.HandleReport(
        aNow, aFrom, aReport, service, mDirectory, ExpectedReporters(aNow)));
  }
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const SlotReply& aReply)
{
  const auto it = mBrokerSessions.find(aReply.mServiceId);
  const bool isExpected = it != mBrokerSessions.end() &&
                          aReply.mIncarnation == mFleet.Self().mIncarnation &&
                          aFrom == it->second.mBroker;
  if (!isExpected) {
    return;
  }
  LearnNewest(aNow, aFrom, aReply.mNewest);
  // A broker with an old replica may not know yet that there is a newer one.
  // Its reply counts as missing, so that the next broker is asked.
  if (IsHeldBack(aNow) && aReply.mNewest < mBrokerAge.Announced()) {
    return;
  }
  BrokerSession& session = it->second;
  session.mFailedTries = 0;
  TakeStalledUpstreams(aNow, session, aReply);
  mFleet.ResetSuspicion(aFrom);
  session.mUnansweredSince.reset();
  // A later report with requests is still unanswered; its time-out starts
  // again.
  if (aReply.mSequence < session.mLastRequestSequence) {
    session.mUnansweredSince = aNow;
  }
  for (const SlotGrant& grant : aReply.mGrants) {
    session.mGrantsSeen = std::max(session.mGrantsSeen, grant.mNumber);
    const auto pending = mPendingFlows.find(grant.mId);
    const bool isWaiting =
      pending != mPendingFlows.end() && pending->second.mUpstream == 0;
    if (isWaiting) {
      Offer(aNow, pending->second, grant.mUpstream, aReply.mNewest);
    }
  }
  // Confirms the grants soon; until then the broker repeats them.
  if (!aReply.mGrants.empty()) {
    ScheduleReport(aNow, session, kReleaseReportDelay);
  }
  for (const uint64_t id : aReply.mRefused) {
    const auto pending = mPendingFlows.find(id);
    const bool isWaiting =
      pending != mPendingFlows.end() && pending->second.mUpstream == 0;
    if (!isWaiting) {
      continue;
    }
    if (IsRefusalOutdated(aNow, pending->second, aReply.mNewest)) {
      // The next full report requests a grant again.
      continue;
    }
    RefuseNoSlot(aNow, pending->second, "no-slot");
    RemovePending(id);
  }
  session.mIsQueueing =
    std::any_of(mPendingFlows.begin(), mPendingFlows.end(), [&](const auto& n) {
      return n.second.mServiceId == aReply.mServiceId &&
             n.second.mUpstream == 0;
    });
}

bool
FlowBalancer::IsIsolated(TimePoint aNow) const
{
  const bool hasSeeds =
    std::any_of(mSettings.mSeeds.begin(), mSettings.mSeeds.end(), [&](VmIp it) {
      return it != mSettings.mSelf.mIp;
    });
  return hasSeeds && mFleet.AliveCount(aNow) == 1;
}

size_t
FlowBalancer::ExpectedReporters(TimePoint aNow) const
{
  const bool brokersChangedRecently =
    aNow - mFleet.BrokersChangedAt() < kBrokerTakeoverTime;
  return brokersChangedRecently ? mFleet.ReadyCount(aNow) : 0;
}

void
FlowBalancer::CheckBrokerChanges(TimePoint aNow)
{
  if (mFleet.BrokersChangedAt() == mHandledBrokerChange || !CanPlace(aNow)) {
    return;
  }
  mHandledBrokerChange = mFleet.BrokersChangedAt();
  for (auto& [service, session] : mBrokerSessions) {
    if (BrokerFor(aNow, service) != session.mBroker) {
      SendReport(aNow, service, session);
    }
  }
}

void
FlowBalancer::ScheduleColdReports(TimePoint aNow)
{
  if (!CanPlace(aNow)) {
    return;
  }
  for (const ServiceSettings& it :
       mDirectory.CurrentConfiguration()->mServices) {
    if (it.mColdRequestsPerSecond <= 0) {
      continue;
    }
    BrokerSession& session = SessionOf(it.mName);
    if (!session.mNextReport) {
      session.mNextReport = aNow + kColdReportInterval;
    }
  }
}

void
FlowBalancer::CheckBrokerTimeouts(TimePoint aNow)
{
  for (auto& [service, session] : mBrokerSessions) {
    const bool isOverdue =
      session.mUnansweredSince &&
      aNow - *session.mUnansweredSince >= kReportRetryDelay;
    if (isOverdue) {
      session.mUnansweredSince.reset();
      ++mCounters.mBrokerTimeouts;
      session.mNeedsFullReport = true;
      if (++session.mFailedTries >= kMaxReportTries) {
        Log(4103,
            absl::StrCat("service=",
                         session.mName,
                         " broker=",
                         Address{ session.mBroker, 0 }.IpString(),
                         " tries=",
                         session.mFailedTries));
        mFleet.SuspectBroker(aNow, session.mBroker);
      }
      SendReport(aNow, service, session);
    }
  }
  SendDueReports(aNow);
}

void
FlowBalancer::SendDueReports(TimePoint aNow)
{
  for (auto& [service, session] : mBrokerSessions) {
    if (session.mNextReport && *session.mNextReport <= aNow) {
      SendReport(aNow, service, session);
    }
  }
}

} // namespace foxtail::flow

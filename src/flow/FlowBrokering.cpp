#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "flow/Conversions.h"

// The part of FlowBalancer that speaks with the brokers of services.
namespace foxtail::flow {

FlowBalancer::Account&
FlowBalancer::AccountOf(const std::string& aService)
{
  Account& account = mAccounts[ServiceId(aService)];
  account.mName = aService;
  return account;
}

void
FlowBalancer::RequestReport(TimePoint aNow, Account& aAccount, Duration aDelay)
{
  const TimePoint due = aNow + aDelay;
  if (!aAccount.mDue || *aAccount.mDue > due) {
    aAccount.mDue = due;
  }
}

void
FlowBalancer::Report(TimePoint aNow, uint32_t aService, Account& aAccount)
{
  const VmIp broker = mFleet.BrokerOf(aNow, aService);
  aAccount.mMustTellAll |= aNow >= aAccount.mNextWhole;
  if (broker != aAccount.mBroker) {
    Log(4101,
        absl::StrCat("service=",
                     aAccount.mName,
                     " broker=",
                     Address{ broker, 0 }.IpString(),
                     " members=",
                     mFleet.AliveCount(aNow)));
    aAccount.mBroker = broker;
    aAccount.mTries = 0;
    aAccount.mMustTellAll = true;
  }
  SlotReport report;
  report.mIncarnation = mFleet.Self().mIncarnation;
  report.mSequence = ++aAccount.mSequence;
  report.mService = aService;
  report.mDomain = mFleet.Self().mDomain;
  report.mGrantsSeen = aAccount.mGrantsSeen;
  for (const Cookie it : mDirectory.UpstreamsOf(aAccount.mName)) {
    const uint32_t held = mFlowTracker.HeldSlots(it);
    if (held > 0) {
      report.mHeld.push_back({ it, held });
    }
  }
  size_t waiting = 0;
  size_t unasked = 0;
  for (auto& [id, pending] : mPendingFlows) {
    if (pending.mService != aService || pending.mUpstream != 0) {
      continue;
    }
    ++waiting;
    // After a reply that is overdue or a period, everything is said again.
    pending.mIsRequested = pending.mIsRequested && !aAccount.mMustTellAll;
    if (pending.mIsRequested) {
      continue;
    }
    if (report.mRequests.size() == kMaxRequestsPerReport) {
      ++unasked;
      continue;
    }
    pending.mIsRequested = true;
    report.mRequests.push_back({ id,
                                 ToMilliseconds(aNow - pending.mArrived),
                                 pending.mObjective,
                                 pending.mPriority,
                                 pending.mKey.mCaller.mIp,
                                 pending.mIsIdempotent,
                                 pending.mExcluded });
  }
  report.mIsWhole = aAccount.mMustTellAll && unasked == 0;
  report.mSilent = std::move(aAccount.mSilent);
  report.mAnswers = std::move(aAccount.mAnswers);
  const auto shapes = aAccount.mShapes.begin();
  const auto told =
    shapes + static_cast<ptrdiff_t>(
               std::min(aAccount.mShapes.size(), kMaxCompleteAnswersPerReport));
  report.mUnanswered = std::exchange(aAccount.mUnanswered, {});
  report.mShapes.assign(shapes, told);
  aAccount.mShapes.erase(shapes, told);
  aAccount.mSilent.clear();
  aAccount.mAnswers.clear();
  if (!report.mRequests.empty()) {
    aAccount.mLastAsked = report.mSequence;
    if (!aAccount.mAwaitsSince) {
      aAccount.mAwaitsSince = aNow;
    }
  }
  aAccount.mDue.reset();
  const bool isActive = waiting > 0 || !report.mHeld.empty();
  if (isActive) {
    aAccount.mDue = aNow + (unasked > 0 ? Duration(kQueuedRequestDelay)
                                        : Duration(kReportInterval));
  }
  if (aAccount.mMustTellAll) {
    aAccount.mNextWhole = aNow + kReportInterval;
  }
  aAccount.mMustTellAll = false;
  if (broker == mFleet.Self().mIp) {
    Deliver(aNow,
            mBroker.Take(aNow,
                         broker,
                         report,
                         aAccount.mName,
                         mDirectory,
                         ExpectedReports(aNow)));
    return;
  }
  mActions.push_back(SendToPeer{ broker, std::move(report) });
}

void
FlowBalancer::Deliver(TimePoint aNow,
                      const std::vector<SlotBroker::Reply>& aReplies)
{
  for (Event& it : mBroker.TakeEvents()) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  for (const SlotBroker::Reply& it : aReplies) {
    if (it.mTo == mFleet.Self().mIp) {
      OnMessage(aNow, it.mTo, it.mReply);
    } else {
      mActions.push_back(SendToPeer{ it.mTo, it.mReply });
    }
  }
}

FlowActions
FlowBalancer::OnPeerMessage(TimePoint aNow,
                            VmIp aFrom,
                            const PeerMessage& aMessage)
{
  std::visit([&](const auto& it) { OnMessage(aNow, aFrom, it); }, aMessage);
  return TakeActions();
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const SlotReport& aReport)
{
  const auto account = mAccounts.find(aReport.mService);
  std::string service;
  if (account != mAccounts.end()) {
    service = account->second.mName;
  } else if (mDirectory.CurrentConfiguration()) {
    for (const Route& route : mDirectory.CurrentConfiguration()->mRoutes) {
      for (const RouteTarget& it : route.mTargets) {
        if (ServiceId(it.mService) == aReport.mService) {
          service = it.mService;
        }
      }
    }
  }
  // A broker that does not know the service stays silent: the sender turns to
  // the next one.
  if (!service.empty() && mDirectory.IsUsable()) {
    Deliver(
      aNow,
      mBroker.Take(
        aNow, aFrom, aReport, service, mDirectory, ExpectedReports(aNow)));
  }
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const SlotReply& aReply)
{
  const auto it = mAccounts.find(aReply.mService);
  const bool isMine = it != mAccounts.end() &&
                      aReply.mIncarnation == mFleet.Self().mIncarnation &&
                      aFrom == it->second.mBroker;
  if (!isMine) {
    return;
  }
  Account& account = it->second;
  account.mTries = 0;
  mFleet.ResetSuspicion(aFrom);
  account.mAwaitsSince.reset();
  if (aReply.mSequence < account.mLastAsked) {
    account.mAwaitsSince = aNow;
  }
  for (const SlotGrant& grant : aReply.mGrants) {
    account.mGrantsSeen = std::max(account.mGrantsSeen, grant.mNumber);
    const auto pending = mPendingFlows.find(grant.mId);
    const bool waits =
      pending != mPendingFlows.end() && pending->second.mUpstream == 0;
    if (waits) {
      Offer(aNow, pending->second, grant.mUpstream);
    }
  }
  if (!aReply.mGrants.empty()) {
    RequestReport(aNow, account, kReleaseReportDelay);
  }
  for (const uint64_t id : aReply.mRefused) {
    const auto pending = mPendingFlows.find(id);
    const bool waits =
      pending != mPendingFlows.end() && pending->second.mUpstream == 0;
    if (waits) {
      Refuse(aNow, pending->second, "no-slot");
      RemovePending(id);
    }
  }
  account.mIsQueueing =
    std::any_of(mPendingFlows.begin(), mPendingFlows.end(), [&](const auto& n) {
      return n.second.mService == aReply.mService && n.second.mUpstream == 0;
    });
}

bool
FlowBalancer::IsAlone(TimePoint aNow) const
{
  const bool hasSeeds =
    std::any_of(mSettings.mSeeds.begin(), mSettings.mSeeds.end(), [&](VmIp it) {
      return it != mSettings.mSelf.mIp;
    });
  return hasSeeds && mFleet.AliveCount(aNow) == 1;
}

size_t
FlowBalancer::ExpectedReports(TimePoint aNow) const
{
  const bool isNew = aNow - mFleet.BrokersChangedAt() < kBrokerTakeoverTime;
  return isNew ? mFleet.ReadyCount(aNow) : 0;
}

void
FlowBalancer::CheckBrokers(TimePoint aNow)
{
  if (mFleet.BrokersChangedAt() == mSeenChange || !CanPlace(aNow)) {
    return;
  }
  mSeenChange = mFleet.BrokersChangedAt();
  for (auto& [service, account] : mAccounts) {
    if (mFleet.BrokerOf(aNow, service) != account.mBroker) {
      Report(aNow, service, account);
    }
  }
}

void
FlowBalancer::CheckAccounts(TimePoint aNow)
{
  for (auto& [service, account] : mAccounts) {
    const bool isLate =
      account.mAwaitsSince && aNow - *account.mAwaitsSince >= kReportRetryDelay;
    if (isLate) {
      account.mAwaitsSince.reset();
      ++mCounters.mBrokerTimeouts;
      account.mMustTellAll = true;
      if (++account.mTries >= kMaxReportTries) {
        Log(4103,
            absl::StrCat("service=",
                         account.mName,
                         " broker=",
                         Address{ account.mBroker, 0 }.IpString(),
                         " tries=",
                         account.mTries));
        mFleet.SuspectBroker(aNow, account.mBroker);
      }
      Report(aNow, service, account);
    }
  }
  ReportDue(aNow);
}

void
FlowBalancer::ReportDue(TimePoint aNow)
{
  for (auto& [service, account] : mAccounts) {
    if (account.mDue && *account.mDue <= aNow) {
      Report(aNow, service, account);
    }
  }
}

} // namespace foxtail::flow

#include "foxtail/flow/FlowBalancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"

namespace foxtail::flow {

namespace {

// How often silent flows, members and upstreams are looked for.
constexpr milliseconds kHousekeeping{ 50 };
// Seeds the hash that splits a route's flows over its services.
constexpr uint64_t kSplitSeed = 0x5917;

milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime);
}

uint32_t
ServiceId(const std::string& aName)
{
  return static_cast<uint32_t>(StableHash(aName));
}

// The service that a flow of this route goes to; the same for every copy of
// its opening packet, at every balancer. Empty without a target.
std::string
PickService(const Route& aRoute, const FlowKey& aKey)
{
  uint64_t total = 0;
  for (const RouteTarget& it : aRoute.mTargets) {
    total += it.mWeight;
  }
  if (total == 0) {
    return "";
  }
  uint64_t at = MixHash(aKey.Hash(), kSplitSeed) % total;
  for (const RouteTarget& it : aRoute.mTargets) {
    if (at < it.mWeight) {
      return it.mService;
    }
    at -= it.mWeight;
  }
  return "";
}

// Callers send copies of an opening packet and count them in a field that has
// no other use there; so long ago the first one was sent.
Duration
AgeOfCopy(const Packet& aPacket)
{
  constexpr milliseconds kCopyTimes[] = { milliseconds(0),
                                          milliseconds(200),
                                          milliseconds(600) };
  return kCopyTimes[std::min(aPacket.mAcknowledgement, 2U)];
}

std::string
FlowText(const FlowKey& aKey)
{
  return absl::StrCat("caller=",
                      aKey.mCaller.ToString(),
                      " service_address=",
                      aKey.mService.ToString());
}

} // namespace

FlowBalancer::FlowBalancer(TimePoint aNow,
                           const FlowBalancerSettings& aSettings)
  : mSettings(aSettings)
  , mFleet(aSettings.mSelf, aSettings.mSeeds, aSettings.mSeed)
  , mBroker(aSettings.mSeed + 1)
  , mStarted(aNow)
  , mNextRead(aNow)
  , mNextHousekeeping(aNow)
{
  mIsSeed = std::find(aSettings.mSeeds.begin(),
                      aSettings.mSeeds.end(),
                      aSettings.mSelf.mIp) != aSettings.mSeeds.end();
  if (!mIsSeed) {
    mNextRead = aNow + kPeersFirst;
  }
  mFleet.SetReady(aNow, false);
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

// Packets.

FlowActions
FlowBalancer::OnPacket(TimePoint aNow, const Packet& aPacket)
{
  ++mCounters.mPackets;
  if (aPacket.mOpens) {
    // An upstream's answer has no business here.
    if (!aPacket.mAcknowledges) {
      Open(aNow, aPacket);
      ReportDue(aNow);
    }
    return TakeActions();
  }
  const Upstream* upstream = mDirectory.FindUpstream(aPacket.mCookie);
  if (upstream == nullptr) {
    ++mCounters.mUnknownCookie;
    Log(6101,
        absl::StrCat(FlowText(aPacket.mKey),
                     " seq=",
                     aPacket.mSequence,
                     " cookie=",
                     aPacket.mCookie,
                     " replica=",
                     mDirectory.Confirmed()));
    return TakeActions();
  }
  Progress(aNow, aPacket, *upstream);
  ForwardTo(*upstream, aPacket.mBytes);
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

void
FlowBalancer::Progress(TimePoint aNow,
                       const Packet& aPacket,
                       const Upstream& aUpstream)
{
  const FlowProgress progress = mLedger.Pass(aNow, aPacket, aUpstream.mCookie);
  const auto opening = mOpeningByKey.find(aPacket.mKey);
  if (opening != mOpeningByKey.end()) {
    Close(opening->second);
  }
  if (progress.mHandshake) {
    ++mCounters.mOpened;
    mActions.push_back(ObserveTime{ Measure::Handshake, *progress.mHandshake });
    const Duration error = *progress.mHandshake - mHandshake;
    mHandshake += error / 16;
    mHandshakeDeviation +=
      ((error < Duration(0) ? -error : error) - mHandshakeDeviation) / 8;
  }
  if (!progress.mAnswer && !progress.mReleased) {
    return;
  }
  Account& account = AccountOf(aUpstream.mRecord.mService);
  if (progress.mAnswer) {
    mActions.push_back(ObserveTime{ Measure::Answer, *progress.mAnswer });
    account.mAnswers.push_back(
      { aUpstream.mCookie, ToMilliseconds(*progress.mAnswer) });
  }
  RequestReport(aNow, account, kReleaseDelay);
}

void
FlowBalancer::Open(TimePoint aNow, const Packet& aPacket)
{
  ++mCounters.mOpenings;
  RouteWaiting(aNow);
  const auto known = mOpeningByKey.find(aPacket.mKey);
  if (known != mOpeningByKey.end()) {
    OpenAgain(aNow, mOpenings.at(known->second));
    return;
  }
  Opening opening;
  opening.mId = ++mLastOpening;
  opening.mKey = aPacket.mKey;
  opening.mBytes = std::string(aPacket.mBytes);
  opening.mSequence = aPacket.mSequence;
  opening.mArrived = aNow - AgeOfCopy(aPacket);
  mOpeningByKey[opening.mKey] = opening.mId;
  Opening& entry = mOpenings[opening.mId] = std::move(opening);
  // Until it knows where flows go, a starting balancer keeps them waiting.
  if (CanPlace(aNow)) {
    ResolveRoute(aNow, entry);
  }
}

bool
FlowBalancer::CanPlace(TimePoint aNow) const
{
  return mDirectory.IsUsable() && aNow - mStarted >= kSettle;
}

void
FlowBalancer::ResolveRoute(TimePoint aNow, Opening& aOpening)
{
  const Route* route = mDirectory.FindRoute(aOpening.mKey.mService);
  const std::string service =
    route != nullptr ? PickService(*route, aOpening.mKey) : "";
  if (service.empty()) {
    ++mCounters.mRefusedNoRoute;
    const auto& configuration = mDirectory.CurrentConfiguration();
    Log(5102,
        absl::StrCat(FlowText(aOpening.mKey),
                     " seq=",
                     aOpening.mSequence,
                     " reason=no-route version=",
                     configuration ? configuration->mVersion : 0,
                     " age_ms=",
                     ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count()));
    mActions.push_back(ResetFlow{ aOpening.mKey });
    Close(aOpening.mId);
    return;
  }
  aOpening.mService = ServiceId(service);
  aOpening.mObjective = route->mObjective;
  aOpening.mPriority = route->mPriority;
  Account& account = AccountOf(service);
  RequestReport(
    aNow, account, account.mIsQueueing ? Duration(kQueueDelay) : Duration(0));
}

void
FlowBalancer::RouteWaiting(TimePoint aNow)
{
  if (mHasPlaced || !CanPlace(aNow)) {
    return;
  }
  mHasPlaced = true;
  std::vector<uint64_t> ids;
  for (const auto& [id, opening] : mOpenings) {
    ids.push_back(id);
  }
  for (const uint64_t it : ids) {
    ResolveRoute(aNow, mOpenings.at(it));
  }
  ReportDue(aNow);
}

void
FlowBalancer::OpenAgain(TimePoint aNow, Opening& aOpening)
{
  if (aOpening.mUpstream == 0) {
    return;
  }
  const Upstream* upstream = mDirectory.FindUpstream(aOpening.mUpstream);
  if (upstream != nullptr) {
    ForwardTo(*upstream, aOpening.mBytes);
  }
}

void
FlowBalancer::Offer(TimePoint aNow, Opening& aOpening, Cookie aUpstream)
{
  const Upstream* upstream = mDirectory.FindUpstream(aUpstream);
  if (upstream == nullptr) {
    // The broker knows of an upstream that is not known here yet.
    RequestReport(aNow, mAccounts[aOpening.mService], kReleaseDelay);
    return;
  }
  aOpening.mUpstream = aUpstream;
  aOpening.mOfferedAt = aNow;
  ++aOpening.mOffers;
  ++mCounters.mPlaced;
  mCounters.mOfferedAgain += aOpening.mOffers > 1 ? 1 : 0;
  mLedger.Place(aNow, aOpening.mKey, aUpstream);
  mActions.push_back(ObserveTime{ Measure::Wait, aNow - aOpening.mArrived });
  ForwardTo(*upstream, aOpening.mBytes);
  Log(5101,
      absl::StrCat(FlowText(aOpening.mKey),
                   " seq=",
                   aOpening.mSequence,
                   " upstream=",
                   upstream->mRecord.mId,
                   " offer=",
                   aOpening.mOffers,
                   " waited_ms=",
                   ToMilliseconds(aNow - aOpening.mArrived).count(),
                   " held_here=",
                   mLedger.Held(aUpstream),
                   " replica=",
                   mDirectory.Confirmed(),
                   " age_ms=",
                   ToMilliseconds(aNow - mDirectory.ConfirmedAt()).count()));
}

void
FlowBalancer::Refuse(TimePoint aNow,
                     const Opening& aOpening,
                     const char* aReason)
{
  ++mCounters.mRefusedFull;
  Log(5102,
      absl::StrCat(FlowText(aOpening.mKey),
                   " seq=",
                   aOpening.mSequence,
                   " reason=",
                   aReason,
                   " waited_ms=",
                   ToMilliseconds(aNow - aOpening.mArrived).count(),
                   " offers=",
                   aOpening.mOffers,
                   " silent=",
                   MayBeElsewhere(aOpening)));
  if (!MayBeElsewhere(aOpening)) {
    mActions.push_back(ResetFlow{ aOpening.mKey });
  }
}

bool
FlowBalancer::MayBeElsewhere(const Opening& aOpening) const
{
  return aOpening.mOffers > 0 ||
         mFleet.DomainChangedAt() + kRotationSettles > aOpening.mArrived;
}

void
FlowBalancer::Close(uint64_t aId)
{
  const auto it = mOpenings.find(aId);
  if (it != mOpenings.end()) {
    mOpeningByKey.erase(it->second.mKey);
    mOpenings.erase(it);
  }
}

// Brokering.

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
    const uint32_t held = mLedger.Held(it);
    if (held > 0) {
      report.mHeld.push_back({ it, held });
    }
  }
  size_t waiting = 0;
  size_t unasked = 0;
  for (auto& [id, opening] : mOpenings) {
    if (opening.mService != aService || opening.mUpstream != 0) {
      continue;
    }
    ++waiting;
    // After a reply that is overdue or a period, everything is said again.
    opening.mIsAsked = opening.mIsAsked && !aAccount.mMustTellAll;
    if (opening.mIsAsked) {
      continue;
    }
    if (report.mRequests.size() == kMostRequests) {
      ++unasked;
      continue;
    }
    opening.mIsAsked = true;
    report.mRequests.push_back({ id,
                                 ToMilliseconds(aNow - opening.mArrived),
                                 opening.mObjective,
                                 opening.mPriority,
                                 opening.mKey.mCaller.mIp,
                                 opening.mExcluded });
  }
  report.mIsWhole = aAccount.mMustTellAll && unasked == 0;
  report.mSilent = std::move(aAccount.mSilent);
  report.mAnswers = std::move(aAccount.mAnswers);
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
    aAccount.mDue =
      aNow + (unasked > 0 ? Duration(kQueueDelay) : Duration(kReportPeriod));
  }
  if (aAccount.mMustTellAll) {
    aAccount.mNextWhole = aNow + kReportPeriod;
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
  for (const SlotBroker::Reply& it : aReplies) {
    if (it.mTo == mFleet.Self().mIp) {
      OnMessage(aNow, it.mTo, it.mReply);
    } else {
      mActions.push_back(SendToPeer{ it.mTo, it.mReply });
    }
  }
}

FlowActions
FlowBalancer::OnPeer(TimePoint aNow, VmIp aFrom, const PeerMessage& aMessage)
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
  mFleet.Trust(aFrom);
  account.mAwaitsSince.reset();
  if (aReply.mSequence < account.mLastAsked) {
    account.mAwaitsSince = aNow;
  }
  for (const SlotGrant& grant : aReply.mGrants) {
    account.mGrantsSeen = std::max(account.mGrantsSeen, grant.mNumber);
    const auto opening = mOpenings.find(grant.mId);
    const bool waits =
      opening != mOpenings.end() && opening->second.mUpstream == 0;
    if (waits) {
      Offer(aNow, opening->second, grant.mUpstream);
    }
  }
  if (!aReply.mGrants.empty()) {
    RequestReport(aNow, account, kReleaseDelay);
  }
  for (const uint64_t id : aReply.mRefused) {
    const auto opening = mOpenings.find(id);
    const bool waits =
      opening != mOpenings.end() && opening->second.mUpstream == 0;
    if (waits) {
      Refuse(aNow, opening->second, "no-slot");
      Close(id);
    }
  }
  account.mIsQueueing =
    std::any_of(mOpenings.begin(), mOpenings.end(), [&](const auto& n) {
      return n.second.mService == aReply.mService && n.second.mUpstream == 0;
    });
}

// Time.

Duration
FlowBalancer::HandshakeLimit(TimePoint aNow) const
{
  if (aNow - mFleet.DomainChangedAt() < kRotationSettles) {
    return kMostHandshake;
  }
  const Duration limit = mHandshake + 6 * mHandshakeDeviation;
  return std::clamp<Duration>(limit, kLeastHandshake, kMostHandshake) +
         std::min<Duration>(2 * mLag, kMostHandshake);
}

void
FlowBalancer::CheckOpenings(TimePoint aNow)
{
  std::vector<uint64_t> ended;
  std::map<uint32_t, bool> waiting;
  const Duration limit = HandshakeLimit(aNow);
  for (auto& [id, opening] : mOpenings) {
    if (aNow - opening.mArrived >= kOpeningLife) {
      ended.push_back(id);
      continue;
    }
    const bool isSilent =
      opening.mUpstream != 0 && aNow - opening.mOfferedAt >= limit;
    if (!isSilent || opening.mOffers >= kOffers) {
      continue;
    }
    Log(4102,
        absl::StrCat(FlowText(opening.mKey),
                     " seq=",
                     opening.mSequence,
                     " upstream_cookie=",
                     opening.mUpstream,
                     " silent_ms=",
                     ToMilliseconds(aNow - opening.mOfferedAt).count(),
                     " limit_ms=",
                     ToMilliseconds(limit).count()));
    mAccounts[opening.mService].mSilent.push_back(opening.mUpstream);
    opening.mExcluded.push_back(opening.mUpstream);
    opening.mUpstream = 0;
    opening.mIsAsked = false;
    mLedger.Withdraw(opening.mKey);
    waiting[opening.mService] = true;
  }
  for (const uint64_t id : ended) {
    mLedger.Withdraw(mOpenings.at(id).mKey);
    Close(id);
  }
  for (const auto& [service, isWaiting] : waiting) {
    Report(aNow, service, mAccounts[service]);
  }
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
  const bool isNew = aNow - mFleet.ChangedAt() < kNewView;
  return isNew ? mFleet.ReadyCount(aNow) : 0;
}

void
FlowBalancer::CheckBrokers(TimePoint aNow)
{
  if (mFleet.ChangedAt() == mSeenChange || !CanPlace(aNow)) {
    return;
  }
  mSeenChange = mFleet.ChangedAt();
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
      account.mAwaitsSince && aNow - *account.mAwaitsSince >= kReportRetry;
    if (isLate) {
      account.mAwaitsSince.reset();
      ++mCounters.mBrokerTimeouts;
      account.mMustTellAll = true;
      if (++account.mTries >= kReportTries) {
        Log(4103,
            absl::StrCat("service=",
                         account.mName,
                         " broker=",
                         Address{ account.mBroker, 0 }.IpString(),
                         " tries=",
                         account.mTries));
        mFleet.Suspect(aNow, account.mBroker);
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

FlowActions
FlowBalancer::OnTimer(TimePoint aNow)
{
  if (aNow > mExpected && mExpected != TimePoint{}) {
    mLag = std::max(mLag, aNow - mExpected);
  }
  mLag -= mLag / 8;
  RouteWaiting(aNow);
  CheckOpenings(aNow);
  mBroker.SetAlone(IsAlone(aNow));
  CheckBrokers(aNow);
  CheckAccounts(aNow);
  if (aNow >= mNextHousekeeping) {
    mNextHousekeeping = aNow + kHousekeeping;
    mLedger.Expire(aNow);
    mDirectory.Expire(aNow);
    for (Event& it : mFleet.Expire(aNow)) {
      mActions.push_back(LogLine{ std::move(it) });
    }
    Deliver(aNow, mBroker.Tick(aNow, mDirectory));
  }
  mFleet.SetReady(aNow, IsReady());
  if (auto round = mFleet.Due(aNow)) {
    round->mBeat.mConfirmed = mDirectory.Confirmed();
    round->mBeat.mNewest = mDirectory.Newest();
    round->mBeat.mConfirmedAge =
      ToMilliseconds(aNow - mDirectory.ConfirmedAt());
    for (const VmIp it : round->mTargets) {
      mActions.push_back(SendToPeer{ it, round->mBeat });
    }
  }
  CheckReads(aNow);
  mExpected = NextDue(aNow);
  return TakeActions();
}

TimePoint
FlowBalancer::NextDue(TimePoint aNow) const
{
  TimePoint due = std::min(mFleet.NextDue(), mNextHousekeeping);
  if (!CanPlace(aNow)) {
    due = std::min(due, std::max(mNextRead, aNow + kStartPoll));
  }
  const Duration limit = HandshakeLimit(aNow);
  for (const auto& [id, opening] : mOpenings) {
    const bool isOffered = opening.mUpstream != 0 && opening.mOffers < kOffers;
    if (isOffered) {
      due = std::min(due, opening.mOfferedAt + limit);
    }
  }
  for (const auto& [service, account] : mAccounts) {
    if (account.mDue) {
      due = std::min(due, *account.mDue);
    }
    if (account.mAwaitsSince) {
      due = std::min(due, *account.mAwaitsSince + kReportRetry);
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

// The replica.

Duration
FlowBalancer::ReadPatience(TimePoint aNow) const
{
  const size_t turn = std::min(mFleet.ReaderRank(aNow), kMostTurns);
  return kReadPeriod + turn * Duration(kReadTurn);
}

void
FlowBalancer::OnMessage(TimePoint aNow, VmIp aFrom, const Beat& aBeat)
{
  for (Event& it : mFleet.Hear(aNow, aFrom, aBeat)) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  // A balancer that is not ready has no whole replica.
  if (!aBeat.mSelf.mIsReady) {
    return;
  }
  const bool knowsMore =
    aBeat.mNewest > mDirectory.Confirmed() || !mDirectory.IsUsable();
  if (knowsMore) {
    // A replica from the own failure domain is cheaper; others are asked when
    // none of it has come for a beat or two.
    const bool isNear = aBeat.mSelf.mDomain == mFleet.Self().mDomain;
    if (mAheadSince == TimePoint{}) {
      mAheadSince = aNow;
    }
    if (isNear || aNow - mAheadSince >= kNearFirst) {
      mAhead = aFrom;
      CheckReads(aNow);
    }
    return;
  }
  // Nothing that matters happened up to the revision that the peer confirms.
  ReplicaUpdate update;
  update.mConfirmed = aBeat.mConfirmed;
  update.mAge = aBeat.mConfirmedAge;
  mDirectory.Apply(aNow, update, "peer");
}

void
FlowBalancer::CheckReads(TimePoint aNow)
{
  const bool isStuck = mIsReading && aNow - mReadStarted >= 2 * kReadTimeout;
  if (mIsReading && !isStuck) {
    return;
  }
  if (mAhead != 0) {
    mIsReading = true;
    mReadStarted = aNow;
    mActions.push_back(ReadPeer{ mAhead, mDirectory.Confirmed() });
    mAhead = 0;
    mAheadSince = TimePoint{};
    return;
  }
  const bool isOld = !mDirectory.IsUsable() ||
                     aNow - mDirectory.ConfirmedAt() >= ReadPatience(aNow);
  if (isOld && aNow >= mNextRead) {
    mIsReading = true;
    mReadStarted = aNow;
    const bool leavesItToSeeds = !mIsSeed && aNow - mStarted < kLongListing;
    mActions.push_back(ReadPublisher{ mDirectory.Confirmed(),
                                      !mDirectory.IsUsable(),
                                      leavesItToSeeds ? kFewPages : 0 });
  }
}

FlowActions
FlowBalancer::OnRead(TimePoint aNow,
                     const std::optional<ReplicaUpdate>& aUpdate,
                     const std::string& aSource,
                     ReadOutcome aOutcome)
{
  mIsReading = false;
  const bool isWhole = mDirectory.IsUsable();
  if (!aUpdate || !isWhole) {
    const bool isTooLong = aOutcome == ReadOutcome::TooLong;
    mNextRead = aNow + (isTooLong ? kLongListingRetry : kReadRetry);
  }
  if (!aUpdate) {
    return TakeActions();
  }
  const bool wasReady = IsReady();
  for (Event& it : mDirectory.Apply(aNow, *aUpdate, aSource)) {
    mActions.push_back(LogLine{ std::move(it) });
  }
  if (IsReady() && !wasReady) {
    Log(1101,
        absl::StrCat("upstreams=",
                     mDirectory.Upstreams().size(),
                     " version=",
                     mDirectory.CurrentConfiguration()->mVersion,
                     " replica=",
                     mDirectory.Confirmed(),
                     " source=",
                     aSource,
                     " after_ms=",
                     ToMilliseconds(aNow - mStarted).count()));
    mFleet.SetReady(aNow, true);
  }
  return TakeActions();
}

} // namespace foxtail::flow

#include "foxtail/balancer/Balancer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"
#include "foxtail/routing/DefaultUpstream.h"

namespace foxtail::balancer {

namespace {

constexpr uint8_t kMaxHops = 6;
constexpr seconds kRemovalInterval{ 1 };
// Deadline of a request to an address without a service. The balancer refuses
// such a request at once, before the deadline.
constexpr seconds kNoServiceTimeout{ 1 };

template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

// Identifies a request in traces: the hash of flow, message ID and token, which
// is the same in every process that sees the datagram. Does not decode the
// message.
uint64_t
TraceKey(uint64_t aFlowHash, std::string_view aDatagram)
{
  if (aDatagram.size() < 4) {
    return aFlowHash;
  }
  const size_t tokenLength = static_cast<uint8_t>(aDatagram[0]) & 0x0F;
  return StableHash(aDatagram.substr(2, 2 + tokenLength), aFlowHash);
}

const char*
ReasonText(routing::RefusalReason aReason)
{
  switch (aReason) {
    case routing::RefusalReason::NoUpstream:
      return "no upstream takes work";
    case routing::RefusalReason::Overloaded:
      return "overloaded";
    case routing::RefusalReason::DeadlinePassed:
      return "the deadline has passed";
    case routing::RefusalReason::ShedNotRetried:
      return "the upstreams shed it";
  }
  return "";
}

} // namespace

Balancer::Balancer(const BalancerSettings& aSettings, TimePoint aNow)
  : mSettings(aSettings)
  , mFlows(aSettings.mFlows, aNow)
  , mDispatcher(aSettings.mDispatcher)
  , mRequests(aSettings.mRequests)
  , mLastRemoval(aNow)
  , mLoadsAdvertisedAt(aNow)
{
}

void
Balancer::SetView(membership::ViewPtr aView, TimePoint aNow)
{
  if (mView && aView->mSequence < mView->mSequence) {
    return;
  }
  if (mView) {
    for (const membership::Member& it : mView->mMembers) {
      if (aView->FindIncarnation(it.mIncarnation) == nullptr) {
        mDispatcher.OnPeerGone(it.mIncarnation);
      }
    }
  }
  mView = std::move(aView);
  mHandoffAddresses.clear();
  mPeerAddresses.clear();
  for (const membership::Member& it : mView->mMembers) {
    mHandoffAddresses[it.mIncarnation] = it.mHandoffAddress;
    mPeerAddresses[it.mIncarnation] = it.mPeerAddress;
  }
  mFlows.SetView(mView, aNow);
  mDispatcher.SetBalancers(mFlows.Ranking().Candidates(),
                           mSettings.mFlows.mSelf);
}

void
Balancer::SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow)
{
  mSnapshot = std::move(aSnapshot);
  mServiceIndices.clear();
  for (size_t i = 0; i < mSnapshot->mServices.size(); ++i) {
    mServiceIndices[mSnapshot->mServices[i].mAddress] =
      static_cast<config::ServiceIndex>(i);
  }
  mUpstreamIndices.clear();
  for (size_t i = 0; i < mSnapshot->mUpstreams.size(); ++i) {
    mUpstreamIndices[mSnapshot->mUpstreams[i].mId] =
      static_cast<config::UpstreamIndex>(i);
  }
  mFlows.SetSnapshot(mSnapshot, aNow);
  mDispatcher.SetSnapshot(mSnapshot, aNow);
}

void
Balancer::OnUpstreamReports(const std::vector<routing::LoadReport>& aReports,
                            TimePoint aNow)
{
  for (const routing::LoadReport& it : aReports) {
    mDispatcher.OnReport(it, aNow);
  }
}

void
Balancer::OnPeerRecords(routing::Incarnation aFrom,
                        const routing::RecordBatch& aBatch,
                        TimePoint aNow)
{
  mFlows.OnRecords(aFrom, aBatch, aNow);
}

void
Balancer::OnPeerLoads(routing::Incarnation aFrom,
                      const std::vector<routing::LoadReport>& aLoads,
                      TimePoint aNow)
{
  if (mHandoffAddresses.contains(aFrom)) {
    mDispatcher.OnPeerLoads(aFrom, aLoads, aNow);
  }
}

void
Balancer::Drop(const Error& aError, Actions& aOut)
{
  ++mCounters.mMalformed;
  aOut.Add(ReportEvent{ { 6001, aError.what() } });
}

void
Balancer::ForwardToPeer(routing::Incarnation aTo,
                        const FlowKey& aFlow,
                        uint64_t aFlowHash,
                        uint8_t aHops,
                        std::string_view aDatagram,
                        TimePoint aNow,
                        Actions& aOut)
{
  const auto it = mHandoffAddresses.find(aTo);
  if (it == mHandoffAddresses.end() || aHops >= kMaxHops) {
    ++mCounters.mUnforwardable;
    return;
  }
  ++mCounters.mForwarded;
  aOut.Add(ToPeer{ it->second,
                   aFlow,
                   static_cast<uint8_t>(aHops + 1),
                   aOut.StoreBytes(aDatagram) });
  aOut.Add(TraceSpan{ TraceSpanKind::Forward,
                      TraceKey(aFlowHash, aDatagram),
                      aNow,
                      aNow,
                      it->second });
}

void
Balancer::OnInbound(const FlowKey& aFlow,
                    uint8_t aHops,
                    std::string_view aDatagram,
                    TimePoint aNow,
                    WallTime aWall,
                    Actions& aOut)
{
  ++(aHops == 0 ? mCounters.mInbound : mCounters.mFromPeers);
  if (!IsReady()) {
    ++mCounters.mNotReady;
    return;
  }
  // A datagram longer than kMaxDatagram might not fit into one UDP datagram
  // when it is encapsulated for a peer.
  if (aDatagram.size() > coap::kMaxDatagram) {
    Drop(coap::MakeDatagramTooLongError(), aOut);
    return;
  }
  const uint64_t hash = aFlow.Hash();
  // Forward to the owner without decoding the message.
  if (aHops == 0) {
    const routing::RouteDecision route = mFlows.Route(aFlow, hash, 0, aNow);
    if (const auto* forward = std::get_if<routing::ForwardTo>(&route)) {
      ForwardToPeer(forward->mOwner, aFlow, hash, aHops, aDatagram, aNow, aOut);
      return;
    }
  }
  try {
    const coap::Message message = coap::Decode(aDatagram);
    const Inbound in{ aFlow, hash, aHops, aDatagram, message, aNow, aWall };
    if (aHops > 0 && TryForward(in, aOut)) {
      return;
    }
    if (message.IsRequest()) {
      OnRequest(in, aOut);
    } else if (message.IsEmpty()) {
      OnEmpty(in, aOut);
    } else {
      throw NetError(
        612, aFlow.mCaller.ToString(), "neither a request nor empty");
    }
  } catch (const NetError& e) {
    Drop(e, aOut);
  }
}

// Forwards a datagram from a peer when another balancer must serve it. Requests
// that are not idempotent and carry an Echo value of this balancer are served
// here, because only the issuer can check the value.
bool
Balancer::TryForward(const Inbound& aIn, Actions& aOut)
{
  if (aIn.mMessage.mEcho && !aIn.mMessage.IsIdempotent()) {
    const auto issuer = requests::ParseEchoIncarnation(*aIn.mMessage.mEcho);
    if (issuer == mSettings.mFlows.mSelf) {
      return false;
    }
  }
  const routing::RouteDecision route =
    mFlows.Route(aIn.mFlow, aIn.mFlowHash, aIn.mHops, aIn.mNow);
  const auto* forward = std::get_if<routing::ForwardTo>(&route);
  if (forward == nullptr) {
    return false;
  }
  ForwardToPeer(forward->mOwner,
                aIn.mFlow,
                aIn.mFlowHash,
                aIn.mHops,
                aIn.mDatagram,
                aIn.mNow,
                aOut);
  return true;
}

// A caller's Reset cancels its request; other empty messages are ignored.
void
Balancer::OnEmpty(const Inbound& aIn, Actions& aOut)
{
  if (aIn.mMessage.mType != coap::Type::Reset) {
    return;
  }
  const auto ended =
    mRequests.OnCallerReset(aIn.mFlow, aIn.mMessage.mMessageId, aIn.mNow);
  if (!ended) {
    return;
  }
  End(*ended, aIn.mNow, aOut);
  routing::WorkActions more;
  mDispatcher.Cancel(ended->mSerial, aIn.mNow, more);
  Apply(more, aIn.mNow, aOut);
}

config::ServiceIndex
Balancer::ServiceOf(const FlowKey& aFlow) const
{
  const auto it = mServiceIndices.find(aFlow.mService);
  return it == mServiceIndices.end() ? config::kNoIndex : it->second;
}

requests::EchoIssuerPresence
Balancer::EchoIssuerPresenceOf(const coap::Message& aMessage) const
{
  const auto issuer = aMessage.mEcho
                        ? requests::ParseEchoIncarnation(*aMessage.mEcho)
                        : std::nullopt;
  return issuer && mHandoffAddresses.contains(*issuer)
           ? requests::EchoIssuerPresence::Present
           : requests::EchoIssuerPresence::Absent;
}

TimePoint
Balancer::DeadlineOf(const Inbound& aIn, config::ServiceIndex aService) const
{
  const milliseconds timeout = aService == config::kNoIndex
                                 ? kNoServiceTimeout
                                 : mSnapshot->mServices[aService].mTimeout;
  const TimePoint latest = aIn.mNow + timeout;
  if (!aIn.mMessage.mDeadline) {
    return latest;
  }
  return std::min(latest, aIn.mNow + (*aIn.mMessage.mDeadline - aIn.mWall));
}

void
Balancer::OnRequest(const Inbound& aIn, Actions& aOut)
{
  const config::ServiceIndex service = ServiceOf(aIn.mFlow);
  const requests::RequestAction action =
    mRequests.OnRequest(aIn.mFlow,
                        aIn.mMessage,
                        EchoIssuerPresenceOf(aIn.mMessage),
                        aIn.mNow,
                        DeadlineOf(aIn, service));
  const auto answer = [&](std::string_view aBytes) {
    aOut.Add(ToCaller{ aIn.mFlow, aOut.StoreBytes(aBytes) });
  };
  std::visit(
    Overloaded{
      [&](const requests::StartRequest& a) { Start(aIn, a, aOut); },
      [&](const requests::InProgress& a) {
        const auto upstream = mRequests.SentTo(a.mSerial);
        const auto bytes =
          a.mMayResend ? mRequests.Resend(a.mSerial, aIn.mNow) : std::nullopt;
        if (upstream && bytes) {
          aOut.Add(ToUpstream{ *upstream, aOut.StoreBytes(*bytes) });
        }
      },
      [&](const requests::ReplayAnswer& a) { answer(a.mBytes); },
      [&](const requests::Challenge& a) {
        ++mCounters.mChallenged;
        answer(a.mBytes);
      },
      [&](const requests::LocalAnswer& a) {
        ++(a.mMayHaveRun ? mCounters.mUnknownOutcome : mCounters.mRefused);
        answer(a.mBytes);
        aOut.Add(ReportEvent{ { a.mMayHaveRun ? 5001 : 5002, "concluded" } });
      },
      [&](const requests::ForwardToIssuer& a) {
        ForwardToPeer(a.mIncarnation,
                      aIn.mFlow,
                      aIn.mFlowHash,
                      aIn.mHops,
                      aIn.mDatagram,
                      aIn.mNow,
                      aOut);
      },
      [&](const requests::ForwardToOwner&) {
        ForwardToPeer(mFlows.Ranking().Owner(routing::RankHash(aIn.mFlowHash)),
                      aIn.mFlow,
                      aIn.mFlowHash,
                      aIn.mHops,
                      aIn.mDatagram,
                      aIn.mNow,
                      aOut);
      } },
    action);
}

void
Balancer::Start(const Inbound& aIn,
                const requests::StartRequest& aStart,
                Actions& aOut)
{
  const config::ServiceIndex service = ServiceOf(aIn.mFlow);
  if (service == config::kNoIndex) {
    const requests::Refusal refusal{ requests::RefusalCause::NoService,
                                     "no service at this address" };
    End(mRequests.Refuse(aStart.mSerial, refusal, aIn.mNow), aIn.mNow, aOut);
    return;
  }
  const uint32_t flowUpstream =
    mFlows.Lookup(aIn.mFlow, aIn.mFlowHash, aIn.mNow).mUpstream;
  const auto bound = mUpstreamIndices.find(flowUpstream);
  mOpenRequests[aStart.mSerial] = { aIn.mFlow,
                                    aIn.mFlowHash,
                                    TraceKey(aIn.mFlowHash, aIn.mDatagram),
                                    aIn.mNow,
                                    {},
                                    {} };
  routing::Work work;
  work.mSerial = aStart.mSerial;
  work.mService = service;
  work.mBoundUpstream =
    bound == mUpstreamIndices.end() ? config::kNoIndex : bound->second;
  work.mRankHash = routing::RankHash(aIn.mFlowHash);
  work.mDeadline = aStart.mDeadline;
  work.mIdempotent = aStart.mIdempotent;
  routing::WorkActions actions;
  mDispatcher.Submit(work, aIn.mNow, actions);
  Apply(actions, aIn.mNow, aOut);
}

void
Balancer::Apply(routing::WorkActions& aWork, TimePoint aNow, Actions& aOut)
{
  // Loop by index because actions are added meanwhile: a request whose deadline
  // passes before the send frees its slot for another one.
  for (size_t i = 0; i < aWork.size(); ++i) {
    const routing::WorkAction action = aWork[i];
    std::visit(
      Overloaded{
        [&](const routing::SendWork& a) { Send(a, aNow, aWork, aOut); },
        [&](const routing::RefuseWork& a) { Refuse(a, aNow, aOut); },
        [&](const routing::ExpireWork& a) { Expire(a.mSerial, aNow, aOut); } },
      action);
  }
}

void
Balancer::Send(const routing::SendWork& aSend,
               TimePoint aNow,
               routing::WorkActions& aMore,
               Actions& aOut)
{
  const config::Upstream& upstream = mSnapshot->mUpstreams[aSend.mUpstream];
  const auto bytes = mRequests.Send(aSend.mSerial, upstream.mAddress, aNow);
  if (!bytes) {
    Expire(aSend.mSerial, aNow, aOut);
    mDispatcher.Finish(aSend.mSerial, routing::Outcome::Cancelled, aNow, aMore);
    return;
  }
  aOut.Add(ToUpstream{ upstream.mAddress, aOut.StoreBytes(*bytes) });
  const auto it = mOpenRequests.find(aSend.mSerial);
  if (it == mOpenRequests.end()) {
    return;
  }
  it->second.mSentAt = aNow;
  it->second.mUpstream = upstream.mAddress;
  mFlows.Bind(it->second.mFlow, it->second.mFlowHash, upstream.mId, aNow);
}

void
Balancer::Refuse(const routing::RefuseWork& aRefuse,
                 TimePoint aNow,
                 Actions& aOut)
{
  requests::Refusal refusal;
  refusal.mText = ReasonText(aRefuse.mReason);
  refusal.mRetryAfter = aRefuse.mRetryAfter;
  End(mRequests.Refuse(aRefuse.mSerial, refusal, aNow), aNow, aOut);
}

void
Balancer::Expire(uint32_t aSerial, TimePoint aNow, Actions& aOut)
{
  if (const auto ended = mRequests.Expire(aSerial, aNow)) {
    End(*ended, aNow, aOut);
  }
}

void
Balancer::End(const requests::EndedRequest& aEnded,
              TimePoint aNow,
              Actions& aOut)
{
  ++(aEnded.mMayHaveRun ? mCounters.mUnknownOutcome : mCounters.mRefused);
  if (!aEnded.mBytes.empty()) {
    aOut.Add(ToCaller{ aEnded.mFlow, aOut.StoreBytes(aEnded.mBytes) });
  }
  if (aEnded.mCancel) {
    aOut.Add(ToUpstream{ aEnded.mCancel->mUpstream,
                         aOut.StoreBytes(aEnded.mCancel->mBytes) });
  }
  aOut.Add(ReportEvent{ { aEnded.mMayHaveRun ? 5001 : 5002,
                          absl::StrCat("caller=",
                                       aEnded.mFlow.mCaller.ToString(),
                                       " service=",
                                       aEnded.mFlow.mService.ToString()) } });
  RemoveOpenRequest(aEnded.mSerial, aNow, aOut);
}

// Records the trace of a request that has ended, and removes it.
void
Balancer::RemoveOpenRequest(uint32_t aSerial, TimePoint aNow, Actions& aOut)
{
  const auto it = mOpenRequests.find(aSerial);
  if (it == mOpenRequests.end()) {
    return;
  }
  const OpenRequest& request = it->second;
  aOut.Add(TraceSpan{ TraceSpanKind::Serve,
                      request.mTraceKey,
                      request.mStartedAt,
                      aNow,
                      request.mFlow.mCaller });
  if (request.mSentAt != TimePoint()) {
    aOut.Add(TraceSpan{ TraceSpanKind::Upstream,
                        request.mTraceKey,
                        request.mSentAt,
                        aNow,
                        request.mUpstream });
  }
  mOpenRequests.erase(it);
}

void
Balancer::OnUpstream(const Address& aFrom,
                     std::string_view aDatagram,
                     TimePoint aNow,
                     Actions& aOut)
{
  try {
    const coap::Message message = coap::Decode(aDatagram);
    const requests::UpstreamAction action =
      mRequests.OnUpstream(aFrom, message, aNow);
    if (!action.mReply.empty()) {
      aOut.Add(ToUpstream{ aFrom, aOut.StoreBytes(action.mReply) });
    }
    routing::WorkActions more;
    if (const auto* a = std::get_if<requests::Deliver>(&action.mAction)) {
      ++mCounters.mAnswered;
      if (!a->mBytes.empty()) {
        aOut.Add(ToCaller{ a->mFlow, aOut.StoreBytes(a->mBytes) });
      }
      RemoveOpenRequest(a->mSerial, aNow, aOut);
      mDispatcher.Finish(a->mSerial, routing::Outcome::Answered, aNow, more);
    } else if (const auto* s = std::get_if<requests::Shed>(&action.mAction)) {
      mDispatcher.Finish(s->mSerial, routing::Outcome::Shed, aNow, more);
    }
    Apply(more, aNow, aOut);
  } catch (const NetError& e) {
    Drop(e, aOut);
  }
}

void
Balancer::Tick(TimePoint aNow, Actions& aOut)
{
  if (!IsReady()) {
    return;
  }
  routing::WorkActions work;
  mDispatcher.Tick(aNow, work);
  Apply(work, aNow, aOut);
  for (routing::RecordBatch& it : mFlows.Tick(aNow)) {
    const auto peer = mPeerAddresses.find(it.mTo);
    if (peer != mPeerAddresses.end()) {
      aOut.Add(SendRecords{ peer->second, std::move(it) });
    }
  }
  AdvertiseLoads(aNow, aOut);
  if (aNow - mLastRemoval >= kRemovalInterval) {
    mRequests.RemoveExpired(aNow);
    mLastRemoval = aNow;
  }
}

void
Balancer::AdvertiseLoads(TimePoint aNow, Actions& aOut)
{
  const bool isChanged = mDispatcher.LoadsRevision() != mLoadsRevision;
  const milliseconds interval =
    isChanged ? mSettings.mLoadInterval : mSettings.mLoadKeepAlive;
  if (aNow - mLoadsAdvertisedAt < interval) {
    return;
  }
  mLoadsAdvertisedAt = aNow;
  mLoadsRevision = mDispatcher.LoadsRevision();
  SendLoads send;
  send.mLoads = mDispatcher.LocalLoads(aNow);
  for (const routing::Incarnation it : mFlows.Ranking().Candidates()) {
    const auto peer = mPeerAddresses.find(it);
    if (it != mSettings.mFlows.mSelf && peer != mPeerAddresses.end()) {
      send.mPeers.push_back(peer->second);
    }
  }
  if (!send.mPeers.empty()) {
    aOut.Add(std::move(send));
  }
}

void
Balancer::BeginLeave(TimePoint aNow)
{
  mLeaving = true;
  mRequests.Leave();
  mFlows.BeginLeave(aNow);
}

bool
Balancer::CanStop(TimePoint aNow) const
{
  return mLeaving && mFlows.LeaveComplete() &&
         !mRequests.HasOutstandingWork(aNow);
}

Explanation
Balancer::Explain(const FlowKey& aFlow, TimePoint aNow)
{
  const config::ServiceIndex service =
    IsReady() ? ServiceOf(aFlow) : config::kNoIndex;
  if (service == config::kNoIndex) {
    throw RoutingError(
      401, aFlow.mService.ToString(), "no service at this address");
  }
  const uint64_t hash = aFlow.Hash();
  Explanation explanation;
  explanation.mService = mSnapshot->mServices[service].mName;
  explanation.mOwner = mFlows.Ranking().Owner(routing::RankHash(hash));
  const membership::Member* owner = mView->FindIncarnation(explanation.mOwner);
  explanation.mOwnerVm = owner != nullptr ? owner->mName : mSettings.mVm;
  const auto known =
    mUpstreamIndices.find(mFlows.Lookup(aFlow, hash, aNow).mUpstream);
  if (known != mUpstreamIndices.end()) {
    explanation.mUpstream = mSnapshot->mUpstreams[known->second].mName;
  }
  const config::UpstreamIndex index =
    routing::DefaultUpstream(*mSnapshot, service, routing::RankHash(hash));
  if (index != config::kNoIndex) {
    explanation.mDefaultUpstream = mSnapshot->mUpstreams[index].mName;
  }
  return explanation;
}

} // namespace foxtail::balancer

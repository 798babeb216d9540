#include "foxtail/agent/AgentCore.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtail/agent/WatchDuty.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/ConfigExchange.h"
#include "foxtail/net/PeerCodec.h"
#include "foxtail/net/VmList.h"

namespace foxtail::agent {

namespace {

using nlohmann::json;

// Maximum time that a balancer without a configuration waits until the agent
// has joined.
constexpr seconds kMaxJoinWait{ 5 };
// The delay between fetches doubles from kMinFetchDelay to kMaxFetchDelay while
// they bring nothing new.
constexpr milliseconds kMinFetchDelay{ 100 };
constexpr seconds kMaxFetchDelay{ 30 };
constexpr uint32_t kLoopback = 0x7F000001;

void
CountSent(Traffic& aTraffic, size_t aBytes)
{
  ++aTraffic.mSentMessages;
  aTraffic.mSentBytes += aBytes;
}

void
CountReceived(Traffic& aTraffic, size_t aBytes)
{
  ++aTraffic.mReceivedMessages;
  aTraffic.mReceivedBytes += aBytes;
}

} // namespace

AgentCore::AgentCore(const membership::DetectorSettings& aSettings)
  : mSettings(aSettings)
  , mDetector(aSettings)
  , mLoads(aSettings.mSeed)
  , mFetchDelay(kMinFetchDelay)
{
}

// Membership.

void
AgentCore::HandleDetectorEvent(TimePoint aNow,
                               const membership::DetectorEvent& aEvent)
{
  for (const membership::DetectorAction& it : mDetector.Handle(aNow, aEvent)) {
    std::visit([&](const auto& a) { Execute(a); }, it);
  }
}

void
AgentCore::Tick(TimePoint aNow)
{
  HandleDetectorEvent(aNow, membership::Tick{});
}

void
AgentCore::Leave(TimePoint aNow)
{
  HandleDetectorEvent(aNow, membership::LeaveRequested{});
}

void
AgentCore::Stop(TimePoint aNow)
{
  HandleDetectorEvent(aNow, membership::Stopped{});
}

void
AgentCore::OnDatagram(TimePoint aNow,
                      const Address& aPeer,
                      std::string_view aBytes)
{
  try {
    membership::Gossip gossip = net::DecodeGossip(aBytes);
    CountReceived(mCounters.mGossip[static_cast<size_t>(gossip.mKind)],
                  aBytes.size());
    HandleDetectorEvent(aNow,
                        membership::GossipReceived{ aPeer, std::move(gossip) });
  } catch (const PeerError& e) {
    DropPeerMessage(aPeer, e.what());
  }
}

void
AgentCore::Execute(const membership::SendGossip& aAction)
{
  std::string bytes = net::Encode(aAction.mGossip);
  CountSent(mCounters.mGossip[static_cast<size_t>(aAction.mGossip.mKind)],
            bytes.size());
  mOutgoing.push_back({ aAction.mTo, std::move(bytes) });
}

void
AgentCore::Execute(const membership::ViewChanged& aAction)
{
  const membership::View& view = *aAction.mView;
  mEvents.push_back({ view.mInDoubt ? 3002 : 3001,
                      absl::StrCat("sequence=",
                                   view.mSequence,
                                   " members=",
                                   view.mMembers.size(),
                                   " published=",
                                   mDetector.Registry().Entries().size()) });
}

void
AgentCore::Execute(const membership::PeerAhead& aAction)
{
  mAheadPeer = aAction.mPeer;
}

void
AgentCore::Execute(const membership::BalancerRefused& aAction)
{
  mRefusedIncarnationFloor = aAction.mIncarnationFloor;
}

void
AgentCore::Execute(const membership::GossipRefused& aAction)
{
  DropPeerMessage(aAction.mPeer,
                  absl::StrCat("[foxtail.peer.", aAction.mError, "]"));
}

void
AgentCore::DropPeerMessage(const Address& aPeer, const std::string& aWhy)
{
  ++mCounters.mPeerMessagesDropped;
  mEvents.push_back(
    { 7001, absl::StrCat("peer=", aPeer.ToString(), " why=", aWhy) });
}

// Platform.

void
AgentCore::DropPlatformAnswer(const std::string& aWhy)
{
  ++mCounters.mPlatformAnswersDropped;
  mEvents.push_back({ 8002, absl::StrCat("why=", aWhy) });
}

void
AgentCore::ApplyBase(TimePoint aNow, const json& aValue)
{
  try {
    HandleOfferResult(aNow, mChain.Offer(config::Base::FromJson(aValue)));
  } catch (const ConfigError& e) {
    DropPlatformAnswer(e.what());
  }
}

bool
AgentCore::ApplyPatches(TimePoint aNow, const json& aValue)
{
  try {
    return HandleOfferResult(aNow,
                             mChain.Offer(config::PatchList::FromJson(aValue)));
  } catch (const ConfigError& e) {
    DropPlatformAnswer(e.what());
    return true;
  }
}

void
AgentCore::ApplyVmList(TimePoint aNow, const json& aValue, uint64_t aIndex)
{
  try {
    AdoptVmList(aNow, aValue, aIndex);
  } catch (const PlatformError& e) {
    DropPlatformAnswer(e.what());
  }
}

void
AgentCore::AdoptVmList(TimePoint aNow, const json& aValue, uint64_t aIndex)
{
  const membership::PublishedVmList vms = net::ParseVmList(aValue, aIndex);
  if (aIndex > mDetector.Registry().Index()) {
    mVmListText = aValue.dump();
  }
  HandleDetectorEvent(aNow, membership::VmListRead{ vms });
}

void
AgentCore::AdoptPeerVmList(TimePoint aNow,
                           const Address& aPeer,
                           const net::ConfigReply& aReply)
{
  std::string reason;
  const auto value =
    config::ParseBoundedJson(aReply.mVmsJson, config::kMaxValueBytes, reason);
  if (!value) {
    throw PlatformError(820, "vms", reason);
  }
  if (!mDetector.Registry().Entries().empty()) {
    if (mDetector.Registry().PermitsIp(aPeer.mIp)) {
      AdoptVmList(aNow, *value, aReply.mVmsIndex);
    }
    return;
  }
  const membership::PublishedVmList vms = net::ParseVmList(*value, 0);
  const auto names = [&](uint32_t aIp) {
    return std::any_of(vms.mVms.begin(), vms.mVms.end(), [&](const auto& it) {
      return it.mIp == aIp;
    });
  };
  if (names(aPeer.mIp) && names(mSettings.mAgentAddress.mIp)) {
    // The list was parsed with index zero, so any list read later replaces it.
    HandleDetectorEvent(aNow, membership::VmListRead{ vms });
  }
}

bool
AgentCore::HandleOfferResult(TimePoint aNow, const config::OfferResult& aResult)
{
  if (const auto* advanced = std::get_if<config::Advanced>(&aResult)) {
    ReportAdvance(*advanced);
    if (mChain.Current() != nullptr) {
      mLoads.SetUpstreams(*mChain.Current());
    }
    HandleDetectorEvent(
      aNow, membership::ConfigChanged{ net::ToProgress(mChain.Point()) });
  } else if (std::holds_alternative<config::OlderIgnored>(aResult)) {
    mEvents.push_back(
      { 2003, absl::StrCat("in_force=", mChain.Point().mVersion.mNumber) });
  } else if (const auto* conflict = std::get_if<config::Conflict>(&aResult)) {
    DropPlatformAnswer(conflict->mReason);
  }
  return !std::holds_alternative<config::Gap>(aResult);
}

void
AgentCore::ReportAdvance(const config::Advanced& aAdvanced)
{
  for (const config::RefusedPatch& it : aAdvanced.mRefused) {
    mEvents.push_back({ 2002,
                        absl::StrCat("position=",
                                     it.mPosition,
                                     " error=",
                                     it.mErrorId,
                                     " why=",
                                     it.mReason) });
  }
  if (!aAdvanced.mAccepted.empty()) {
    const config::Version& version = aAdvanced.mAccepted.back();
    mEvents.push_back({ 2001,
                        absl::StrCat("version=",
                                     version.mNumber,
                                     " digest=",
                                     config::DigestText(version.mDigest)) });
  }
}

bool
AgentCore::WatchesPlatform() const
{
  return agent::IsPlatformWatcher(
    mSettings.mName, mSettings.mDomain, mDetector.LiveAgents());
}

// Peers.

std::string
AgentCore::AnswerPeer(const Address& aFrom, std::string_view aRequest)
{
  CountReceived(mCounters.mServe, aRequest.size());
  try {
    if (!mDetector.Registry().PermitsIp(aFrom.mIp)) {
      throw PeerError(
        720, aFrom.ToString(), "not the address of a published VM");
    }
    const net::ConfigRequest request = net::DecodeConfigRequest(aRequest);
    net::ConfigReply reply =
      net::ToReply(mChain.Answer(net::ToPoint(request.mProgress)));
    if (mDetector.Registry().Index() > request.mVmsIndex) {
      reply.mVmsJson = mVmListText;
      reply.mVmsIndex = mDetector.Registry().Index();
    }
    std::string bytes = net::Encode(reply);
    CountSent(mCounters.mServe, bytes.size());
    return bytes;
  } catch (const PeerError& e) {
    DropPeerMessage(aFrom, e.what());
    throw;
  }
}

std::optional<PeerFetch>
AgentCore::NextFetch(TimePoint aNow)
{
  if (!mAheadPeer || mFetching || aNow < mNextFetchAt) {
    return std::nullopt;
  }
  mFetching = true;
  net::ConfigRequest request{ net::ToProgress(mChain.Point()),
                              mDetector.Registry().Index() };
  PeerFetch fetch{ *mAheadPeer, net::Encode(request) };
  CountSent(mCounters.mFetch, fetch.mRequest.size());
  mAheadPeer.reset();
  return fetch;
}

void
AgentCore::OnFetchReply(TimePoint aNow,
                        const Address& aPeer,
                        std::string_view aReply)
{
  CountReceived(mCounters.mFetch, aReply.size());
  const config::ChainPoint point = mChain.Point();
  const uint64_t index = mDetector.Registry().Index();
  try {
    net::ConfigReply reply = net::DecodeConfigReply(aReply);
    if (!reply.mVmsJson.empty()) {
      AdoptPeerVmList(aNow, aPeer, reply);
    }
    if (!mDetector.Registry().PermitsIp(aPeer.mIp)) {
      throw PeerError(
        720, aPeer.ToString(), "not the address of a published VM");
    }
    const config::ChainAnswer answer = net::ToAnswer(std::move(reply));
    if (!answer.IsEmpty()) {
      HandleOfferResult(aNow, mChain.Offer(answer));
    }
  } catch (const Error& e) {
    DropPeerMessage(aPeer, e.what());
  }
  // Ends the fetch and sets the delay for the case that the reply brought
  // nothing new.
  OnFetchFailed(aNow);
  if (!(mChain.Point() == point) || mDetector.Registry().Index() != index) {
    mFetchDelay = kMinFetchDelay;
    mNextFetchAt = aNow;
  }
}

void
AgentCore::OnFetchFailed(TimePoint aNow)
{
  mFetching = false;
  mNextFetchAt = aNow + mFetchDelay;
  mFetchDelay = std::min(mFetchDelay * 2, Duration(kMaxFetchDelay));
}

// Upstreams.

void
AgentCore::OnLoadReport(TimePoint aAsked,
                        const LoadPoll& aPoll,
                        std::string_view aBody)
{
  try {
    mLoads.AddReport(aAsked, aPoll.mUpstream, aBody);
  } catch (const PlatformError& e) {
    ++mCounters.mLoadReportsDropped;
    mEvents.push_back(
      { 8003,
        absl::StrCat(
          "endpoint=", aPoll.mAddress.ToString(), " why=", e.what()) });
  }
}

// The balancer of this VM.

std::string
AgentCore::AnswerBalancer(TimePoint aNow,
                          const Address& aFrom,
                          std::string_view aRequest)
{
  CountReceived(mCounters.mLocal, aRequest.size());
  try {
    const net::LocalRequest request = net::DecodeLocalRequest(aRequest);
    RequireOwnBalancer(aFrom, request);
    mRefusedIncarnationFloor = 0;
    HandleDetectorEvent(aNow, membership::BalancerHeartbeat{ request.mSelf });
    std::string bytes = net::Encode(ComposeReply(aNow, request));
    CountSent(mCounters.mLocal, bytes.size());
    return bytes;
  } catch (const PeerError& e) {
    DropPeerMessage(aFrom, e.what());
    throw;
  }
}

void
AgentCore::RequireOwnBalancer(const Address& aFrom,
                              const net::LocalRequest& aRequest) const
{
  if (aFrom.mIp != mSettings.mAgentAddress.mIp && aFrom.mIp != kLoopback) {
    throw PeerError(723, aFrom.ToString(), "not on this VM");
  }
  if (aRequest.mSelf.mName != mSettings.mName) {
    throw PeerError(724, aRequest.mSelf.mName, "not the name of this VM");
  }
}

bool
AgentCore::MayConfigBeOutdated(TimePoint aNow)
{
  if (!mFirstRequestAt) {
    mFirstRequestAt = aNow;
  }
  // The agent may be unable to join because no peer can be reached, as in a
  // failure domain that is cut off.
  if (aNow - *mFirstRequestAt >= kMaxJoinWait) {
    return mFetching || mAheadPeer.has_value();
  }
  return !mDetector.HasJoined() || mFetching || mAheadPeer.has_value();
}

net::LocalReply
AgentCore::ComposeReply(TimePoint aNow, const net::LocalRequest& aRequest)
{
  net::LocalReply reply;
  const membership::View& view = *mDetector.CurrentView();
  reply.mRefusedIncarnation = mRefusedIncarnationFloor;
  reply.mViewSequence = aRequest.mViewSequence;
  // Until this agent has joined, the balancer keeps its view, which may be more
  // complete.
  if (mDetector.HasJoined() && aRequest.mViewSequence != view.mSequence) {
    reply.mViewSequence = view.mSequence;
    reply.mMembers = view.mMembers;
  }
  const bool isOutdated = MayConfigBeOutdated(aNow);
  // Also set while the configuration may be outdated, because the balancer must
  // treat neither view nor configuration as confirmed then.
  reply.mViewInDoubt = view.mInDoubt || isOutdated;
  const config::ChainPoint held = net::ToPoint(aRequest.mConfig);
  // A balancer without a configuration waits rather than serve with an outdated
  // one.
  if (!isOutdated || held.mVersion.mNumber != 0) {
    reply.mConfig = net::ToReply(mChain.Answer(held));
  }

  const bool known = aRequest.mSelf.mIncarnation == mLastReplyIncarnation;
  reply.mLoads = mLoads.ReportsAfter(aNow, known ? mLastReplySerial : 0);
  mLastReplyIncarnation = aRequest.mSelf.mIncarnation;
  mLastReplySerial = mLoads.LastSerial();
  return reply;
}

std::vector<OutgoingDatagram>
AgentCore::TakeOutgoing()
{
  return std::exchange(mOutgoing, {});
}

std::vector<Event>
AgentCore::TakeEvents()
{
  return std::exchange(mEvents, {});
}

} // namespace foxtail::agent

#include "foxtail/balancerd/AgentLink.h"

#include "absl/strings/str_cat.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/net/PeerCodec.h"

namespace foxtail::balancerd {

namespace {

constexpr milliseconds kHeartbeatInterval{ 250 };
constexpr milliseconds kAnswerTimeout{ 1000 };
// Maximum time that a restarted balancer waits for a confirmed configuration.
constexpr seconds kMaxConfigWait{ 4 };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

AgentLink::AgentLink(const daemon::Settings& aSettings,
                     Mailbox& aMailbox,
                     DataPath& aDataPath,
                     daemon::Metrics& aMetrics)
  : mSettings(aSettings)
  , mMailbox(aMailbox)
  , mDataPath(aDataPath)
  , mMetrics(aMetrics)
  , mLastAnswer(Now().time_since_epoch().count())
{
}

Duration
AgentLink::AnswerAge() const
{
  return Now() - TimePoint(TimePoint::duration(mLastAnswer));
}

membership::Member
AgentLink::Self() const
{
  membership::Member self;
  self.mName = mSettings.mVm.mName;
  self.mRegion = mSettings.mVm.mRegion;
  self.mDomain = mSettings.mVm.mDomain;
  self.mIncarnation = mDataPath.Incarnation();
  self.mState = mIsLeaving ? membership::MemberState::Leaving
                           : membership::MemberState::Alive;
  self.mHandoffAddress = mSettings.OwnAddress(mSettings.mPorts.mHandoff);
  self.mPeerAddress = mSettings.OwnAddress(mSettings.mPorts.mPeer);
  self.mAgentAddress = mSettings.OwnAddress(mSettings.mPorts.mAgent);
  return self;
}

void
AgentLink::Run(const daemon::StopToken& aStop)
{
  net::RequestClient client(mSettings.OwnAddress(mSettings.mPorts.mLocal),
                            net::kMaxLocalReplySize,
                            mSettings.mVm.mIp);
  do {
    try {
      SendHeartbeat(client);
      mAgentAnswers = true;
    } catch (const PeerError& e) {
      if (mAgentAnswers) {
        daemon::LogEvent({ 3002, absl::StrCat("agent=silent ", e.what()) });
      }
      mAgentAnswers = false;
    }
  } while (!aStop.WaitFor(kHeartbeatInterval));
}

void
AgentLink::SendHeartbeat(net::RequestClient& aClient)
{
  const bool isLeaving = mIsLeaving;
  net::LocalRequest request;
  request.mSelf = Self();
  request.mViewSequence = mViewSequence;
  const config::ChainPoint& point = mChain.Point();
  request.mConfig = { point.mVersion.mNumber,
                      point.mVersion.mDigest,
                      point.mPosition };
  OnReply(
    net::DecodeLocalReply(aClient.Ask(net::Encode(request), kAnswerTimeout)));
  mLastAnswer = Now().time_since_epoch().count();
  mLeaveAnnounced = isLeaving;
}

void
AgentLink::NotifyEnded()
{
  try {
    net::RequestClient client(mSettings.OwnAddress(mSettings.mPorts.mLocal),
                              net::kMaxLocalReplySize,
                              mSettings.mVm.mIp);
    net::LocalRequest request;
    request.mSelf = Self();
    request.mSelf.mState = membership::MemberState::Dead;
    client.Ask(net::Encode(request), kAnswerTimeout);
  } catch (const PeerError&) {
    // Either the agent has ended before, or it will notice that the heartbeats
    // have stopped.
  }
}

void
AgentLink::OnReply(const net::LocalReply& aReply)
{
  if (aReply.mRefusedIncarnation != 0) {
    RestartBalancer(aReply.mRefusedIncarnation);
    return;
  }
  if (!aReply.mViewInDoubt) {
    mMailbox.Post(
      [this](balancer::Balancer&, TimePoint) { mDataPath.ConfirmView(); });
  }
  const config::Version before = mChain.Point().mVersion;
  ApplyConfig(aReply.mConfig);
  PostSnapshotIfNeeded(mChain.Point().mVersion != before, !aReply.mViewInDoubt);
  ApplyView(aReply);
  ApplyLoads(aReply);
}

// Peers consider this incarnation of the balancer dead, so flows, requests and
// Echo values that it holds are no longer valid. The balancer restarts with
// empty state under a greater incarnation.
void
AgentLink::RestartBalancer(routing::Incarnation aFloor)
{
  mViewSequence = 0;
  mRestartedAt = Now();
  mMailbox.Post([this, aFloor](balancer::Balancer&, TimePoint) {
    mDataPath.RestartBalancer(aFloor);
  });
  daemon::LogEvent({ 3003, absl::StrCat("floor=", aFloor) });
}

void
AgentLink::ApplyView(const net::LocalReply& aReply)
{
  if (aReply.mMembers.empty()) {
    return;
  }
  auto view = std::make_shared<membership::View>();
  view->mSequence = aReply.mViewSequence;
  view->mMembers = aReply.mMembers;
  view->mInDoubt = aReply.mViewInDoubt;
  std::vector<uint32_t> ips;
  for (const membership::Member& it : view->mMembers) {
    ips.push_back(it.mHandoffAddress.mIp);
  }
  mViewSequence = aReply.mViewSequence;
  daemon::LogEvent({ 3001,
                     absl::StrCat("members=",
                                  view->mMembers.size(),
                                  " sequence=",
                                  view->mSequence,
                                  " in_doubt=",
                                  view->mInDoubt) });
  mMailbox.Post([this, view, ips](balancer::Balancer& b, TimePoint aNow) {
    mDataPath.SetPeers(ips);
    b.SetView(view, aNow);
  });
}

void
AgentLink::ApplyConfig(const net::ConfigReply& aReply)
{
  if (aReply.mDocumentJson.empty() && aReply.mPatchesJson.empty()) {
    return;
  }
  config::ChainAnswer answer;
  answer.mPoint = { { aReply.mVersion.mNumber, aReply.mVersion.mDigest },
                    aReply.mVersion.mPosition };
  answer.mDocument = aReply.mDocumentJson;
  answer.mPatches = aReply.mPatchesJson;
  try {
    mChain.Offer(answer);
  } catch (const ConfigError& e) {
    daemon::LogEvent({ 2002, e.what() });
  }
}

// Posts the configuration when it is newer, or when the balancer was restarted
// and has none. A restarted balancer gets no configuration until the agent
// confirms that it is the newest, or until kMaxConfigWait has passed: with an
// outdated one, flows that the balancer takes over would get the default
// upstreams of the old version.
void
AgentLink::PostSnapshotIfNeeded(bool aIsNewer, bool aIsConfirmed)
{
  const bool isWaiting = mRestartedAt.has_value() && !aIsConfirmed &&
                         Now() - *mRestartedAt < kMaxConfigWait;
  if (!mChain.Current() || isWaiting || (!aIsNewer && !mRestartedAt)) {
    return;
  }
  mRestartedAt.reset();
  daemon::LogEvent(
    { 2001, absl::StrCat("number=", mChain.Point().mVersion.mNumber) });
  mMailbox.Post(
    [snapshot = mChain.Current()](balancer::Balancer& b, TimePoint aNow) {
      b.SetSnapshot(snapshot, aNow);
    });
}

void
AgentLink::ApplyLoads(const net::LocalReply& aReply)
{
  if (aReply.mLoads.empty()) {
    return;
  }
  const TimePoint now = Now();
  std::vector<routing::LoadReport> reports;
  for (const net::UpstreamLoad& it : aReply.mLoads) {
    reports.push_back(
      { it.mUpstream, it.mInFlight, it.mHealthy, it.mDraining, now - it.mAge });
  }
  mMailbox.Post([reports](balancer::Balancer& b, TimePoint aNow) {
    b.OnUpstreamReports(reports, aNow);
  });
}

} // namespace foxtail::balancerd

#include "FlowWorld.h"

#include <algorithm>
#include <cassert>
#include <sstream>
#include <stdexcept>

#include "foxtail/core/Hash.h"

namespace foxtail::test {

namespace {

constexpr milliseconds kCallerLatency{ 3 };
constexpr Duration kSameDomainLatency = microseconds(200);
constexpr Duration kCrossDomainLatency = microseconds(900);
constexpr milliseconds kReadTime{ 4 };
constexpr milliseconds kSynTimes[] = { milliseconds(0),
                                       milliseconds(200),
                                       milliseconds(600) };
constexpr milliseconds kConnectTimeout{ 1400 };
constexpr milliseconds kRequestDeadline{ 4000 };
constexpr milliseconds kTimeStep{ 1 };
// Time after the publication of its draining from which on an upstream must get
// no new flows.
constexpr milliseconds kMaxDrainDelay{ 3000 };
constexpr int kMaxAttempts = 3;
// A failed request takes hardly any time, and its answer has few bytes.
constexpr milliseconds kFailureWorkTime{ 1 };
constexpr uint32_t kFailureBytes = 170;
constexpr uint32_t kMinAnswerBytes = 500;
constexpr uint32_t kAnswerBytesSpread = 1000;
// Deliveries that wait for a paused balancer; further ones are lost.
constexpr size_t kMaxHeldBack = 200;
constexpr const char* kPublisher = "publisher";

bool
KeyLess(const FlowKey& a, const FlowKey& b)
{
  return std::tie(a.mCaller, a.mService) < std::tie(b.mCaller, b.mService);
}

// Content of a simulated packet.
struct Content
{
  uint64_t mAttempt = 0;
  char mKind = '?';
  uint32_t mAcknowledged = 0;
};

std::string
Encode(const Content& aContent)
{
  std::ostringstream out;
  out << aContent.mAttempt << ' ' << aContent.mKind << ' '
      << aContent.mAcknowledged;
  return out.str();
}

bool
Decode(const std::string& aBytes, Content& aContent)
{
  std::istringstream in(aBytes);
  in >> aContent.mAttempt >> aContent.mKind >> aContent.mAcknowledged;
  return !in.fail() && Encode(aContent) == aBytes;
}

} // namespace

FlowWorld::FlowWorld(const FlowWorldSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mRate(aSettings.mRequestsPerSecond)
  , mNextRequestAt(mNow + seconds(1))
  , mAttemptByKey(&KeyLess)
{
  for (const std::string service : { "one", "two" }) {
    flow::Route route;
    route.mName = "route-" + service;
    route.mServiceAddress = { service == "one" ? 1U : 2U, 80 };
    route.mTargets = { { service, 1 } };
    route.mObjective = aSettings.mObjective;
    mConfiguration.mRoutes.push_back(route);
  }
  mConfiguration.mVersion = 1;
  mConfiguration.mRevision = ++mRevision;
  for (size_t i = 0; i < aSettings.mDomains.size(); ++i) {
    for (size_t j = 0; j < aSettings.mUpstreamsPerDomain + 1; ++j) {
      SimulatedUpstream upstream;
      upstream.mRecord.mInstance = mNextInstance++;
      upstream.mRecord.mId = "i-" + std::to_string(mUpstreams.size());
      upstream.mRecord.mState = flow::UpstreamState::Ready;
      upstream.mRecord.mAddress = {
        static_cast<uint32_t>(10000 + mUpstreams.size()), 80
      };
      // The last upstream of a domain belongs to the other service.
      upstream.mRecord.mService =
        j < aSettings.mUpstreamsPerDomain ? "one" : "two";
      upstream.mRecord.mDomain = aSettings.mDomains[i];
      upstream.mRecord.mSlots = aSettings.mSlots;
      mUpstreams.push_back(upstream);
      Publish(mUpstreams.size() - 1);
    }
  }
  for (const std::string& domain : aSettings.mDomains) {
    for (size_t j = 0; j < aSettings.mBalancersPerDomain; ++j) {
      Node node;
      node.mIp = static_cast<flow::VmIp>(100 + mNodes.size());
      node.mDomain = domain;
      mNodes.push_back(std::move(node));
    }
  }
  for (size_t i = 0; i < mNodes.size(); ++i) {
    StartBalancer(i);
  }
}

// Time

void
FlowWorld::Schedule(Duration aDelay, std::function<void()> aCallback)
{
  mEvents.push({ mNow + aDelay, ++mOrder, std::move(aCallback) });
}

void
FlowWorld::Step()
{
  mNow += kTimeStep;
  while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
    const auto callback = mEvents.top().mCallback;
    mEvents.pop();
    callback();
  }
  for (size_t i = 0; i < mNodes.size(); ++i) {
    auto* balancer =
      std::get_if<std::unique_ptr<flow::FlowBalancer>>(&mNodes[i].mBalancer);
    if (mNodes[i].mIsAlive && !mNodes[i].mPausedAt && balancer != nullptr) {
      ExecuteActions(i, (*balancer)->OnIteration(mNow));
      ExecuteActions(i, (*balancer)->OnTimer(mNow));
    }
  }
}

void
FlowWorld::Run(milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (mNow < end) {
    Step();
    while (mRate > 0 && mNextRequestAt <= mNow) {
      StartRequest();
      std::exponential_distribution<double> gap(mRate);
      mNextRequestAt += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(mRandom)));
    }
  }
}

void
FlowWorld::RunUntilIdle()
{
  mRate = 0;
  Run(kRequestDeadline + kConnectTimeout);
}

// Faults and changes

void
FlowWorld::ScheduleFabricCheck(size_t aNode)
{
  if (mSettings.mFabricLag == milliseconds(0)) {
    mNodes[aNode].mIsInRotation = mNodes[aNode].mIsAlive;
    return;
  }
  std::uniform_int_distribution<int64_t> lag(mSettings.mFabricLag.count() / 2,
                                             mSettings.mFabricLag.count());
  const uint64_t generation = mNodes[aNode].mGeneration;
  Schedule(milliseconds(lag(mRandom)), [this, aNode, generation] {
    Node& node = mNodes[aNode];
    if (node.mGeneration == generation) {
      node.mIsInRotation = node.mIsAlive;
    }
  });
}

void
FlowWorld::StartBalancer(size_t aIndex)
{
  Node& node = mNodes[aIndex];
  ++node.mGeneration;
  node.mIsAlive = true;
  ScheduleFabricCheck(aIndex);
  if (mSettings.mIsNaive) {
    NaiveBalancer naive;
    for (const flow::UpstreamRecord& it : PublishedSince(0).mUpstreams) {
      if (it.mService == "one") {
        naive.mUpstreams.push_back(it);
      }
    }
    node.mBalancer = naive;
    return;
  }
  flow::FlowBalancerSettings settings;
  settings.mSelf.mIp = node.mIp;
  settings.mSelf.mDomain = node.mDomain;
  settings.mSelf.mIncarnation = node.mGeneration;
  settings.mSeeds = { mNodes.front().mIp, mNodes.back().mIp };
  settings.mRandomSeed = mSettings.mSeed * 1000 + aIndex;
  node.mBalancer = std::make_unique<flow::FlowBalancer>(mNow, settings);
}

void
FlowWorld::PauseBalancer(size_t aIndex)
{
  mNodes[aIndex].mPausedAt = mNow;
}

void
FlowWorld::ResumeBalancer(size_t aIndex)
{
  Node& node = mNodes[aIndex];
  node.mPausedAt.reset();
  auto& balancer =
    std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
  ExecuteActions(aIndex, balancer->OnIteration(mNow));
  for (const auto& it : std::exchange(node.mHeldBack, {})) {
    it();
  }
}

void
FlowWorld::DeliverOrHold(size_t aNode, std::function<void()> aDeliver)
{
  Node& node = mNodes[aNode];
  if (!node.mPausedAt) {
    aDeliver();
  } else if (node.mHeldBack.size() < kMaxHeldBack) {
    node.mHeldBack.push_back(std::move(aDeliver));
  }
}

void
FlowWorld::KillBalancer(size_t aIndex)
{
  mNodes[aIndex].mIsAlive = false;
  ++mNodes[aIndex].mGeneration;
  ScheduleFabricCheck(aIndex);
}

void
FlowWorld::Publish(size_t aUpstream)
{
  flow::UpstreamRecord& record = mUpstreams[aUpstream].mRecord;
  record.mRevision = ++mRevision;
  mPublished[record.mId] = { record.mRevision, aUpstream };
}

void
FlowWorld::Unpublish(size_t aUpstream)
{
  const std::string& id = mUpstreams[aUpstream].mRecord.mId;
  if (mPublished.erase(id) > 0) {
    mRemovals.push_back({ id, ++mRevision });
  }
}

void
FlowWorld::Drain(size_t aUpstream)
{
  SimulatedUpstream& upstream = mUpstreams[aUpstream];
  upstream.mIsDraining = true;
  upstream.mDrainingSince = mNow;
  upstream.mRecord.mState = flow::UpstreamState::Draining;
  Publish(aUpstream);
}

void
FlowWorld::Crash(size_t aUpstream, milliseconds aRemovalDelay)
{
  mUpstreams[aUpstream].mIsAlive = false;
  mUpstreams[aUpstream].mFlows.clear();
  Schedule(aRemovalDelay, [this, aUpstream] { Unpublish(aUpstream); });
}

void
FlowWorld::SetFailureShare(size_t aUpstream, double aShare)
{
  mUpstreams[aUpstream].mFailShare = aShare;
}

void
FlowWorld::ReuseAddress(size_t aUpstream)
{
  SimulatedUpstream upstream;
  upstream.mRecord = mUpstreams[aUpstream].mRecord;
  upstream.mRecord.mInstance = mNextInstance++;
  upstream.mRecord.mId = "i-" + std::to_string(mUpstreams.size());
  upstream.mRecord.mService =
    upstream.mRecord.mService == "one" ? "two" : "one";
  upstream.mRecord.mState = flow::UpstreamState::Ready;
  Unpublish(aUpstream);
  mUpstreams.push_back(upstream);
  Publish(mUpstreams.size() - 1);
}

void
FlowWorld::LapseAllRecords(milliseconds aRepublishDelay)
{
  for (size_t i = 0; i < mUpstreams.size(); ++i) {
    if (mUpstreams[i].mIsAlive) {
      Unpublish(i);
      Schedule(aRepublishDelay, [this, i] { Publish(i); });
    }
  }
}

void
FlowWorld::MoveRoute()
{
  mConfiguration.mRoutes[0].mTargets = { { "two", 1 } };
  ++mConfiguration.mVersion;
  mConfiguration.mRevision = ++mRevision;
}

const flow::FlowBalancer&
FlowWorld::BalancerAt(size_t aIndex) const
{
  return *std::get<std::unique_ptr<flow::FlowBalancer>>(
    mNodes[aIndex].mBalancer);
}

uint64_t
FlowWorld::TotalSuspicions() const
{
  uint64_t total = 0;
  for (size_t i = 0; i < mNodes.size(); ++i) {
    total += mNodes[i].mIsAlive ? BalancerAt(i).Counters().mRepeatedOffers : 0;
  }
  return total;
}

flow::ReplicaUpdate
FlowWorld::PublishedSince(flow::Revision aAfter) const
{
  flow::ReplicaUpdate update;
  update.mConfirmed = mRevision;
  update.mIsFullListing = aAfter == 0;
  for (const auto& [id, entry] : mPublished) {
    if (entry.first > aAfter) {
      update.mUpstreams.push_back(mUpstreams[entry.second].mRecord);
    }
  }
  for (const flow::RemovedRecord& it : mRemovals) {
    if (it.mRevision > aAfter) {
      update.mRemoved.push_back(it);
    }
  }
  if (mConfiguration.mRevision > aAfter) {
    update.mConfiguration = mConfiguration;
  }
  return update;
}

bool
FlowWorld::IsPartitioned(const std::string& aFrom, const std::string& aTo) const
{
  return !mPartitionedDomain.empty() && aFrom != aTo &&
         (aFrom == mPartitionedDomain || aTo == mPartitionedDomain);
}

Duration
FlowWorld::NetworkLatency(const std::string& aFrom,
                          const std::string& aTo) const
{
  return aFrom == aTo ? kSameDomainLatency : kCrossDomainLatency;
}

// Callers

void
FlowWorld::StartRequest()
{
  ++mOutcome.mRequestCount;
  const uint64_t request = ++mLastRequest;
  const TimePoint startedAt = mNow;
  StartAttempt(request, startedAt, 1);
}

void
FlowWorld::StartAttempt(uint64_t aRequest, TimePoint aStartedAt, int aNumber)
{
  Attempt attempt;
  attempt.mRequest = aRequest;
  attempt.mStartedAt = aStartedAt;
  attempt.mNumber = aNumber;
  attempt.mKey.mCaller = { static_cast<uint32_t>(500 + aRequest % 40),
                           ++mNextPort };
  attempt.mKey.mService = { 1, 80 };
  attempt.mDomain = mSettings.mDomains[aRequest % mSettings.mDomains.size()];
  const uint64_t id = ++mLastAttempt;
  mAttemptByKey[attempt.mKey] = id;
  mAttempts[id] = attempt;
  for (uint32_t i = 0; i < 3; ++i) {
    Schedule(kSynTimes[i], [this, id, i] { SendSyn(id, i); });
  }
  Schedule(kConnectTimeout, [this, id] {
    if (!mAttempts[id].mIsOpen) {
      EndAttempt(id, false, true);
    }
  });
  Schedule(kRequestDeadline, [this, id] { EndAttempt(id, false, false); });
}

void
FlowWorld::SendSyn(uint64_t aAttempt, uint32_t aCopy)
{
  const Attempt& attempt = mAttempts[aAttempt];
  if (attempt.mHasEnded || attempt.mIsOpen) {
    return;
  }
  flow::Packet packet;
  packet.mHasSyn = true;
  packet.mAcknowledgement = aCopy;
  packet.mKey = attempt.mKey;
  const std::string bytes = Encode({ aAttempt, 'S', 0 });
  packet.mBytes = bytes;
  SendFromCaller(aAttempt, packet);
}

size_t
FlowWorld::RouteToBalancer(const FlowKey& aKey,
                           const std::string& aDomain) const
{
  std::vector<size_t> here;
  std::vector<size_t> anywhere;
  for (size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mIsInRotation) {
      anywhere.push_back(i);
      if (mNodes[i].mDomain == aDomain) {
        here.push_back(i);
      }
    }
  }
  const auto& among = here.empty() ? anywhere : here;
  return among.empty() ? mNodes.size() : among[aKey.Hash() % among.size()];
}

void
FlowWorld::SendFromCaller(uint64_t aAttempt, flow::Packet aPacket)
{
  const Attempt& attempt = mAttempts[aAttempt];
  const size_t node = RouteToBalancer(attempt.mKey, attempt.mDomain);
  if (node == mNodes.size()) {
    return;
  }
  const uint64_t generation = mNodes[node].mGeneration;
  const std::string bytes(aPacket.mBytes);
  Schedule(kCallerLatency, [this, node, generation, aPacket, bytes]() mutable {
    if (mNodes[node].mIsAlive && mNodes[node].mGeneration == generation) {
      DeliverOrHold(node, [this, node, aPacket, bytes]() mutable {
        aPacket.mBytes = bytes;
        DeliverToBalancer(node, aPacket);
      });
    }
  });
}

void
FlowWorld::EndAttempt(uint64_t aAttempt, bool aIsAnswered, bool aMayRetry)
{
  Attempt& attempt = mAttempts[aAttempt];
  if (attempt.mHasEnded) {
    return;
  }
  attempt.mHasEnded = true;
  mAttemptByKey.erase(attempt.mKey);
  if (aIsAnswered) {
    const bool inTime = mNow - attempt.mStartedAt <= mSettings.mObjective;
    ++(inTime ? mOutcome.mInTime : mOutcome.mLate);
    return;
  }
  const bool isOver = mNow - attempt.mStartedAt >= kRequestDeadline;
  if (aMayRetry && !isOver && attempt.mNumber < kMaxAttempts) {
    StartAttempt(attempt.mRequest, attempt.mStartedAt, attempt.mNumber + 1);
    return;
  }
  ++(aMayRetry && !isOver ? mOutcome.mRefused : mOutcome.mUnanswered);
}

void
FlowWorld::OnSynAck(uint64_t aAttempt,
                    size_t aUpstream,
                    flow::Cookie aCookie,
                    uint32_t aSequence)
{
  Attempt& attempt = mAttempts[aAttempt];
  if (attempt.mHasEnded || attempt.mIsOpen) {
    return;
  }
  attempt.mIsOpen = true;
  attempt.mUpstream = aUpstream;
  attempt.mCookie = aCookie;
  attempt.mAcknowledged = aSequence;
  flow::Packet packet;
  packet.mHasAck = true;
  packet.mKey = attempt.mKey;
  packet.mCookie = aCookie;
  packet.mAcknowledgement = aSequence;
  packet.mPayloadLength = 100;
  const std::string bytes = Encode({ aAttempt, 'R', aSequence });
  packet.mBytes = bytes;
  SendFromCaller(aAttempt, packet);
}

// Balancers

void
FlowWorld::DeliverToBalancer(size_t aNode, const flow::Packet& aPacket)
{
  Node& node = mNodes[aNode];
  if (auto* balancer =
        std::get_if<std::unique_ptr<flow::FlowBalancer>>(&node.mBalancer)) {
    ExecuteActions(aNode, (*balancer)->OnPacket(mNow, aPacket));
    return;
  }
  const auto& upstreams = std::get<NaiveBalancer>(node.mBalancer).mUpstreams;
  const auto& chosen = upstreams[aPacket.mKey.Hash() % upstreams.size()];
  // The naive balancer names no instance (0), so whichever upstream has the
  // address now gets the packet.
  DeliverToUpstream(
    node.mDomain, chosen.mAddress, 0, 1, std::string(aPacket.mBytes));
}

void
FlowWorld::ExecuteActions(size_t aNode, const flow::FlowActions& aActions)
{
  for (const flow::FlowAction& it : aActions) {
    std::visit([&](const auto& n) { Execute(aNode, n); }, it);
  }
}

void
FlowWorld::Execute(size_t aNode, const flow::ForwardPacket& aAction)
{
  DeliverToUpstream(mNodes[aNode].mDomain,
                    aAction.mUpstream,
                    aAction.mInstance,
                    aAction.mCookie,
                    aAction.mBytes);
}

void
FlowWorld::Execute(size_t, const flow::ResetFlow& aAction)
{
  Schedule(kCallerLatency, [this, key = aAction.mKey] {
    const auto it = mAttemptByKey.find(key);
    if (it == mAttemptByKey.end()) {
      return;
    }
    const bool isOpen = mAttempts[it->second].mIsOpen;
    mOutcome.mResetWhileOpen += isOpen ? 1 : 0;
    EndAttempt(it->second, false, !isOpen);
  });
}

void
FlowWorld::Execute(size_t aNode, const flow::SendToPeer& aAction)
{
  for (size_t i = 0; i < mNodes.size(); ++i) {
    Node& to = mNodes[i];
    const Node& from = mNodes[aNode];
    if (to.mIp != aAction.mPeer || IsPartitioned(from.mDomain, to.mDomain)) {
      continue;
    }
    Schedule(
      NetworkLatency(from.mDomain, to.mDomain),
      [this,
       i,
       generation = to.mGeneration,
       ip = from.mIp,
       message = aAction.mMessage] {
        Node& node = mNodes[i];
        if (node.mIsAlive && node.mGeneration == generation) {
          DeliverOrHold(i, [this, i, ip, message] {
            auto& balancer = std::get<std::unique_ptr<flow::FlowBalancer>>(
              mNodes[i].mBalancer);
            ExecuteActions(i, balancer->OnPeerMessage(mNow, ip, message));
          });
        }
      });
  }
}

void
FlowWorld::Execute(size_t aNode, const flow::ReadPublisher& aAction)
{
  const uint64_t generation = mNodes[aNode].mGeneration;
  const bool fails = mPublisherIsDown;
  ++mPublisherReads;
  const flow::Revision after = aAction.mNeedsFullListing ? 0 : aAction.mAfter;
  Schedule(kReadTime, [this, aNode, generation, fails, after] {
    Node& node = mNodes[aNode];
    if (!node.mIsAlive || node.mGeneration != generation) {
      return;
    }
    auto& balancer =
      std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
    std::optional<flow::ReplicaUpdate> update;
    if (!fails) {
      update = PublishedSince(after);
    }
    DeliverOrHold(aNode, [this, aNode, &balancer, update] {
      ExecuteActions(aNode, balancer->OnReadResult(mNow, update, kPublisher));
    });
  });
}

void
FlowWorld::Execute(size_t aNode, const flow::ReadPeer& aAction)
{
  std::optional<flow::ReplicaUpdate> update;
  for (const Node& it : mNodes) {
    const bool isAsked = it.mIp == aAction.mPeer && it.mIsAlive &&
                         !IsPartitioned(it.mDomain, mNodes[aNode].mDomain);
    if (isAsked) {
      const auto& balancer =
        std::get<std::unique_ptr<flow::FlowBalancer>>(it.mBalancer);
      update = balancer->Replica().ChangesSince(mNow, aAction.mAfter);
    }
  }
  const uint64_t generation = mNodes[aNode].mGeneration;
  Schedule(kReadTime, [this, aNode, generation, update] {
    Node& node = mNodes[aNode];
    if (node.mIsAlive && node.mGeneration == generation) {
      auto& balancer =
        std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
      DeliverOrHold(aNode, [this, aNode, &balancer, update] {
        ExecuteActions(aNode, balancer->OnReadResult(mNow, update, "peer"));
      });
    }
  });
}

// Upstreams

void
FlowWorld::DeliverToUpstream(const std::string& aFromDomain,
                             const Address& aAddress,
                             uint64_t aInstance,
                             flow::Cookie aCookie,
                             const std::string& aBytes)
{
  Content content;
  if (!Decode(aBytes, content)) {
    ++mOutcome.mCorruptedPackets;
    return;
  }
  for (size_t i = mUpstreams.size(); i-- > 0;) {
    const flow::UpstreamRecord& record = mUpstreams[i].mRecord;
    // The newest upstream with an address owns it.
    if (record.mAddress != aAddress) {
      continue;
    }
    const bool isMeant = aInstance == 0 || aInstance == record.mInstance;
    if (!isMeant || IsPartitioned(aFromDomain, record.mDomain)) {
      return;
    }
    Schedule(NetworkLatency(aFromDomain, record.mDomain),
             [this, i, content, aCookie] {
               if (!mUpstreams[i].mIsAlive) {
                 return;
               }
               if (content.mKind == 'S') {
                 OnSyn(i, content.mAttempt, aCookie);
               } else if (content.mKind == 'R') {
                 OnRequest(i, content.mAttempt, content.mAcknowledged);
               }
             });
    return;
  }
}

void
FlowWorld::OnSyn(size_t aUpstream, uint64_t aAttempt, flow::Cookie aCookie)
{
  SimulatedUpstream& upstream = mUpstreams[aUpstream];
  const bool isLate =
    upstream.mIsDraining && mNow - upstream.mDrainingSince >= kMaxDrainDelay;
  mOutcome.mOpenedWhileDraining += isLate ? 1 : 0;
  UpstreamFlow& entry = upstream.mFlows[aAttempt];
  entry.mRequest = mAttempts[aAttempt].mRequest;
  entry.mSequence =
    static_cast<uint32_t>(MixHash(aAttempt, aUpstream + 1) & 0xFFFFFFU);
  Schedule(kCallerLatency,
           [this, aAttempt, aUpstream, aCookie, n = entry.mSequence] {
             OnSynAck(aAttempt, aUpstream, aCookie, n);
           });
}

void
FlowWorld::OnRequest(size_t aUpstream,
                     uint64_t aAttempt,
                     uint32_t aAcknowledged)
{
  SimulatedUpstream& upstream = mUpstreams[aUpstream];
  const auto it = upstream.mFlows.find(aAttempt);
  const bool holds =
    it != upstream.mFlows.end() && it->second.mSequence == aAcknowledged;
  if (!holds) {
    ++mOutcome.mStrayPackets;
    Schedule(kCallerLatency,
             [this, aAttempt] { EndAttempt(aAttempt, false, false); });
    return;
  }
  // A request for service "one" may run at an upstream of that service or,
  // after MoveRoute, of the service that the route names now.
  const bool isOther = upstream.mRecord.mService !=
                         mConfiguration.mRoutes[0].mTargets[0].mService &&
                       upstream.mRecord.mService != "one";
  mOutcome.mWrongService += isOther ? 1 : 0;
  if (upstream.mBusy >= mSettings.mSlots &&
      upstream.mWaiting.size() >= mSettings.mMaxQueue) {
    // The upstream's queue is full; it answers that the request has not run.
    Schedule(kCallerLatency,
             [this, aAttempt] { EndAttempt(aAttempt, false, true); });
    return;
  }
  upstream.mWaiting.push_back(aAttempt);
  StartWork(aUpstream);
}

void
FlowWorld::StartWork(size_t aUpstream)
{
  SimulatedUpstream& upstream = mUpstreams[aUpstream];
  while (upstream.mBusy < mSettings.mSlots && !upstream.mWaiting.empty()) {
    const uint64_t attempt = upstream.mWaiting.front();
    upstream.mWaiting.erase(upstream.mWaiting.begin());
    ++upstream.mBusy;
    const int runs = ++mRunCounts[attempt];
    mOutcome.mRunTwice += runs > 1 ? 1 : 0;
    std::exponential_distribution<double> spread(2.0);
    const double factor = 0.5 + spread(mRandom);
    const auto work = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
        factor * static_cast<double>(mSettings.mMeanWorkTime.count())));
    std::bernoulli_distribution failure(upstream.mFailShare);
    const bool fails = upstream.mFailShare > 0 && failure(mRandom);
    Schedule(
      fails ? kFailureWorkTime : work,
      [this, aUpstream, attempt, fails] { Answer(aUpstream, attempt, fails); });
  }
}

void
FlowWorld::Answer(size_t aUpstream, uint64_t aAttempt, bool aFails)
{
  SimulatedUpstream& upstream = mUpstreams[aUpstream];
  --upstream.mBusy;
  StartWork(aUpstream);
  if (!upstream.mIsAlive) {
    return;
  }
  Schedule(kCallerLatency, [this, aAttempt, aFails] {
    if (mAttempts[aAttempt].mHasEnded) {
      return;
    }
    const Attempt attempt = mAttempts[aAttempt];
    mOutcome.mFailed += aFails ? 1 : 0;
    EndAttempt(aAttempt, !aFails, false);
    const auto more = static_cast<uint32_t>(
      MixHash(aAttempt, kAnswerBytesSpread) % kAnswerBytesSpread);
    const uint32_t bytes = aFails ? kFailureBytes : kMinAnswerBytes + more;
    flow::Packet packet;
    packet.mHasAck = true;
    packet.mHasFin = true;
    packet.mKey = attempt.mKey;
    packet.mCookie = attempt.mCookie;
    packet.mAcknowledgement = attempt.mAcknowledged + bytes;
    const std::string content = Encode({ aAttempt, 'F', 0 });
    packet.mBytes = content;
    SendFromCaller(aAttempt, packet);
  });
}

} // namespace foxtail::test

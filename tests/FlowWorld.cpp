#include "FlowWorld.h"

#include <algorithm>
#include <cassert>
#include <sstream>
#include <stdexcept>

#include "foxtail/core/Hash.h"

namespace foxtail::test {

namespace {

constexpr milliseconds kCallerDelay{ 3 };
constexpr Duration kInDomain = microseconds(200);
constexpr Duration kAcross = microseconds(900);
constexpr milliseconds kPublisherTime{ 4 };
constexpr milliseconds kCopies[] = { milliseconds(0),
                                     milliseconds(200),
                                     milliseconds(600) };
constexpr milliseconds kOpenTime{ 1400 };
constexpr milliseconds kDeadline{ 4000 };
constexpr milliseconds kTick{ 1 };
// Draining is to be respected this long after it was published.
constexpr milliseconds kDrainBound{ 3000 };
constexpr int kTries = 3;
// A failure takes no work and its answer has hardly any bytes.
constexpr milliseconds kFailureTime{ 1 };
constexpr uint32_t kFailureBytes = 170;
constexpr uint32_t kLeastAnswerBytes = 500;
constexpr uint32_t kAnswerBytesSpread = 1000;
constexpr const char* kPublisher = "publisher";

bool
KeyLess(const FlowKey& a, const FlowKey& b)
{
  return std::tie(a.mCaller, a.mService) < std::tie(b.mCaller, b.mService);
}

// What a packet carries here in place of bytes.
struct Content
{
  uint64_t mTry = 0;
  char mKind = '?';
  uint32_t mConfirmed = 0;
};

std::string
Encode(const Content& aContent)
{
  std::ostringstream out;
  out << aContent.mTry << ' ' << aContent.mKind << ' ' << aContent.mConfirmed;
  return out.str();
}

bool
Decode(const std::string& aBytes, Content& aContent)
{
  std::istringstream in(aBytes);
  in >> aContent.mTry >> aContent.mKind >> aContent.mConfirmed;
  return !in.fail() && Encode(aContent) == aBytes;
}

} // namespace

FlowWorld::FlowWorld(const FlowWorldSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mRate(aSettings.mRequestsPerSecond)
  , mNextAsk(mNow + seconds(1))
  , mTryByKey(&KeyLess)
{
  for (const std::string service : { "one", "two" }) {
    flow::Route route;
    route.mName = "route-" + service;
    route.mService = { service == "one" ? 1U : 2U, 80 };
    route.mTargets = { { service, 1 } };
    route.mObjective = aSettings.mObjective;
    mConfiguration.mRoutes.push_back(route);
  }
  mConfiguration.mVersion = 1;
  mConfiguration.mRevision = ++mRevision;
  for (size_t i = 0; i < aSettings.mDomains.size(); ++i) {
    for (size_t j = 0; j < aSettings.mUpstreamsPerDomain + 1; ++j) {
      UpstreamState upstream;
      upstream.mRecord.mInstance = mNextInstance++;
      upstream.mRecord.mId = "i-" + std::to_string(mUpstreams.size());
      upstream.mRecord.mState = flow::UpstreamState::Ready;
      upstream.mRecord.mAddress = {
        static_cast<uint32_t>(10000 + mUpstreams.size()), 80
      };
      // The last one of a domain belongs to the other service.
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

// Time.

void
FlowWorld::At(Duration aDelay, std::function<void()> aWhat)
{
  mEvents.push({ mNow + aDelay, ++mOrder, std::move(aWhat) });
}

void
FlowWorld::Step()
{
  mNow += kTick;
  while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
    const auto what = mEvents.top().mWhat;
    mEvents.pop();
    what();
  }
  for (size_t i = 0; i < mNodes.size(); ++i) {
    auto* balancer =
      std::get_if<std::unique_ptr<flow::FlowBalancer>>(&mNodes[i].mBalancer);
    if (mNodes[i].mIsAlive && balancer != nullptr) {
      Carry(i, (*balancer)->OnTimer(mNow));
    }
  }
}

void
FlowWorld::Run(milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (mNow < end) {
    Step();
    while (mRate > 0 && mNextAsk <= mNow) {
      Ask();
      std::exponential_distribution<double> gap(mRate);
      mNextAsk += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(mRandom)));
    }
  }
}

void
FlowWorld::RunUntilIdle()
{
  mRate = 0;
  Run(kDeadline + kOpenTime);
}

// Troubles.

void
FlowWorld::StartBalancer(size_t aIndex)
{
  Node& node = mNodes[aIndex];
  ++node.mLife;
  node.mIsAlive = true;
  if (mSettings.mIsNaive) {
    NaiveBalancer naive;
    for (const flow::UpstreamRecord& it : Published(0).mUpstreams) {
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
  settings.mSelf.mIncarnation = node.mLife;
  settings.mSeeds = { mNodes.front().mIp, mNodes.back().mIp };
  settings.mSeed = mSettings.mSeed * 1000 + aIndex;
  node.mBalancer = std::make_unique<flow::FlowBalancer>(mNow, settings);
}

void
FlowWorld::KillBalancer(size_t aIndex)
{
  mNodes[aIndex].mIsAlive = false;
  ++mNodes[aIndex].mLife;
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
  UpstreamState& upstream = mUpstreams[aUpstream];
  upstream.mIsDraining = true;
  upstream.mDrainingSince = mNow;
  upstream.mRecord.mState = flow::UpstreamState::Draining;
  Publish(aUpstream);
}

void
FlowWorld::Crash(size_t aUpstream, milliseconds aLapse)
{
  mUpstreams[aUpstream].mIsAlive = false;
  mUpstreams[aUpstream].mFlows.clear();
  At(aLapse, [this, aUpstream] { Unpublish(aUpstream); });
}

void
FlowWorld::SetFailureShare(size_t aUpstream, double aShare)
{
  mUpstreams[aUpstream].mFailShare = aShare;
}

void
FlowWorld::ReuseAddress(size_t aUpstream)
{
  UpstreamState upstream;
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
FlowWorld::LapseAllRecords(milliseconds aBack)
{
  for (size_t i = 0; i < mUpstreams.size(); ++i) {
    if (mUpstreams[i].mIsAlive) {
      Unpublish(i);
      At(aBack, [this, i] { Publish(i); });
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

flow::ReplicaUpdate
FlowWorld::Published(flow::Revision aAfter) const
{
  flow::ReplicaUpdate update;
  update.mConfirmed = mRevision;
  update.mIsComplete = aAfter == 0;
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
FlowWorld::IsCut(const std::string& aFrom, const std::string& aTo) const
{
  return !mCut.empty() && aFrom != aTo && (aFrom == mCut || aTo == mCut);
}

Duration
FlowWorld::Delay(const std::string& aFrom, const std::string& aTo) const
{
  return aFrom == aTo ? kInDomain : kAcross;
}

// Callers.

void
FlowWorld::Ask()
{
  ++mOutcome.mRequestCount;
  const uint64_t request = ++mLastRequest;
  const TimePoint askedAt = mNow;
  StartTry(request, askedAt, 1);
}

void
FlowWorld::StartTry(uint64_t aRequest, TimePoint aAskedAt, int aTry)
{
  Try attempt;
  attempt.mRequest = aRequest;
  attempt.mAskedAt = aAskedAt;
  attempt.mTry = aTry;
  attempt.mKey.mCaller = { static_cast<uint32_t>(500 + aRequest % 40),
                           ++mNextPort };
  attempt.mKey.mService = { 1, 80 };
  attempt.mDomain = mSettings.mDomains[aRequest % mSettings.mDomains.size()];
  const uint64_t id = ++mLastTry;
  mTryByKey[attempt.mKey] = id;
  mTries[id] = attempt;
  for (uint32_t i = 0; i < 3; ++i) {
    At(kCopies[i], [this, id, i] { SendSyn(id, i); });
  }
  At(kOpenTime, [this, id] {
    if (!mTries[id].mIsOpen) {
      EndTry(id, false, true);
    }
  });
  At(kDeadline, [this, id] { EndTry(id, false, false); });
}

void
FlowWorld::SendSyn(uint64_t aTry, uint32_t aCopy)
{
  const Try& attempt = mTries[aTry];
  if (attempt.mHasEnded || attempt.mIsOpen) {
    return;
  }
  flow::Packet packet;
  packet.mHasSyn = true;
  packet.mAcknowledgement = aCopy;
  packet.mKey = attempt.mKey;
  const std::string bytes = Encode({ aTry, 'S', 0 });
  packet.mBytes = bytes;
  SendFromCaller(aTry, packet);
}

size_t
FlowWorld::Route(const FlowKey& aKey, const std::string& aDomain) const
{
  std::vector<size_t> here;
  std::vector<size_t> anywhere;
  for (size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mIsAlive) {
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
FlowWorld::SendFromCaller(uint64_t aTry, flow::Packet aPacket)
{
  const Try& attempt = mTries[aTry];
  const size_t node = Route(attempt.mKey, attempt.mDomain);
  if (node == mNodes.size()) {
    return;
  }
  const uint64_t life = mNodes[node].mLife;
  const std::string bytes(aPacket.mBytes);
  At(kCallerDelay, [this, node, life, aPacket, bytes]() mutable {
    if (mNodes[node].mIsAlive && mNodes[node].mLife == life) {
      aPacket.mBytes = bytes;
      DeliverToBalancer(node, aPacket);
    }
  });
}

void
FlowWorld::EndTry(uint64_t aTry, bool aIsAnswered, bool aMayRetry)
{
  Try& attempt = mTries[aTry];
  if (attempt.mHasEnded) {
    return;
  }
  attempt.mHasEnded = true;
  mTryByKey.erase(attempt.mKey);
  if (aIsAnswered) {
    const bool inTime = mNow - attempt.mAskedAt <= mSettings.mObjective;
    ++(inTime ? mOutcome.mInTime : mOutcome.mLate);
    return;
  }
  const bool isOver = mNow - attempt.mAskedAt >= kDeadline;
  if (aMayRetry && !isOver && attempt.mTry < kTries) {
    StartTry(attempt.mRequest, attempt.mAskedAt, attempt.mTry + 1);
    return;
  }
  ++(aMayRetry && !isOver ? mOutcome.mRefused : mOutcome.mUnanswered);
}

void
FlowWorld::OnSynAck(uint64_t aTry,
                    size_t aUpstream,
                    flow::Cookie aCookie,
                    uint32_t aSequence)
{
  Try& attempt = mTries[aTry];
  if (attempt.mHasEnded || attempt.mIsOpen) {
    return;
  }
  attempt.mIsOpen = true;
  attempt.mUpstream = aUpstream;
  attempt.mCookie = aCookie;
  attempt.mConfirmed = aSequence;
  flow::Packet packet;
  packet.mHasAck = true;
  packet.mKey = attempt.mKey;
  packet.mCookie = aCookie;
  packet.mAcknowledgement = aSequence;
  packet.mPayloadLength = 100;
  const std::string bytes = Encode({ aTry, 'R', aSequence });
  packet.mBytes = bytes;
  SendFromCaller(aTry, packet);
}

// Balancers.

void
FlowWorld::DeliverToBalancer(size_t aNode, const flow::Packet& aPacket)
{
  Node& node = mNodes[aNode];
  if (auto* balancer =
        std::get_if<std::unique_ptr<flow::FlowBalancer>>(&node.mBalancer)) {
    Carry(aNode, (*balancer)->OnPacket(mNow, aPacket));
    return;
  }
  const auto& upstreams = std::get<NaiveBalancer>(node.mBalancer).mUpstreams;
  const auto& chosen = upstreams[aPacket.mKey.Hash() % upstreams.size()];
  // It does not name the upstream that it means either.
  DeliverToUpstream(
    node.mDomain, chosen.mAddress, 0, 1, std::string(aPacket.mBytes));
}

void
FlowWorld::Carry(size_t aNode, const flow::FlowActions& aActions)
{
  for (const flow::FlowAction& it : aActions) {
    std::visit([&](const auto& n) { Do(aNode, n); }, it);
  }
}

void
FlowWorld::Do(size_t aNode, const flow::ForwardPacket& aAction)
{
  DeliverToUpstream(mNodes[aNode].mDomain,
                    aAction.mUpstream,
                    aAction.mInstance,
                    aAction.mCookie,
                    aAction.mBytes);
}

void
FlowWorld::Do(size_t, const flow::ResetFlow& aAction)
{
  At(kCallerDelay, [this, key = aAction.mKey] {
    const auto it = mTryByKey.find(key);
    if (it == mTryByKey.end()) {
      return;
    }
    const bool isOpen = mTries[it->second].mIsOpen;
    mOutcome.mResetWhileOpen += isOpen ? 1 : 0;
    EndTry(it->second, false, !isOpen);
  });
}

void
FlowWorld::Do(size_t aNode, const flow::SendToPeer& aAction)
{
  for (size_t i = 0; i < mNodes.size(); ++i) {
    Node& to = mNodes[i];
    const Node& from = mNodes[aNode];
    if (to.mIp != aAction.mPeer || IsCut(from.mDomain, to.mDomain)) {
      continue;
    }
    At(Delay(from.mDomain, to.mDomain),
       [this, i, life = to.mLife, ip = from.mIp, message = aAction.mMessage] {
         Node& node = mNodes[i];
         if (node.mIsAlive && node.mLife == life) {
           auto& balancer =
             std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
           Carry(i, balancer->OnPeerMessage(mNow, ip, message));
         }
       });
  }
}

void
FlowWorld::Do(size_t aNode, const flow::ReadPublisher& aAction)
{
  const uint64_t life = mNodes[aNode].mLife;
  const bool fails = mPublisherIsDown;
  ++mPublisherReads;
  const flow::Revision after = aAction.mNeedsFullListing ? 0 : aAction.mAfter;
  At(kPublisherTime, [this, aNode, life, fails, after] {
    Node& node = mNodes[aNode];
    if (!node.mIsAlive || node.mLife != life) {
      return;
    }
    auto& balancer =
      std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
    std::optional<flow::ReplicaUpdate> update;
    if (!fails) {
      update = Published(after);
    }
    Carry(aNode, balancer->OnReadResult(mNow, update, kPublisher));
  });
}

void
FlowWorld::Do(size_t aNode, const flow::ReadPeer& aAction)
{
  std::optional<flow::ReplicaUpdate> update;
  for (const Node& it : mNodes) {
    const bool isAsked = it.mIp == aAction.mPeer && it.mIsAlive &&
                         !IsCut(it.mDomain, mNodes[aNode].mDomain);
    if (isAsked) {
      const auto& balancer =
        std::get<std::unique_ptr<flow::FlowBalancer>>(it.mBalancer);
      update = balancer->Replica().ChangesSince(mNow, aAction.mAfter);
    }
  }
  const uint64_t life = mNodes[aNode].mLife;
  At(kPublisherTime, [this, aNode, life, update] {
    Node& node = mNodes[aNode];
    if (node.mIsAlive && node.mLife == life) {
      auto& balancer =
        std::get<std::unique_ptr<flow::FlowBalancer>>(node.mBalancer);
      Carry(aNode, balancer->OnReadResult(mNow, update, "peer"));
    }
  });
}

// Upstreams.

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
    // The newest one at an address has it.
    if (record.mAddress != aAddress) {
      continue;
    }
    const bool isMeant = aInstance == 0 || aInstance == record.mInstance;
    if (!isMeant || IsCut(aFromDomain, record.mDomain)) {
      return;
    }
    At(Delay(aFromDomain, record.mDomain), [this, i, content, aCookie] {
      if (!mUpstreams[i].mIsAlive) {
        return;
      }
      if (content.mKind == 'S') {
        OnSyn(i, content.mTry, aCookie);
      } else if (content.mKind == 'R') {
        OnRequest(i, content.mTry, content.mConfirmed);
      }
    });
    return;
  }
}

void
FlowWorld::OnSyn(size_t aUpstream, uint64_t aTry, flow::Cookie aCookie)
{
  UpstreamState& upstream = mUpstreams[aUpstream];
  const bool isLate =
    upstream.mIsDraining && mNow - upstream.mDrainingSince >= kDrainBound;
  mOutcome.mOpenedWhileDraining += isLate ? 1 : 0;
  UpstreamFlow& entry = upstream.mFlows[aTry];
  entry.mRequest = mTries[aTry].mRequest;
  entry.mSequence =
    static_cast<uint32_t>(MixHash(aTry, aUpstream + 1) & 0xFFFFFFU);
  At(kCallerDelay, [this, aTry, aUpstream, aCookie, n = entry.mSequence] {
    OnSynAck(aTry, aUpstream, aCookie, n);
  });
}

void
FlowWorld::OnRequest(size_t aUpstream, uint64_t aTry, uint32_t aConfirmed)
{
  UpstreamState& upstream = mUpstreams[aUpstream];
  const auto it = upstream.mFlows.find(aTry);
  const bool holds =
    it != upstream.mFlows.end() && it->second.mSequence == aConfirmed;
  if (!holds) {
    ++mOutcome.mStrayPackets;
    At(kCallerDelay, [this, aTry] { EndTry(aTry, false, false); });
    return;
  }
  // A caller's request for service one must not run at another.
  const bool isOther = upstream.mRecord.mService !=
                         mConfiguration.mRoutes[0].mTargets[0].mService &&
                       upstream.mRecord.mService != "one";
  mOutcome.mWrongService += isOther ? 1 : 0;
  if (upstream.mBusy >= mSettings.mSlots &&
      upstream.mWaiting.size() >= mSettings.mMaxQueue) {
    // Says that it has not run it.
    At(kCallerDelay, [this, aTry] { EndTry(aTry, false, true); });
    return;
  }
  upstream.mWaiting.push_back(aTry);
  StartWork(aUpstream);
}

void
FlowWorld::StartWork(size_t aUpstream)
{
  UpstreamState& upstream = mUpstreams[aUpstream];
  while (upstream.mBusy < mSettings.mSlots && !upstream.mWaiting.empty()) {
    const uint64_t attempt = upstream.mWaiting.front();
    upstream.mWaiting.erase(upstream.mWaiting.begin());
    ++upstream.mBusy;
    const int runs = ++mRuns[attempt];
    mOutcome.mRunTwice += runs > 1 ? 1 : 0;
    std::exponential_distribution<double> spread(2.0);
    const double factor = 0.5 + spread(mRandom);
    const auto work = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
        factor * static_cast<double>(mSettings.mMeanWorkTime.count())));
    std::bernoulli_distribution failure(upstream.mFailShare);
    const bool fails = upstream.mFailShare > 0 && failure(mRandom);
    At(fails ? kFailureTime : work, [this, aUpstream, attempt, fails] {
      Answer(aUpstream, attempt, fails);
    });
  }
}

void
FlowWorld::Answer(size_t aUpstream, uint64_t aTry, bool aFails)
{
  UpstreamState& upstream = mUpstreams[aUpstream];
  --upstream.mBusy;
  StartWork(aUpstream);
  if (!upstream.mIsAlive) {
    return;
  }
  At(kCallerDelay, [this, aTry, aFails] {
    if (mTries[aTry].mHasEnded) {
      return;
    }
    const Try attempt = mTries[aTry];
    mOutcome.mFailed += aFails ? 1 : 0;
    EndTry(aTry, !aFails, false);
    const auto more = static_cast<uint32_t>(MixHash(aTry, kAnswerBytesSpread) %
                                            kAnswerBytesSpread);
    const uint32_t bytes = aFails ? kFailureBytes : kLeastAnswerBytes + more;
    flow::Packet packet;
    packet.mHasAck = true;
    packet.mHasFin = true;
    packet.mKey = attempt.mKey;
    packet.mCookie = attempt.mCookie;
    packet.mAcknowledgement = attempt.mConfirmed + bytes;
    const std::string content = Encode({ aTry, 'F', 0 });
    packet.mBytes = content;
    SendFromCaller(aTry, packet);
  });
}

} // namespace foxtail::test

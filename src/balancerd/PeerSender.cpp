#include "foxtail/balancerd/PeerSender.h"

#include "foxtail/core/Error.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/net/PeerCodec.h"

namespace foxtail::balancerd {

namespace {

constexpr size_t kMaxQueuedMessages = 4096;
constexpr int kLinkQueueSize = 64;
constexpr milliseconds kQueueWait{ 100 };
constexpr seconds kLinkIdleTimeout{ 60 };

std::vector<net::UpstreamFlows>
GroupByUpstream(const std::vector<routing::FlowRecord>& aRecords)
{
  std::map<uint32_t, std::map<routing::Fingerprint, bool>> groups;
  for (const routing::FlowRecord& it : aRecords) {
    groups[it.mUpstream][it.mFingerprint] = true;
  }
  std::vector<net::UpstreamFlows> flows;
  for (const auto& [upstream, fingerprints] : groups) {
    net::UpstreamFlows group;
    group.mUpstream = upstream;
    for (const auto& [fingerprint, isSet] : fingerprints) {
      group.mFingerprints.push_back(fingerprint);
    }
    flows.push_back(std::move(group));
  }
  return flows;
}

} // namespace

PeerSender::PeerSender(uint32_t aOwnIp, daemon::Metrics& aMetrics)
  : mOwnIp(aOwnIp)
  , mMetrics(aMetrics)
{
}

void
PeerSender::Send(const balancer::SendRecords& aSend, routing::Incarnation aSelf)
{
  net::FlowRecords message;
  message.mSender = aSelf;
  message.mRecords = GroupByUpstream(aSend.mBatch.mRecords);
  message.mGrantTo = aSend.mBatch.mGrant ? aSend.mBatch.mTo : 0;
  message.mConfigNumber = aSend.mBatch.mConfigNumber;
  Enqueue({ aSend.mPeer, net::Encode(message) }, "records");
}

void
PeerSender::Send(const balancer::SendLoads& aSend, routing::Incarnation aSelf)
{
  net::FlowRecords message;
  message.mSender = aSelf;
  message.mHasLoads = true;
  for (const routing::LoadReport& it : aSend.mLoads) {
    message.mLoads.push_back({ it.mUpstream, it.mInFlight, it.mHealthy });
  }
  const std::string bytes = net::Encode(message);
  for (const Address& it : aSend.mPeers) {
    Enqueue({ it, bytes }, "loads");
  }
}

void
PeerSender::Enqueue(Message aMessage, const char* aKind)
{
  mMetrics
    .Counter("foxtail_control_bytes_total",
             "Control bytes queued for peers.",
             { { "kind", aKind } })
    .Increment(static_cast<double>(aMessage.mBytes.size()));
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mQueue.size() >= kMaxQueuedMessages) {
    mMetrics
      .Counter("foxtail_peer_messages_dropped_total",
               "Messages to peers dropped because the queue was full.")
      .Increment();
    return;
  }
  mQueue.push_back(std::move(aMessage));
  mFilled.notify_one();
}

void
PeerSender::Run(const daemon::StopToken& aStop)
{
  while (!aStop.IsRequested()) {
    std::deque<Message> batch;
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mIsBusy = false;
      mFilled.wait_for(lock, kQueueWait, [&] { return !mQueue.empty(); });
      batch.swap(mQueue);
      mIsBusy = !batch.empty();
    }
    for (const Message& it : batch) {
      Deliver(it);
    }
    CloseUnusedLinks();
  }
}

void
PeerSender::Deliver(const Message& aMessage)
{
  const TimePoint now = std::chrono::steady_clock::now();
  Link& link = mLinks[aMessage.mPeer];
  link.mLastUsed = now;
  if (!link.mClient) {
    link.mClient =
      std::make_unique<net::PushClient>(aMessage.mPeer, kLinkQueueSize, mOwnIp);
  }
  if (!link.mClient->TrySend(aMessage.mBytes)) {
    mMetrics
      .Counter("foxtail_peer_messages_dropped_total",
               "Messages to peers dropped because the queue was full.")
      .Increment();
  }
}

void
PeerSender::CloseUnusedLinks()
{
  const TimePoint now = std::chrono::steady_clock::now();
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    it = now - it->second.mLastUsed > kLinkIdleTimeout ? mLinks.erase(it)
                                                       : std::next(it);
  }
}

bool
PeerSender::IsIdle()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mQueue.empty() && !mIsBusy;
}

} // namespace foxtail::balancerd

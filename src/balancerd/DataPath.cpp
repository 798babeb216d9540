#include "foxtail/balancerd/DataPath.h"

#include <algorithm>
#include <poll.h>
#include <random>

#include "foxtail/core/Error.h"
#include "foxtail/daemon/Log.h"
#include "foxtail/net/Encapsulation.h"

namespace foxtail::balancerd {

namespace {

constexpr milliseconds kPollTimeout{ 2 };
constexpr milliseconds kTickInterval{ 2 };
constexpr int kIncarnationRandomBits = 16;
// Maximum log lines per second of one kind of event.
constexpr int kMaxLinesPerSecond = 5;
// Maximum batches received from one socket before the next socket is read.
constexpr int kMaxBatches = 4;

const char*
TraceSpanName(balancer::TraceSpanKind aKind)
{
  switch (aKind) {
    case balancer::TraceSpanKind::Serve:
      return "serve";
    case balancer::TraceSpanKind::Upstream:
      return "upstream";
    case balancer::TraceSpanKind::Forward:
      return "hand-over";
  }
  return "";
}

std::array<uint8_t, 16>
RandomKey()
{
  std::random_device random;
  std::array<uint8_t, 16> key{};
  for (uint8_t& it : key) {
    it = static_cast<uint8_t>(random());
  }
  return key;
}

} // namespace

routing::Incarnation
NewIncarnation()
{
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::random_device random;
  return (static_cast<routing::Incarnation>(now.count())
          << kIncarnationRandomBits) |
         (random() & ((1U << kIncarnationRandomBits) - 1));
}

DataPath::DataPath(const daemon::Settings& aSettings,
                   Mailbox& aMailbox,
                   PeerSender& aSender)
  : mSettings(aSettings)
  , mMailbox(aMailbox)
  , mSender(aSender)
  , mTrace(aSettings.mTrace.mFile,
           aSettings.mVm.mName,
           aSettings.mTrace.mSamplePerMillion)
  , mFabricSocket(aSettings.OwnAddress(aSettings.mPorts.mFabric))
  , mHandoffSocket(aSettings.OwnAddress(aSettings.mPorts.mHandoff))
  , mUpstreamSocket(aSettings.OwnAddress(aSettings.mPorts.mUpstream))
  , mIncarnation(NewIncarnation())
  , mPauseGuard(std::chrono::steady_clock::now())
{
  MakeBalancer(std::chrono::steady_clock::now());
}

void
DataPath::MakeBalancer(TimePoint aNow)
{
  balancer::BalancerSettings settings;
  settings.mVm = mSettings.mVm.mName;
  settings.mFlows.mSelf = mIncarnation;
  settings.mFlows.mRegion = mSettings.mVm.mRegion;
  settings.mDispatcher.mSeed = mIncarnation;
  settings.mRequests.mEcho.mIncarnation = mIncarnation;
  settings.mRequests.mEcho.mKey = RandomKey();
  mBalancer = std::make_unique<balancer::Balancer>(settings, aNow);
}

void
DataPath::RestartBalancer(routing::Incarnation aFloor)
{
  mIncarnation = std::max(NewIncarnation(), aFloor + 1);
  MakeBalancer(std::chrono::steady_clock::now());
}

void
DataPath::SetPeers(std::vector<uint32_t> aIps)
{
  mPeerIps = std::move(aIps);
  std::sort(mPeerIps.begin(), mPeerIps.end());
}

void
DataPath::Run(const daemon::StopToken& aStop)
{
  std::array<pollfd, 3> polled = {
    { { mFabricSocket.Descriptor(), POLLIN, 0 },
      { mHandoffSocket.Descriptor(), POLLIN, 0 },
      { mUpstreamSocket.Descriptor(), POLLIN, 0 } }
  };
  while (!aStop.IsRequested()) {
    ::poll(polled.data(), polled.size(), kPollTimeout.count());
    const TimePoint now = std::chrono::steady_clock::now();
    mPauseGuard.Update(now);
    mMailbox.RunTasks(mBalancer, now);
    // After a pause, these calls discard the callers' datagrams that arrived
    // meanwhile. Datagrams from upstreams stay in the socket until the hold
    // ends.
    ReceiveFrom(mHandoffSocket, true, now);
    ReceiveFrom(mFabricSocket, false, now);
    if (mPauseGuard.IsHolding()) {
      continue;
    }
    ReceiveFromUpstreams(now);
    if (now - mLastTick >= kTickInterval) {
      mLastTick = now;
      mBalancer->Tick(now, mActions);
    }
    ExecuteActionsUnlessPaused();
  }
}

// Checks again for a pause, because the process may have been paused between
// the balancer's decisions and this call. If it was, the actions are dropped.
void
DataPath::ExecuteActionsUnlessPaused()
{
  mPauseGuard.Update(std::chrono::steady_clock::now());
  if (mPauseGuard.IsHolding()) {
    mActions.Clear();
    return;
  }
  ExecuteActions();
}

bool
DataPath::IsAllowed(const Address& aFrom, bool aIsPeer) const
{
  return aIsPeer
           ? std::binary_search(mPeerIps.begin(), mPeerIps.end(), aFrom.mIp)
           : aFrom.mIp == mSettings.mFabricReturnAddress.mIp;
}

void
DataPath::ReceiveFrom(net::UdpSocket& aSocket, bool aIsPeer, TimePoint aNow)
{
  for (int i = 0; i < kMaxBatches; ++i) {
    const size_t n = aSocket.Receive();
    for (size_t k = 0; k < n; ++k) {
      OnEncapsulated(aSocket.At(k), aIsPeer, aNow);
    }
    if (n < net::kUdpBatch) {
      return;
    }
  }
}

void
DataPath::OnEncapsulated(const net::Datagram& aDatagram,
                         bool aIsPeer,
                         TimePoint aNow)
{
  if (!IsAllowed(aDatagram.mPeer, aIsPeer)) {
    ++mUnauthorised;
    Execute(balancer::ReportEvent{ { 7001, aDatagram.mPeer.ToString() } });
    return;
  }
  if (mPauseGuard.IsHolding()) {
    return;
  }
  try {
    if (aDatagram.mTruncated) {
      throw coap::MakeDatagramTooLongError();
    }
    const net::Envelope envelope = net::Unwrap(aDatagram.mBytes);
    const uint8_t hops =
      aIsPeer ? std::max<uint8_t>(envelope.mHops, 1) : uint8_t{ 0 };
    mBalancer->OnInbound(envelope.mFlow,
                         hops,
                         envelope.mInner,
                         aNow,
                         std::chrono::system_clock::now(),
                         mActions);
  } catch (const NetError& e) {
    mBalancer->Drop(e, mActions);
  }
}

void
DataPath::ReceiveFromUpstreams(TimePoint aNow)
{
  for (int i = 0; i < kMaxBatches; ++i) {
    const size_t n = mUpstreamSocket.Receive();
    for (size_t k = 0; k < n; ++k) {
      const net::Datagram& datagram = mUpstreamSocket.At(k);
      mBalancer->OnUpstream(datagram.mPeer, datagram.mBytes, aNow, mActions);
    }
    if (n < net::kUdpBatch) {
      return;
    }
  }
}

void
DataPath::ExecuteActions()
{
  for (const balancer::Action& it : mActions.Items()) {
    std::visit([&](const auto& a) { Execute(a); }, it);
  }
  mActions.Clear();
  mUpstreamSocket.Flush();
  mHandoffSocket.Flush();
  mFabricSocket.Flush();
}

void
DataPath::Execute(const balancer::ToCaller& aAction)
{
  net::WrapReturn(aAction.mFlow, mActions.Bytes(aAction.mBytes), mBuffer);
  mFabricSocket.Queue(mSettings.mFabricReturnAddress, mBuffer);
}

void
DataPath::Execute(const balancer::ToUpstream& aAction)
{
  mUpstreamSocket.Queue(aAction.mUpstream, mActions.Bytes(aAction.mBytes));
}

void
DataPath::Execute(const balancer::ToPeer& aAction)
{
  net::WrapInbound(
    aAction.mFlow, aAction.mHops, mActions.Bytes(aAction.mBytes), mBuffer);
  mHandoffSocket.Queue(aAction.mPeer, mBuffer);
}

void
DataPath::Execute(const balancer::SendRecords& aAction)
{
  mSender.Send(aAction, mIncarnation);
}

void
DataPath::Execute(const balancer::SendLoads& aAction)
{
  mSender.Send(aAction, mIncarnation);
}

void
DataPath::Execute(const balancer::TraceSpan& aAction)
{
  if (mTrace.IsSampled(aAction.mTraceKey)) {
    mTrace.Record(TraceSpanName(aAction.mKind),
                  aAction.mTraceKey,
                  aAction.mStart,
                  aAction.mEnd,
                  aAction.mPeer.ToString());
  }
}

void
DataPath::Execute(const balancer::ReportEvent& aAction)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now - mLogSecondStart >= seconds(1)) {
    mLogSecondStart = now;
    mLoggedLines.clear();
  }
  if (++mLoggedLines[aAction.mEvent.mId] <= kMaxLinesPerSecond) {
    daemon::LogEvent(aAction.mEvent);
  }
}

} // namespace foxtail::balancerd

#ifndef foxtail_balancer_Actions_h
#define foxtail_balancer_Actions_h

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/core/FlowKey.h"
#include "foxtail/core/Time.h"
#include "foxtail/membership/View.h"
#include "foxtail/routing/FlowDirectory.h"
#include "foxtail/routing/Work.h"

namespace foxtail::balancer {

// A range of the bytes that Actions stores.
struct ByteRange
{
  size_t mOffset = 0;
  size_t mLength = 0;
};

// Sends a datagram to the flow's caller.
struct ToCaller
{
  FlowKey mFlow;
  ByteRange mBytes;
};

// Sends a datagram to an upstream.
struct ToUpstream
{
  Address mUpstream;
  ByteRange mBytes;
};

// Forwards a caller's datagram to the balancer that must serve it. mHops counts
// the times that it was forwarded, this time included.
struct ToPeer
{
  Address mPeer;
  FlowKey mFlow;
  uint8_t mHops;
  ByteRange mBytes;
};

// Sends flow records to one peer.
struct SendRecords
{
  Address mPeer;
  routing::RecordBatch mBatch;
};

// Advertises to peers how many requests this balancer runs at each upstream.
struct SendLoads
{
  std::vector<Address> mPeers;
  std::vector<routing::LoadReport> mLoads;
};

enum class TraceSpanKind
{
  // Starts when the request's first datagram arrives; ends with the request.
  Serve,
  // Starts when the request is last sent to an upstream; ends with the request.
  Upstream,
  // A datagram was forwarded to another balancer; takes no time.
  Forward
};

// One step of a request, for traces. mPeer is the caller, the upstream or the
// balancer at the other end.
struct TraceSpan
{
  TraceSpanKind mKind;
  uint64_t mTraceKey;
  TimePoint mStart;
  TimePoint mEnd;
  Address mPeer;
};

// Logs an event.
struct ReportEvent
{
  Event mEvent;
};

using Action = std::variant<ToCaller,
                            ToUpstream,
                            ToPeer,
                            SendRecords,
                            SendLoads,
                            TraceSpan,
                            ReportEvent>;

// The actions that a balancer asks its driver to execute, in order. The driver
// clears and reuses the object, so that no memory is allocated once the buffers
// have grown to the size of a batch.
class Actions
{
public:
  void Add(Action aAction) { mItems.push_back(std::move(aAction)); }

  // Copies aBytes. The range is valid until Clear.
  ByteRange StoreBytes(std::string_view aBytes)
  {
    const ByteRange range{ mBytes.size(), aBytes.size() };
    mBytes.append(aBytes);
    return range;
  }

  std::string_view Bytes(const ByteRange& aRange) const
  {
    return std::string_view(mBytes).substr(aRange.mOffset, aRange.mLength);
  }

  const std::vector<Action>& Items() const { return mItems; }

  void Clear()
  {
    mItems.clear();
    mBytes.clear();
  }

private:
  std::vector<Action> mItems;
  std::string mBytes;
};

} // namespace foxtail::balancer

#endif

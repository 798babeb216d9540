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

// Bytes inside Actions.
struct ByteRange
{
  size_t mOffset = 0;
  size_t mLength = 0;
};

// An answer for the flow's caller.
struct ToCaller
{
  FlowKey mFlow;
  ByteRange mBytes;
};

struct ToUpstream
{
  Address mUpstream;
  ByteRange mBytes;
};

// A caller's datagram that another balancer must serve.
struct ToPeer
{
  Address mPeer;
  FlowKey mFlow;
  uint8_t mHops;
  ByteRange mBytes;
};

// Flow records for one peer.
struct SendRecords
{
  Address mPeer;
  routing::RecordBatch mBatch;
};

// What this balancer runs at the upstreams, for several peers.
struct SendLoads
{
  std::vector<Address> mPeers;
  std::vector<routing::LoadReport> mLoads;
};

enum class TraceSpanKind
{
  // From the caller's first datagram here to its answer.
  Serve,
  // From the datagram to the upstream to its answer.
  Upstream,
  // Handed to another balancer.
  Forward
};

// One hop of a request, for traces.
struct TraceSpan
{
  TraceSpanKind mKind;
  uint64_t mTraceKey;
  TimePoint mStart;
  TimePoint mEnd;
  Address mPeer;
};

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

// What a balancer wants done, in order. Cleared and used again, so that no
// memory is allocated once it has grown to the size of a batch.
class Actions
{
public:
  void Add(Action aAction) { mItems.push_back(std::move(aAction)); }

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

#ifndef foxtail_flow_RetransmissionTracker_h
#define foxtail_flow_RetransmissionTracker_h

#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"

namespace foxtail::flow {

// Detects callers that send the same data again and again without any progress
// of their acknowledgement. Entries are independent of the slots that
// FlowTracker counts, because slots are released long before the retransmission
// that proves a stall. Not thread-safe.
class RetransmissionTracker
{
public:
  // Callers send unacknowledged data again 200 ms after it and 400 ms after
  // that. A flow is stalled at its second retransmission if that passes about
  // 600 ms after the first transmission. At any other time a packet was lost or
  // passed elsewhere, and the start of the request is not known well enough.
  static constexpr uint32_t kStalledRetransmissions = 2;
  static constexpr milliseconds kMinStalledAge{ 550 };
  static constexpr milliseconds kMaxStalledAge{ 640 };
  // An entry is dropped after this time without packets. It is more than twice
  // the longest interval between retransmissions, 1.6 s.
  static constexpr seconds kMaxSilence{ 4 };

  struct Result
  {
    // The flow has data that was not known to be acknowledged before this
    // packet.
    bool mIsTracked = false;
    // The caller has acknowledged more bytes than when it sent the data.
    bool mHasProgress = false;
    // The packet repeats data without progress.
    bool mIsRetransmission = false;
    // The flow has just become stalled. True once per request.
    bool mIsStalled = false;
  };
  // A request whose data was sent again without progress.
  struct Outstanding
  {
    FlowKey mKey;
    uint32_t mAcknowledgement = 0;
  };

  // Handles a packet of a caller, other than an opening packet, to an upstream.
  Result OnPacket(TimePoint aNow, const Packet& aPacket, Cookie aUpstream);
  // Returns the requests to an upstream that were sent again.
  std::vector<Outstanding> OutstandingAt(Cookie aUpstream) const;
  void Remove(const FlowKey& aKey) { mEntries.erase(aKey); }
  void Expire(TimePoint aNow);
  size_t Size() const { return mEntries.size(); }

private:
  // The oldest data of a flow that may be unacknowledged.
  struct Entry
  {
    Cookie mUpstream = 0;
    uint32_t mSequence = 0;
    uint32_t mAcknowledgement = 0;
    uint32_t mRetransmissions = 0;
    TimePoint mFirstSeen;
    TimePoint mLastSeen;
  };
  struct KeyHash
  {
    size_t operator()(const FlowKey& aKey) const { return aKey.Hash(); }
  };

  std::unordered_map<FlowKey, Entry, KeyHash> mEntries;
};

} // namespace foxtail::flow

#endif

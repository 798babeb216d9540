#ifndef foxtail_routing_FlowTable_h
#define foxtail_routing_FlowTable_h

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "foxtail/core/Time.h"

namespace foxtail::routing {

// What is known of one flow.
struct FlowEntry
{
  uint64_t mHash = 0;
  // Upstream::mId of its upstream; zero marks a free slot.
  uint32_t mUpstream = 0;
  // Seconds since the table's epoch.
  uint32_t mLastSeen = 0;
  // Tag of the balancers that were last told about this flow, zero for none.
  uint32_t mNotifiedTag = 0;
  uint32_t mNextFree = 0;
};

// Flows by hash, in slots that can be walked a few at a time while flows come
// and go. A full table forgets nothing: Insert refuses instead.
class FlowTable
{
public:
  FlowTable(size_t aMaxFlows, TimePoint aEpoch);

  // Null when the flow is not known. The pointer is valid until the next
  // Insert.
  FlowEntry* Find(uint64_t aHash);

  // The entry of the flow, added when it is new; null when the table is full.
  FlowEntry* Insert(uint64_t aHash, uint32_t aUpstream, TimePoint aNow);

  void Touch(FlowEntry& aEntry, TimePoint aNow) const;
  void Erase(uint64_t aHash);

  // How long ago the flow was last used, to the second.
  seconds IdleTime(const FlowEntry& aEntry, TimePoint aNow) const;

  size_t Size() const { return mIndex.size(); }
  size_t Slots() const { return mEntries.size(); }
  // The slot's entry; free slots have mUpstream zero.
  FlowEntry& Slot(size_t aSlot) { return mEntries[aSlot]; }

private:
  static constexpr uint32_t kNoSlot = UINT32_MAX;

  uint32_t Seconds(TimePoint aNow) const;

  size_t mMaxFlows;
  TimePoint mEpoch;
  std::vector<FlowEntry> mEntries;
  absl::flat_hash_map<uint64_t, uint32_t> mIndex;
  uint32_t mFirstFree = kNoSlot;
};

} // namespace foxtail::routing

#endif

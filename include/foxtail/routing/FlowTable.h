#ifndef foxtail_routing_FlowTable_h
#define foxtail_routing_FlowTable_h

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "foxtail/core/Time.h"

namespace foxtail::routing {

struct FlowEntry
{
  // The flow's hash; its rank hash in FlowDirectory::mRecords.
  uint64_t mHash = 0;
  // Upstream::mId of the flow's upstream; zero marks a free entry.
  uint32_t mUpstream = 0;
  // Seconds since the table's epoch.
  uint32_t mLastSeenSeconds = 0;
  // Tag of the balancers to which a record of this flow was last queued; zero
  // for none. See TagOf in FlowDirectoryRecords.cpp.
  uint32_t mNotifiedTag = 0;
  uint32_t mNextFree = 0;
};

// Hash table of flows. The entries, including free ones, have consecutive
// indexes and can be walked a few at a time, also while flows are added and
// erased in between. A full table evicts no entry; Insert fails instead.
class FlowTable
{
public:
  FlowTable(size_t aMaxFlows, TimePoint aEpoch);

  // Returns null when the flow is not in the table. The pointer is valid until
  // the next Insert.
  FlowEntry* Find(uint64_t aHash);

  // Returns the flow's entry, which is added if necessary; null when the table
  // is full. aUpstream must not be zero and is used for new entries only.
  FlowEntry* Insert(uint64_t aHash, uint32_t aUpstream, TimePoint aNow);

  void Touch(FlowEntry& aEntry, TimePoint aNow) const;
  void Erase(uint64_t aHash);

  // Time since the flow was last used, in whole seconds.
  seconds IdleTime(const FlowEntry& aEntry, TimePoint aNow) const;

  size_t Size() const { return mIndex.size(); }
  // Number of entries, including free ones.
  size_t EntryCount() const { return mEntries.size(); }
  // The entry at an index; mUpstream is zero in free entries.
  FlowEntry& EntryAt(size_t aIndex) { return mEntries[aIndex]; }

private:
  static constexpr uint32_t kNoEntry = UINT32_MAX;

  uint32_t Seconds(TimePoint aNow) const;

  size_t mMaxFlows;
  TimePoint mEpoch;
  std::vector<FlowEntry> mEntries;
  absl::flat_hash_map<uint64_t, uint32_t> mIndex;
  uint32_t mFirstFree = kNoEntry;
};

} // namespace foxtail::routing

#endif

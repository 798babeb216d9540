#include "foxtail/routing/FlowTable.h"

#include <cassert>

namespace foxtail::routing {

FlowTable::FlowTable(size_t aMaxFlows, TimePoint aEpoch)
  : mMaxFlows(aMaxFlows)
  , mEpoch(aEpoch)
{
}

uint32_t
FlowTable::Seconds(TimePoint aNow) const
{
  return static_cast<uint32_t>(
    std::chrono::duration_cast<seconds>(aNow - mEpoch).count());
}

FlowEntry*
FlowTable::Find(uint64_t aHash)
{
  const auto it = mIndex.find(aHash);
  return it == mIndex.end() ? nullptr : &mEntries[it->second];
}

FlowEntry*
FlowTable::Insert(uint64_t aHash, uint32_t aUpstream, TimePoint aNow)
{
  assert(aUpstream != 0);
  if (FlowEntry* entry = Find(aHash)) {
    return entry;
  }
  if (mIndex.size() >= mMaxFlows) {
    return nullptr;
  }
  uint32_t index = mFirstFree;
  if (index == kNoEntry) {
    index = static_cast<uint32_t>(mEntries.size());
    mEntries.emplace_back();
  } else {
    mFirstFree = mEntries[index].mNextFree;
  }
  mEntries[index] = FlowEntry{ aHash, aUpstream, Seconds(aNow), 0, kNoEntry };
  mIndex.emplace(aHash, index);
  return &mEntries[index];
}

void
FlowTable::Touch(FlowEntry& aEntry, TimePoint aNow) const
{
  aEntry.mLastSeenSeconds = Seconds(aNow);
}

void
FlowTable::Erase(uint64_t aHash)
{
  const auto it = mIndex.find(aHash);
  if (it == mIndex.end()) {
    return;
  }
  mEntries[it->second] = FlowEntry{};
  mEntries[it->second].mNextFree = mFirstFree;
  mFirstFree = it->second;
  mIndex.erase(it);
}

seconds
FlowTable::IdleTime(const FlowEntry& aEntry, TimePoint aNow) const
{
  return seconds(Seconds(aNow) - aEntry.mLastSeenSeconds);
}

} // namespace foxtail::routing

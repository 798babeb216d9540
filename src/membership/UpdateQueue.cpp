#include "foxtail/membership/UpdateQueue.h"

namespace foxtail::membership {

void
UpdateQueue::Add(const std::string& aName)
{
  Remove(aName);
  mSendCounts[aName] = 0;
  mBySendCount.emplace(0, aName);
}

void
UpdateQueue::Remove(const std::string& aName)
{
  const auto it = mSendCounts.find(aName);
  if (it != mSendCounts.end()) {
    mBySendCount.erase({ it->second, aName });
    mSendCounts.erase(it);
  }
}

std::vector<MemberRecord>
UpdateQueue::Take(
  size_t aMaxBytes,
  int aMaxSends,
  const std::function<const MemberRecord*(const std::string&)>& aFind)
{
  std::vector<MemberRecord> records;
  std::vector<std::pair<int, std::string>> taken;
  size_t bytes = 0;
  while (!mBySendCount.empty()) {
    const auto& [sends, name] = *mBySendCount.begin();
    const MemberRecord* record = aFind(name);
    if (record != nullptr) {
      bytes += WireSizeBound(*record);
      if (bytes > aMaxBytes) {
        break;
      }
      records.push_back(*record);
      taken.emplace_back(sends + 1, name);
    }
    mSendCounts.erase(name);
    mBySendCount.erase(mBySendCount.begin());
  }
  for (const auto& [sends, name] : taken) {
    if (sends < aMaxSends) {
      mSendCounts[name] = sends;
      mBySendCount.emplace(sends, name);
    }
  }
  return records;
}

} // namespace foxtail::membership

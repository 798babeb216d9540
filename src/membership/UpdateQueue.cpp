#include "foxtail/membership/UpdateQueue.h"

namespace foxtail::membership {

void
UpdateQueue::Add(const std::string& aName)
{
  Remove(aName);
  mSends[aName] = 0;
  mOrder.emplace(0, aName);
}

void
UpdateQueue::Remove(const std::string& aName)
{
  const auto it = mSends.find(aName);
  if (it != mSends.end()) {
    mOrder.erase({ it->second, aName });
    mSends.erase(it);
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
  while (!mOrder.empty()) {
    const auto& [sends, name] = *mOrder.begin();
    const MemberRecord* record = aFind(name);
    if (record != nullptr) {
      bytes += WireSizeBound(*record);
      if (bytes > aMaxBytes) {
        break;
      }
      records.push_back(*record);
      taken.emplace_back(sends + 1, name);
    }
    mSends.erase(name);
    mOrder.erase(mOrder.begin());
  }
  for (const auto& [sends, name] : taken) {
    if (sends < aMaxSends) {
      mSends[name] = sends;
      mOrder.emplace(sends, name);
    }
  }
  return records;
}

} // namespace foxtail::membership

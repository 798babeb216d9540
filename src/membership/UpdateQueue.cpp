#include "foxtail/membership/UpdateQueue.h"

#include <algorithm>
#include <utility>

namespace foxtail::membership {

void
UpdateQueue::Add(const std::string& aName)
{
  mSends[aName] = 0;
}

void
UpdateQueue::Remove(const std::string& aName)
{
  mSends.erase(aName);
}

std::vector<MemberRecord>
UpdateQueue::Take(
  size_t aMaxBytes,
  int aMaxSends,
  const std::function<const MemberRecord*(const std::string&)>& aFind)
{
  std::vector<std::pair<int, std::string>> order;
  order.reserve(mSends.size());
  for (const auto& [name, sends] : mSends) {
    order.emplace_back(sends, name);
  }
  std::sort(order.begin(), order.end());

  std::vector<MemberRecord> records;
  size_t bytes = 0;
  for (const auto& [sends, name] : order) {
    const MemberRecord* record = aFind(name);
    if (record == nullptr) {
      mSends.erase(name);
      continue;
    }
    bytes += WireSizeBound(*record);
    if (bytes > aMaxBytes) {
      break;
    }
    records.push_back(*record);
    if (sends + 1 >= aMaxSends) {
      mSends.erase(name);
    } else {
      mSends[name] = sends + 1;
    }
  }
  return records;
}

} // namespace foxtail::membership

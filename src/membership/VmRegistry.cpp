#include "foxtail/membership/VmRegistry.h"

#include <algorithm>
#include <set>

namespace foxtail::membership {

VmRegistry::ApplyResult
VmRegistry::ApplyList(TimePoint aNow, const PublishedVmList& aVms)
{
  if (aVms.mIndex < mIndex) {
    return ApplyResult::Older;
  }
  mReadAt = aNow;
  if (aVms.mIndex == mIndex && mIndex != 0) {
    return ApplyResult::Confirmed;
  }
  mIndex = aVms.mIndex;
  std::set<std::string> listed;
  for (const PublishedVm& it : aVms.mVms) {
    listed.insert(it.mName);
    mEntries[it.mName] = { it, std::nullopt };
  }
  for (auto& [name, entry] : mEntries) {
    if (listed.count(name) == 0 && !entry.mMissingSince) {
      entry.mMissingSince = aNow;
    }
  }
  return ApplyResult::Changed;
}

const PublishedVm*
VmRegistry::Find(const std::string& aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? nullptr : &it->second.mVm;
}

bool
VmRegistry::Permits(const std::string& aName, uint32_t aIp) const
{
  const PublishedVm* vm = Find(aName);
  return vm != nullptr && vm->mIp == aIp;
}

bool
VmRegistry::PermitsIp(uint32_t aIp) const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& it) {
    return it.second.mVm.mIp == aIp;
  });
}

std::vector<std::string>
VmRegistry::Expire(const std::function<bool(const std::string&)>& aIsAlive)
{
  std::vector<std::string> overdue;
  size_t alive = 0;
  size_t aliveAndListed = 0;
  for (const auto& [name, entry] : mEntries) {
    const bool isAlive = aIsAlive(name);
    alive += isAlive ? 1 : 0;
    aliveAndListed += isAlive && !entry.mMissingSince ? 1 : 0;
    if (entry.mMissingSince &&
        mReadAt - *entry.mMissingSince >= kRemovalDelay) {
      overdue.push_back(name);
    }
  }
  if (aliveAndListed * 2 <= alive) {
    return {};
  }
  for (const std::string& it : overdue) {
    mEntries.erase(it);
  }
  return overdue;
}

} // namespace foxtail::membership

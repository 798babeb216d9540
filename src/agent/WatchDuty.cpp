#include "foxtail/agent/WatchDuty.h"

#include <algorithm>

#include "foxtail/core/Hash.h"

namespace foxtail::agent {

namespace {

// Makes these ranks independent of other rankings that hash the same names.
constexpr uint64_t kSeed = 0x3A7C4;

} // namespace

bool
IsPlatformWatcher(const std::string& aName,
                  const std::string& aDomain,
                  const std::vector<membership::Member>& aOthers)
{
  const uint64_t own = StableHash(aName, kSeed);
  const auto higherRanked = std::count_if(
    aOthers.begin(), aOthers.end(), [&](const membership::Member& m) {
      return m.mDomain == aDomain && StableHash(m.mName, kSeed) > own;
    });
  return static_cast<size_t>(higherRanked) < kWatchersPerDomain;
}

} // namespace foxtail::agent

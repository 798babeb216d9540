#include "foxtail/flow/ColdStartBudget.h"

#include <algorithm>
#include <cmath>

namespace foxtail::flow {

namespace {

// Processing takes about this factor longer right after a cold start.
constexpr double kInitialSlowness = 1.6;
// Limits above this are no limits; the bound keeps conversions in range.
constexpr double kMaxLimit = 1e9;

bool
Counts(TimePoint aNow, TimePoint aGrantedAt)
{
  return aNow - aGrantedAt < ColdStartBudget::kWindow;
}

} // namespace

uint64_t
ColdStartBudget::Remaining(TimePoint aNow,
                           Cookie aUpstream,
                           double aLimit) const
{
  const double limit = std::clamp(aLimit * mShare, 0.0, kMaxLimit);
  const auto allowed = static_cast<uint64_t>(std::floor(limit));
  const auto it = mGrants.find(aUpstream);
  if (it == mGrants.end()) {
    return allowed;
  }
  const auto used = static_cast<uint64_t>(
    std::count_if(it->second.begin(), it->second.end(), [&](TimePoint n) {
      return Counts(aNow, n);
    }));
  return allowed > used ? allowed - used : 0;
}

void
ColdStartBudget::AddGrant(TimePoint aNow, Cookie aUpstream)
{
  mGrants[aUpstream].push_back(aNow);
}

void
ColdStartBudget::Expire(TimePoint aNow)
{
  for (auto it = mGrants.begin(); it != mGrants.end();) {
    std::deque<TimePoint>& grants = it->second;
    while (!grants.empty() && !Counts(aNow, grants.front())) {
      grants.pop_front();
    }
    it = grants.empty() ? mGrants.erase(it) : std::next(it);
  }
}

double
ColdFlowLimit(const ColdStartSettings& aSettings, double aRequestsPerSecond)
{
  return aRequestsPerSecond * aSettings.mOverage + aSettings.mSlack;
}

double
ColdSlowness(Duration aRemaining, Duration aColdTime)
{
  if (aRemaining <= Duration(0)) {
    return 1;
  }
  if (aColdTime <= Duration(0)) {
    return kInitialSlowness;
  }
  const double left = std::min(1.0,
                               std::chrono::duration<double>(aRemaining) /
                                 std::chrono::duration<double>(aColdTime));
  return 1 + (kInitialSlowness - 1) * left;
}

} // namespace foxtail::flow

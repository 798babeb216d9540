#include "foxtail/membership/LocalBalancer.h"

#include <algorithm>

namespace foxtail::membership {

namespace {

bool
SameStatement(const Member& aLeft, const Member& aRight)
{
  return aLeft.mState == aRight.mState &&
         aLeft.mHandoffAddress == aRight.mHandoffAddress &&
         aLeft.mPeerAddress == aRight.mPeerAddress;
}

} // namespace

LocalBalancer::HeartbeatResult
LocalBalancer::OnHeartbeat(TimePoint aNow, const Member& aSelf)
{
  const Incarnation current = mCurrent ? mCurrent->mIncarnation : 0;
  if (aSelf.mIncarnation <= mFloor || aSelf.mIncarnation < current) {
    return HeartbeatResult::Refused;
  }
  mHeardAt = aNow;
  if (aSelf.mState == MemberState::Dead) {
    RaiseFloor(aSelf.mIncarnation);
    return HeartbeatResult::Changed;
  }
  Member next = aSelf;
  if (aSelf.mIncarnation == current) {
    if (mCurrent->mState == MemberState::Leaving) {
      next.mState = MemberState::Leaving;
    }
    if (SameStatement(*mCurrent, next)) {
      return HeartbeatResult::Unchanged;
    }
  }
  // An earlier incarnation ends with the first heartbeat of a later one.
  RaiseFloor(current == aSelf.mIncarnation ? 0 : current);
  mCurrent = next;
  return HeartbeatResult::Changed;
}

bool
LocalBalancer::Expire(TimePoint aNow)
{
  if (!mCurrent || aNow - mHeardAt <= kHeartbeatTimeout) {
    return false;
  }
  Withdraw();
  return true;
}

void
LocalBalancer::Withdraw()
{
  if (mCurrent) {
    RaiseFloor(mCurrent->mIncarnation);
  }
}

void
LocalBalancer::ExtendHeartbeatDeadline(Duration aPause)
{
  mHeardAt += aPause;
}

void
LocalBalancer::RaiseFloor(Incarnation aIncarnation)
{
  mFloor = std::max(mFloor, aIncarnation);
  if (mCurrent && mCurrent->mIncarnation <= mFloor) {
    mCurrent.reset();
  }
}

} // namespace foxtail::membership

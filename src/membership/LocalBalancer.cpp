#include "foxtail/membership/LocalBalancer.h"

#include <algorithm>

namespace foxtail::membership {

namespace {

bool
SameAnnouncement(const Member& aLeft, const Member& aRight)
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
  if (aSelf.mIncarnation <= mIncarnationFloor || aSelf.mIncarnation < current) {
    return HeartbeatResult::Refused;
  }
  mLastHeartbeatAt = aNow;
  if (aSelf.mState == MemberState::Dead) {
    RaiseIncarnationFloor(aSelf.mIncarnation);
    return HeartbeatResult::Changed;
  }
  Member next = aSelf;
  if (aSelf.mIncarnation == current) {
    if (mCurrent->mState == MemberState::Leaving) {
      next.mState = MemberState::Leaving;
    }
    if (SameAnnouncement(*mCurrent, next)) {
      return HeartbeatResult::Unchanged;
    }
  }
  // The first heartbeat of a later incarnation ends the earlier one.
  RaiseIncarnationFloor(current == aSelf.mIncarnation ? 0 : current);
  mCurrent = next;
  return HeartbeatResult::Changed;
}

bool
LocalBalancer::Expire(TimePoint aNow)
{
  if (!mCurrent || aNow - mLastHeartbeatAt <= kHeartbeatTimeout) {
    return false;
  }
  Withdraw();
  return true;
}

void
LocalBalancer::Withdraw()
{
  if (mCurrent) {
    RaiseIncarnationFloor(mCurrent->mIncarnation);
  }
}

void
LocalBalancer::ExtendHeartbeatDeadline(Duration aPause)
{
  mLastHeartbeatAt += aPause;
}

void
LocalBalancer::RaiseIncarnationFloor(Incarnation aIncarnation)
{
  mIncarnationFloor = std::max(mIncarnationFloor, aIncarnation);
  if (mCurrent && mCurrent->mIncarnation <= mIncarnationFloor) {
    mCurrent.reset();
  }
}

} // namespace foxtail::membership

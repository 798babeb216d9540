#include "foxtail/flow/BrokerAge.h"

#include <algorithm>

namespace foxtail::flow {

Revision
KnownRevision(const Directory& aDirectory)
{
  return std::max(aDirectory.NewestRevision(), aDirectory.ConfirmedRevision());
}

void
BrokerAge::Announce(TimePoint aNow,
                    Revision aNewest,
                    const Directory& aDirectory)
{
  const bool isExpired = aNow - mAnnouncedAt >= kAnnouncementLifetime;
  if (aNewest >= mAnnounced || isExpired) {
    mAnnounced = aNewest;
    mAnnouncedAt = aNow;
  }
  if (!IsBehind(aNow, aDirectory)) {
    mBehindSince.reset();
  } else if (!mBehindSince) {
    mBehindSince = aNow;
  }
}

bool
BrokerAge::Update(TimePoint aNow, const Directory& aDirectory)
{
  if (!IsBehind(aNow, aDirectory)) {
    mBehindSince.reset();
  }
  const bool isHeldBack = IsHeldBack(aNow, aDirectory);
  const bool hasChanged = isHeldBack != mWasHeldBack;
  mWasHeldBack = isHeldBack;
  return hasChanged;
}

bool
BrokerAge::IsBehind(TimePoint aNow, const Directory& aDirectory) const
{
  return mAnnounced > KnownRevision(aDirectory) &&
         aNow - mAnnouncedAt < kAnnouncementLifetime &&
         aNow - aDirectory.ConfirmedAt() > kMaxReplicaAge;
}

bool
BrokerAge::IsHeldBack(TimePoint aNow, const Directory& aDirectory) const
{
  return mBehindSince && aNow - *mBehindSince < kMaxHoldBack &&
         IsBehind(aNow, aDirectory);
}

} // namespace foxtail::flow

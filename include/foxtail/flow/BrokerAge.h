#ifndef foxtail_flow_BrokerAge_h
#define foxtail_flow_BrokerAge_h

#include <optional>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Directory.h"
#include "foxtail/flow/Revision.h"

namespace foxtail::flow {

// Returns the revision up to which the replica is known to have all changes
// that decisions depend on.
Revision
KnownRevision(const Directory& aDirectory);

// Decides whether this balancer may grant slots by its replica. It may not
// while a peer knows a newer revision and the replica was confirmed too long
// ago, as after the end of a partition. A replica that lags by the usual delay
// between balancers is used. Not thread-safe.
class BrokerAge
{
public:
  // A replica that was confirmed more recently than this may be used although a
  // peer knows a newer revision. A new revision reaches all balancers of a
  // large fleet within some 100 ms, and changes must be in force within 3 s.
  static constexpr milliseconds kMaxReplicaAge{ 2000 };
  // Limit of the time for which nothing is granted. Callers give up after 1.4
  // s, and a newer revision may be out of reach: its balancer died, or
  // announced a revision that does not exist. After this time the replica is
  // used until it has been current again.
  static constexpr milliseconds kMaxHoldBack{ 1000 };
  // An announcement that is not repeated for this long no longer counts. Each
  // balancer sends some heartbeats in this time.
  static constexpr milliseconds kAnnouncementLifetime{ 2000 };

  // Handles a peer's announcement of the newest revision that it knows.
  void Announce(TimePoint aNow, Revision aNewest, const Directory& aDirectory);
  // To be called regularly. Returns true if the state of IsHeldBack changed
  // since the last call.
  bool Update(TimePoint aNow, const Directory& aDirectory);

  // Whether a peer knows a newer revision and the replica is too old.
  bool IsBehind(TimePoint aNow, const Directory& aDirectory) const;
  // Whether nothing may be granted by the replica.
  bool IsHeldBack(TimePoint aNow, const Directory& aDirectory) const;
  // The newest revision that a peer announced.
  Revision Announced() const { return mAnnounced; }

private:
  Revision mAnnounced = 0;
  TimePoint mAnnouncedAt;
  // When IsBehind became true; empty while it is false.
  std::optional<TimePoint> mBehindSince;
  bool mWasHeldBack = false;
};

} // namespace foxtail::flow

#endif

#ifndef foxtail_membership_LocalBalancer_h
#define foxtail_membership_LocalBalancer_h

#include <optional>

#include "foxtail/core/Time.h"
#include "foxtail/membership/View.h"

namespace foxtail::membership {

// What an agent knows of the balancer on its own VM. An incarnation is
// announced only while its heartbeats come. Once it is withdrawn it is never
// announced again: a balancer that wakes late must take a greater incarnation,
// so that nobody takes its old promises for new ones.
class LocalBalancer
{
public:
  // A balancer whose heartbeat is older than this is withdrawn.
  static constexpr milliseconds kHeartbeatTimeout{ 1500 };

  enum class HeartbeatResult
  {
    // As announced.
    Unchanged,
    // The statement about the VM must be made anew.
    Changed,
    // The incarnation will not be announced; see IncarnationFloor.
    Refused
  };

  // One heartbeat. A state of Leaving says that the balancer leaves; it cannot
  // be taken back by the same incarnation. A state of Dead says that it ends
  // now.
  HeartbeatResult OnHeartbeat(TimePoint aNow, const Member& aSelf);

  // True when the heartbeats have just ended and the balancer is withdrawn.
  bool Expire(TimePoint aNow);

  // Gives up the incarnation at once.
  void Withdraw();

  // The heartbeats that could not be heard during a pause of this process
  // are not held against the balancer.
  void ExtendHeartbeatDeadline(Duration aPause);

  // Incarnations up to this one will not be announced.
  void RaiseIncarnationFloor(Incarnation aIncarnation);
  Incarnation IncarnationFloor() const { return mIncarnationFloor; }

  // The live balancer, if there is one.
  const std::optional<Member>& Current() const { return mCurrent; }

private:
  std::optional<Member> mCurrent;
  TimePoint mHeardAt;
  Incarnation mIncarnationFloor = 0;
};

} // namespace foxtail::membership

#endif

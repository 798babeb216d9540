#ifndef foxtail_membership_LocalBalancer_h
#define foxtail_membership_LocalBalancer_h

#include <optional>

#include "foxtail/core/Time.h"
#include "foxtail/membership/View.h"

namespace foxtail::membership {

// State of the balancer on the agent's own VM. The agent announces the
// balancer's incarnation only while heartbeats of that balancer arrive. A
// withdrawn incarnation is never announced again: a balancer that resumes after
// a long pause must take a greater incarnation, so that peers do not rely on
// commitments that the balancer made before the pause.
class LocalBalancer
{
public:
  // A balancer whose last heartbeat is older than this is withdrawn.
  static constexpr milliseconds kHeartbeatTimeout{ 1500 };

  enum class HeartbeatResult
  {
    // The heartbeat agrees with what is announced.
    Unchanged,
    // The agent must announce a new record about its VM.
    Changed,
    // The incarnation is not above IncarnationFloor, or it is below the current
    // one, and will not be announced.
    Refused
  };

  // Handles one heartbeat. The state Leaving means that the balancer leaves;
  // the same incarnation cannot return to Alive. The state Dead means that the
  // balancer ends now.
  HeartbeatResult OnHeartbeat(TimePoint aNow, const Member& aSelf);

  // Withdraws the balancer when its last heartbeat is too old. Returns true
  // when this call has withdrawn it.
  bool Expire(TimePoint aNow);

  // Withdraws the current incarnation, if there is one.
  void Withdraw();

  // Extends the heartbeat time-out by the duration of a pause of the agent
  // process, in which heartbeats could not be received.
  void ExtendHeartbeatDeadline(Duration aPause);

  // Refuses every incarnation up to and including aIncarnation from now on.
  // Withdraws the current balancer if its incarnation is among them.
  void RaiseIncarnationFloor(Incarnation aIncarnation);
  Incarnation IncarnationFloor() const { return mIncarnationFloor; }

  // The live balancer; empty when there is none.
  const std::optional<Member>& Current() const { return mCurrent; }

private:
  std::optional<Member> mCurrent;
  TimePoint mLastHeartbeatAt;
  Incarnation mIncarnationFloor = 0;
};

} // namespace foxtail::membership

#endif

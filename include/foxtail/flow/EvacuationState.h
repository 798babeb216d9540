#ifndef foxtail_flow_EvacuationState_h
#define foxtail_flow_EvacuationState_h

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Records.h"

namespace foxtail::flow {

// The evacuations of failure domains that a replica knows, and for a while
// those that ended, for peers that have seen only their start. For each domain,
// the change with the newest revision counts, in whatever order changes come.
// Not thread-safe.
class EvacuationState
{
public:
  // Time for which an evacuation stays in effect after a restored publisher
  // turned out to lack it, so that the operator can write it again.
  static constexpr milliseconds kRestoreHold{ 10000 };

  // Apply a start or an end. Return whether it is newer than what is known.
  bool Start(TimePoint aNow, const Evacuation& aEvacuation);
  bool End(TimePoint aNow, const Evacuation& aEvacuation);
  // Ends evacuations older than aConfirmed that a listing lacks. Returns
  // whether there were any.
  bool EndUnlisted(TimePoint aNow,
                   const std::vector<Evacuation>& aListed,
                   Revision aConfirmed);
  // Like EndUnlisted, but the evacuations stay in effect for kRestoreHold.
  // Returns the domains.
  std::vector<std::string> HoldUnlisted(TimePoint aNow,
                                        const std::vector<Evacuation>& aListed,
                                        Revision aConfirmed);

  bool IsActive(const std::string& aDomain) const;
  std::set<std::string> ActiveDomains() const;
  // Revision of the newest change of a domain's evacuation; zero if there is
  // none.
  Revision RevisionOf(const std::string& aDomain) const;

  // Ends evacuations whose hold is over and drops those that ended aRetention
  // ago or earlier. Returns the newest revision that was dropped, or zero.
  Revision Expire(TimePoint aNow, Duration aRetention);
  // Adds the changes after aAfter to an update for a peer.
  void AddChangesSince(TimePoint aNow,
                       Revision aAfter,
                       ReplicaUpdate& aUpdate) const;

private:
  struct Entry
  {
    Revision mRevision = 0;
    std::optional<TimePoint> mEndedAt;
    // End of the hold of an evacuation that the publisher lacks.
    std::optional<TimePoint> mHeldUntil;
  };

  // The domains of active evacuations older than aConfirmed that are not
  // listed.
  std::vector<std::string> Unlisted(const std::vector<Evacuation>& aListed,
                                    Revision aConfirmed) const;

  std::map<std::string, Entry> mByDomain;
};

} // namespace foxtail::flow

#endif

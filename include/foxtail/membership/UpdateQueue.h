#ifndef foxtail_membership_UpdateQueue_h
#define foxtail_membership_UpdateQueue_h

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxtail/membership/Gossip.h"

namespace foxtail::membership {

// Queue of the members whose newest record must still be disseminated, with the
// number of times that each record was sent. Records sent least often go first.
class UpdateQueue
{
public:
  // Adds a member, or resets its send count when it is in the queue. Call it
  // whenever the member's record changes.
  void Add(const std::string& aName);

  void Remove(const std::string& aName);

  // Returns the records to add to one datagram, at most aMaxBytes by
  // WireSizeBound. A record leaves the queue after it was returned aMaxSends
  // times. aFind returns the newest record of a name, or null.
  std::vector<MemberRecord> Take(
    size_t aMaxBytes,
    int aMaxSends,
    const std::function<const MemberRecord*(const std::string&)>& aFind);

  size_t Size() const { return mSendCounts.size(); }

private:
  // Number of times sent, by name.
  std::map<std::string, int> mSendCounts;
  // The same pairs ordered by number of times sent.
  std::set<std::pair<int, std::string>> mBySendCount;
};

} // namespace foxtail::membership

#endif

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

// Names of the members whose newest record still has to be passed on, and how
// often each has been sent. The least sent go first.
class UpdateQueue
{
public:
  // Passes the member's record on anew; called whenever it changes.
  void Add(const std::string& aName);

  void Remove(const std::string& aName);

  // Records to add to one datagram: at most aMaxBytes by WireSizeBound, each
  // sent aMaxSends times over all calls. aFind gives the newest record of a
  // name, or null.
  std::vector<MemberRecord> Take(
    size_t aMaxBytes,
    int aMaxSends,
    const std::function<const MemberRecord*(const std::string&)>& aFind);

  size_t Size() const { return mSends.size(); }

private:
  // Times sent, by name.
  std::map<std::string, int> mSends;
  // The same, the least sent first.
  std::set<std::pair<int, std::string>> mOrder;
};

} // namespace foxtail::membership

#endif

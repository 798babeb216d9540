#include "foxtail/membership/View.h"

#include <algorithm>

namespace foxtail::membership {

const Member*
View::Find(const std::string& aName) const
{
  const auto it =
    std::find_if(mMembers.begin(), mMembers.end(), [&](const Member& m) {
      return m.mName == aName;
    });
  return it == mMembers.end() ? nullptr : &*it;
}

const Member*
View::FindIncarnation(Incarnation aIncarnation) const
{
  const auto it =
    std::find_if(mMembers.begin(), mMembers.end(), [&](const Member& m) {
      return m.mIncarnation == aIncarnation;
    });
  return it == mMembers.end() ? nullptr : &*it;
}

} // namespace foxtail::membership

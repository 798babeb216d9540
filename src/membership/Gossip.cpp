#include "foxtail/membership/Gossip.h"

#include <tuple>

namespace foxtail::membership {

namespace {

int
Severity(const MemberRecord& aRecord)
{
  switch (aRecord.mMember.mState) {
    case MemberState::Dead:
      return 2;
    case MemberState::Suspect:
      return 1;
    default:
      return 0;
  }
}

} // namespace

bool
IsDead(const MemberRecord& aRecord)
{
  return aRecord.mMember.mState == MemberState::Dead;
}

bool
HasLiveBalancer(const MemberRecord& aRecord)
{
  return !IsDead(aRecord) && !aRecord.mBalancerAbsent &&
         aRecord.mMember.mIncarnation != 0;
}

size_t
WireSizeBound(const MemberRecord& aRecord)
{
  // Tags, three 64-bit numbers at most, three ports, flags and length.
  constexpr size_t kFixedFields = 56;
  return kFixedFields + aRecord.mMember.mName.size();
}

bool
Supersedes(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  const auto rank = [](const MemberRecord& r) {
    return std::make_tuple(r.mAgentIncarnation, r.mRevision, Severity(r));
  };
  return rank(aLeft) > rank(aRight);
}

} // namespace foxtail::membership

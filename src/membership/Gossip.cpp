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
  // Upper bound for the protobuf tags, up to three 64-bit numbers, three ports,
  // the flags and the length prefix.
  constexpr size_t kFixedFields = 56;
  return kFixedFields + aRecord.mMember.mName.size();
}

bool
Supersedes(const MemberRecord& aNew, const MemberRecord& aOld)
{
  const auto rank = [](const MemberRecord& r) {
    return std::make_tuple(r.mAgentIncarnation, r.mRevision, Severity(r));
  };
  return rank(aNew) > rank(aOld);
}

} // namespace foxtail::membership

#include "foxtail/membership/Detector.h"

#include <algorithm>
#include <utility>

namespace foxtail::membership {

namespace {

bool
SameMember(const Member& a, const Member& b)
{
  return a.mName == b.mName && a.mIncarnation == b.mIncarnation &&
         a.mState == b.mState && a.mRegion == b.mRegion &&
         a.mDomain == b.mDomain && a.mHandoffAddress == b.mHandoffAddress &&
         a.mPeerAddress == b.mPeerAddress && a.mAgentAddress == b.mAgentAddress;
}

bool
SameView(const View& a, const View& b)
{
  return a.mInDoubt == b.mInDoubt && std::equal(a.mMembers.begin(),
                                                a.mMembers.end(),
                                                b.mMembers.begin(),
                                                b.mMembers.end(),
                                                SameMember);
}

} // namespace

void
Detector::PublishView()
{
  if (!mViewDirty || mPhase != Phase::Live) {
    return;
  }
  mViewDirty = false;
  View view = BuildView();
  if (SameView(view, *mView)) {
    return;
  }
  view.mSequence = mView->mSequence + 1;
  mView = std::make_shared<const View>(std::move(view));
  mActions.emplace_back(ViewChanged{ mView });
}

View
Detector::BuildView() const
{
  View view;
  std::set<Incarnation> seen;
  for (const MemberRecord* it : RecordsAfter("")) {
    // When two balancers have the same incarnation, the view has only the first
    // by name.
    if (HasLiveBalancer(*it) && seen.insert(it->mMember.mIncarnation).second) {
      view.mMembers.push_back(ToMember(*it));
    }
  }
  view.mInDoubt = mPhase == Phase::Joining || mStaleAfterPause ||
                  !mHasPulledList || !HasMajority();
  return view;
}

// Returns the record's member with the region and domain of the published list.
// Its state is Leaving when the record or the published list says so.
Member
Detector::ToMember(const MemberRecord& aRecord) const
{
  Member member = aRecord.mMember;
  const PublishedVm* vm = mRegistry.Find(member.mName);
  if (vm != nullptr) {
    member.mRegion = vm->mRegion;
    member.mDomain = vm->mDomain;
  }
  if (aRecord.mLeaving || (vm != nullptr && vm->mLeaving)) {
    member.mState = MemberState::Leaving;
  }
  return member;
}

// True when more than half of the published VMs that are not leaving have a
// record with the state Alive.
bool
Detector::HasMajority() const
{
  size_t published = 0;
  size_t alive = 0;
  for (const auto& [name, entry] : mRegistry.Entries()) {
    if (entry.mVm.mLeaving) {
      continue;
    }
    ++published;
    const MemberRecord* record = FindRecord(name);
    if (record != nullptr && record->mMember.mState == MemberState::Alive) {
      ++alive;
    }
  }
  return alive * 2 > published;
}

} // namespace foxtail::membership

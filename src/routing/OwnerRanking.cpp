#include "foxtail/routing/OwnerRanking.h"

#include <algorithm>

#include "foxtail/core/Hash.h"

namespace foxtail::routing {

namespace {

std::vector<Incarnation>
OwnersIn(const membership::View& aView, const std::string& aRegion)
{
  std::vector<Incarnation> owners;
  for (const membership::Member& it : aView.mMembers) {
    const bool owns = it.mState == membership::MemberState::Alive ||
                      it.mState == membership::MemberState::Suspect;
    if (owns && it.mRegion == aRegion && it.mIncarnation != 0) {
      owners.push_back(it.mIncarnation);
    }
  }
  return owners;
}

} // namespace

OwnerRanking::OwnerRanking(const membership::View& aView,
                           const std::string& aRegion)
  : OwnerRanking(OwnersIn(aView, aRegion))
{
}

OwnerRanking::OwnerRanking(std::vector<Incarnation> aCandidates)
  : mCandidates(std::move(aCandidates))
{
  std::sort(mCandidates.begin(), mCandidates.end());
  mCandidates.erase(std::unique(mCandidates.begin(), mCandidates.end()),
                    mCandidates.end());
}

bool
OwnerRanking::Contains(Incarnation aIncarnation) const
{
  return std::binary_search(
    mCandidates.begin(), mCandidates.end(), aIncarnation);
}

Incarnation
OwnerRanking::Owner(uint64_t aFlowHash) const
{
  return OwnerWithout(aFlowHash, 0);
}

Incarnation
OwnerRanking::OwnerWithout(uint64_t aFlowHash, Incarnation aExcluded) const
{
  Incarnation best = 0;
  uint64_t bestWeight = 0;
  for (const Incarnation it : mCandidates) {
    const uint64_t weight = MixHash(aFlowHash, it);
    if (it != aExcluded && (weight > bestWeight || best == 0)) {
      best = it;
      bestWeight = weight;
    }
  }
  return best;
}

bool
OwnerRanking::Outranks(uint64_t aFlowHash, Incarnation a, Incarnation b)
{
  return MixHash(aFlowHash, a) > MixHash(aFlowHash, b);
}

} // namespace foxtail::routing

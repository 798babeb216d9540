#ifndef foxtail_routing_OwnerRanking_h
#define foxtail_routing_OwnerRanking_h

#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::routing {

using membership::Incarnation;

// Ranks the balancers that may own a flow by the rendezvous hash of the flow
// and the balancer's incarnation. All balancers with the same view compute the
// same ranking.
class OwnerRanking
{
public:
  // A ranking without candidates.
  OwnerRanking() = default;

  // Candidates are the members of aRegion that are Alive or Suspect.
  OwnerRanking(const membership::View& aView, const std::string& aRegion);
  explicit OwnerRanking(std::vector<Incarnation> aCandidates);

  bool Empty() const { return mCandidates.empty(); }
  bool Contains(Incarnation aIncarnation) const;
  const std::vector<Incarnation>& Candidates() const { return mCandidates; }

  // The candidate that ranks first, zero without candidates. Takes time linear
  // in the number of candidates.
  Incarnation Owner(uint64_t aFlowHash) const;

  // The candidate that ranks first when aExcluded is left out; zero when no
  // other candidate exists.
  Incarnation OwnerWithout(uint64_t aFlowHash, Incarnation aExcluded) const;

  // Whether a ranks before b for this flow.
  static bool Outranks(uint64_t aFlowHash, Incarnation a, Incarnation b);

private:
  // Sorted, without duplicates.
  std::vector<Incarnation> mCandidates;
};

} // namespace foxtail::routing

#endif

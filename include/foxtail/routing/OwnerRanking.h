#ifndef foxtail_routing_OwnerRanking_h
#define foxtail_routing_OwnerRanking_h

#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::routing {

using membership::Incarnation;

// Ranks the balancers that may own a flow by rendezvous hash of the flow and
// the balancer's incarnation. All balancers with the same view agree.
class OwnerRanking
{
public:
  // No balancer may own anything yet.
  OwnerRanking() = default;

  // Candidates are the members of aRegion that are Alive or Suspect.
  OwnerRanking(const membership::View& aView, const std::string& aRegion);
  explicit OwnerRanking(std::vector<Incarnation> aCandidates);

  bool Empty() const { return mCandidates.empty(); }
  bool Contains(Incarnation aIncarnation) const;
  const std::vector<Incarnation>& Candidates() const { return mCandidates; }

  // The first rank, zero without candidates. Linear in the candidates.
  Incarnation Owner(uint64_t aFlowHash) const;

  // The first rank once aExcluded is left out; zero when nobody is left.
  Incarnation OwnerWithout(uint64_t aFlowHash, Incarnation aExcluded) const;

  // Whether a ranks before b for this flow.
  static bool Outranks(uint64_t aFlowHash, Incarnation a, Incarnation b);

private:
  // Ordered, without duplicates.
  std::vector<Incarnation> mCandidates;
};

} // namespace foxtail::routing

#endif

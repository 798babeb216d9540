#ifndef foxtail_routing_FlowRecord_h
#define foxtail_routing_FlowRecord_h

#include <cstdint>

namespace foxtail::routing {

// Identifies a flow in messages between balancers: the upper 32 bits of the
// flow's hash. The rankings of owners and default upstreams use only these
// bits, so that a balancer that received a flow record can compute to which
// peer to send it on.
using Fingerprint = uint32_t;

inline Fingerprint
FingerprintOf(uint64_t aFlowHash)
{
  return static_cast<Fingerprint>(aFlowHash >> 32);
}

// The hash by which owners and default upstreams are ranked for the flows with
// this fingerprint: the fingerprint in the upper 32 bits. The second overload
// takes the hash of a flow and clears its lower 32 bits.
inline uint64_t
RankHash(Fingerprint aFingerprint)
{
  return uint64_t{ aFingerprint } << 32;
}

inline uint64_t
RankHash(uint64_t aFlowHash)
{
  return RankHash(FingerprintOf(aFlowHash));
}

// Tells a peer the upstream of a flow that is not at its default upstream.
struct FlowRecord
{
  Fingerprint mFingerprint = 0;
  // Upstream::mId.
  uint32_t mUpstream = 0;

  friend bool operator==(const FlowRecord& a, const FlowRecord& b)
  {
    return a.mFingerprint == b.mFingerprint && a.mUpstream == b.mUpstream;
  }
};

} // namespace foxtail::routing

#endif

#ifndef foxtail_routing_FlowRecord_h
#define foxtail_routing_FlowRecord_h

#include <cstdint>

namespace foxtail::routing {

// How peers name a flow: the upper 32 bits of its hash. Owner and default
// upstream are ranked by the fingerprint alone, so that whoever is told of a
// flow can tell it on.
using Fingerprint = uint32_t;

inline Fingerprint
FingerprintOf(uint64_t aFlowHash)
{
  return static_cast<Fingerprint>(aFlowHash >> 32);
}

// The hash by which a flow of this fingerprint is ranked.
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

// One flow whose upstream is not its default.
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

#include "foxtail/routing/PeerLoads.h"

namespace foxtail::routing {

PeerLoads::Ids
PeerLoads::Set(uint64_t aIncarnation,
               const std::vector<LoadReport>& aLoads,
               TimePoint aNow)
{
  Ids changed;
  Peer& peer = mPeers[aIncarnation];
  Subtract(peer, changed);
  peer = Peer{ aLoads, aNow };
  for (const LoadReport& it : aLoads) {
    mHeldSlots[it.mUpstream] += it.mInFlight;
    changed.push_back(it.mUpstream);
  }
  return changed;
}

PeerLoads::Ids
PeerLoads::Remove(uint64_t aIncarnation)
{
  Ids changed;
  const auto it = mPeers.find(aIncarnation);
  if (it != mPeers.end()) {
    Subtract(it->second, changed);
    mPeers.erase(it);
  }
  return changed;
}

PeerLoads::Ids
PeerLoads::Expire(TimePoint aNow)
{
  std::vector<uint64_t> silent;
  for (const auto& [incarnation, peer] : mPeers) {
    if (aNow - peer.mLastHeard >= kMaxAge) {
      silent.push_back(incarnation);
    }
  }
  Ids changed;
  for (const uint64_t it : silent) {
    const Ids removed = Remove(it);
    changed.insert(changed.end(), removed.begin(), removed.end());
  }
  return changed;
}

uint32_t
PeerLoads::HeldSlots(uint32_t aUpstreamId) const
{
  const auto it = mHeldSlots.find(aUpstreamId);
  return it == mHeldSlots.end() ? 0 : it->second;
}

void
PeerLoads::Subtract(const Peer& aPeer, Ids& aChanged)
{
  for (const LoadReport& it : aPeer.mLoads) {
    mHeldSlots[it.mUpstream] -= it.mInFlight;
    aChanged.push_back(it.mUpstream);
  }
  for (const LoadReport& it : aPeer.mLoads) {
    const auto held = mHeldSlots.find(it.mUpstream);
    if (held != mHeldSlots.end() && held->second == 0) {
      mHeldSlots.erase(held);
    }
  }
}

} // namespace foxtail::routing

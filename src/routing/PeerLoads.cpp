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
    mHeld[it.mUpstream] += it.mInFlight;
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
    if (aNow - peer.mHeard >= kMaxAge) {
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
PeerLoads::Held(uint32_t aUpstreamId) const
{
  const auto it = mHeld.find(aUpstreamId);
  return it == mHeld.end() ? 0 : it->second;
}

void
PeerLoads::Subtract(const Peer& aPeer, Ids& aChanged)
{
  for (const LoadReport& it : aPeer.mLoads) {
    mHeld[it.mUpstream] -= it.mInFlight;
    aChanged.push_back(it.mUpstream);
  }
  for (const LoadReport& it : aPeer.mLoads) {
    const auto held = mHeld.find(it.mUpstream);
    if (held != mHeld.end() && held->second == 0) {
      mHeld.erase(held);
    }
  }
}

} // namespace foxtail::routing

#include "foxtail/flow/RetransmissionTracker.h"

#include <iterator>

namespace foxtail::flow {

RetransmissionTracker::Result
RetransmissionTracker::OnPacket(TimePoint aNow,
                                const Packet& aPacket,
                                Cookie aUpstream)
{
  Result result;
  auto it = mEntries.find(aPacket.mKey);
  result.mIsTracked = it != mEntries.end();
  // The signed differences are correct when numbers wrap around.
  if (result.mIsTracked) {
    const auto gained = static_cast<int32_t>(aPacket.mAcknowledgement -
                                             it->second.mAcknowledgement);
    result.mHasProgress = aPacket.mHasAck && gained > 0;
    if (result.mHasProgress || aPacket.mHasFin || aPacket.mHasRst) {
      mEntries.erase(it);
      it = mEntries.end();
    }
  }
  const bool carriesData =
    aPacket.mPayloadLength > 0 && !aPacket.mHasFin && !aPacket.mHasRst;
  if (!carriesData) {
    return result;
  }
  const bool isOlder =
    it != mEntries.end() &&
    static_cast<int32_t>(aPacket.mSequence - it->second.mSequence) < 0;
  if (it == mEntries.end() || isOlder) {
    mEntries[aPacket.mKey] = {
      aUpstream, aPacket.mSequence, aPacket.mAcknowledgement, 0, aNow, aNow
    };
    return result;
  }
  Entry& entry = it->second;
  entry.mLastSeen = aNow;
  // Later data of the same request is not a retransmission.
  if (aPacket.mSequence != entry.mSequence) {
    return result;
  }
  result.mIsRetransmission = true;
  ++entry.mRetransmissions;
  const Duration age = aNow - entry.mFirstSeen;
  result.mIsStalled = entry.mRetransmissions == kStalledRetransmissions &&
                      age >= kMinStalledAge && age <= kMaxStalledAge;
  return result;
}

std::vector<RetransmissionTracker::Outstanding>
RetransmissionTracker::OutstandingAt(Cookie aUpstream) const
{
  std::vector<Outstanding> requests;
  for (const auto& [key, entry] : mEntries) {
    if (entry.mUpstream == aUpstream && entry.mRetransmissions > 0) {
      requests.push_back({ key, entry.mAcknowledgement });
    }
  }
  return requests;
}

void
RetransmissionTracker::Expire(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const bool isOld = aNow - it->second.mLastSeen >= kMaxSilence;
    it = isOld ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace foxtail::flow

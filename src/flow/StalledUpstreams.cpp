#include "foxtail/flow/StalledUpstreams.h"

#include <algorithm>
#include <iterator>

namespace foxtail::flow {

std::vector<Cookie>
StalledUpstreams::Update(TimePoint aNow,
                         uint32_t aServiceId,
                         const std::vector<Cookie>& aStalled)
{
  for (auto it = mStalled.begin(); it != mStalled.end();) {
    const bool isListed =
      std::find(aStalled.begin(), aStalled.end(), it->first) != aStalled.end();
    const bool hasEnded = it->second.mServiceId == aServiceId && !isListed;
    it = hasEnded ? mStalled.erase(it) : std::next(it);
  }
  std::vector<Cookie> answering;
  for (const Cookie it : aStalled) {
    const auto answer = mLastAnswers.find(it);
    const bool answeredLately =
      answer != mLastAnswers.end() && aNow - answer->second < kMinSilence;
    if (answeredLately) {
      answering.push_back(it);
      continue;
    }
    Entry& entry =
      mStalled.emplace(it, Entry{ aServiceId, aNow, aNow }).first->second;
    entry.mUntil = aNow + kLifetime;
  }
  return answering;
}

bool
StalledUpstreams::IsStalled(TimePoint aNow, Cookie aUpstream) const
{
  const auto it = mStalled.find(aUpstream);
  return it != mStalled.end() && aNow < it->second.mUntil;
}

void
StalledUpstreams::OnAnswer(TimePoint aNow, Cookie aUpstream)
{
  mLastAnswers[aUpstream] = aNow;
  mStalled.erase(aUpstream);
}

bool
StalledUpstreams::ShouldReset(TimePoint aNow,
                              Cookie aUpstream,
                              bool aIsRetransmission)
{
  const auto it = mStalled.find(aUpstream);
  if (it == mStalled.end() || aNow >= it->second.mUntil) {
    return false;
  }
  Entry& entry = it->second;
  if (!aIsRetransmission && aNow >= entry.mNextProbe) {
    entry.mNextProbe = aNow + kProbeInterval;
    return false;
  }
  return true;
}

void
StalledUpstreams::Expire(TimePoint aNow)
{
  for (auto it = mStalled.begin(); it != mStalled.end();) {
    it = aNow >= it->second.mUntil ? mStalled.erase(it) : std::next(it);
  }
  for (auto it = mLastAnswers.begin(); it != mLastAnswers.end();) {
    const bool isOld = aNow - it->second >= kMinSilence;
    it = isOld ? mLastAnswers.erase(it) : std::next(it);
  }
}

} // namespace foxtail::flow

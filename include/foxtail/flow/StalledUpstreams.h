#ifndef foxtail_flow_StalledUpstreams_h
#define foxtail_flow_StalledUpstreams_h

#include <map>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"
#include "foxtail/flow/StallDetector.h"

namespace foxtail::flow {

// The upstreams that the brokers take as stalled, as a balancer knows them.
// What the balancer saw itself has precedence. Not thread-safe.
class StalledUpstreams
{
public:
  // An upstream that answered here within this time is not stalled, whatever
  // the broker says: the broker requires as long a silence.
  static constexpr milliseconds kMinSilence = StallDetector::kMinSilence;
  // A broker's statement holds for this time. Brokers repeat it every second.
  static constexpr milliseconds kLifetime{ 2500 };
  // While an upstream is stalled, one request in this time is still forwarded
  // to it, so that its next sign of life ends the stall. If it gives none, the
  // caller gets the reset at its first retransmission, 200 ms later.
  static constexpr milliseconds kProbeInterval{ 500 };

  // Replaces the stalled upstreams of a service. Returns those that answered
  // here lately, which the broker must be told.
  std::vector<Cookie> Update(TimePoint aNow,
                             uint32_t aServiceId,
                             const std::vector<Cookie>& aStalled);
  bool IsStalled(TimePoint aNow, Cookie aUpstream) const;
  // The upstream has given a sign of life.
  void OnAnswer(TimePoint aNow, Cookie aUpstream);
  // Whether a request to this upstream is to be reset. False for the requests
  // that probe the upstream.
  bool ShouldReset(TimePoint aNow, Cookie aUpstream, bool aIsRetransmission);
  // Drops what has expired.
  void Expire(TimePoint aNow);

private:
  struct Entry
  {
    uint32_t mServiceId = 0;
    TimePoint mUntil;
    TimePoint mNextProbe;
  };

  std::map<Cookie, Entry> mStalled;
  std::unordered_map<Cookie, TimePoint> mLastAnswers;
};

} // namespace foxtail::flow

#endif

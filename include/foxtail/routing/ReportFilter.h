#ifndef foxtail_routing_ReportFilter_h
#define foxtail_routing_ReportFilter_h

#include <cstdint>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Weights the load reports of one upstream by their age, and ignores the
// reports after repeated contradictions. InFlight may be used only to raise the
// number of slots believed taken: a report never frees a slot that the balancer
// believes taken.
class ReportFilter
{
public:
  // The weight of a report falls linearly from one at age zero to zero at this
  // age.
  static constexpr milliseconds kMaxAge{ 250 };
  // Reports are ignored from this number of contradictions on. Each report that
  // no answer contradicts reduces the number by one. The number grows to at
  // most twice this value.
  static constexpr uint32_t kMaxContradictions = 3;

  void OnReport(uint32_t aInFlight, TimePoint aSampledAt);
  // Call when a request that was sent at aSent was answered promptly. A prompt
  // answer contradicts the latest report if that had more requests in flight
  // than aSlots, the upstream's number of slots, and was sampled before aSent
  // by less than a tenth of kMaxAge.
  void OnPromptAnswer(uint32_t aSlots, TimePoint aSent);

  bool IsTrusted() const { return mContradictions < kMaxContradictions; }
  // Number of requests at the upstream according to the last report, weighted
  // by its age; zero when reports are not trusted.
  uint32_t InFlight(TimePoint aNow) const;

private:
  uint32_t mInFlight = 0;
  uint32_t mContradictions = 0;
  bool mIsLatestContradicted = false;
  TimePoint mSampledAt;
};

} // namespace foxtail::routing

#endif

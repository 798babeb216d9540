#ifndef foxtail_routing_ReportFilter_h
#define foxtail_routing_ReportFilter_h

#include <cstdint>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Turns the load reports of one upstream into what may be believed of them.
// A report only adds to what the balancer knows; it never says that a slot
// is free which the balancer believes taken.
class ReportFilter
{
public:
  // The figure counts in full when taken, not at all at this age.
  static constexpr milliseconds kMaxAge{ 250 };
  // Contradictions after which reports are ignored, and the agreeing reports
  // that undo one of them.
  static constexpr uint32_t kMaxContradictions = 3;

  void OnReport(uint32_t aInFlight, TimePoint aSampledAt);
  // A request sent at aSent was answered without waiting.
  void OnPromptAnswer(uint32_t aSlots, TimePoint aSent);

  bool IsTrusted() const { return mContradictions < kMaxContradictions; }
  // Requests to be expected at the upstream by the report alone.
  uint32_t InFlight(TimePoint aNow) const;

private:
  uint32_t mInFlight = 0;
  uint32_t mContradictions = 0;
  bool mContradicted = false;
  TimePoint mSampledAt;
};

} // namespace foxtail::routing

#endif

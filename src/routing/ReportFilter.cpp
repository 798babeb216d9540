#include "foxtail/routing/ReportFilter.h"

#include <algorithm>

namespace foxtail::routing {

void
ReportFilter::OnReport(uint32_t aInFlight, TimePoint aSampledAt)
{
  if (mIsLatestContradicted) {
    mContradictions = std::min(mContradictions + 1, 2 * kMaxContradictions);
  } else if (mContradictions > 0) {
    --mContradictions;
  }
  mIsLatestContradicted = false;
  mInFlight = aInFlight;
  mSampledAt = aSampledAt;
}

void
ReportFilter::OnPromptAnswer(uint32_t aSlots, TimePoint aSent)
{
  // According to the report the request had to queue, and yet it was answered
  // promptly.
  const bool sentAfterSample =
    aSent >= mSampledAt && aSent < mSampledAt + kMaxAge / 10;
  if (sentAfterSample && mInFlight > aSlots) {
    mIsLatestContradicted = true;
  }
}

uint32_t
ReportFilter::InFlight(TimePoint aNow) const
{
  const Duration age = aNow - mSampledAt;
  if (!IsTrusted() || age >= kMaxAge) {
    return 0;
  }
  const double weight = 1.0 - std::chrono::duration<double>(age) /
                                std::chrono::duration<double>(kMaxAge);
  return static_cast<uint32_t>(mInFlight * weight);
}

} // namespace foxtail::routing

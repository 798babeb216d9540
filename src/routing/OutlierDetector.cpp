#include "foxtail/routing/OutlierDetector.h"

#include <algorithm>

namespace foxtail::routing {

void
OutlierDetector::OnSent(TimePoint aNow)
{
  if (!mWaiting) {
    mWaiting = true;
    mSilentSince = aNow;
  }
}

void
OutlierDetector::OnAnswer(TimePoint aNow)
{
  mFailures = 0;
  mEjections = 0;
  mUnhealthy = false;
  mSilentSince = aNow;
  mLastAnswer = aNow;
}

void
OutlierDetector::OnFailure()
{
  ++mFailures;
}

void
OutlierDetector::OnReport(bool aHealthy, TimePoint aSampledAt)
{
  // An answer that is newer than the report outweighs it.
  mUnhealthy = !aHealthy && aSampledAt > mLastAnswer;
}

bool
OutlierDetector::ShouldEject(TimePoint aNow) const
{
  if (mEjected || !mWaiting) {
    return false;
  }
  const Duration silence = aNow - mSilentSince;
  return (mFailures >= kFailures && silence >= kFailureSilence) ||
         (mUnhealthy && silence >= kReportSilence);
}

void
OutlierDetector::Eject(TimePoint aNow)
{
  mEjected = true;
  mReturn = aNow + kEjection * (1U << std::min(mEjections, kMaxBackoff));
  ++mEjections;
}

bool
OutlierDetector::TryReturn(TimePoint aNow)
{
  if (!mEjected || aNow < mReturn) {
    return false;
  }
  mEjected = false;
  mWaiting = false;
  mFailures = kFailures - 1;
  return true;
}

} // namespace foxtail::routing

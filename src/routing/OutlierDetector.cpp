#include "foxtail/routing/OutlierDetector.h"

#include <algorithm>

namespace foxtail::routing {

void
OutlierDetector::OnSent(TimePoint aNow)
{
  if (!mHasSent) {
    mHasSent = true;
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
  // An answer that arrived after the report was sampled proves the upstream
  // alive.
  mUnhealthy = !aHealthy && aSampledAt > mLastAnswer;
}

bool
OutlierDetector::ShouldEject(TimePoint aNow) const
{
  if (mEjected || !mHasSent) {
    return false;
  }
  const Duration silence = aNow - mSilentSince;
  return (mFailures >= kMinFailures && silence >= kFailureSilence) ||
         (mUnhealthy && silence >= kReportSilence);
}

void
OutlierDetector::Eject(TimePoint aNow)
{
  mEjected = true;
  mReturnTime =
    aNow + kEjectionTime * (1U << std::min(mEjections, kMaxEjectionDoublings));
  ++mEjections;
}

bool
OutlierDetector::TryReturn(TimePoint aNow)
{
  if (!mEjected || aNow < mReturnTime) {
    return false;
  }
  mEjected = false;
  mHasSent = false;
  // After a return, one failure is enough for the next ejection.
  mFailures = kMinFailures - 1;
  return true;
}

} // namespace foxtail::routing

#ifndef foxtail_routing_OutlierDetector_h
#define foxtail_routing_OutlierDetector_h

#include <cstdint>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Outlier ejection for one upstream, based on its answers and load reports. One
// sign alone is never enough. An upstream is ejected when it has not answered
// for kFailureSilence and kMinFailures requests have failed, or when it has not
// answered for kReportSilence and reports that it is unhealthy.
class OutlierDetector
{
public:
  // Failures since the last answer that, after kFailureSilence without an
  // answer, lead to ejection.
  static constexpr uint32_t kMinFailures = 3;
  static constexpr milliseconds kFailureSilence{ 500 };
  // Time without an answer after which an unhealthy report leads to ejection.
  static constexpr seconds kReportSilence{ 2 };
  static constexpr seconds kEjectionTime{ 5 };
  static constexpr uint32_t kMaxEjectionDoublings = 4;

  // Call when a request has been sent to the upstream.
  void OnSent(TimePoint aNow);
  // Call when the upstream has answered, also if it shed the request.
  void OnAnswer(TimePoint aNow);
  // Call when a request was not answered by its deadline.
  void OnFailure();
  // Call on a load report from the upstream. aSampledAt is the earliest time at
  // which the reported state may have been measured.
  void OnReport(bool aHealthy, TimePoint aSampledAt);

  // True when the latest report said unhealthy and no answer has arrived that
  // is newer than the report.
  bool IsUnhealthy() const { return mUnhealthy; }
  bool ShouldEject(TimePoint aNow) const;
  // Ejects the upstream for kEjectionTime. The time doubles with each
  // consecutive ejection, up to kMaxEjectionDoublings times; an answer resets
  // it.
  void Eject(TimePoint aNow);
  // Ends the ejection if its time is over, and returns true if it did.
  bool TryReturn(TimePoint aNow);
  bool IsEjected() const { return mEjected; }

private:
  uint32_t mFailures = 0;
  uint32_t mEjections = 0;
  bool mUnhealthy = false;
  bool mEjected = false;
  // A request was sent since the start or the last return from ejection.
  bool mHasSent = false;
  // Time of the last answer or, until there is one, of the first request since
  // the start or the last return from ejection.
  TimePoint mSilentSince;
  TimePoint mLastAnswer;
  TimePoint mReturnTime;
};

} // namespace foxtail::routing

#endif

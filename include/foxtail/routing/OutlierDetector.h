#ifndef foxtail_routing_OutlierDetector_h
#define foxtail_routing_OutlierDetector_h

#include <cstdint>

#include "foxtail/core/Time.h"

namespace foxtail::routing {

// Judges from requests and reports whether one upstream is dead. One sign
// alone is never enough: failures count only while nothing is answered, and a
// report of ill health only until the next answer.
class OutlierDetector
{
public:
  static constexpr uint32_t kMinFailures = 3;
  // Without an answer for this long, failures lead to ejection.
  static constexpr milliseconds kFailureSilence{ 500 };
  // Without an answer for this long, a report of ill health does.
  static constexpr seconds kReportSilence{ 2 };
  static constexpr seconds kEjectionTime{ 5 };
  static constexpr uint32_t kMaxEjectionDoublings = 4;

  // A request was sent to it.
  void OnSent(TimePoint aNow);
  // It answered, be it by shedding.
  void OnAnswer(TimePoint aNow);
  // A request ended without an answer.
  void OnFailure();
  // Its health endpoint spoke; aSampledAt is when that was true.
  void OnReport(bool aHealthy, TimePoint aSampledAt);

  // The newest word on its health is a bad report.
  bool IsUnhealthy() const { return mUnhealthy; }
  bool ShouldEject(TimePoint aNow) const;
  // Ejects for kEjectionTime, twice as long with each ejection that no answer
  // separates from the last.
  void Eject(TimePoint aNow);
  // Ends an ejection that is over; true when it did.
  bool TryReturn(TimePoint aNow);
  bool IsEjected() const { return mEjected; }

private:
  uint32_t mFailures = 0;
  uint32_t mEjections = 0;
  bool mUnhealthy = false;
  bool mEjected = false;
  bool mHasSent = false;
  // The last answer, or the first request sent after it.
  TimePoint mSilentSince;
  TimePoint mLastAnswer;
  TimePoint mReturnTime;
};

} // namespace foxtail::routing

#endif

#ifndef foxtail_net_AnswerDeadline_h
#define foxtail_net_AnswerDeadline_h

#include <cstddef>

#include "foxtail/core/Time.h"

namespace foxtail::net {

// Time-outs of a call.
struct CallTimeouts
{
  milliseconds mConnect{ 1000 };
  // From the start of the call to the first bytes of the answer.
  milliseconds mAnswer{ 3000 };
  // Once the answer has begun, AnswerDeadline::kMinProgress bytes must arrive
  // in each period of this length.
  milliseconds mStall{ 1000 };
  // From the first bytes of the answer to its end.
  milliseconds mTransfer{ 20000 };
};

// The time limits of one answer. A long answer may take as long as a slow link
// needs while an answer that no longer makes progress ends soon. Does no I/O.
class AnswerDeadline
{
public:
  // A peer that sends less than this number of bytes per stall time-out does
  // not make progress.
  static constexpr size_t kMinProgress = 1024;

  enum class Limit
  {
    FirstBytes,
    Progress,
    Transfer
  };

  // aWait is the time for which the server may hold the answer back; it is
  // added to the time-out of the first bytes.
  AnswerDeadline(TimePoint aNow,
                 milliseconds aWait,
                 const CallTimeouts& aTimeouts)
    : mTimeouts(aTimeouts)
    , mNext(aNow + aWait + aTimeouts.mAnswer)
  {
  }

  void OnBytes(TimePoint aNow, size_t aCount)
  {
    if (mLimit == Limit::FirstBytes) {
      mEnd = aNow + mTimeouts.mTransfer;
      StartPeriod(aNow);
      return;
    }
    mPeriodBytes += aCount;
    if (mPeriodBytes >= kMinProgress) {
      StartPeriod(aNow);
    }
  }

  // Time at which the call fails unless further bytes arrive.
  TimePoint Next() const { return mNext; }
  bool HasPassed(TimePoint aNow) const { return aNow >= mNext; }
  // The limit that Next() belongs to.
  Limit NextLimit() const { return mLimit; }

private:
  void StartPeriod(TimePoint aNow)
  {
    mPeriodBytes = 0;
    mNext = aNow + mTimeouts.mStall;
    mLimit = Limit::Progress;
    if (mEnd <= mNext) {
      mNext = mEnd;
      mLimit = Limit::Transfer;
    }
  }

  CallTimeouts mTimeouts;
  TimePoint mNext;
  TimePoint mEnd;
  Limit mLimit = Limit::FirstBytes;
  size_t mPeriodBytes = 0;
};

} // namespace foxtail::net

#endif

#ifndef foxtail_flow_AnswerNotices_h
#define foxtail_flow_AnswerNotices_h

#include <unordered_map>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/flow/PeerMessages.h"

namespace foxtail::flow {

// The upstreams whose signs of life a balancer still has to report to the
// broker of a service. Each is reported twice, since a report may be lost and a
// broker that misses the only answer of an upstream may take it as stalled.
class AnswerNotices
{
public:
  // Further answers of an upstream within this time are not reported as signs
  // of life. It bounds the size of reports while long answers are transmitted.
  static constexpr milliseconds kMinInterval{ 100 };
  // Entries of SlotReport::mAnswerTimes.
  static constexpr size_t kMaxPerReport = 10;

  // Queues a notice that aUpstream has answered.
  void Add(TimePoint aNow, Cookie aUpstream);
  // Queues a notice even if the last one was a short time ago.
  void Repeat(TimePoint aNow, Cookie aUpstream);
  // Moves up to kMaxPerReport entries of aTimes to aReport, and fills the room
  // that is left with notices.
  void Fill(std::vector<AnswerTime>& aTimes, SlotReport& aReport);
  void Expire(TimePoint aNow);
  bool IsEmpty() const { return mQueue.empty(); }

private:
  struct Notice
  {
    Cookie mUpstream = 0;
    int mRemaining = 0;
  };

  std::vector<Notice> mQueue;
  std::unordered_map<Cookie, TimePoint> mAdded;
};

} // namespace foxtail::flow

#endif

// Components subscribe to timers; the event loop runs the callbacks that are
// due.
#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

int
main()
{
  TimerService timers;
  const TimePoint start{ seconds(1000) };
  int ran = 0;
  const auto subscription =
    timers.Subscribe(start, milliseconds(100), [&](TimePoint) { ++ran; });

  // A real event loop sleeps until NextDue, then calls RunDue with the time.
  for (TimePoint now = start; now < start + seconds(1);
       now = *timers.NextDue()) {
    timers.RunDue(now);
  }
  Require(ran == 10, "ten runs in a second");

  timers.Cancel(subscription);
  Require(!timers.NextDue(), "nothing due after the cancellation");
}

// One balancer in front of two upstreams with three slots each: some requests
// are sent, some wait in a queue, and those that would wait too long are
// refused at once.
#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

int
main()
{
  constexpr uint32_t kRequests = 200;
  const TimePoint now{ seconds(1000) };
  routing::Dispatcher dispatcher{ routing::DispatcherSettings() };
  dispatcher.SetBalancers({ 1 }, 1);
  dispatcher.SetSnapshot(MakeSnapshot(), now);

  routing::WorkActions actions;
  for (uint32_t serial = 1; serial <= kRequests; ++serial) {
    routing::Work work;
    work.mSerial = serial;
    work.mService = 0;
    work.mRankHash = MixHash(serial, 1);
    work.mDeadline = now + seconds(10);
    dispatcher.Submit(work, now, actions);
  }
  uint32_t sent = 0;
  uint32_t refused = 0;
  for (const routing::WorkAction& it : actions) {
    sent += std::holds_alternative<routing::SendWork>(it);
    refused += std::holds_alternative<routing::RefuseWork>(it);
  }
  std::printf(
    "sent %u, waiting %u, refused %u\n", sent, dispatcher.Queued(0), refused);
  Require(sent > 0 && refused > 0,
          "some requests are sent and some are refused");
  Require(sent + refused + dispatcher.Queued(0) == kRequests,
          "each request is sent, refused or queued");

  // An answer frees a slot for a waiting request.
  const auto first = std::get<routing::SendWork>(actions.front());
  const uint32_t waiting = dispatcher.Queued(0);
  actions.clear();
  dispatcher.Finish(
    first.mSerial, routing::Outcome::Answered, now + milliseconds(5), actions);
  Require(dispatcher.Queued(0) < waiting, "a waiting request is sent");
}

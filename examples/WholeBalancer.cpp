// One class makes all decisions of a balancer: its inputs are datagrams and the
// time, its outputs are actions to execute.
#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

namespace {

template<typename Kind>
const Kind&
Find(const balancer::Actions& aActions)
{
  for (const balancer::Action& it : aActions.Items()) {
    if (const auto* found = std::get_if<Kind>(&it)) {
      return *found;
    }
  }
  Require(false, "an action of this kind");
  std::abort();
}

} // namespace

int
main()
{
  const TimePoint now{ seconds(1000) };
  balancer::BalancerSettings settings;
  settings.mVm = "vm-1";
  settings.mFlows.mSelf = 1;
  settings.mFlows.mRegion = "souss";
  settings.mRequests.mEcho.mIncarnation = 1;
  balancer::Balancer balancer(settings, now);
  auto view = std::make_shared<membership::View>();
  view->mSequence = 1;
  view->mMembers = { MakeMember("vm-1", 1) };
  balancer.SetView(view, now);
  balancer.SetSnapshot(MakeSnapshot(), now);
  Require(balancer.IsReady(),
          "the balancer is ready with a view and a configuration");

  balancer::Actions actions;
  balancer.OnInbound(MakeFlow(),
                     /*aHops=*/0,
                     MakeRequest(coap::kGet, 1),
                     now,
                     WallTime(seconds(1'700'000'000)),
                     actions);
  const auto& send = Find<balancer::ToUpstream>(actions);
  const Address upstream = send.mUpstream;
  const std::string answer = MakeAnswer(actions.Bytes(send.mBytes), "balance");

  actions.Clear();
  balancer.OnUpstream(upstream, answer, now + milliseconds(3), actions);
  const auto& reply = Find<balancer::ToCaller>(actions);
  Require(coap::Decode(actions.Bytes(reply.mBytes)).mPayload == "balance",
          "the answer is sent to the caller");
  Require(balancer.Counters().mAnswered == 1, "one request answered");
}

// Two VMs discover each other; one stops sending and is removed from the view.
#include <array>

#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

namespace {

constexpr milliseconds kStep{ 50 };

struct Vm
{
  membership::Member mBalancer;
  membership::Detector mDetector;
  std::vector<membership::GossipReceived> mInbox;
  bool mIsRunning = true;
};

Vm
MakeVm(const std::string& aName, membership::Incarnation aIncarnation)
{
  const membership::Member balancer = MakeMember(aName, aIncarnation);
  membership::DetectorSettings settings;
  settings.mName = aName;
  settings.mRegion = balancer.mRegion;
  settings.mDomain = balancer.mDomain;
  settings.mAgentAddress = balancer.mAgentAddress;
  settings.mIncarnation = aIncarnation;
  settings.mSeed = aIncarnation;
  return { balancer, membership::Detector(settings), {} };
}

class VmPair
{
public:
  VmPair()
  {
    membership::PublishedVmList list{ 1, {} };
    for (const Vm& it : mVms) {
      list.mVms.push_back({ it.mBalancer.mName,
                            it.mBalancer.mRegion,
                            it.mBalancer.mDomain,
                            it.mBalancer.mAgentAddress.mIp });
    }
    for (Vm& it : mVms) {
      HandleEvent(it, membership::VmListRead{ list });
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      for (Vm& it : mVms) {
        Step(it);
      }
    }
  }

  Vm& At(size_t aIndex) { return mVms[aIndex]; }

private:
  void Step(Vm& aVm)
  {
    if (!aVm.mIsRunning) {
      return;
    }
    const auto inbox = std::exchange(aVm.mInbox, {});
    for (const auto& it : inbox) {
      HandleEvent(aVm, it);
    }
    HandleEvent(aVm, membership::BalancerHeartbeat{ aVm.mBalancer });
    HandleEvent(aVm, membership::Tick{});
  }

  // Handles an event and delivers the resulting gossip. A real program sends
  // the gossip as a datagram; here it goes to the inbox of the other VM.
  void HandleEvent(Vm& aVm, const membership::DetectorEvent& aEvent)
  {
    for (const auto& it : aVm.mDetector.Handle(mNow, aEvent)) {
      if (const auto* send = std::get_if<membership::SendGossip>(&it)) {
        Vm& other = &aVm == mVms.data() ? mVms[1] : mVms[0];
        other.mInbox.push_back({ aVm.mBalancer.mAgentAddress, send->mGossip });
      }
    }
  }

  TimePoint mNow{ seconds(1000) };
  std::array<Vm, 2> mVms{ MakeVm("a", 1), MakeVm("b", 2) };
};

} // namespace

int
main()
{
  VmPair pair;
  pair.Run(seconds(10));
  Require(pair.At(0).mDetector.CurrentView()->mMembers.size() == 2,
          "both VMs are in the view");

  pair.At(1).mIsRunning = false;
  pair.Run(seconds(10));
  const membership::ViewPtr view = pair.At(0).mDetector.CurrentView();
  Require(view->mMembers.size() == 1, "VM b, which stopped, was removed");
  Require(view->Find("a") != nullptr, "VM a is still in its own view");
}

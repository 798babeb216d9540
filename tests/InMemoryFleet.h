#ifndef foxtail_tests_InMemoryFleet_h
#define foxtail_tests_InMemoryFleet_h

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "foxtail/membership/Detector.h"
#include "foxtail/net/PeerCodec.h"

namespace foxtail::tests {

// Drives the detectors of a few VMs in one thread. In each step of 50 ms of
// simulated time, each VM handles the datagrams received and then a tick.
// Datagrams pass the real codec and take up to one step. Deterministic for a
// seed.
class InMemoryFleet
{
public:
  static constexpr milliseconds kStep{ 50 };
  static constexpr milliseconds kHeartbeatPeriod{ 200 };
  static constexpr size_t kDomains = 3;
  // Bytes of the IP and UDP headers of one datagram.
  static constexpr size_t kHeaderBytes = 28;
  // Maximum datagrams that wait for a process, for instance while it is frozen.
  static constexpr size_t kSocketBuffer = 256;

  enum class Process
  {
    Runs,
    Frozen,
    Stopped
  };

  struct Vm
  {
    std::string mName;
    size_t mDomain;
    Address mAddress;
    Process mAgent = Process::Stopped;
    Process mBalancer = Process::Stopped;
    // Incarnation of the balancer.
    membership::Incarnation mIncarnation = 0;
    bool mBalancerLeaves = false;
    std::unique_ptr<membership::Detector> mDetector;
    membership::ConfigProgress mConfig;
    bool mHeardOfNewerConfig = false;
    std::vector<membership::GossipReceived> mInbox;
    uint64_t mSentMessages = 0;
    uint64_t mSentBytes = 0;
    uint64_t mReceivedBytes = 0;
    // Gossip messages that this VM's agent refused.
    int mRefusedGossip = 0;
  };

  explicit InMemoryFleet(size_t aVms, uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
    for (size_t i = 0; i < aVms; ++i) {
      Vm vm;
      vm.mName = absl::StrCat("vm-", 1000 + i);
      vm.mDomain = i % kDomains;
      vm.mAddress = { 0x7F140000U + static_cast<uint32_t>(i) + 1, 5693 };
      mByIp[vm.mAddress.mIp] = i;
      mVms.push_back(std::move(vm));
    }
    mList = FullList(1);
  }

  // Starts every VM and runs for aTime, in which all views become complete.
  void StartAll(seconds aTime = seconds(5))
  {
    for (size_t i = 0; i < mVms.size(); ++i) {
      Start(i);
    }
    Run(aTime);
  }

  membership::PublishedVmList FullList(uint64_t aIndex) const
  {
    membership::PublishedVmList list{ aIndex, {} };
    for (const Vm& it : mVms) {
      list.mVms.push_back({ it.mName,
                            "souss",
                            absl::StrCat("domain-", it.mDomain),
                            it.mAddress.mIp,
                            false });
    }
    return list;
  }

  // Sets the published list. Every running agent reads it now and again every
  // ten seconds.
  void Publish(const membership::PublishedVmList& aList)
  {
    mList = aList;
    for (Vm& it : mVms) {
      if (it.mAgent == Process::Runs) {
        Feed(it, membership::VmListRead{ mList });
      }
    }
  }

  // Starts agent and balancer of VM i with new incarnations.
  void Start(size_t i)
  {
    StartAgent(i);
    mVms[i].mBalancer = Process::Runs;
    mVms[i].mBalancerLeaves = false;
    mVms[i].mIncarnation = ++mLastIncarnation;
  }

  void StartAgent(size_t i)
  {
    Vm& vm = mVms[i];
    membership::DetectorSettings settings;
    settings.mName = vm.mName;
    settings.mRegion = "souss";
    settings.mDomain = absl::StrCat("domain-", vm.mDomain);
    settings.mAgentAddress = vm.mAddress;
    settings.mIncarnation = ++mLastIncarnation;
    settings.mSeed = mRandom();
    vm.mDetector = std::make_unique<membership::Detector>(settings);
    vm.mAgent = Process::Runs;
    vm.mInbox.clear();
    Feed(vm, membership::VmListRead{ mList });
  }

  void Kill(size_t i)
  {
    mVms[i].mAgent = Process::Stopped;
    mVms[i].mBalancer = Process::Stopped;
  }

  void Freeze(size_t i)
  {
    mVms[i].mAgent = Process::Frozen;
    mVms[i].mBalancer = Process::Frozen;
  }

  void Resume(size_t i)
  {
    mVms[i].mAgent = Process::Runs;
    mVms[i].mBalancer = Process::Runs;
  }

  // Drops datagrams between VMs for which aSideOf differs.
  void Partition(std::function<int(const Vm&)> aSideOf)
  {
    mSideOf = std::move(aSideOf);
  }
  void Heal() { mSideOf = nullptr; }
  void SetLossRate(double aRate) { mLossRate = aRate; }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      ++mSteps;
      for (Vm& it : mVms) {
        Step(it);
      }
    }
  }

  // Runs until aDone returns true or aLimit has passed; returns the time run.
  Duration RunUntil(const std::function<bool()>& aDone, Duration aLimit)
  {
    const TimePoint start = mNow;
    while (!aDone() && mNow - start < aLimit) {
      Run(kStep);
    }
    return mNow - start;
  }

  Vm& At(size_t i) { return mVms[i]; }
  std::vector<Vm>& Vms() { return mVms; }
  TimePoint Now() const { return mNow; }

  const membership::View& ViewOf(size_t i) const
  {
    return *mVms[i].mDetector->CurrentView();
  }

  // Every member of VM i's view as "name@incarnation", with '*' appended to
  // leaving ones.
  std::vector<std::string> Names(size_t i) const
  {
    std::vector<std::string> names;
    for (const membership::Member& it : ViewOf(i).mMembers) {
      names.push_back(
        absl::StrCat(it.mName,
                     "@",
                     it.mIncarnation,
                     it.mState == membership::MemberState::Leaving ? "*" : ""));
    }
    return names;
  }

  // The names that Names should return when the view has exactly the VMs for
  // which aIsPresent returns true.
  std::vector<std::string> ExpectedNames(
    const std::function<bool(const Vm&)>& aIsPresent) const
  {
    std::vector<std::string> names;
    for (const Vm& it : mVms) {
      if (aIsPresent(it)) {
        names.push_back(absl::StrCat(
          it.mName, "@", it.mIncarnation, it.mBalancerLeaves ? "*" : ""));
      }
    }
    return names;
  }

  void Feed(Vm& aVm, const membership::DetectorEvent& aEvent)
  {
    for (const auto& it : aVm.mDetector->Handle(mNow, aEvent)) {
      std::visit([&](const auto& a) { Execute(aVm, a); }, it);
    }
  }

private:
  void Step(Vm& aVm)
  {
    if (aVm.mAgent != Process::Runs) {
      return;
    }
    const std::vector<membership::GossipReceived> inbox =
      std::exchange(aVm.mInbox, {});
    for (const auto& it : inbox) {
      Feed(aVm, it);
    }
    if (aVm.mBalancer == Process::Runs &&
        mSteps % (kHeartbeatPeriod / kStep) == 0) {
      Feed(aVm, membership::BalancerHeartbeat{ Balancer(aVm) });
    }
    if (mSteps % (seconds(10) / kStep) == 0) {
      Feed(aVm, membership::VmListRead{ mList });
    }
    Feed(aVm, membership::Tick{});
  }

  membership::Member Balancer(const Vm& aVm) const
  {
    membership::Member member;
    member.mName = aVm.mName;
    member.mIncarnation = aVm.mIncarnation;
    member.mState = aVm.mBalancerLeaves ? membership::MemberState::Leaving
                                        : membership::MemberState::Alive;
    member.mHandoffAddress = { aVm.mAddress.mIp, 5691 };
    member.mPeerAddress = { aVm.mAddress.mIp, 5692 };
    member.mAgentAddress = aVm.mAddress;
    return member;
  }

  void Execute(Vm& aVm, const membership::SendGossip& aAction)
  {
    const std::string bytes = net::Encode(aAction.mGossip);
    aVm.mSentMessages += 1;
    aVm.mSentBytes += bytes.size() + kHeaderBytes;
    const auto it = mByIp.find(aAction.mTo.mIp);
    if (it == mByIp.end()) {
      return;
    }
    Vm& to = mVms[it->second];
    const bool cut = mSideOf && mSideOf(aVm) != mSideOf(to);
    const bool lost = mLossRate > 0 && mUniform(mRandom) < mLossRate;
    if (cut || lost || to.mAgent == Process::Stopped ||
        to.mInbox.size() >= kSocketBuffer) {
      return;
    }
    to.mReceivedBytes += bytes.size() + kHeaderBytes;
    to.mInbox.push_back({ aVm.mAddress, net::DecodeGossip(bytes) });
  }

  void Execute(Vm& aVm, const membership::BalancerRefused& aAction)
  {
    mLastIncarnation = std::max(mLastIncarnation, aAction.mIncarnationFloor);
    aVm.mIncarnation = ++mLastIncarnation;
  }

  void Execute(Vm& aVm, const membership::PeerAhead& aAction)
  {
    aVm.mHeardOfNewerConfig |= aAction.mConfig;
  }

  void Execute(Vm& aVm, const membership::GossipRefused&)
  {
    ++aVm.mRefusedGossip;
  }
  void Execute(Vm&, const membership::ViewChanged&) {}

  std::mt19937_64 mRandom;
  std::uniform_real_distribution<double> mUniform{ 0, 1 };
  std::vector<Vm> mVms;
  std::map<uint32_t, size_t> mByIp;
  membership::PublishedVmList mList;
  std::function<int(const Vm&)> mSideOf;
  double mLossRate = 0;
  TimePoint mNow{ seconds(1000) };
  uint64_t mSteps = 0;
  uint64_t mLastIncarnation = 100;
};

} // namespace foxtail::tests

#endif

#ifndef tests_unit_SlotBrokerFixture_h
#define tests_unit_SlotBrokerFixture_h

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "foxtail/flow/SlotBroker.h"

// A directory, balancers and requests for tests of the broker.
namespace foxtail::test {

using namespace foxtail::flow;
using namespace std::chrono_literals;

inline const TimePoint kStart{ 100s };
constexpr VmIp kNear = 1;
constexpr VmIp kFar = 2;

inline Directory
MakeDirectory(size_t aUpstreams, uint32_t aSlots)
{
  ReplicaUpdate update;
  update.mIsFullListing = true;
  update.mConfirmed = 1;
  for (size_t i = 0; i < aUpstreams; ++i) {
    UpstreamRecord record;
    record.mId = "u" + std::to_string(i);
    record.mRevision = 1;
    record.mState = UpstreamState::Ready;
    record.mInstance = i + 1;
    record.mService = "s";
    record.mDomain = i % 2 == 0 ? "near" : "far";
    record.mSlots = aSlots;
    update.mUpstreams.push_back(record);
  }
  update.mConfiguration = Configuration{};
  Directory directory;
  directory.Apply(kStart, update, "store");
  return directory;
}

// Builds the reports of one balancer and keeps track of its grants.
class TestBalancer
{
public:
  TestBalancer(VmIp aIp, const std::string& aDomain)
    : mIp(aIp)
  {
    mReport.mIncarnation = aIp;
    mReport.mDomain = aDomain;
  }

  SlotReport& NextReport()
  {
    ++mReport.mSequence;
    mReport.mGrantsSeen = mGrantsSeen;
    mReport.mRequests.clear();
    mReport.mUnresponsive.clear();
    mReport.mAnswerTimes.clear();
    mReport.mCompleteAnswers.clear();
    return mReport;
  }

  // Processes the replies that are addressed to this balancer. Returns the
  // granted upstreams by request id.
  std::map<uint64_t, Cookie> ReceiveGrants(
    const std::vector<SlotBroker::Reply>& aReplies,
    std::vector<uint64_t>* aRefused = nullptr)
  {
    std::map<uint64_t, Cookie> grants;
    for (const SlotBroker::Reply& it : aReplies) {
      if (it.mTo != mIp) {
        continue;
      }
      for (const SlotGrant& grant : it.mReply.mGrants) {
        grants[grant.mId] = grant.mUpstream;
        mGrantsSeen = std::max(mGrantsSeen, grant.mNumber);
      }
      if (aRefused != nullptr) {
        *aRefused = it.mReply.mRefused;
      }
    }
    return grants;
  }

  VmIp Ip() const { return mIp; }

private:
  VmIp mIp;
  SlotReport mReport;
  uint64_t mGrantsSeen = 0;
};

inline SlotRequest
MakeRequest(uint64_t aId, uint32_t aPriority = 1, milliseconds aWaited = 0ms)
{
  SlotRequest request;
  request.mId = aId;
  request.mObjective = 250ms;
  request.mPriority = aPriority;
  request.mWaited = aWaited;
  request.mCallerIp = static_cast<uint32_t>(aId);
  return request;
}

} // namespace foxtail::test

#endif

#include "foxtail/flow/SlotBroker.h"

#include "absl/strings/str_cat.h"

// The part of SlotBroker that finds upstreams which have stopped answering
// their open flows, and tells the balancers.
namespace foxtail::flow {

namespace {

std::string
DescribeUpstream(const std::string& aService,
                 const Directory& aDirectory,
                 Cookie aUpstream)
{
  const Upstream* upstream = aDirectory.FindUpstream(aUpstream);
  return absl::StrCat("service=",
                      aService,
                      " upstream=",
                      upstream != nullptr ? upstream->mRecord.mId : "",
                      " cookie=",
                      aUpstream);
}

} // namespace

void
SlotBroker::JudgeStalls(TimePoint aNow,
                        ServiceState& aState,
                        const Directory& aDirectory)
{
  aState.mStallDetector.Judge(aNow, mStallConditions);
  AnnounceStalls(aNow, aState, aDirectory);
}

void
SlotBroker::AnnounceStalls(TimePoint aNow,
                           ServiceState& aState,
                           const Directory& aDirectory)
{
  const auto changes = aState.mStallDetector.TakeChanges();
  mStalls += changes.mStalled.size();
  if (!changes.mStalled.empty() || !changes.mEnded.empty()) {
    // The candidates are found anew.
    aState.mCandidatesSource = nullptr;
  }
  for (const Cookie it : changes.mStalled) {
    mEvents.push_back({ 4117, DescribeUpstream(aState.mName, aDirectory, it) });
  }
  for (const Cookie it : changes.mEnded) {
    mEvents.push_back({ 4118, DescribeUpstream(aState.mName, aDirectory, it) });
  }
  if (changes.mMostSilent > 0) {
    mEvents.push_back(
      { 4119,
        absl::StrCat(
          "service=", aState.mName, " silent=", changes.mMostSilent) });
  }
  if (aState.mStallDetector.TakeAnnouncement(aNow)) {
    for (const auto& [ip, reporter] : aState.mReporters) {
      aState.mRepliesDue.insert(ip);
    }
  }
}

} // namespace foxtail::flow

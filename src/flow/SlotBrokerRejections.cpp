#include "foxtail/flow/SlotBroker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Hash.h"
#include "foxtail/flow/BrokerAge.h"

// The part of SlotBroker that keeps flows from upstreams that may take no new
// ones although the own replica allows it.
namespace foxtail::flow {

void
SlotBroker::HandleRejections(TimePoint aNow,
                             ServiceState& aState,
                             const SlotReport& aReport,
                             const Directory& aDirectory)
{
  const Revision own = KnownRevision(aDirectory);
  for (const Cookie it : aReport.mRejected) {
    const Upstream* upstream = aDirectory.FindUpstream(it);
    const bool isExcluded =
      upstream != nullptr &&
      aState.mRejected.Add(aNow, it, aReport.mNewest, own);
    if (!isExcluded) {
      continue;
    }
    // The candidates are found anew.
    aState.mCandidatesSource = nullptr;
    mEvents.push_back({ 4109,
                        absl::StrCat("service=",
                                     aState.mName,
                                     " upstream=",
                                     upstream->mRecord.mId,
                                     " replica=",
                                     FormatRevision(own),
                                     " rejected_by_replica=",
                                     FormatRevision(aReport.mNewest)) });
  }
}

void
SlotBroker::RevokeGrants(TimePoint aNow,
                         ServiceState& aState,
                         const Directory& aDirectory)
{
  if (aState.mGrantsChangeCount == aDirectory.ChangeCount()) {
    return;
  }
  aState.mGrantsChangeCount = aDirectory.ChangeCount();
  const auto isRevoked = [&](const UnconfirmedGrant& it) {
    const Upstream* upstream = aDirectory.FindUpstream(it.mGrant.mUpstream);
    return upstream == nullptr || !Directory::TakesNewFlows(*upstream, aNow);
  };
  for (auto& [ip, reporter] : aState.mReporters) {
    auto& grants = reporter.mUnconfirmedGrants;
    const bool hasRevoked =
      std::any_of(grants.begin(), grants.end(), isRevoked);
    if (!hasRevoked) {
      continue;
    }
    UncountFlows(aState, reporter);
    grants.erase(std::remove_if(grants.begin(), grants.end(), isRevoked),
                 grants.end());
    CountFlows(aState, reporter);
  }
}

void
SlotBroker::SetSilentDomains(const std::set<std::string>& aDomains)
{
  mSilentDomains.clear();
  for (const std::string& it : aDomains) {
    mSilentDomains.insert(static_cast<uint32_t>(StableHash(it)));
  }
}

} // namespace foxtail::flow

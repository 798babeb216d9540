#include "balancerd/Status.h"

#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "foxtail/config/Chain.h"

namespace foxtail::balancerd {

namespace {

struct Outcome
{
  const char* mName;
  uint64_t mCount;
};

std::array<Outcome, 4>
Outcomes(const balancer::BalancerCounters& aCounters)
{
  return { { { "answered", aCounters.mAnswered },
             { "refused", aCounters.mRefused },
             { "unknown", aCounters.mUnknownOutcome },
             { "challenged", aCounters.mChallenged } } };
}

int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

const char*
StateName(membership::MemberState aState)
{
  switch (aState) {
    case membership::MemberState::Alive:
      return "alive";
    case membership::MemberState::Suspect:
      return "suspect";
    case membership::MemberState::Leaving:
      return "leaving";
    case membership::MemberState::Dead:
      return "dead";
  }
  return "";
}

nlohmann::ordered_json
ViewJson(const balancer::Balancer& aBalancer, const StatusContext& aContext)
{
  nlohmann::ordered_json json = { { "agent_age_ms",
                                    Milliseconds(aContext.mAgentAnswerAge) } };
  const membership::ViewPtr& view = aBalancer.CurrentView();
  if (!view) {
    return json;
  }
  json["sequence"] = view->mSequence;
  json["in_doubt"] = view->mInDoubt;
  for (const membership::Member& it : view->mMembers) {
    json["members"].push_back({ { "name", it.mName },
                                { "domain", it.mDomain },
                                { "incarnation", it.mIncarnation },
                                { "state", StateName(it.mState) } });
  }
  return json;
}

nlohmann::ordered_json
ConfigJson(const balancer::Balancer& aBalancer)
{
  const config::SnapshotPtr& snapshot = aBalancer.CurrentSnapshot();
  if (!snapshot) {
    return { { "number", 0 } };
  }
  return { { "number", snapshot->mVersion.mNumber },
           { "digest", config::DigestText(snapshot->mVersion.mDigest) } };
}

nlohmann::ordered_json
CountersJson(const balancer::BalancerCounters& aCounters)
{
  nlohmann::ordered_json json;
  for (const Outcome& it : Outcomes(aCounters)) {
    json[it.mName] = it.mCount;
  }
  json["inbound"] = aCounters.mInbound;
  json["handed_over"] = aCounters.mForwarded;
  json["from_peers"] = aCounters.mFromPeers;
  json["malformed"] = aCounters.mMalformed;
  json["not_ready"] = aCounters.mNotReady;
  return json;
}

} // namespace

std::string
StatusText(const balancer::Balancer& aBalancer, const StatusContext& aContext)
{
  const nlohmann::ordered_json json = {
    { "vm", aContext.mVm },
    { "incarnation", aContext.mIncarnation },
    { "ready", aBalancer.IsReady() },
    { "config", ConfigJson(aBalancer) },
    { "view", ViewJson(aBalancer, aContext) },
    { "flows", aBalancer.Flows().FlowCount() },
    { "records", aBalancer.Flows().RecordCount() },
    { "pending_records", aBalancer.Flows().PendingRecords() },
    { "awaited_grants", aBalancer.Flows().AwaitedGrants() },
    { "flows_bound", aBalancer.Flows().Binds() },
    { "flows_bound_off_default", aBalancer.Flows().NonDefaultBinds() },
    { "open_requests", aBalancer.Requests().OpenRequests() },
    { "unauthorised", aContext.mUnauthorised },
    { "requests", CountersJson(aBalancer.Counters()) }
  };
  return json.dump(2) + "\n";
}

void
UpdateMetrics(const balancer::Balancer& aBalancer,
              const StatusContext& aContext,
              daemon::Metrics& aMetrics)
{
  const balancer::BalancerCounters& counters = aBalancer.Counters();
  for (const Outcome& it : Outcomes(counters)) {
    aMetrics.SetCounter("foxtail_requests_total",
                        "Requests by outcome.",
                        { { "outcome", it.mName } },
                        static_cast<double>(it.mCount));
  }
  aMetrics.SetCounter("foxtail_datagrams_forwarded_total",
                      "Datagrams forwarded to other balancers.",
                      {},
                      static_cast<double>(counters.mForwarded));
  aMetrics.SetCounter("foxtail_datagrams_malformed_total",
                      "Datagrams dropped as malformed.",
                      {},
                      static_cast<double>(counters.mMalformed));
  aMetrics.SetCounter("foxtail_datagrams_unauthorised_total",
                      "Datagrams dropped because of the sender's address.",
                      {},
                      static_cast<double>(aContext.mUnauthorised));
  aMetrics.Gauge("foxtail_flows", "Open flows served here.")
    .Set(static_cast<double>(aBalancer.Flows().FlowCount()));
  aMetrics
    .Gauge("foxtail_agent_age_seconds",
           "Seconds since the agent's latest answer.")
    .Set(std::chrono::duration<double>(aContext.mAgentAnswerAge).count());
  if (const membership::ViewPtr& view = aBalancer.CurrentView()) {
    aMetrics.Gauge("foxtail_view_members", "Balancers in the view.")
      .Set(static_cast<double>(view->mMembers.size()));
    aMetrics.Gauge("foxtail_view_in_doubt", "1 while the view is in doubt.")
      .Set(view->mInDoubt ? 1 : 0);
  }
  const config::SnapshotPtr& snapshot = aBalancer.CurrentSnapshot();
  if (!snapshot) {
    return;
  }
  aMetrics.Gauge("foxtail_config_version", "Configuration number in force.")
    .Set(static_cast<double>(snapshot->mVersion.mNumber));
  for (size_t i = 0; i < snapshot->mUpstreams.size(); ++i) {
    aMetrics
      .Gauge("foxtail_upstream_in_flight",
             "Requests of this balancer that run at the upstream.",
             { { "upstream", snapshot->mUpstreams[i].mName } })
      .Set(
        aBalancer.Scheduler().InFlight(static_cast<config::UpstreamIndex>(i)));
  }
}

std::string
ExplanationText(const balancer::Explanation& aExplanation)
{
  const nlohmann::ordered_json json = {
    { "service", aExplanation.mService },
    { "owner", aExplanation.mOwnerVm },
    { "owner_incarnation", aExplanation.mOwner },
    { "upstream", aExplanation.mUpstream },
    { "default_upstream", aExplanation.mDefaultUpstream },
    { "why",
      aExplanation.mUpstream.empty()
        ? "not recorded here; ask the owner, or the next request binds the flow"
      : aExplanation.mUpstream == aExplanation.mDefaultUpstream
        ? "the default upstream, selected by the flow's hash"
        : "chosen by load, or kept from before a configuration change" }
  };
  return json.dump(2) + "\n";
}

} // namespace foxtail::balancerd

#include "agent/Status.h"

#include "nlohmann/json.hpp"

namespace foxtail::agent {

namespace {

using nlohmann::json;

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

void
Advance(daemon::Metrics& aMetrics, const char* aKind, const Traffic& aTraffic)
{
  const auto count =
    [&](const char* aDirection, uint64_t aMessages, uint64_t aBytes) {
      const daemon::Metrics::Labels labels = { { "kind", aKind },
                                               { "direction", aDirection } };
      aMetrics.SetCounter("foxtail_control_messages_total",
                          "Control messages by kind.",
                          labels,
                          static_cast<double>(aMessages));
      aMetrics.SetCounter("foxtail_control_bytes_total",
                          "Control traffic by kind, without IP headers.",
                          labels,
                          static_cast<double>(aBytes));
    };
  count("sent", aTraffic.mSentMessages, aTraffic.mSentBytes);
  count("received", aTraffic.mReceivedMessages, aTraffic.mReceivedBytes);
}

} // namespace

std::string
StatusText(const AgentCore& aCore, const std::string& aVm)
{
  const membership::View& view = *aCore.Members().CurrentView();
  const config::ChainPoint& point = aCore.Chain().Point();
  json members = json::array();
  for (const membership::Member& it : view.mMembers) {
    members.push_back({ { "name", it.mName },
                        { "domain", it.mDomain },
                        { "incarnation", it.mIncarnation },
                        { "state", StateName(it.mState) },
                        { "address", it.mHandoffAddress.ToString() } });
  }
  const json status = {
    { "process", "foxtail-agent" },
    { "vm", aVm },
    { "joined", aCore.Members().HasJoined() },
    { "watches_platform", aCore.WatchesPlatform() },
    { "config",
      { { "number", point.mVersion.mNumber },
        { "digest", config::DigestText(point.mVersion.mDigest) },
        { "position", point.mPosition } } },
    { "vms_index", aCore.Members().Registry().Index() },
    { "view",
      { { "sequence", view.mSequence },
        { "in_doubt", view.mInDoubt },
        { "members", members } } }
  };
  return status.dump();
}

void
UpdateMetrics(const AgentCore& aCore, daemon::Metrics& aMetrics)
{
  static constexpr const char* kGossipNames[membership::kGossipKindCount] = {
    "probe", "ack", "indirect_probe", "sync", "sync_reply", "update"
  };
  const AgentCounters& counters = aCore.Counters();
  for (int i = 0; i < membership::kGossipKindCount; ++i) {
    Advance(aMetrics, kGossipNames[i], counters.mGossip[i]);
  }
  Advance(aMetrics, "config_fetch", counters.mFetch);
  Advance(aMetrics, "config_serve", counters.mServe);
  Advance(aMetrics, "local", counters.mLocal);

  const auto dropped = [&](const char* aKind, uint64_t aCount) {
    aMetrics.SetCounter("foxtail_dropped_total",
                        "Messages that were malformed or not permitted.",
                        { { "kind", aKind } },
                        static_cast<double>(aCount));
  };
  dropped("peer_message", counters.mPeerMessagesDropped);
  dropped("platform_answer", counters.mPlatformAnswersDropped);
  dropped("load_report", counters.mLoadReportsDropped);

  const membership::View& view = *aCore.Members().CurrentView();
  aMetrics.Gauge("foxtail_view_members", "Balancers in the view.")
    .Set(static_cast<double>(view.mMembers.size()));
  aMetrics.Gauge("foxtail_view_in_doubt", "1 while the view is in doubt.")
    .Set(view.mInDoubt ? 1 : 0);
  aMetrics.Gauge("foxtail_config_version", "Configuration version in force.")
    .Set(static_cast<double>(aCore.Chain().Point().mVersion.mNumber));
}

} // namespace foxtail::agent

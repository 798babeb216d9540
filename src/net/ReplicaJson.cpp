#include "foxtail/net/FlowCodec.h"

#include "nlohmann/json.hpp"

#include "foxtail/core/Error.h"

// Conversions between replica records and JSON. nlohmann/json finds the
// functions to_json and from_json by their names.
namespace foxtail {

using nlohmann::json;

namespace {

constexpr int kNotAReplica = 742;

json
ToJson(const Address& aAddress)
{
  return json::array({ aAddress.mIp, aAddress.mPort });
}

Address
ToAddress(const json& aIn)
{
  return { aIn.at(0).get<uint32_t>(), aIn.at(1).get<uint16_t>() };
}

} // namespace

namespace flow {

static void
to_json(json& aOut, const UpstreamRecord& aRecord)
{
  aOut = { { "id", aRecord.mId },
           { "revision", aRecord.mRevision },
           { "state", static_cast<int>(aRecord.mState) },
           { "instance", aRecord.mInstance },
           { "address", ToJson(aRecord.mAddress) },
           { "service", aRecord.mService },
           { "domain", aRecord.mDomain },
           { "slots", aRecord.mSlots },
           { "cold_ms", aRecord.mRemainingWarmUp.count() },
           { "started_ms", aRecord.mStartedUnixMs } };
}

static void
from_json(const json& aIn, UpstreamRecord& aRecord)
{
  const int state = aIn.at("state").get<int>();
  const bool isKnown =
    state >= 0 && state <= static_cast<int>(UpstreamState::Unusable);
  aRecord.mId = aIn.at("id").get<std::string>();
  aRecord.mRevision = aIn.at("revision").get<Revision>();
  aRecord.mState =
    isKnown ? static_cast<UpstreamState>(state) : UpstreamState::Unusable;
  aRecord.mInstance = aIn.at("instance").get<uint64_t>();
  aRecord.mAddress = ToAddress(aIn.at("address"));
  aRecord.mService = aIn.at("service").get<std::string>();
  aRecord.mDomain = aIn.at("domain").get<std::string>();
  aRecord.mSlots = aIn.at("slots").get<uint32_t>();
  aRecord.mRemainingWarmUp = milliseconds(aIn.at("cold_ms").get<int64_t>());
  aRecord.mStartedUnixMs = aIn.at("started_ms").get<int64_t>();
}

static void
to_json(json& aOut, const RemovedRecord& aRecord)
{
  aOut = { { "id", aRecord.mId }, { "revision", aRecord.mRevision } };
}

static void
from_json(const json& aIn, RemovedRecord& aRecord)
{
  aRecord.mId = aIn.at("id").get<std::string>();
  aRecord.mRevision = aIn.at("revision").get<Revision>();
}

static void
to_json(json& aOut, const RouteTarget& aTarget)
{
  aOut = json::array({ aTarget.mService, aTarget.mWeight });
}

static void
from_json(const json& aIn, RouteTarget& aTarget)
{
  aTarget = { aIn.at(0).get<std::string>(), aIn.at(1).get<uint32_t>() };
}

static void
to_json(json& aOut, const Route& aRoute)
{
  aOut = { { "name", aRoute.mName },
           { "address", ToJson(aRoute.mServiceAddress) },
           { "targets", aRoute.mTargets },
           { "idempotent", aRoute.mIsIdempotent },
           { "timeout_ms", aRoute.mTimeout.count() },
           { "objective_ms", aRoute.mObjective.count() },
           { "priority", aRoute.mPriority } };
}

static void
from_json(const json& aIn, Route& aRoute)
{
  aRoute.mName = aIn.at("name").get<std::string>();
  aRoute.mServiceAddress = ToAddress(aIn.at("address"));
  aRoute.mTargets = aIn.at("targets").get<std::vector<RouteTarget>>();
  aRoute.mIsIdempotent = aIn.at("idempotent").get<bool>();
  aRoute.mTimeout = milliseconds(aIn.at("timeout_ms").get<int64_t>());
  aRoute.mObjective = milliseconds(aIn.at("objective_ms").get<int64_t>());
  aRoute.mPriority = aIn.at("priority").get<uint32_t>();
}

static void
to_json(json& aOut, const Configuration& aConfiguration)
{
  aOut = { { "version", aConfiguration.mVersion },
           { "revision", aConfiguration.mRevision },
           { "routes", aConfiguration.mRoutes },
           { "idle_timeout_ms", aConfiguration.mIdleTimeout.count() } };
}

static void
from_json(const json& aIn, Configuration& aConfiguration)
{
  aConfiguration.mVersion = aIn.at("version").get<uint64_t>();
  aConfiguration.mRevision = aIn.at("revision").get<Revision>();
  aConfiguration.mRoutes = aIn.at("routes").get<std::vector<Route>>();
  aConfiguration.mIdleTimeout =
    milliseconds(aIn.at("idle_timeout_ms").get<int64_t>());
}

} // namespace flow

namespace net {

std::string
EncodeReplica(const flow::ReplicaUpdate& aUpdate)
{
  json out = { { "confirmed", aUpdate.mConfirmed },
               { "age_ms", aUpdate.mAge.count() },
               { "complete", aUpdate.mIsFullListing },
               { "upstreams", aUpdate.mUpstreams },
               { "removed", aUpdate.mRemoved } };
  if (aUpdate.mConfiguration) {
    out["configuration"] = *aUpdate.mConfiguration;
  }
  return out.dump();
}

flow::ReplicaUpdate
DecodeReplica(std::string_view aText)
{
  try {
    const json in = json::parse(aText);
    flow::ReplicaUpdate update;
    update.mConfirmed = in.at("confirmed").get<flow::Revision>();
    update.mAge = milliseconds(in.at("age_ms").get<int64_t>());
    update.mIsFullListing = in.at("complete").get<bool>();
    update.mUpstreams =
      in.at("upstreams").get<std::vector<flow::UpstreamRecord>>();
    update.mRemoved = in.at("removed").get<std::vector<flow::RemovedRecord>>();
    if (in.contains("configuration")) {
      update.mConfiguration = in.at("configuration").get<flow::Configuration>();
    }
    return update;
  } catch (const json::exception& e) {
    throw PeerError(kNotAReplica, "replica", e.what());
  }
}

} // namespace net

} // namespace foxtail

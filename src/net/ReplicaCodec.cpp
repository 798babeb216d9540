#include "foxtail/net/FlowCodec.h"

#include <algorithm>

#include "Flow.pb.h"
#include "foxtail/core/Error.h"

// Replica records as protobuf messages.
namespace foxtail::net {

namespace {

constexpr int kNotAReplica = 742;
// Longer times are not plausible; the bound keeps conversions to finer units
// from overflowing.
constexpr int64_t kMaxMilliseconds = 86'400'000;

milliseconds
ReadTime(int64_t aMilliseconds)
{
  return milliseconds(std::clamp<int64_t>(aMilliseconds, 0, kMaxMilliseconds));
}

uint16_t
ReadPort(uint32_t aPort)
{
  if (aPort > UINT16_MAX) {
    throw PeerError(kNotAReplica, "replica", "a port is out of range");
  }
  return static_cast<uint16_t>(aPort);
}

void
Write(const flow::UpstreamRecord& aRecord, wire::ReplicaUpstream& aOut)
{
  aOut.set_id(aRecord.mId);
  aOut.set_revision(aRecord.mRevision);
  aOut.set_state(static_cast<uint32_t>(aRecord.mState));
  aOut.set_instance(aRecord.mInstance);
  aOut.set_ip(aRecord.mAddress.mIp);
  aOut.set_port(aRecord.mAddress.mPort);
  aOut.set_service(aRecord.mService);
  aOut.set_domain(aRecord.mDomain);
  aOut.set_slots(aRecord.mSlots);
  aOut.set_warm_up_ms(aRecord.mRemainingWarmUp.count());
  aOut.set_started_unix_ms(aRecord.mStartedUnixMs);
  aOut.set_created_revision(aRecord.mCreatedRevision);
  aOut.set_sequence(aRecord.mSequence);
  aOut.set_is_ahead_of_publisher(aRecord.mIsAheadOfPublisher);
}

flow::UpstreamRecord
Read(const wire::ReplicaUpstream& aIn)
{
  const auto unusable = static_cast<uint32_t>(flow::UpstreamState::Unusable);
  flow::UpstreamRecord record;
  record.mId = aIn.id();
  record.mRevision = aIn.revision();
  // A state that is unknown here takes no flows.
  record.mState =
    static_cast<flow::UpstreamState>(std::min(aIn.state(), unusable));
  record.mInstance = aIn.instance();
  record.mAddress = { aIn.ip(), ReadPort(aIn.port()) };
  record.mService = aIn.service();
  record.mDomain = aIn.domain();
  record.mSlots = aIn.slots();
  record.mRemainingWarmUp = ReadTime(aIn.warm_up_ms());
  record.mStartedUnixMs = aIn.started_unix_ms();
  record.mCreatedRevision = aIn.created_revision();
  record.mSequence = aIn.sequence();
  record.mIsAheadOfPublisher = aIn.is_ahead_of_publisher();
  return record;
}

void
Write(const flow::Route& aRoute, wire::ReplicaRoute& aOut)
{
  aOut.set_name(aRoute.mName);
  aOut.set_ip(aRoute.mServiceAddress.mIp);
  aOut.set_port(aRoute.mServiceAddress.mPort);
  for (const flow::RouteTarget& it : aRoute.mTargets) {
    wire::ReplicaTarget& target = *aOut.add_targets();
    target.set_service(it.mService);
    target.set_weight(it.mWeight);
  }
  aOut.set_not_idempotent(!aRoute.mIsIdempotent);
  aOut.set_timeout_ms(aRoute.mTimeout.count());
  aOut.set_objective_ms(aRoute.mObjective.count());
  aOut.set_priority(aRoute.mPriority);
}

flow::Route
Read(const wire::ReplicaRoute& aIn)
{
  flow::Route route;
  route.mName = aIn.name();
  route.mServiceAddress = { aIn.ip(), ReadPort(aIn.port()) };
  for (const wire::ReplicaTarget& it : aIn.targets()) {
    route.mTargets.push_back({ it.service(), it.weight() });
  }
  route.mIsIdempotent = !aIn.not_idempotent();
  route.mTimeout = ReadTime(aIn.timeout_ms());
  route.mObjective = ReadTime(aIn.objective_ms());
  route.mPriority = aIn.priority();
  return route;
}

void
Write(const flow::Evacuation& aEvacuation, wire::ReplicaEvacuation& aOut)
{
  aOut.set_domain(aEvacuation.mDomain);
  aOut.set_revision(aEvacuation.mRevision);
  aOut.set_remaining_hold_ms(aEvacuation.mRemainingHold.count());
}

void
Write(const flow::Configuration& aConfiguration,
      wire::ReplicaConfiguration& aOut)
{
  aOut.set_version(aConfiguration.mVersion);
  aOut.set_revision(aConfiguration.mRevision);
  aOut.set_idle_timeout_ms(aConfiguration.mIdleTimeout.count());
  for (const flow::Route& it : aConfiguration.mRoutes) {
    Write(it, *aOut.add_routes());
  }
  for (const flow::ServiceSettings& it : aConfiguration.mServices) {
    wire::ReplicaService& service = *aOut.add_services();
    service.set_name(it.mName);
    service.set_cold_time_ms(it.mColdTime.count());
    service.set_cold_requests_per_second(it.mColdRequestsPerSecond);
  }
}

flow::Configuration
Read(const wire::ReplicaConfiguration& aIn)
{
  flow::Configuration configuration;
  configuration.mVersion = aIn.version();
  configuration.mRevision = aIn.revision();
  configuration.mIdleTimeout = ReadTime(aIn.idle_timeout_ms());
  for (const wire::ReplicaRoute& it : aIn.routes()) {
    configuration.mRoutes.push_back(Read(it));
  }
  for (const wire::ReplicaService& it : aIn.services()) {
    configuration.mServices.push_back({ it.name(),
                                        ReadTime(it.cold_time_ms()),
                                        it.cold_requests_per_second() });
  }
  return configuration;
}

} // namespace

std::string
EncodeReplica(const flow::ReplicaUpdate& aUpdate)
{
  wire::Replica out;
  out.set_confirmed(aUpdate.mConfirmed);
  out.set_age_ms(aUpdate.mAge.count());
  out.set_is_full_listing(aUpdate.mIsFullListing);
  for (const flow::UpstreamRecord& it : aUpdate.mUpstreams) {
    Write(it, *out.add_upstreams());
  }
  for (const flow::RemovedRecord& it : aUpdate.mRemoved) {
    wire::ReplicaRemoval& removal = *out.add_removed();
    removal.set_id(it.mId);
    removal.set_revision(it.mRevision);
    removal.set_age_ms(it.mAge.count());
  }
  for (const flow::Evacuation& it : aUpdate.mEvacuations) {
    Write(it, *out.add_evacuations());
  }
  for (const flow::Evacuation& it : aUpdate.mEndedEvacuations) {
    Write(it, *out.add_ended_evacuations());
  }
  if (aUpdate.mConfiguration) {
    Write(*aUpdate.mConfiguration, *out.mutable_configuration());
  }
  return out.SerializeAsString();
}

std::string
EncodeConfirmation(flow::Revision aConfirmed, milliseconds aAge)
{
  wire::Replica out;
  out.set_confirmed(aConfirmed);
  out.set_age_ms(aAge.count());
  return out.SerializeAsString();
}

flow::ReplicaUpdate
DecodeReplica(std::string_view aBytes)
{
  wire::Replica in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    throw PeerError(kNotAReplica, "replica", "not a replica message");
  }
  flow::ReplicaUpdate update;
  update.mConfirmed = in.confirmed();
  update.mAge = ReadTime(in.age_ms());
  update.mIsFullListing = in.is_full_listing();
  for (const wire::ReplicaUpstream& it : in.upstreams()) {
    update.mUpstreams.push_back(Read(it));
  }
  for (const wire::ReplicaRemoval& it : in.removed()) {
    update.mRemoved.push_back(
      { it.id(), it.revision(), ReadTime(it.age_ms()) });
  }
  for (const wire::ReplicaEvacuation& it : in.evacuations()) {
    update.mEvacuations.push_back(
      { it.domain(), it.revision(), ReadTime(it.remaining_hold_ms()) });
  }
  for (const wire::ReplicaEvacuation& it : in.ended_evacuations()) {
    update.mEndedEvacuations.push_back({ it.domain(), it.revision() });
  }
  if (in.has_configuration()) {
    update.mConfiguration = Read(in.configuration());
  }
  return update;
}

} // namespace foxtail::net

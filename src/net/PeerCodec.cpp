#include "foxtail/net/PeerCodec.h"

#include <algorithm>
#include <set>

#include "Peer.pb.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

using membership::ConfigProgress;
using membership::Gossip;
using membership::GossipKind;
using membership::Member;
using membership::MemberRecord;
using membership::MemberState;

enum class Presence
{
  Required,
  Optional
};

// Checks the size of aBytes and parses them as a Message. aWhat names the
// message in errors.
template<typename Message>
Message
Parse(std::string_view aBytes, size_t aMaxSize, std::string_view aWhat)
{
  if (aBytes.size() > aMaxSize) {
    throw PeerError(
      700, aWhat, absl::StrCat(aBytes.size(), " bytes, limit ", aMaxSize));
  }
  Message message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    throw PeerError(701, aWhat, "malformed protobuf");
  }
  return message;
}

void
CheckCount(int aCount, size_t aLimit, std::string_view aWhat)
{
  if (static_cast<size_t>(aCount) > aLimit) {
    throw PeerError(
      707, aWhat, absl::StrCat(aCount, " records, limit ", aLimit));
  }
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char c) {
           return absl::ascii_isgraph(c);
         });
}

const std::string&
CheckName(const std::string& aText, std::string_view aWhat)
{
  if (!IsName(aText)) {
    throw PeerError(702, aWhat, "expected 1 to 63 printable characters");
  }
  return aText;
}

uint16_t
CheckPort(uint32_t aPort, std::string_view aWhat)
{
  if (aPort == 0 || aPort > UINT16_MAX) {
    throw PeerError(705, aWhat, absl::StrCat("port ", aPort));
  }
  return static_cast<uint16_t>(aPort);
}

uint64_t
CheckIncarnation(uint64_t aIncarnation, std::string_view aWhat)
{
  if (aIncarnation == 0 || aIncarnation > kMaxIncarnation) {
    throw PeerError(703, aWhat, "zero or beyond the limit");
  }
  return aIncarnation;
}

uint32_t
CheckIp(uint32_t aIp)
{
  constexpr uint32_t kFirstMulticast = 0xE0000000;
  if (aIp >> 24 == 0 || aIp >= kFirstMulticast) {
    throw PeerError(
      706, "member.ip", absl::StrCat("not an address of a VM: ", aIp));
  }
  return aIp;
}

MemberState
CheckState(uint32_t aState)
{
  if (aState > static_cast<uint32_t>(MemberState::Dead)) {
    throw PeerError(704, "member.state", absl::StrCat("unknown: ", aState));
  }
  return static_cast<MemberState>(aState);
}

void
Write(const Member& aMember, wire::MemberInfo& aOut)
{
  aOut.set_name(aMember.mName);
  aOut.set_region(aMember.mRegion);
  aOut.set_domain(aMember.mDomain);
  aOut.set_incarnation(aMember.mIncarnation);
  aOut.set_state(static_cast<uint32_t>(aMember.mState));
  aOut.set_ip(aMember.mAgentAddress.mIp);
  aOut.set_handoff_port(aMember.mHandoffAddress.mPort);
  aOut.set_peer_port(aMember.mPeerAddress.mPort);
  aOut.set_agent_port(aMember.mAgentAddress.mPort);
}

Member
Read(const wire::MemberInfo& aInfo, Presence aRegionAndDomain)
{
  Member member;
  member.mName = CheckName(aInfo.name(), "member.name");
  // Gossip omits the region and the domain, which the published VM list holds.
  if (aRegionAndDomain == Presence::Required || !aInfo.region().empty()) {
    member.mRegion = CheckName(aInfo.region(), "member.region");
  }
  if (aRegionAndDomain == Presence::Required || !aInfo.domain().empty()) {
    member.mDomain = CheckName(aInfo.domain(), "member.domain");
  }
  member.mIncarnation = aInfo.incarnation();
  if (member.mIncarnation != 0) {
    CheckIncarnation(member.mIncarnation, "member.incarnation");
  }
  member.mState = CheckState(aInfo.state());
  const uint32_t ip = CheckIp(aInfo.ip());
  member.mHandoffAddress = {
    ip, CheckPort(aInfo.handoff_port(), "member.handoff_port")
  };
  member.mPeerAddress = { ip,
                          CheckPort(aInfo.peer_port(), "member.peer_port") };
  member.mAgentAddress = { ip,
                           CheckPort(aInfo.agent_port(), "member.agent_port") };
  return member;
}

// Reads a member that must have a live balancer.
Member
ReadBalancer(const wire::MemberInfo& aInfo)
{
  Member member = Read(aInfo, Presence::Required);
  CheckIncarnation(member.mIncarnation, "member.incarnation");
  return member;
}

void
WriteRecord(const MemberRecord& aRecord, wire::MemberInfo& aOut)
{
  Write(aRecord.mMember, aOut);
  aOut.clear_region();
  aOut.clear_domain();
  aOut.set_agent_incarnation(aRecord.mAgentIncarnation);
  aOut.set_revision(aRecord.mRevision);
  aOut.set_leaving(aRecord.mLeaving);
  aOut.set_balancer_absent(aRecord.mBalancerAbsent);
}

MemberRecord
ReadRecord(const wire::MemberInfo& aInfo)
{
  MemberRecord record;
  record.mMember = Read(aInfo, Presence::Optional);
  if (record.mMember.mState == MemberState::Leaving) {
    throw PeerError(
      704,
      "member.state",
      "the state leaving is not allowed in gossip, which has a flag");
  }
  record.mAgentIncarnation =
    CheckIncarnation(aInfo.agent_incarnation(), "member.agent_incarnation");
  record.mRevision = aInfo.revision();
  if (record.mRevision == 0 || record.mRevision > kMaxRevision) {
    throw PeerError(711, "member.revision", "zero or beyond the limit");
  }
  record.mLeaving = aInfo.leaving();
  record.mBalancerAbsent = aInfo.balancer_absent();
  return record;
}

void
Write(const ConfigProgress& aVersion, wire::VersionInfo& aOut)
{
  aOut.set_number(aVersion.mNumber);
  aOut.set_digest(aVersion.mDigest);
  aOut.set_position(aVersion.mPosition);
}

ConfigProgress
Read(const wire::VersionInfo& aInfo)
{
  return { aInfo.number(), aInfo.digest(), aInfo.position() };
}

void
Write(const UpstreamLoad& aLoad, wire::LoadReport& aOut)
{
  aOut.set_upstream(aLoad.mUpstream);
  aOut.set_in_flight(aLoad.mInFlight);
  aOut.set_healthy(aLoad.mHealthy);
  aOut.set_draining(aLoad.mDraining);
  aOut.set_age_ms(static_cast<uint32_t>(
    std::clamp<int64_t>(aLoad.mAge.count(), 0, UINT32_MAX)));
}

template<typename Reports>
std::vector<UpstreamLoad>
ReadLoads(const Reports& aReports)
{
  CheckCount(aReports.size(), kMaxLoads, "loads");
  std::vector<UpstreamLoad> loads;
  loads.reserve(aReports.size());
  std::set<uint32_t> seen;
  for (const wire::LoadReport& it : aReports) {
    if (it.upstream() == 0 || !seen.insert(it.upstream()).second) {
      throw PeerError(712,
                      "loads.upstream",
                      absl::StrCat("zero or listed twice: ", it.upstream()));
    }
    loads.push_back({ it.upstream(),
                      it.in_flight(),
                      it.healthy(),
                      it.draining(),
                      milliseconds(it.age_ms()) });
  }
  return loads;
}

void
Write(const ConfigReply& aReply, wire::ConfigReply& aOut)
{
  Write(aReply.mVersion, *aOut.mutable_version());
  aOut.set_document_json(aReply.mDocumentJson);
  for (const std::string& it : aReply.mPatchesJson) {
    aOut.add_patches_json(it);
  }
  aOut.set_vms_json(aReply.mVmsJson);
  aOut.set_vms_index(aReply.mVmsIndex);
}

ConfigReply
Read(const wire::ConfigReply& aMessage)
{
  CheckCount(aMessage.patches_json_size(), kMaxPatches, "config.patches");
  if (!aMessage.document_json().empty() && aMessage.patches_json_size() != 0) {
    throw PeerError(710, "config", "both a document and patches");
  }
  if (!aMessage.vms_json().empty() && aMessage.vms_index() == 0) {
    throw PeerError(710, "config.vms", "a VM list without its index");
  }
  ConfigReply reply;
  reply.mVersion = Read(aMessage.version());
  reply.mDocumentJson = aMessage.document_json();
  reply.mPatchesJson.assign(aMessage.patches_json().begin(),
                            aMessage.patches_json().end());
  reply.mVmsJson = aMessage.vms_json();
  reply.mVmsIndex = aMessage.vms_index();
  return reply;
}

GossipKind
CheckKind(int aKind)
{
  if (aKind < 0 || aKind >= membership::kGossipKindCount) {
    throw PeerError(708, "gossip.kind", absl::StrCat("unknown: ", aKind));
  }
  return static_cast<GossipKind>(aKind);
}

void
CheckTarget(const Gossip& aGossip)
{
  const bool required = aGossip.mKind == GossipKind::IndirectProbe ||
                        aGossip.mKind == GossipKind::Ack;
  if (aGossip.mTarget.empty() ? required : !IsName(aGossip.mTarget)) {
    throw PeerError(709, "gossip.target", "missing or not a name");
  }
}

} // namespace

std::string
Encode(const Gossip& aGossip)
{
  wire::Gossip message;
  message.set_kind(static_cast<wire::Gossip::Kind>(aGossip.mKind));
  message.set_sequence(aGossip.mSequence);
  WriteRecord(aGossip.mSender, *message.mutable_sender());
  message.set_target(aGossip.mTarget);
  for (const MemberRecord& it : aGossip.mUpdates) {
    WriteRecord(it, *message.add_updates());
  }
  Write(aGossip.mConfig, *message.mutable_config());
  message.set_vms_index(aGossip.mVmsIndex);
  return message.SerializeAsString();
}

Gossip
DecodeGossip(std::string_view aBytes)
{
  const auto message = Parse<wire::Gossip>(aBytes, kMaxGossipSize, "gossip");
  CheckCount(message.updates_size(), kMaxGossipUpdates, "gossip.updates");
  Gossip gossip;
  gossip.mKind = CheckKind(message.kind());
  gossip.mSequence = message.sequence();
  gossip.mSender = ReadRecord(message.sender());
  gossip.mTarget = message.target();
  CheckTarget(gossip);
  gossip.mUpdates.reserve(message.updates_size());
  for (const wire::MemberInfo& it : message.updates()) {
    gossip.mUpdates.push_back(ReadRecord(it));
  }
  gossip.mConfig = Read(message.config());
  gossip.mVmsIndex = message.vms_index();
  return gossip;
}

std::string
Encode(const ConfigRequest& aRequest)
{
  wire::ConfigRequest message;
  Write(aRequest.mProgress, *message.mutable_have());
  message.set_vms_index(aRequest.mVmsIndex);
  return message.SerializeAsString();
}

ConfigRequest
DecodeConfigRequest(std::string_view aBytes)
{
  const auto message =
    Parse<wire::ConfigRequest>(aBytes, kMaxConfigRequestSize, "config request");
  return { Read(message.have()), message.vms_index() };
}

std::string
Encode(const ConfigReply& aReply)
{
  wire::ConfigReply message;
  Write(aReply, message);
  return message.SerializeAsString();
}

ConfigReply
DecodeConfigReply(std::string_view aBytes)
{
  return Read(
    Parse<wire::ConfigReply>(aBytes, kMaxConfigReplySize, "config reply"));
}

std::string
Encode(const LocalRequest& aRequest)
{
  wire::LocalRequest message;
  Write(aRequest.mSelf, *message.mutable_self());
  message.set_view_sequence(aRequest.mViewSequence);
  Write(aRequest.mConfig, *message.mutable_config());
  return message.SerializeAsString();
}

LocalRequest
DecodeLocalRequest(std::string_view aBytes)
{
  const auto message =
    Parse<wire::LocalRequest>(aBytes, kMaxLocalRequestSize, "local request");
  return { ReadBalancer(message.self()),
           message.view_sequence(),
           Read(message.config()) };
}

std::string
Encode(const LocalReply& aReply)
{
  wire::LocalReply message;
  for (const Member& it : aReply.mMembers) {
    Write(it, *message.add_members());
  }
  message.set_view_sequence(aReply.mViewSequence);
  message.set_view_in_doubt(aReply.mViewInDoubt);
  Write(aReply.mConfig, *message.mutable_config());
  for (const UpstreamLoad& it : aReply.mLoads) {
    Write(it, *message.add_loads());
  }
  message.set_refused_incarnation(aReply.mRefusedIncarnation);
  return message.SerializeAsString();
}

LocalReply
DecodeLocalReply(std::string_view aBytes)
{
  const auto message =
    Parse<wire::LocalReply>(aBytes, kMaxLocalReplySize, "local reply");
  CheckCount(message.members_size(), kMaxMembers, "members");
  LocalReply reply;
  reply.mMembers.reserve(message.members_size());
  for (const wire::MemberInfo& it : message.members()) {
    reply.mMembers.push_back(ReadBalancer(it));
  }
  if (!reply.mMembers.empty() && message.view_sequence() == 0) {
    throw PeerError(711, "view_sequence", "zero in a message with members");
  }
  reply.mViewSequence = message.view_sequence();
  reply.mViewInDoubt = message.view_in_doubt();
  reply.mConfig = Read(message.config());
  reply.mLoads = ReadLoads(message.loads());
  reply.mRefusedIncarnation = message.refused_incarnation();
  return reply;
}

std::string
Encode(const FlowRecords& aRecords)
{
  wire::FlowRecords message;
  message.set_sender(aRecords.mSender);
  for (const UpstreamFlows& it : aRecords.mRecords) {
    wire::UpstreamRecords& out = *message.add_records();
    out.set_upstream(it.mUpstream);
    out.mutable_fingerprints()->Add(it.mFingerprints.begin(),
                                    it.mFingerprints.end());
  }
  message.set_grant_to(aRecords.mGrantTo);
  message.set_config_number(aRecords.mConfigNumber);
  message.set_has_loads(aRecords.mHasLoads);
  for (const UpstreamLoad& it : aRecords.mLoads) {
    Write(it, *message.add_loads());
  }
  return message.SerializeAsString();
}

FlowRecords
DecodeFlowRecords(std::string_view aBytes)
{
  const auto message =
    Parse<wire::FlowRecords>(aBytes, kMaxFlowRecordsSize, "flow records");
  CheckCount(message.records_size(), kMaxLoads, "records");
  FlowRecords records;
  records.mSender = CheckIncarnation(message.sender(), "sender");
  std::set<uint32_t> seen;
  size_t fingerprints = 0;
  for (const wire::UpstreamRecords& it : message.records()) {
    if (it.upstream() == 0 || !seen.insert(it.upstream()).second) {
      throw PeerError(712,
                      "records.upstream",
                      absl::StrCat("zero or listed twice: ", it.upstream()));
    }
    fingerprints += it.fingerprints_size();
    if (fingerprints > kMaxFingerprints) {
      throw PeerError(
        707, "records.fingerprints", "more fingerprints than the limit");
    }
    records.mRecords.push_back(
      { it.upstream(),
        { it.fingerprints().begin(), it.fingerprints().end() } });
  }
  records.mGrantTo = message.grant_to();
  records.mConfigNumber = message.config_number();
  records.mHasLoads = message.has_loads();
  records.mLoads = ReadLoads(message.loads());
  return records;
}

} // namespace foxtail::net

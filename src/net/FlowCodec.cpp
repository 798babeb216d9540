#include "foxtail/net/FlowCodec.h"

#include <algorithm>

#include "Flow.pb.h"

#include "foxtail/core/Error.h"
#include "foxtail/flow/FlowBalancer.h"

namespace foxtail::net {

namespace {

constexpr int kNotAMessage = 740;
constexpr int kOutOfRange = 741;
// One hour. Longer times are cut to it in encoding and refused in decoding,
// because they come from a faulty sender.
constexpr uint64_t kMaxTimeMs = 3600000;
// Maximum numbers of entries in the lists of a report, so that the report fits
// a datagram. FlowBalancer keeps to its own limits for requests, answers,
// unanswered requests and stalled flows. Held slots that are left out are
// estimates, which a later report brings again.
constexpr int kMaxRequests =
  static_cast<int>(flow::FlowBalancer::kMaxRequestsPerReport);
constexpr int kMaxHeldEntries = 31;
// Remaining work is cut to this time, which takes two bytes.
constexpr milliseconds kMaxRemainingWork{ 16383 };
constexpr int kMaxAnswerTimes =
  static_cast<int>(flow::AnswerNotices::kMaxPerReport);
constexpr int kMaxUnanswered =
  static_cast<int>(flow::FlowBalancer::kMaxUnansweredPerReport);
constexpr int kMaxCompleteAnswers =
  static_cast<int>(flow::FlowBalancer::kMaxCompleteAnswersPerReport);
constexpr int kMaxRejected = 3;
constexpr int kMaxStalled =
  static_cast<int>(flow::FlowBalancer::kMaxStalledPerReport);
constexpr int kMaxStalledUpstreams =
  static_cast<int>(flow::StallDetector::kMaxStalledUpstreams);
constexpr size_t kMaxDomainBytes = 64;

uint32_t
EncodeTime(milliseconds aTime)
{
  return static_cast<uint32_t>(
    std::min<int64_t>(std::max<int64_t>(aTime.count(), 0), kMaxTimeMs));
}

milliseconds
DecodeTime(uint64_t aTime)
{
  if (aTime > kMaxTimeMs) {
    throw PeerError(
      kOutOfRange, "flow message", "a time is longer than an hour");
  }
  return milliseconds(aTime);
}

// Checks the name of a failure domain. It must be printable because it is
// written to log lines.
std::string
ReadDomain(const std::string& aText)
{
  const bool isPrintable = aText.size() <= kMaxDomainBytes &&
                           std::all_of(aText.begin(), aText.end(), [](char it) {
                             return it > ' ' && it <= '~';
                           });
  if (!isPrintable) {
    throw PeerError(
      kOutOfRange, "flow message", "a domain is too long or not printable");
  }
  return aText;
}

void
Write(const flow::MemberRecord& aRecord, wire::FlowMember& aOut)
{
  aOut.set_ip(aRecord.mIp);
  aOut.set_incarnation(aRecord.mIncarnation);
  aOut.set_pulse(aRecord.mHeartbeatCount);
  aOut.set_domain(aRecord.mDomain);
  aOut.set_ready(aRecord.mIsReady);
  aOut.set_processor_share(aRecord.mProcessorShare);
}

flow::MemberRecord
Read(const wire::FlowMember& aIn)
{
  return { aIn.ip(),    aIn.incarnation(),
           aIn.pulse(), ReadDomain(aIn.domain()),
           aIn.ready(), aIn.processor_share() };
}

void
Write(const flow::Heartbeat& aHeartbeat, wire::FlowMessage& aOut)
{
  wire::FlowBeat& out = *aOut.mutable_beat();
  Write(aHeartbeat.mSelf, *out.mutable_self());
  out.set_confirmed(aHeartbeat.mConfirmed);
  out.set_newest(aHeartbeat.mNewest);
  out.set_complete_since(aHeartbeat.mCompleteSince);
  out.set_confirmed_age_ms(EncodeTime(aHeartbeat.mConfirmedAge));
  out.set_known(aHeartbeat.mKnownMembers);
  for (const flow::MemberRecord& it : aHeartbeat.mOtherMembers) {
    Write(it, *out.add_others());
  }
}

flow::PeerMessage
Read(const wire::FlowBeat& aIn)
{
  flow::Heartbeat heartbeat;
  heartbeat.mSelf = Read(aIn.self());
  heartbeat.mConfirmed = aIn.confirmed();
  heartbeat.mNewest = aIn.newest();
  heartbeat.mCompleteSince = aIn.complete_since();
  heartbeat.mConfirmedAge = DecodeTime(aIn.confirmed_age_ms());
  heartbeat.mKnownMembers = aIn.known();
  for (const wire::FlowMember& it : aIn.others()) {
    heartbeat.mOtherMembers.push_back(Read(it));
  }
  return heartbeat;
}

void
Write(const flow::SlotReport& aReport, wire::FlowMessage& aOut)
{
  wire::FlowSlotReport& out = *aOut.mutable_report();
  out.set_incarnation(aReport.mIncarnation);
  out.set_sequence(aReport.mSequence);
  out.set_service(aReport.mServiceId);
  out.set_domain(aReport.mDomain);
  out.set_grants_seen(aReport.mGrantsSeen);
  out.set_newest(aReport.mNewest);
  out.set_whole(aReport.mListsAllRequests);
  for (const flow::SlotCount& it : aReport.mHeld) {
    if (out.held_size() == kMaxHeldEntries) {
      break;
    }
    wire::FlowSlotCount& entry = *out.add_held();
    entry.set_upstream(it.mUpstream);
    entry.set_count(it.mCount);
    entry.set_remaining_work_ms(
      EncodeTime(std::min(it.mRemainingWork, kMaxRemainingWork)));
  }
  for (const flow::SlotRequest& it : aReport.mRequests) {
    if (out.requests_size() == kMaxRequests) {
      break;
    }
    wire::FlowSlotRequest& entry = *out.add_requests();
    entry.set_id(it.mId);
    entry.set_waited_ms(EncodeTime(it.mWaited));
    entry.set_objective_ms(EncodeTime(it.mObjective));
    entry.set_priority(it.mPriority);
    entry.set_caller_ip(it.mCallerIp);
    entry.set_not_idempotent(!it.mIsIdempotent);
    entry.set_route(it.mRoute);
    for (const flow::Cookie cookie : it.mExcluded) {
      entry.add_excluded(cookie);
    }
  }
  for (const flow::Cookie it : aReport.mUnresponsive) {
    out.add_silent(it);
  }
  for (const flow::AnswerTime& it : aReport.mAnswerTimes) {
    if (out.answers_size() == kMaxAnswerTimes) {
      break;
    }
    wire::FlowAnswerTime& entry = *out.add_answers();
    entry.set_upstream(it.mUpstream);
    entry.set_time_ms(EncodeTime(it.mTime));
  }
  for (const flow::AnswerSummary& it : aReport.mCompleteAnswers) {
    if (out.shapes_size() == kMaxCompleteAnswers) {
      break;
    }
    wire::FlowAnswerShape& entry = *out.add_shapes();
    entry.set_upstream(it.mUpstream);
    entry.set_route(it.mRoute);
    entry.set_work_ms(EncodeTime(it.mProcessingTime));
    entry.set_bytes(it.mBytes);
  }
  for (const flow::Cookie it : aReport.mUnansweredRequests) {
    if (out.unanswered_size() == kMaxUnanswered) {
      break;
    }
    out.add_unanswered(it);
  }
  for (const flow::Cookie it : aReport.mRejected) {
    if (out.rejected_size() == kMaxRejected) {
      break;
    }
    out.add_rejected(it);
  }
  for (const flow::StalledFlows& it : aReport.mStalled) {
    if (out.stalled_size() == kMaxStalled) {
      break;
    }
    wire::FlowStalledFlows& entry = *out.add_stalled();
    entry.set_upstream(it.mUpstream);
    entry.set_count(it.mCount);
  }
}

flow::PeerMessage
Read(const wire::FlowSlotReport& aIn)
{
  flow::SlotReport report;
  report.mIncarnation = aIn.incarnation();
  report.mSequence = aIn.sequence();
  report.mServiceId = aIn.service();
  report.mDomain = ReadDomain(aIn.domain());
  report.mGrantsSeen = aIn.grants_seen();
  report.mNewest = aIn.newest();
  report.mListsAllRequests = aIn.whole();
  for (const wire::FlowSlotCount& it : aIn.held()) {
    report.mHeld.push_back(
      { it.upstream(), it.count(), DecodeTime(it.remaining_work_ms()) });
  }
  for (const wire::FlowSlotRequest& it : aIn.requests()) {
    report.mRequests.push_back({ it.id(),
                                 DecodeTime(it.waited_ms()),
                                 DecodeTime(it.objective_ms()),
                                 it.priority(),
                                 it.caller_ip(),
                                 !it.not_idempotent(),
                                 { it.excluded().begin(), it.excluded().end() },
                                 it.route() });
  }
  report.mUnresponsive = { aIn.silent().begin(), aIn.silent().end() };
  for (const wire::FlowAnswerTime& it : aIn.answers()) {
    report.mAnswerTimes.push_back({ it.upstream(), DecodeTime(it.time_ms()) });
  }
  for (const wire::FlowAnswerShape& it : aIn.shapes()) {
    report.mCompleteAnswers.push_back(
      { it.upstream(), it.route(), DecodeTime(it.work_ms()), it.bytes() });
  }
  report.mUnansweredRequests = { aIn.unanswered().begin(),
                                 aIn.unanswered().end() };
  report.mRejected = { aIn.rejected().begin(), aIn.rejected().end() };
  for (const wire::FlowStalledFlows& it : aIn.stalled()) {
    report.mStalled.push_back({ it.upstream(), it.count() });
  }
  return report;
}

void
Write(const flow::SlotReply& aReply, wire::FlowMessage& aOut)
{
  wire::FlowSlotReply& out = *aOut.mutable_reply();
  out.set_incarnation(aReply.mIncarnation);
  out.set_sequence(aReply.mSequence);
  out.set_service(aReply.mServiceId);
  for (const flow::SlotGrant& it : aReply.mGrants) {
    wire::FlowSlotGrant& entry = *out.add_grants();
    entry.set_id(it.mId);
    entry.set_number(it.mNumber);
    entry.set_upstream(it.mUpstream);
  }
  for (const uint64_t it : aReply.mRefused) {
    out.add_refused(it);
  }
  out.set_newest(aReply.mNewest);
  for (const flow::Cookie it : aReply.mStalled) {
    if (out.stalled_size() == kMaxStalledUpstreams) {
      break;
    }
    out.add_stalled(it);
  }
}

flow::PeerMessage
Read(const wire::FlowSlotReply& aIn)
{
  flow::SlotReply reply;
  reply.mIncarnation = aIn.incarnation();
  reply.mSequence = aIn.sequence();
  reply.mServiceId = aIn.service();
  for (const wire::FlowSlotGrant& it : aIn.grants()) {
    reply.mGrants.push_back({ it.id(), it.number(), it.upstream() });
  }
  reply.mRefused = { aIn.refused().begin(), aIn.refused().end() };
  reply.mNewest = aIn.newest();
  reply.mStalled = { aIn.stalled().begin(), aIn.stalled().end() };
  return reply;
}

} // namespace

std::string
EncodeFlowMessage(const flow::PeerMessage& aMessage)
{
  wire::FlowMessage out;
  std::visit([&](const auto& it) { Write(it, out); }, aMessage);
  return out.SerializeAsString();
}

flow::PeerMessage
DecodeFlowMessage(std::string_view aBytes)
{
  wire::FlowMessage in;
  if (in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    switch (in.body_case()) {
      case wire::FlowMessage::kBeat:
        return Read(in.beat());
      case wire::FlowMessage::kReport:
        return Read(in.report());
      case wire::FlowMessage::kReply:
        return Read(in.reply());
      case wire::FlowMessage::BODY_NOT_SET:
        break;
    }
  }
  throw PeerError(
    kNotAMessage, "flow message", "not a message of this protocol");
}

} // namespace foxtail::net

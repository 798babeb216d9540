#include "foxtail/requests/RequestTable.h"

#include <cassert>

#include "absl/strings/str_cat.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"

namespace foxtail::requests {

namespace {

// ASCII "tag".
constexpr uint64_t kTagSeed = 0x746167;
// Bytes of header and token of a datagram to an upstream.
constexpr size_t kUpstreamHeaderSize = 12;
constexpr seconds kRefusalRetryAfter{ 1 };
// mEchoHash of an idempotent request.
constexpr uint64_t kEchoNotUsed = 0;
// mEchoHash of a non-idempotent request without an Echo value. No stored
// request has this hash, because an Echo value is required to start such a
// request.
constexpr uint64_t kEchoMissing = 1;

uint64_t
EchoHash(const coap::Message& aRequest)
{
  if (aRequest.IsIdempotent()) {
    return kEchoNotUsed;
  }
  return aRequest.mEcho ? StableHash(*aRequest.mEcho) : kEchoMissing;
}

uint32_t
IncarnationTag(Incarnation aIncarnation)
{
  return static_cast<uint32_t>(MixHash(kTagSeed, aIncarnation));
}

// Returns false for a request that does not fit one datagram to an upstream and
// for a non-idempotent request that is one block of a larger one (Block1).
// Depends on the datagram alone, so that every balancer gives the same result.
bool
FitsOneDatagram(const coap::Message& aRequest)
{
  const bool isBlock =
    !aRequest.IsIdempotent() && aRequest.mBlock1 &&
    (aRequest.mBlock1->mMore || aRequest.mBlock1->mNumber > 0);
  return !isBlock && kUpstreamHeaderSize + aRequest.mOptionsAndPayload.size() <=
                       coap::kMaxDatagram;
}

} // namespace

RequestTable::RequestTable(const RequestSettings& aSettings)
  : mSettings(aSettings)
  , mEcho(aSettings.mEcho)
  , mIncarnationTag(IncarnationTag(aSettings.mEcho.mIncarnation))
{
}

RequestAction
RequestTable::OnRequest(const FlowKey& aFlow,
                        const coap::Message& aRequest,
                        EchoIssuerPresence aPresence,
                        TimePoint aNow,
                        TimePoint aDeadline)
{
  const Incoming in{
    aFlow, aRequest, coap::RequestDigest(aRequest), EchoHash(aRequest),
    aNow,  aDeadline
  };
  SupersedeOthers(in);
  if (!FitsOneDatagram(aRequest)) {
    return AnswerTooLarge(in);
  }
  if (aRequest.IsIdempotent()) {
    return OnIdempotent(in);
  }
  return OnNonIdempotent(in, aPresence);
}

RequestAction
RequestTable::OnIdempotent(const Incoming& aIn)
{
  const Slot slot = FindDuplicate(aIn);
  if (slot != kNoSlot) {
    return AnswerDuplicate(slot);
  }
  return StartOrRefuse(aIn, std::nullopt);
}

RequestAction
RequestTable::OnNonIdempotent(const Incoming& aIn, EchoIssuerPresence aPresence)
{
  if (!aIn.mMessage.mEcho) {
    return MakeChallenge(aIn);
  }
  const auto issuer = ParseEchoIncarnation(*aIn.mMessage.mEcho);
  if (!issuer) {
    return MakeChallenge(aIn);
  }
  if (*issuer == mSettings.mEcho.mIncarnation) {
    return OnOwnEcho(aIn);
  }
  if (aPresence == EchoIssuerPresence::Present) {
    ++mCounters.mForwardedToIssuer;
    return ForwardToIssuer{ *issuer };
  }
  return AnswerOutcomeUnknown(aIn, "the balancer that admitted it is gone");
}

RequestAction
RequestTable::OnOwnEcho(const Incoming& aIn)
{
  const EchoCheck check =
    mEcho.Check(*aIn.mMessage.mEcho, aIn.mFlow, aIn.mRequestDigest, aIn.mNow);
  switch (check.mVerdict) {
    case EchoVerdict::Forged:
    case EchoVerdict::OtherRequest:
      // No request with this value and this digest is ever started.
      return RenewChallenge(aIn);
    case EchoVerdict::Expired:
      mEcho.SetState(check.mCounter, EchoState::Revoked);
      return RenewChallenge(aIn);
    case EchoVerdict::OtherFlow:
      return AnswerOutcomeUnknown(aIn, "it was admitted from another address");
    case EchoVerdict::Untracked:
      return AnswerOutcomeUnknown(aIn, "its Echo value is too old");
    case EchoVerdict::Unused:
      return StartOrRefuse(aIn, check.mCounter);
    case EchoVerdict::Started:
    case EchoVerdict::Revoked:
      break;
  }
  return OnStartedOrRevoked(aIn, check);
}

RequestAction
RequestTable::OnStartedOrRevoked(const Incoming& aIn, const EchoCheck& aCheck)
{
  const auto it = mByEchoCounter.find(aCheck.mCounter);
  if (it != mByEchoCounter.end() && IsSameMessage(mEntries[it->second], aIn)) {
    return AnswerDuplicate(it->second);
  }
  if (aCheck.mVerdict == EchoVerdict::Revoked) {
    return AnswerRefused(
      aIn, { RefusalCause::Unavailable, "refused before", kRefusalRetryAfter });
  }
  return AnswerOutcomeUnknown(aIn, "its Echo value was used before");
}

RequestAction
RequestTable::AnswerDuplicate(Slot aSlot)
{
  const Entry& entry = mEntries[aSlot];
  ++mCounters.mDuplicates;
  if (entry.mPhase == Phase::Waiting || entry.mPhase == Phase::Sent) {
    const bool mayResend = entry.mIdempotent && entry.mPhase == Phase::Sent;
    return InProgress{ entry.mSerial, mayResend };
  }
  ++mCounters.mReplayed;
  return ReplayAnswer{ entry.mDatagram };
}

RequestAction
RequestTable::MakeChallenge(const Incoming& aIn)
{
  if (mLeaving) {
    return ForwardToOwner{};
  }
  const EchoBytes echo = mEcho.Issue(aIn.mFlow, aIn.mRequestDigest, aIn.mNow);
  ++mCounters.mChallenged;
  MakeAnswer({ coap::kUnauthorized,
               { echo.data(), echo.size() },
               std::nullopt,
               "not run: repeat with this Echo value" },
             MakeReplyHeader(aIn.mMessage));
  return Challenge{ mEncodeBuffer };
}

RequestAction
RequestTable::RenewChallenge(const Incoming& aIn)
{
  if (!mLeaving) {
    return MakeChallenge(aIn);
  }
  // The flow's owner would forward the request back, because its Echo value
  // names this balancer.
  return AnswerRefused(aIn,
                       { RefusalCause::Unavailable,
                         "the balancer is leaving",
                         kRefusalRetryAfter });
}

RequestAction
RequestTable::StartOrRefuse(const Incoming& aIn,
                            std::optional<uint64_t> aEchoCounter)
{
  std::string_view reason;
  if (aIn.mNow >= aIn.mDeadline) {
    reason = "its deadline has passed";
  } else if (!MakeRoom(aIn.mNow)) {
    reason = "too many open requests";
  }
  if (!reason.empty()) {
    if (aEchoCounter) {
      mEcho.SetState(*aEchoCounter, EchoState::Revoked);
    }
    return AnswerRefused(
      aIn, { RefusalCause::Unavailable, reason, kRefusalRetryAfter });
  }
  if (aEchoCounter) {
    // Marks the value before the request is sent, so that a copy of the request
    // that arrives until then does not start it again.
    mEcho.SetState(*aEchoCounter, EchoState::Started);
  }
  const Slot slot = Allocate();
  InitEntry(slot, aIn, aEchoCounter);
  ++mCounters.mStarted;
  return StartRequest{ mEntries[slot].mSerial,
                       aIn.mDeadline,
                       !aEchoCounter.has_value() };
}

RequestAction
RequestTable::AnswerOutcomeUnknown(const Incoming& aIn, std::string_view aText)
{
  ++mCounters.mUnknown;
  MakeOutcomeUnknown(aText, MakeReplyHeader(aIn.mMessage));
  return LocalAnswer{ mEncodeBuffer, true };
}

RequestAction
RequestTable::AnswerRefused(const Incoming& aIn, const Refusal& aRefusal)
{
  ++mCounters.mRefused;
  MakeRefusal(
    aRefusal, aIn.mMessage.IsIdempotent(), MakeReplyHeader(aIn.mMessage));
  return LocalAnswer{ mEncodeBuffer, false };
}

RequestAction
RequestTable::AnswerTooLarge(const Incoming& aIn)
{
  ++mCounters.mRefused;
  MakeAnswer({ coap::kTooLarge,
               "",
               std::nullopt,
               "not run: the request must fit one datagram" },
             MakeReplyHeader(aIn.mMessage));
  return LocalAnswer{ mEncodeBuffer, false };
}

bool
RequestTable::IsSameMessage(const Entry& aEntry, const Incoming& aIn)
{
  return aEntry.mFlow == aIn.mFlow &&
         aEntry.mMessageId == aIn.mMessage.mMessageId &&
         aEntry.mToken == aIn.mMessage.mToken &&
         aEntry.mType == aIn.mMessage.mType &&
         aEntry.mRequestDigest == aIn.mRequestDigest &&
         aEntry.mEchoHash == aIn.mEchoHash;
}

std::optional<std::string_view>
RequestTable::Send(uint32_t aSerial, const Address& aUpstream, TimePoint aNow)
{
  const Slot slot = FindBySerial(aSerial);
  if (slot == kNoSlot) {
    return std::nullopt;
  }
  Entry& entry = mEntries[slot];
  if (entry.mPhase != Phase::Waiting || aNow >= entry.mDeadline) {
    return std::nullopt;
  }
  if (entry.mAttemptCount == 0) {
    entry.mAttemptSerial = entry.mSerial;
  } else {
    entry.mAttemptSerial = NextSerial();
    mBySerial.emplace(entry.mAttemptSerial, slot);
  }
  ++entry.mAttemptCount;
  entry.mUpstream = aUpstream;
  entry.mUpstreamMessageId = NextMessageId(aUpstream);
  entry.mPhase = Phase::Sent;
  ++mCounters.mSent;
  WriteUpstreamHeader(entry);
  return entry.mDatagram;
}

std::optional<std::string_view>
RequestTable::Resend(uint32_t aSerial, TimePoint aNow)
{
  const Slot slot = FindBySerial(aSerial);
  if (slot == kNoSlot) {
    return std::nullopt;
  }
  const Entry& entry = mEntries[slot];
  if (!entry.mIdempotent || entry.mPhase != Phase::Sent ||
      aNow >= entry.mDeadline) {
    return std::nullopt;
  }
  ++mCounters.mSent;
  return entry.mDatagram;
}

std::optional<Address>
RequestTable::SentTo(uint32_t aSerial) const
{
  const Slot slot = FindBySerial(aSerial);
  if (slot == kNoSlot || mEntries[slot].mPhase != Phase::Sent) {
    return std::nullopt;
  }
  return mEntries[slot].mUpstream;
}

UpstreamAction
RequestTable::OnUpstream(const Address& aFrom,
                         const coap::Message& aMessage,
                         TimePoint aNow)
{
  if (aMessage.mType == coap::Type::Reset || aMessage.IsEmpty()) {
    return { Ignored{}, {} };
  }
  const auto token = aMessage.mToken.Value();
  Slot slot = kNoSlot;
  if (aMessage.IsResponse() && token && *token >> 32 == mIncarnationTag) {
    slot = FindByAttempt(static_cast<uint32_t>(*token), aFrom);
  }
  UpstreamAction result{ Stale{}, {} };
  if (slot != kNoSlot) {
    result = OnResponse(slot, aMessage, aNow);
  } else {
    ++mCounters.mStaleAnswers;
  }
  if (aMessage.mType == coap::Type::Confirmable) {
    const auto type =
      slot != kNoSlot ? coap::Type::Acknowledgement : coap::Type::Reset;
    coap::EncodeEmpty(type, aMessage.mMessageId, mUpstreamReply);
    result.mReply = mUpstreamReply;
  }
  return result;
}

UpstreamAction
RequestTable::OnResponse(Slot aSlot,
                         const coap::Message& aMessage,
                         TimePoint aNow)
{
  Entry& entry = mEntries[aSlot];
  if (entry.mPhase == Phase::Answered) {
    return { Ignored{}, {} };
  }
  if (entry.mPhase == Phase::Ended) {
    OnLateResponse(entry, aMessage);
    return { LateAnswerStored{ entry.mSerial }, {} };
  }
  assert(entry.mPhase == Phase::Sent);
  if (aMessage.mCode == coap::kUnavailable) {
    OnShed(entry);
    return { Shed{ entry.mSerial }, {} };
  }
  StoreAnswer(entry, aMessage);
  Deliver deliver{ entry.mSerial, entry.mFlow, {} };
  if (!entry.mSuperseded) {
    deliver.mBytes = mEncodeBuffer;
  }
  Finish(aSlot, Phase::Answered, aNow);
  ++mCounters.mAnswered;
  return { deliver, {} };
}

void
RequestTable::OnShed(Entry& aEntry)
{
  ++mCounters.mShed;
  if (aEntry.mAttemptSerial != aEntry.mSerial) {
    mBySerial.erase(aEntry.mAttemptSerial);
  }
  // No further datagram from the upstream matches this attempt.
  aEntry.mAttemptSerial = kNoSerial;
  aEntry.mPhase = Phase::Waiting;
}

void
RequestTable::OnLateResponse(Entry& aEntry, const coap::Message& aMessage)
{
  ++mCounters.mLateAnswers;
  if (aMessage.mCode != coap::kUnavailable) {
    StoreAnswer(aEntry, aMessage);
    aEntry.mPhase = Phase::Answered;
    return;
  }
  OnShed(aEntry);
  aEntry.mPhase = Phase::Ended;
  if (!aEntry.mIdempotent) {
    mEcho.SetState(aEntry.mEchoCounter, EchoState::Revoked);
  }
  MakeRefusal(
    { RefusalCause::Unavailable, "shed by the upstream", kRefusalRetryAfter },
    aEntry.mIdempotent,
    MakeReplyHeader(aEntry));
  StoreDatagram(aEntry, mEncodeBuffer);
}

void
RequestTable::StoreAnswer(Entry& aEntry, const coap::Message& aMessage)
{
  const ReplyHeader header = MakeReplyHeader(aEntry);
  coap::EncodeRelayed(
    aMessage, header.mType, header.mMessageId, header.mToken, mEncodeBuffer);
  StoreDatagram(aEntry, mEncodeBuffer);
}

EndedRequest
RequestTable::Refuse(uint32_t aSerial, const Refusal& aRefusal, TimePoint aNow)
{
  const Slot slot = FindBySerial(aSerial);
  if (slot == kNoSlot || mEntries[slot].mPhase != Phase::Waiting) {
    throw RequestError(510,
                       absl::StrCat("request ", aSerial),
                       "cannot be refused: it is unknown, has ended or "
                       "was sent to an upstream");
  }
  return EndRefused(slot, aRefusal, aNow);
}

std::optional<EndedRequest>
RequestTable::Expire(uint32_t aSerial, TimePoint aNow)
{
  const Slot slot = FindBySerial(aSerial);
  if (slot == kNoSlot || !IsOpen(mEntries[slot])) {
    return std::nullopt;
  }
  return EndUnanswered(slot, "its deadline has passed", aNow);
}

std::optional<EndedRequest>
RequestTable::OnCallerReset(const FlowKey& aFlow,
                            uint16_t aMessageId,
                            TimePoint aNow)
{
  Slot slot = FindNewest(aFlow, aMessageId);
  while (slot != kNoSlot &&
         (!IsOpen(mEntries[slot]) || mEntries[slot].mSuperseded)) {
    slot = mEntries[slot].mNextSameMessageId;
  }
  if (slot == kNoSlot) {
    return std::nullopt;
  }
  ++mCounters.mCancelled;
  EndedRequest ended = EndUnanswered(slot, "the caller cancelled it", aNow);
  ended.mBytes = {};
  return ended;
}

EndedRequest
RequestTable::EndUnanswered(Slot aSlot, std::string_view aText, TimePoint aNow)
{
  if (mEntries[aSlot].mPhase == Phase::Sent) {
    return EndOutcomeUnknown(aSlot, aText, aNow);
  }
  return EndRefused(
    aSlot, { RefusalCause::Unavailable, aText, kRefusalRetryAfter }, aNow);
}

EndedRequest
RequestTable::EndRefused(Slot aSlot, const Refusal& aRefusal, TimePoint aNow)
{
  Entry& entry = mEntries[aSlot];
  assert(entry.mPhase == Phase::Waiting);
  if (!entry.mIdempotent) {
    mEcho.SetState(entry.mEchoCounter, EchoState::Revoked);
  }
  ++mCounters.mRefused;
  MakeRefusal(aRefusal, entry.mIdempotent, MakeReplyHeader(entry));
  return EndWithLocalAnswer(aSlot, aNow);
}

EndedRequest
RequestTable::EndOutcomeUnknown(Slot aSlot,
                                std::string_view aText,
                                TimePoint aNow)
{
  Entry& entry = mEntries[aSlot];
  ++mCounters.mUnknown;
  MakeOutcomeUnknown(aText, MakeReplyHeader(entry));
  coap::EncodeEmpty(
    coap::Type::Reset, entry.mUpstreamMessageId, mUpstreamReply);
  EndedRequest ended = EndWithLocalAnswer(aSlot, aNow);
  ended.mMayHaveRun = true;
  ended.mCancel = CancelAtUpstream{ entry.mUpstream, mUpstreamReply };
  return ended;
}

EndedRequest
RequestTable::EndWithLocalAnswer(Slot aSlot, TimePoint aNow)
{
  Entry& entry = mEntries[aSlot];
  StoreDatagram(entry, mEncodeBuffer);
  Finish(aSlot, Phase::Ended, aNow);
  EndedRequest ended;
  ended.mSerial = entry.mSerial;
  ended.mFlow = entry.mFlow;
  if (!entry.mSuperseded) {
    ended.mBytes = mEncodeBuffer;
  }
  return ended;
}

void
RequestTable::Finish(Slot aSlot, Phase aPhase, TimePoint aNow)
{
  Entry& entry = mEntries[aSlot];
  entry.mPhase = aPhase;
  entry.mFinishedAt = aNow;
  --mOpenCount;
  while (mStoredBytes > mSettings.mMaxBytes && EvictOldest()) {
  }
  RemoveFromOpenNonConfirmable(aSlot);
  if (entry.mIdempotent) {
    mFinishedIdempotent.push_back(aSlot);
    return;
  }
  mLastNonIdempotentFinish = aNow;
  RemoveFromMessageIdIndex(aSlot);
  mFinishedNonIdempotent.push_back(aSlot);
}

bool
RequestTable::HasOutstandingWork(TimePoint aNow) const
{
  const bool lingers =
    mLastNonIdempotentFinish &&
    aNow < *mLastNonIdempotentFinish + mSettings.mAnswerLinger;
  return mOpenCount > 0 || lingers || mEcho.HasUnused(aNow);
}

RequestTable::ReplyHeader
RequestTable::MakeReplyHeader(coap::Type aType,
                              uint16_t aMessageId,
                              const coap::Token& aToken)
{
  if (aType == coap::Type::Confirmable) {
    return { coap::Type::Acknowledgement, aMessageId, aToken };
  }
  return { coap::Type::NonConfirmable, ++mLastCallerMessageId, aToken };
}

RequestTable::ReplyHeader
RequestTable::MakeReplyHeader(const Entry& aEntry)
{
  return MakeReplyHeader(aEntry.mType, aEntry.mMessageId, aEntry.mToken);
}

RequestTable::ReplyHeader
RequestTable::MakeReplyHeader(const coap::Message& aRequest)
{
  return MakeReplyHeader(aRequest.mType, aRequest.mMessageId, aRequest.mToken);
}

void
RequestTable::MakeAnswer(const coap::ResponseContent& aContent,
                         const ReplyHeader& aHeader)
{
  coap::EncodeResponse(
    aContent, aHeader.mType, aHeader.mMessageId, aHeader.mToken, mEncodeBuffer);
}

void
RequestTable::MakeRefusal(const Refusal& aRefusal,
                          bool aIdempotent,
                          const ReplyHeader& aHeader)
{
  // A copy of an idempotent request may have run through another balancer, so
  // the refusal does not say "not run".
  const std::string text = absl::StrCat(aIdempotent ? "retry: " : "not run: ",
                                        std::string(aRefusal.mText));
  coap::ResponseContent content;
  content.mText = text;
  if (aRefusal.mCause == RefusalCause::NoService) {
    content.mCode = coap::kNotFound;
  } else {
    content.mMaxAge = aRefusal.mRetryAfter;
  }
  MakeAnswer(content, aHeader);
}

void
RequestTable::MakeOutcomeUnknown(std::string_view aText,
                                 const ReplyHeader& aHeader)
{
  const std::string text = absl::StrCat("unknown: ", std::string(aText));
  MakeAnswer({ coap::kGatewayTimeout, "", std::nullopt, text }, aHeader);
}

} // namespace foxtail::requests

#ifndef foxtail_requests_RequestTable_h
#define foxtail_requests_RequestTable_h

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "foxtail/coap/Message.h"
#include "foxtail/core/FlowKey.h"
#include "foxtail/core/Time.h"
#include "foxtail/requests/EchoIssuer.h"

namespace foxtail::requests {

struct RequestSettings
{
  EchoSettings mEcho;
  // Maximum number of requests in the table, open and finished ones together.
  uint32_t mMaxRequests = 65536;
  // Maximum bytes of stored requests and answers. Above this, finished requests
  // are evicted, the oldest idempotent ones first.
  size_t mMaxBytes = 32U << 20;
  // How long the answer of a non-idempotent request is stored for callers that
  // retransmit: EXCHANGE_LIFETIME of RFC 7252, because the request must not run
  // again.
  Duration mNonIdempotentAnswerLifetime = seconds(247);
  // The same for an idempotent request.
  Duration mIdempotentAnswerLifetime = seconds(10);
  // How long a leaving balancer keeps running after the last answer to a
  // non-idempotent request, so that a caller whose answer was lost can
  // retransmit its request.
  Duration mAnswerLinger = seconds(5);
};

// Whether the view has the balancer that issued an Echo value.
enum class EchoIssuerPresence
{
  // Alive, suspect or leaving.
  Present,
  // Not in the view.
  Absent
};

// A new request. The user of the table must choose an upstream and call Send,
// or call Refuse.
struct StartRequest
{
  uint32_t mSerial;
  TimePoint mDeadline;
  bool mIdempotent;
};

// A duplicate of an open request. mMayResend is true when the request is
// idempotent and in Phase::Sent; then Resend returns its datagram to send it
// again.
struct InProgress
{
  uint32_t mSerial;
  bool mMayResend;
};

// In the following structs, CancelAtUpstream excepted, mBytes is the datagram
// for the caller. All byte views in this header stay valid until the next call
// of the table.

// The stored answer of a finished request.
struct ReplayAnswer
{
  std::string_view mBytes;
};

// An answer 4.01 with a new Echo value, with which the caller must repeat the
// request; nothing was run.
struct Challenge
{
  std::string_view mBytes;
};

// A final answer made by this balancer. mMayHaveRun is true when the request
// may have run.
struct LocalAnswer
{
  std::string_view mBytes;
  bool mMayHaveRun;
};

// Forward the datagram to the balancer that issued its Echo value: only that
// incarnation knows whether the request has run.
struct ForwardToIssuer
{
  Incarnation mIncarnation;
};

// Forward the datagram to the flow's next owner, which can challenge the
// caller: the non-idempotent request has no Echo value, or none of the right
// length, and this balancer is leaving and issues no new values.
struct ForwardToOwner
{};

using RequestAction = std::variant<StartRequest,
                                   InProgress,
                                   ReplayAnswer,
                                   Challenge,
                                   LocalAnswer,
                                   ForwardToIssuer,
                                   ForwardToOwner>;

// The upstream's answer for the caller. mBytes is empty when a newer request
// supersedes this one: the caller could match the answer to the newer request.
struct Deliver
{
  uint32_t mSerial;
  FlowKey mFlow;
  std::string_view mBytes;
};

// The upstream answered 5.03 and did not run the request. The user of the table
// must call Send with another upstream, or Refuse.
struct Shed
{
  uint32_t mSerial;
};

// The answer came after the request had ended. It is stored for retransmissions
// by the caller.
struct LateAnswerStored
{
  uint32_t mSerial;
};

// The datagram needs no action: a Reset, an empty message, or a copy of an
// answer that is stored already.
struct Ignored
{};

// The datagram is not a response, or it does not match the last attempt of any
// request: its token is unknown or belongs to another incarnation, a removed
// request or an earlier attempt, or the attempt was made at another upstream.
struct Stale
{};

struct UpstreamAction
{
  std::variant<Deliver, Shed, LateAnswerStored, Ignored, Stale> mAction;
  // Acknowledgement or Reset to send to the upstream; may be empty.
  std::string_view mReply;
};

// The Reset that cancels a request at its upstream.
struct CancelAtUpstream
{
  Address mUpstream;
  std::string_view mBytes;
};

// A request that ended without an upstream's answer.
struct EndedRequest
{
  uint32_t mSerial = 0;
  FlowKey mFlow;
  // Answer for the caller. Empty when the caller cancelled the request or when
  // a newer request supersedes it.
  std::string_view mBytes;
  // True when an upstream may have run the request.
  bool mMayHaveRun = false;
  std::optional<CancelAtUpstream> mCancel;
};

enum class RefusalCause
{
  // 5.03 with Max-Age.
  Unavailable,
  // 4.04: no service at this address.
  NoService
};

struct Refusal
{
  RefusalCause mCause = RefusalCause::Unavailable;
  // Diagnostic text; the table puts "not run: " before it for non-idempotent
  // requests and "retry: " for idempotent ones.
  std::string_view mText;
  seconds mRetryAfter{ 1 };
};

struct RequestCounters
{
  uint64_t mStarted = 0;
  uint64_t mChallenged = 0;
  // Duplicates of open and of finished requests.
  uint64_t mDuplicates = 0;
  // Duplicates that were answered with the stored answer.
  uint64_t mReplayed = 0;
  uint64_t mForwardedToIssuer = 0;
  // Datagrams to upstreams, those of Resend included.
  uint64_t mSent = 0;
  // Requests that ended with an upstream's answer.
  uint64_t mAnswered = 0;
  // Answers 5.03 from upstreams.
  uint64_t mShed = 0;
  // Requests that were answered with a refusal.
  uint64_t mRefused = 0;
  // Requests that were answered with "unknown": they may have run.
  uint64_t mUnknown = 0;
  // Requests that the caller cancelled with a Reset.
  uint64_t mCancelled = 0;
  uint64_t mSuperseded = 0;
  // Answers from upstreams after the request had ended.
  uint64_t mLateAnswers = 0;
  // Datagrams from upstreams that matched no request (see Stale).
  uint64_t mStaleAnswers = 0;
  // Finished requests removed before their answer lifetime had passed.
  uint64_t mEvicted = 0;
};

// Open and recently finished requests of this balancer's callers. The table
// matches answers to requests and answers duplicates. It guarantees that a
// non-idempotent request runs at most once and that a request answered with
// "not run" has not run; docs/design/at-most-once.md gives the argument. Does
// no I/O; not thread-safe.
class RequestTable
{
public:
  explicit RequestTable(const RequestSettings& aSettings);

  // Handles a request from a caller. aPresence is used only when the request
  // carries an Echo value of another incarnation (see ParseEchoIncarnation).
  // Call this before anything else can refuse the request: only the table knows
  // whether a copy of the request has run.
  RequestAction OnRequest(const FlowKey& aFlow,
                          const coap::Message& aRequest,
                          EchoIssuerPresence aPresence,
                          TimePoint aNow,
                          TimePoint aDeadline);

  // Marks a request as sent and returns the datagram for the upstream. Returns
  // nothing when the request does not wait for an upstream (unknown serial
  // number, already sent, ended), or when its deadline has passed; in the
  // latter case call Expire. The datagram of a non-idempotent request must be
  // sent only once.
  std::optional<std::string_view> Send(uint32_t aSerial,
                                       const Address& aUpstream,
                                       TimePoint aNow);

  // Returns the datagram of an idempotent request in Phase::Sent, so that it
  // can be sent again. Returns nothing for any other request, or when the
  // deadline has passed.
  std::optional<std::string_view> Resend(uint32_t aSerial, TimePoint aNow);

  // The upstream that a request in Phase::Sent was sent to; empty for other
  // requests.
  std::optional<Address> SentTo(uint32_t aSerial) const;

  // Handles a datagram from an upstream.
  UpstreamAction OnUpstream(const Address& aFrom,
                            const coap::Message& aMessage,
                            TimePoint aNow);

  // Ends a request in Phase::Waiting; the request was not run and will not be.
  // Throws RequestError 510 when the request is unknown, has ended or is in
  // Phase::Sent.
  EndedRequest Refuse(uint32_t aSerial,
                      const Refusal& aRefusal,
                      TimePoint aNow);

  // Ends an open request because its deadline has passed. The user of the table
  // must call this at the deadline; the function does not check the deadline.
  // Returns nothing when the request is unknown or has ended.
  std::optional<EndedRequest> Expire(uint32_t aSerial, TimePoint aNow);

  // Handles a Reset from a caller: ends the request without an answer to the
  // caller and, in Phase::Sent, cancels the request at the upstream. Superseded
  // requests are not considered. Returns nothing when no other open request has
  // this flow and message id.
  std::optional<EndedRequest> OnCallerReset(const FlowKey& aFlow,
                                            uint16_t aMessageId,
                                            TimePoint aNow);

  // Removes finished requests whose answer lifetime has passed. Call it about
  // once a second.
  void RemoveExpired(TimePoint aNow);

  // Stops issuing Echo values. Values issued before can still start requests.
  void Leave() { mLeaving = true; }

  // True while a planned stop could leave a caller without the outcome of its
  // request: requests are open, Echo values may still be used, or a caller may
  // still retransmit to get a lost answer.
  bool HasOutstandingWork(TimePoint aNow) const;

  uint32_t OpenRequests() const { return mOpenCount; }
  size_t StoredBytes() const { return mStoredBytes; }
  const RequestCounters& Counters() const { return mCounters; }

private:
  using Slot = uint32_t;
  static constexpr Slot kNoSlot = UINT32_MAX;
  static constexpr uint32_t kNoSerial = 0;

  enum class Phase : uint8_t
  {
    Free,
    // Waits for an upstream: the request was not sent, or every upstream that
    // it was sent to has shed it.
    Waiting,
    // Was sent to an upstream that has neither answered nor shed the request.
    Sent,
    // Ended without an upstream's answer.
    Ended,
    // Has its upstream's answer, which may have come after the request ended.
    Answered
  };

  struct Entry
  {
    FlowKey mFlow;
    coap::Token mToken;
    uint16_t mMessageId = 0;
    coap::Type mType = coap::Type::Confirmable;
    Phase mPhase = Phase::Free;
    bool mIdempotent = true;
    // A newer request of the same flow has the same message id and token. When
    // this request is non-confirmable, a newer request with the same token is
    // enough. The caller could match this request's answer to the newer
    // request, so the answer is not sent.
    bool mSuperseded = false;
    uint16_t mUpstreamMessageId = 0;
    uint32_t mSerial = 0;
    // Serial number in the token of the last datagram to an upstream. Equal to
    // mSerial before the first Send; kNoSerial after the upstream has shed the
    // request.
    uint32_t mAttemptSerial = 0;
    uint32_t mAttemptCount = 0;
    Address mUpstream;
    uint64_t mRequestDigest = 0;
    uint64_t mEchoHash = 0;
    uint64_t mEchoCounter = 0;
    TimePoint mDeadline;
    TimePoint mFinishedAt;
    // Next older entry with the same flow and message id.
    Slot mNextSameMessageId = kNoSlot;
    // The request for an upstream while open, then the answer for the caller.
    std::string mDatagram;
  };

  template<typename Id>
  struct CallerKey
  {
    FlowKey mFlow;
    Id mId;

    friend bool operator==(const CallerKey& a, const CallerKey& b)
    {
      return a.mFlow == b.mFlow && a.mId == b.mId;
    }
    template<typename H>
    friend H AbslHashValue(H h, const CallerKey& a)
    {
      return H::combine(std::move(h), a.mFlow, a.mId);
    }
  };
  using MessageKey = CallerKey<uint16_t>;
  using TokenKey = CallerKey<coap::Token>;

  // A request from a caller, with values computed from it once.
  struct Incoming
  {
    const FlowKey& mFlow;
    const coap::Message& mMessage;
    uint64_t mRequestDigest;
    uint64_t mEchoHash;
    TimePoint mNow;
    TimePoint mDeadline;
  };

  RequestAction OnIdempotent(const Incoming& aIn);
  RequestAction OnNonIdempotent(const Incoming& aIn,
                                EchoIssuerPresence aPresence);
  RequestAction OnOwnEcho(const Incoming& aIn);
  RequestAction OnStartedOrRevoked(const Incoming& aIn,
                                   const EchoCheck& aCheck);
  RequestAction AnswerDuplicate(Slot aSlot);
  RequestAction MakeChallenge(const Incoming& aIn);
  // Answers a request whose Echo value names this incarnation but cannot start
  // the request: with a new challenge, or with a refusal while leaving.
  RequestAction RenewChallenge(const Incoming& aIn);
  // aEchoCounter is the counter of the Echo value for a non-idempotent request,
  // and empty for an idempotent one.
  RequestAction StartOrRefuse(const Incoming& aIn,
                              std::optional<uint64_t> aEchoCounter);
  RequestAction AnswerOutcomeUnknown(const Incoming& aIn,
                                     std::string_view aText);
  RequestAction AnswerRefused(const Incoming& aIn, const Refusal& aRefusal);
  RequestAction AnswerTooLarge(const Incoming& aIn);

  static bool IsSameMessage(const Entry& aEntry, const Incoming& aIn);
  Slot FindDuplicate(const Incoming& aIn) const;
  void SupersedeOthers(const Incoming& aIn);
  Slot FindBySerial(uint32_t aSerial) const;
  Slot FindNewest(const FlowKey& aFlow, uint16_t aMessageId) const;

  static bool IsOpen(const Entry& aEntry)
  {
    return aEntry.mPhase == Phase::Waiting || aEntry.mPhase == Phase::Sent;
  }
  Slot FindByAttempt(uint32_t aAttempt, const Address& aUpstream) const;

  // Frees a slot and memory for one more request by removing finished ones.
  // Returns false when open requests take up all slots or memory.
  bool MakeRoom(TimePoint aNow);
  Slot Allocate();
  void InitEntry(Slot aSlot,
                 const Incoming& aIn,
                 std::optional<uint64_t> aEchoCounter);
  void AddToMessageIdIndex(Slot aSlot);
  void RemoveFromMessageIdIndex(Slot aSlot);
  void RemoveFromOpenNonConfirmable(Slot aSlot);
  void Release(Slot aSlot);
  bool EvictOldest();
  void RemoveExpiredFrom(std::deque<Slot>& aFinished, TimePoint aBefore);
  void StoreDatagram(Entry& aEntry, std::string_view aBytes);

  uint32_t NextSerial();
  uint16_t NextMessageId(const Address& aUpstream);
  void WriteUpstreamHeader(Entry& aEntry);

  UpstreamAction OnResponse(Slot aSlot,
                            const coap::Message& aMessage,
                            TimePoint aNow);
  void OnShed(Entry& aEntry);
  void OnLateResponse(Entry& aEntry, const coap::Message& aMessage);
  void StoreAnswer(Entry& aEntry, const coap::Message& aMessage);
  EndedRequest EndRefused(Slot aSlot, const Refusal& aRefusal, TimePoint aNow);
  EndedRequest EndOutcomeUnknown(Slot aSlot,
                                 std::string_view aText,
                                 TimePoint aNow);
  EndedRequest EndUnanswered(Slot aSlot,
                             std::string_view aText,
                             TimePoint aNow);
  EndedRequest EndWithLocalAnswer(Slot aSlot, TimePoint aNow);
  void Finish(Slot aSlot, Phase aPhase, TimePoint aNow);

  // Type, message id and token of an answer, which match it to its request.
  struct ReplyHeader
  {
    coap::Type mType;
    uint16_t mMessageId;
    coap::Token mToken;
  };
  ReplyHeader MakeReplyHeader(coap::Type aType,
                              uint16_t aMessageId,
                              const coap::Token& aToken);
  ReplyHeader MakeReplyHeader(const Entry& aEntry);
  ReplyHeader MakeReplyHeader(const coap::Message& aRequest);
  // The following functions write the answer to mEncodeBuffer.
  void MakeAnswer(const coap::ResponseContent& aContent,
                  const ReplyHeader& aHeader);
  void MakeRefusal(const Refusal& aRefusal,
                   bool aIdempotent,
                   const ReplyHeader& aHeader);
  void MakeOutcomeUnknown(std::string_view aText, const ReplyHeader& aHeader);

  RequestSettings mSettings;
  EchoIssuer mEcho;
  // Hash of the incarnation; upper half of the token of datagrams to upstreams.
  uint32_t mIncarnationTag;
  std::vector<Entry> mEntries;
  std::vector<Slot> mFreeSlots;
  // By the serial number of a request and by that of its current attempt.
  absl::flat_hash_map<uint32_t, Slot> mBySerial;
  absl::flat_hash_map<uint64_t, Slot> mByEchoCounter;
  // Newest entry with a flow and message id, without finished non-idempotent
  // requests, which are found in mByEchoCounter.
  absl::flat_hash_map<MessageKey, Slot> mByMessageId;
  // Newest open non-confirmable request of a flow and token: the caller matches
  // its answer by token alone.
  absl::flat_hash_map<TokenKey, Slot> mOpenNonConfirmable;
  absl::flat_hash_map<Address, uint16_t> mNextMessageIds;
  // Finished entries, in the order in which they finished.
  std::deque<Slot> mFinishedIdempotent;
  std::deque<Slot> mFinishedNonIdempotent;
  uint32_t mLastSerial = 0;
  uint16_t mLastCallerMessageId = 0;
  uint32_t mOpenCount = 0;
  size_t mStoredBytes = 0;
  bool mLeaving = false;
  std::optional<TimePoint> mLastNonIdempotentFinish;
  RequestCounters mCounters;
  // Buffers of the byte views that are returned to the user of the table; each
  // call overwrites them.
  std::string mEncodeBuffer;
  std::string mUpstreamReply;
};

} // namespace foxtail::requests

#endif

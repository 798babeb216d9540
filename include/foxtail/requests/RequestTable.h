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
  // Requests, open and finished, that are remembered.
  uint32_t mMaxRequests = 65536;
  // Bytes of requests and answers that are kept. When they exceed this,
  // finished requests are forgotten, the oldest idempotent ones first.
  size_t mMaxBytes = 32U << 20;
  // How long an answer is kept for callers that retransmit: EXCHANGE_LIFETIME
  // of RFC 7252 for requests that must not run again.
  Duration mAnswerLifetime = seconds(247);
  Duration mIdempotentAnswerLifetime = seconds(10);
  // How long after its answer a caller may still ask for a lost one; a leaving
  // balancer stays that long.
  Duration mAnswerLinger = seconds(5);
};

// What the view says of the incarnation that an Echo value names.
enum class EchoIssuerPresence
{
  // Alive, suspect or leaving.
  Present,
  // Not in the view.
  Absent
};

// A new request: choose an upstream, then call Send, or call Refuse.
struct StartRequest
{
  uint32_t mSerial;
  TimePoint mDeadline;
  bool mIdempotent;
};

// A duplicate of a request that runs. An idempotent one may be sent again with
// Resend.
struct InProgress
{
  uint32_t mSerial;
  bool mMayResend;
};

// Bytes for the caller. All byte views in this header stay valid until the
// next call of the table.

// The stored answer of a finished request.
struct ReplayAnswer
{
  std::string_view mBytes;
};

// 4.01 with a fresh Echo value; nothing was run.
struct Challenge
{
  std::string_view mBytes;
};

// An answer made here; mMayHaveRun is true when the request may have run.
struct LocalAnswer
{
  std::string_view mBytes;
  bool mMayHaveRun;
};

// Only this incarnation can tell what became of the request.
struct ForwardToIssuer
{
  Incarnation mIncarnation;
};

// This balancer is leaving and admits nothing new that is not idempotent: hand
// the datagram to the flow's next owner.
struct ForwardToOwner
{};

using RequestAction = std::variant<StartRequest,
                                   InProgress,
                                   ReplayAnswer,
                                   Challenge,
                                   LocalAnswer,
                                   ForwardToIssuer,
                                   ForwardToOwner>;

// The answer for the caller. No bytes when the caller's address, message id
// and token have been taken over by another request.
struct Deliver
{
  uint32_t mSerial;
  FlowKey mFlow;
  std::string_view mBytes;
};

// The upstream did not run the request: Send it elsewhere or Refuse it.
struct Shed
{
  uint32_t mSerial;
};

// The answer came after its request had ended. It is kept for a caller that
// asks again.
struct LateAnswerStored
{
  uint32_t mSerial;
};

// An acknowledgement without an answer, or the copy of an answer.
struct Ignored
{};

// Belongs to no request of this incarnation, or came from an upstream that the
// request was not sent to.
struct Stale
{};

struct UpstreamAction
{
  std::variant<Deliver, Shed, LateAnswerStored, Ignored, Stale> mAction;
  // Acknowledgement or reset that the upstream is to be sent; may be empty.
  std::string_view mReply;
};

// What ends a request at its upstream.
struct CancelAtUpstream
{
  Address mUpstream;
  std::string_view mBytes;
};

// A request that ended without an upstream's answer.
struct Ended
{
  uint32_t mSerial = 0;
  FlowKey mFlow;
  // Answer for the caller; empty when it must not get one.
  std::string_view mBytes;
  // True when the request may have run.
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
  // Diagnostic text, without the "not run" that the table puts before it.
  std::string_view mText;
  seconds mRetryAfter{ 1 };
};

struct RequestCounters
{
  uint64_t mStarted = 0;
  uint64_t mChallenged = 0;
  uint64_t mDuplicates = 0;
  uint64_t mReplayed = 0;
  uint64_t mHandedOver = 0;
  uint64_t mSent = 0;
  uint64_t mAnswered = 0;
  uint64_t mShed = 0;
  uint64_t mRefused = 0;
  uint64_t mUnknown = 0;
  uint64_t mCancelled = 0;
  uint64_t mSuperseded = 0;
  uint64_t mLateAnswers = 0;
  uint64_t mStaleAnswers = 0;
  uint64_t mEvicted = 0;
};

// Requests from callers that this balancer runs or has run lately. It matches
// answers to requests, answers duplicates, and makes sure that a request that
// is not idempotent runs at most once and that "not run" is true;
// docs/design/at-most-once.md gives the argument. Does no I/O; not thread-safe.
class RequestTable
{
public:
  explicit RequestTable(const RequestSettings& aSettings);

  // Takes a request from a caller. aPresence is only read when the request
  // carries an Echo value of another incarnation (ParseEchoIncarnation). Call
  // this before anything that could refuse the request: only the table knows
  // whether a copy of it has run.
  RequestAction OnRequest(const FlowKey& aFlow,
                          const coap::Message& aRequest,
                          EchoIssuerPresence aPresence,
                          TimePoint aNow,
                          TimePoint aDeadline);

  // The datagram that sends a request to an upstream. Empty when the request
  // is not waiting for an upstream (unknown serial number, already sent,
  // ended) or when its deadline has passed; then call Expire. One call gives
  // the only datagram of a request that is not idempotent: it must not be
  // repeated.
  std::optional<std::string_view> Send(uint32_t aSerial,
                                       const Address& aUpstream,
                                       TimePoint aNow);

  // Repeats the datagram of an idempotent request that is running. Empty in
  // all other cases.
  std::optional<std::string_view> Resend(uint32_t aSerial, TimePoint aNow);

  // The upstream that a running request was sent to.
  std::optional<Address> SentTo(uint32_t aSerial) const;

  // Takes a datagram from an upstream.
  UpstreamAction OnUpstream(const Address& aFrom,
                            const coap::Message& aMessage,
                            TimePoint aNow);

  // Ends a request that waits for an upstream: it was not run and never will
  // be. Throws RequestError 510 when the request is unknown, has ended or is
  // with an upstream.
  Ended Refuse(uint32_t aSerial, const Refusal& aRefusal, TimePoint aNow);

  // Ends a request whose deadline has passed. Empty when it has ended already.
  std::optional<Ended> Expire(uint32_t aSerial, TimePoint aNow);

  // The caller sent a Reset for a request: it is cancelled at its upstream and
  // gets no answer. Empty when no such request is open.
  std::optional<Ended> OnCallerReset(const FlowKey& aFlow,
                                     uint16_t aMessageId,
                                     TimePoint aNow);

  // Forgets what has outlived its lifetime. Call it every second or so.
  void RemoveExpired(TimePoint aNow);

  // From now on no Echo value is issued.
  void Leave() { mLeaving = true; }

  // True while a planned stop would leave a caller without the truth: open
  // requests, Echo values that may still be used, or answers that a caller may
  // still ask for.
  bool HasOutstandingWork(TimePoint aNow) const;

  uint32_t OpenRequests() const { return mOpen; }
  size_t StoredBytes() const { return mBytes; }
  const RequestCounters& Counters() const { return mCounters; }

private:
  using Slot = uint32_t;
  static constexpr Slot kNoSlot = UINT32_MAX;
  static constexpr uint32_t kNoSerial = 0;

  enum class Phase : uint8_t
  {
    Free,
    // Not sent, or shed by every upstream that it was sent to.
    Waiting,
    // With an upstream.
    Sent,
    // Ended without an upstream's answer.
    Ended,
    // Has its upstream's answer.
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
    // The caller's address, message id and token belong to a newer request.
    bool mSuperseded = false;
    uint16_t mUpstreamMessageId = 0;
    uint32_t mSerial = 0;
    // Serial number in the token of the datagram sent last; kNoSerial after
    // the upstream has shed it.
    uint32_t mAttempt = 0;
    uint32_t mAttempts = 0;
    Address mUpstream;
    uint64_t mDigest = 0;
    uint64_t mEchoHash = 0;
    uint64_t mEchoCounter = 0;
    TimePoint mDeadline;
    TimePoint mFinished;
    // Next entry of the same flow and message id.
    Slot mNext = kNoSlot;
    // The datagram for upstreams, later the answer for the caller.
    std::string mStored;
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

  // A request together with what is worked out of it once.
  struct Incoming
  {
    const FlowKey& mFlow;
    const coap::Message& mMessage;
    uint64_t mDigest;
    uint64_t mEchoHash;
    TimePoint mNow;
    TimePoint mDeadline;
  };

  RequestAction OnIdempotent(const Incoming& aIn);
  RequestAction OnNonIdempotent(const Incoming& aIn,
                                EchoIssuerPresence aPresence);
  RequestAction OnEcho(const Incoming& aIn);
  RequestAction OnDecidedEcho(const Incoming& aIn, const EchoCheck& aCheck);
  RequestAction AnswerDuplicate(Slot aSlot);
  RequestAction MakeChallenge(const Incoming& aIn);
  // For requests whose Echo value names this incarnation.
  RequestAction ChallengeAnew(const Incoming& aIn);
  // Requests that are not idempotent come with the counter of their Echo
  // value.
  RequestAction StartOrRefuse(const Incoming& aIn,
                              std::optional<uint64_t> aEchoCounter);
  RequestAction ConcludeUnknown(const Incoming& aIn, std::string_view aText);
  RequestAction ConcludeRefused(const Incoming& aIn, const Refusal& aRefusal);
  RequestAction ConcludeTooLarge(const Incoming& aIn);

  static bool IsSameMessage(const Entry& aEntry, const Incoming& aIn);
  Slot FindDuplicate(const Incoming& aIn) const;
  void SupersedeOthers(const Incoming& aIn);
  Slot FindSerial(uint32_t aSerial) const;
  Slot FirstOf(const FlowKey& aFlow, uint16_t aMessageId) const;

  static bool IsOpen(const Entry& aEntry)
  {
    return aEntry.mPhase == Phase::Waiting || aEntry.mPhase == Phase::Sent;
  }
  Slot FindAttempt(uint32_t aAttempt, const Address& aUpstream) const;

  // False when neither memory nor slots can be freed for one more request.
  bool MakeRoom(TimePoint aNow);
  Slot Allocate();
  void Fill(Slot aSlot,
            const Incoming& aIn,
            std::optional<uint64_t> aEchoCounter);
  void Link(Slot aSlot);
  void Unlink(Slot aSlot);
  void ForgetToken(Slot aSlot);
  void Release(Slot aSlot);
  bool EvictOldest();
  void CollectFrom(std::deque<Slot>& aFinished, TimePoint aBefore);
  void Store(Entry& aEntry, std::string_view aBytes);

  uint32_t NextSerial();
  uint16_t NextMessageId(const Address& aUpstream);
  void WriteHeader(Entry& aEntry);

  UpstreamAction OnResponse(Slot aSlot,
                            const coap::Message& aMessage,
                            TimePoint aNow);
  void TakeShed(Entry& aEntry);
  void RecordLate(Entry& aEntry, const coap::Message& aMessage);
  void StoreAnswer(Entry& aEntry, const coap::Message& aMessage);
  Ended EndRefused(Slot aSlot, const Refusal& aRefusal, TimePoint aNow);
  Ended EndUnknown(Slot aSlot, std::string_view aText, TimePoint aNow);
  Ended EndEarly(Slot aSlot, std::string_view aText, TimePoint aNow);
  Ended EndWithAnswer(Slot aSlot, TimePoint aNow);
  void Finish(Slot aSlot, Phase aPhase, TimePoint aNow);

  // Where an answer goes: what of a request its answer repeats.
  struct ReplyHeader
  {
    coap::Type mType;
    uint16_t mMessageId;
    coap::Token mToken;
  };
  ReplyHeader HeaderFor(coap::Type aType,
                        uint16_t aMessageId,
                        const coap::Token& aToken);
  ReplyHeader HeaderFor(const Entry& aEntry);
  ReplyHeader HeaderFor(const coap::Message& aRequest);
  // These leave the answer in mOut.
  void MakeAnswer(const coap::ResponseContent& aContent,
                  const ReplyHeader& aHeader);
  void MakeRefusal(const Refusal& aRefusal,
                   bool aIdempotent,
                   const ReplyHeader& aHeader);
  void MakeUnknown(std::string_view aText, const ReplyHeader& aHeader);

  RequestSettings mSettings;
  EchoIssuer mEcho;
  uint32_t mTag;
  std::vector<Entry> mEntries;
  std::vector<Slot> mFree;
  // Serial numbers of requests and of their later attempts.
  absl::flat_hash_map<uint32_t, Slot> mBySerial;
  absl::flat_hash_map<uint64_t, Slot> mByEcho;
  // Newest entry of a flow and message id.
  absl::flat_hash_map<MessageKey, Slot> mByMessage;
  // Open requests of non-confirmable messages: their answers are matched by
  // token alone.
  absl::flat_hash_map<TokenKey, Slot> mNonConfirmable;
  absl::flat_hash_map<Address, uint16_t> mMessageIds;
  // Finished entries, oldest first.
  std::deque<Slot> mFinishedIdempotent;
  std::deque<Slot> mFinishedOthers;
  uint32_t mLastSerial = 0;
  uint16_t mLastCallerMessageId = 0;
  uint32_t mOpen = 0;
  size_t mBytes = 0;
  bool mLeaving = false;
  // Of requests that are not idempotent.
  std::optional<TimePoint> mLastAnswered;
  RequestCounters mCounters;
  // Bytes handed out until the next call.
  std::string mOut;
  std::string mReply;
};

} // namespace foxtail::requests

#endif

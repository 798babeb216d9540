#include "Flow.h"

#include "Clock.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "foxtail/core/Error.h"

namespace foxtail::standins {

namespace {

constexpr uint8_t kBlockExponent = 6;
constexpr size_t kBlockSize = size_t{ 16 } << kBlockExponent;
constexpr seconds kDefaultRetryAfter{ 1 };

std::map<std::string, std::string>
ReadPairs(std::string_view aText)
{
  std::map<std::string, std::string> pairs;
  const std::vector<std::string> parts =
    absl::StrSplit(std::string(aText), ';');
  for (const std::string& part : parts) {
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    pairs.insert(pair);
  }
  return pairs;
}

std::string
CodeText(uint8_t aCode)
{
  return absl::StrCat(aCode >> 5, ".", absl::Dec(aCode & 31, absl::kZeroPad2));
}

} // namespace

Flow::Flow(EventLoop& aLoop,
           CallerReport& aReport,
           const CallerSettings& aSettings,
           const ServiceTarget& aService,
           std::unique_ptr<UdpSocket> aSocket,
           uint16_t aFirstMessageId,
           bool aFresh,
           uint64_t aSerial)
  : mLoop(aLoop)
  , mReport(aReport)
  , mSettings(aSettings)
  , mService(aService)
  , mSocket(std::move(aSocket))
  , mName(absl::StrCat(aSettings.mSeed, "-", aSerial))
  , mFresh(aFresh)
  , mRandom(aSettings.mSeed * 0x9E3779B97F4A7C15ULL + aSerial)
  , mNextMessageId(aFirstMessageId)
{
}

Flow::~Flow()
{
  mLoop.Unwatch(mSocket->Fd());
}

void
Flow::Open(IdleCallback aOnIdle)
{
  mOnIdle = std::move(aOnIdle);
  mLoop.Watch(mSocket->Fd(), [flow = weak_from_this()] {
    if (const auto self = flow.lock()) {
      self->Receive();
    }
  });
}

void
Flow::Ask(Kind aKind)
{
  if (mCurrent) {
    mWaiting.push_back(aKind);
  } else {
    Begin(aKind);
  }
}

void
Flow::GiveUp()
{
  mWaiting.clear();
  if (mCurrent) {
    End(Outcome::NoAnswer, "ended");
  }
}

void
Flow::Begin(Kind aKind)
{
  mCurrent = std::make_unique<Exchange>();
  Exchange& current = *mCurrent;
  current.mRequest.mKind = aKind;
  current.mRequest.mId = absl::StrCat(mName, "-", ++mRequests);
  current.mRequest.mService = mService.mName;
  current.mRequest.mSentAt = WallMilliseconds();
  current.mStarted = std::chrono::steady_clock::now();
  switch (aKind) {
    case Kind::Lookup:
      current.mPath = absl::StrCat("balance/", mRandom() % 1000);
      break;
    case Kind::Posting:
      current.mPath = "post";
      break;
    case Kind::Download:
      current.mPath = absl::StrCat(
        "download/", mRandom() % 1000, "/", mSettings.mDownloadBytes);
      break;
  }
  current.mPairs = absl::StrCat("id=", current.mRequest.mId, ";caller=", mName);
  mReport.Sent(aKind);
  SendMessage();
}

// Sends the current request as a new message with a new token.
void
Flow::SendMessage()
{
  Exchange& current = *mCurrent;
  if (current.mToken.mLength != 0) {
    mPastTokens.insert(current.mToken.Value().value_or(0));
  }
  current.mSerial = ++mSerial;
  current.mToken = coap::Token::FromValue(mRandom());
  current.mMessageId = mNextMessageId++;
  current.mRetransmissions = 0;
  current.mAcknowledged = false;
  current.mDatagram = Encode();
  mSocket->Send(mService.mAddress, current.mDatagram);
  std::uniform_real_distribution<> factor(1, mSettings.mAckRandomFactor);
  const Duration timeout = std::chrono::duration_cast<Duration>(
    mSettings.mAckTimeout * factor(mRandom));
  AfterWhileWaiting(timeout, [this, timeout, serial = current.mSerial] {
    Retransmit(serial, timeout * 2);
  });
}

std::string
Flow::Encode()
{
  const Exchange& current = *mCurrent;
  const bool posting = current.mRequest.mKind == Kind::Posting;
  Options options;
  PutPath(current.mPath, options);
  if (!posting && current.mRequest.mKind != Kind::Download) {
    options.emplace(kUriQueryOption, current.mPairs);
  }
  if (current.mRequest.mKind == Kind::Download) {
    PutBlock2({ current.mBlock, false, kBlockExponent }, options);
  }
  if (!current.mEcho.empty()) {
    options.emplace(coap::kEchoOption, current.mEcho);
  }
  AddDeadline(options);
  return EncodeMessage(coap::Type::Confirmable,
                       posting ? coap::kPost : coap::kGet,
                       current.mMessageId,
                       current.mToken,
                       options,
                       posting ? current.mPairs : "");
}

void
Flow::AddDeadline(Options& aOptions) const
{
  if (mSettings.mDeadline) {
    const int64_t at = WallMilliseconds() + mSettings.mDeadline->count();
    PutUint(coap::kDeadlineOption, static_cast<uint64_t>(at), aOptions);
  }
}

void
Flow::Retransmit(uint64_t aSerial, Duration aTimeout)
{
  Exchange& current = *mCurrent;
  if (current.mAcknowledged) {
    return;
  }
  if (current.mRetransmissions == mSettings.mMaxRetransmit) {
    End(Outcome::NoAnswer, "retransmissions exhausted");
    return;
  }
  ++current.mRetransmissions;
  mReport.Count("retransmissions");
  mSocket->Send(mService.mAddress, current.mDatagram);
  AfterWhileWaiting(
    aTimeout, [this, aTimeout, aSerial] { Retransmit(aSerial, aTimeout * 2); });
}

void
Flow::AfterWhileWaiting(Duration aDelay, std::function<void()> aStep)
{
  mLoop.After(
    aDelay,
    [flow = weak_from_this(), serial = mSerial, step = std::move(aStep)] {
      const auto self = flow.lock();
      if (self && self->mCurrent && self->mCurrent->mSerial == serial) {
        step();
      }
    });
}

void
Flow::Receive()
{
  const auto self = shared_from_this();
  Address from;
  while (const auto datagram = mSocket->Receive(from)) {
    try {
      OnMessage(coap::Decode(*datagram));
    } catch (const Error&) {
      mReport.Count("malformed");
    }
  }
}

void
Flow::OnMessage(const coap::Message& aMessage)
{
  using coap::Type;
  if (aMessage.IsEmpty()) {
    OnEmpty(aMessage);
    return;
  }
  if (aMessage.mType == Type::Confirmable) {
    std::string out;
    coap::EncodeEmpty(Type::Acknowledgement, aMessage.mMessageId, out);
    mSocket->Send(mService.mAddress, out);
  }
  if (mCurrent && aMessage.mToken == mCurrent->mToken) {
    OnAnswer(aMessage);
    return;
  }
  const bool late = mPastTokens.count(aMessage.mToken.Value().value_or(0)) != 0;
  mReport.Count(late ? "late_answers" : "stray_answers");
}

void
Flow::OnEmpty(const coap::Message& aMessage)
{
  if (!mCurrent || aMessage.mMessageId != mCurrent->mMessageId) {
    mReport.Count("stray_empty");
    return;
  }
  if (aMessage.mType == coap::Type::Reset) {
    End(Outcome::NoAnswer, "reset");
    return;
  }
  if (!mCurrent->mAcknowledged) {
    mCurrent->mAcknowledged = true;
    AfterWhileWaiting(mSettings.mAnswerTimeout,
                      [this] { End(Outcome::NoAnswer, "acknowledged only"); });
  }
}

void
Flow::OnAnswer(const coap::Message& aMessage)
{
  Exchange& current = *mCurrent;
  if (aMessage.mCode == coap::kContent) {
    OnContent(aMessage);
  } else if (aMessage.mCode == coap::kUnauthorized && aMessage.mEcho &&
             current.mEcho.empty()) {
    current.mEcho = std::string(*aMessage.mEcho);
    mReport.Count("echoes");
    SendMessage();
  } else if (aMessage.mCode == coap::kGatewayTimeout) {
    OnFailure(aMessage, Outcome::Unknown);
  } else if (aMessage.mCode == coap::kUnauthorized ||
             aMessage.mPayload.substr(0, 7) == "not run") {
    OnFailure(aMessage, Outcome::Refused);
  } else if (aMessage.mCode == coap::kUnavailable &&
             current.mRequest.mKind != Kind::Posting &&
             aMessage.mPayload.substr(0, 6) == "retry:") {
    OnFailure(aMessage, Outcome::Retry);
  } else {
    End(Outcome::Wrong,
        CodeText(aMessage.mCode) + " " + std::string(aMessage.mPayload));
  }
}

void
Flow::OnContent(const coap::Message& aMessage)
{
  if (mCurrent->mRequest.mKind == Kind::Download) {
    OnBlock(aMessage);
    return;
  }
  const std::string payload(aMessage.mPayload);
  if (!IsOwnContent(payload)) {
    End(Outcome::Wrong, payload);
    return;
  }
  auto pairs = ReadPairs(payload);
  int64_t run = 0;
  static_cast<void>(absl::SimpleAtoi(pairs["run_us"], &run));
  const Duration took = std::chrono::steady_clock::now() - mCurrent->mStarted;
  mReport.Waited(mCurrent->mRequest.mKind,
                 std::max(Duration::zero(), took - microseconds(run)));
  NoteUpstream(pairs["upstream"]);
  End(Outcome::Whole, "");
}

bool
Flow::IsOwnContent(std::string_view aPayload) const
{
  auto pairs = ReadPairs(aPayload);
  return pairs["service"] == mService.mName &&
         pairs["id"] == mCurrent->mRequest.mId &&
         pairs["path"] == mCurrent->mPath;
}

void
Flow::OnBlock(const coap::Message& aMessage)
{
  Exchange& current = *mCurrent;
  if (!IsOwnBlock(aMessage)) {
    End(Outcome::Wrong, absl::StrCat("block ", current.mBlock));
    return;
  }
  NoteUpstream(JoinOption(ReadOptions(aMessage), kServedByOption));
  if (!aMessage.mBlock2->mMore) {
    End(Outcome::Whole, "");
    return;
  }
  ++current.mBlock;
  current.mBlockRetries = 0;
  // The block is processed; further copies of this answer count as late.
  mPastTokens.insert(current.mToken.Value().value_or(0));
  current.mSerial = ++mSerial;
  current.mToken = coap::Token{};
  AfterWhileWaiting(mSettings.mBlockPause, [this] { SendMessage(); });
}

bool
Flow::IsOwnBlock(const coap::Message& aMessage) const
{
  const Exchange& current = *mCurrent;
  const size_t offset = current.mBlock * kBlockSize;
  const size_t left = mSettings.mDownloadBytes - offset;
  const std::string expected = DownloadBytes(
    mService.mName, current.mPath, offset, std::min(kBlockSize, left));
  return aMessage.mBlock2 && aMessage.mBlock2->mNumber == current.mBlock &&
         aMessage.mBlock2->mMore == (left > kBlockSize) &&
         aMessage.mPayload == expected &&
         JoinOption(ReadOptions(aMessage), kETagOption) ==
           DownloadETag(mService.mName, current.mPath);
}

// A failed block of a download is requested again: downloads are idempotent, so
// a second run is harmless. Other requests end with aOutcome.
void
Flow::OnFailure(const coap::Message& aMessage, Outcome aOutcome)
{
  Exchange& current = *mCurrent;
  const std::string text =
    CodeText(aMessage.mCode) + " " + std::string(aMessage.mPayload);
  if (current.mRequest.mKind != Kind::Download ||
      current.mBlockRetries == mSettings.mBlockRetries) {
    End(aOutcome, text);
    return;
  }
  ++current.mBlockRetries;
  mReport.Count("block_retries");
  mPastTokens.insert(current.mToken.Value().value_or(0));
  current.mSerial = ++mSerial;
  current.mToken = coap::Token{};
  AfterWhileWaiting(aMessage.mMaxAge.value_or(kDefaultRetryAfter),
                    [this] { SendMessage(); });
}

void
Flow::NoteUpstream(const std::string& aUpstream)
{
  CallerReport::Request& request = mCurrent->mRequest;
  request.mUpstream = aUpstream;
  if (mUpstream.empty() && mFresh) {
    mReport.FlowBound(request, mSocket->Local().ToString());
  } else if (!mUpstream.empty() && mUpstream != aUpstream) {
    mReport.FlowMoved(request, mUpstream);
  }
  mUpstream = aUpstream;
}

void
Flow::End(Outcome aOutcome, const std::string& aDetail)
{
  const std::unique_ptr<Exchange> ended = std::move(mCurrent);
  ended->mRequest.mDetail = aDetail;
  mPastTokens.insert(ended->mToken.Value().value_or(0));
  mReport.Ended(ended->mRequest, aOutcome);
  if (ended->mRequest.mKind == Kind::Download && ended->mBlock > 0 &&
      aOutcome != Outcome::Whole) {
    mReport.DownloadBroken(ended->mRequest, aOutcome);
  }
  if (mWaiting.empty()) {
    mOnIdle(shared_from_this());
    return;
  }
  const Kind next = mWaiting.front();
  mWaiting.pop_front();
  Begin(next);
}

} // namespace foxtail::standins

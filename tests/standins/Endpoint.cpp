#include "Endpoint.h"

#include "Clock.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "foxtail/core/Error.h"

namespace foxtail::standins {

namespace {

// EXCHANGE_LIFETIME of RFC 7252 section 4.8: a source may not reuse a message
// id within this time.
constexpr seconds kExchangeLifetime{ 247 };
// A request that runs longer than this gets an empty acknowledgement first.
constexpr milliseconds kAcknowledgeDelay{ 200 };
constexpr milliseconds kAnswerTimeout{ 1000 };
constexpr int kAnswerRetransmissions = 4;
constexpr seconds kConnectionIdle{ 60 };
constexpr seconds kShedRetryAfter{ 1 };
constexpr milliseconds kSampleInterval{ 50 };
constexpr size_t kMaxSamples = 400;
constexpr uint8_t kLargestBlockExponent = 6;
constexpr char kDownloadPrefix[] = "download/";

// Returns the value of aKey in text of the form "key=value;key=value"; "" when
// the key is absent.
std::string
FindPair(std::string_view aText, const std::string& aKey)
{
  const std::vector<std::string> pairs =
    absl::StrSplit(std::string(aText), ';');
  for (const std::string& pair : pairs) {
    if (pair.rfind(aKey + "=", 0) == 0) {
      return pair.substr(aKey.size() + 1);
    }
  }
  return "";
}

// Returns the size in "download/NAME/SIZE"; zero for other paths.
size_t
DownloadSize(const std::string& aPath)
{
  uint64_t size = 0;
  if (aPath.rfind(kDownloadPrefix, 0) == 0) {
    static_cast<void>(
      absl::SimpleAtoi(aPath.substr(aPath.rfind('/') + 1), &size));
  }
  return size;
}

} // namespace

Journal::Journal(const std::string& aPath)
  : mFile(aPath, std::ios::app)
{
  if (!mFile) {
    throw SettingsError(101, aPath, "cannot be opened");
  }
}

void
Journal::Add(const Json& aRun)
{
  mFile << aRun.dump() << '\n' << std::flush;
}

Endpoint::Endpoint(EventLoop& aLoop,
                   Journal& aJournal,
                   EndpointSettings aSettings,
                   uint64_t aSeed)
  : mLoop(aLoop)
  , mJournal(aJournal)
  , mSettings(std::move(aSettings))
  , mRandom(aSeed)
  , mNextMessageId(static_cast<uint16_t>(mRandom()))
{
  Open();
  Sample();
}

void
Endpoint::Open()
{
  mSocket = std::make_unique<UdpSocket>(mSettings.mAddress);
  mLoop.Watch(mSocket->Fd(), [this] { Receive(); });
  mStarted = std::chrono::steady_clock::now();
  mReport = std::make_unique<AdminServer>(mSettings.mReportAddress);
  mReport->OnGet("/load", [this](const Json&) {
    const std::lock_guard<std::mutex> lock(mLoop.Mutex());
    return Load();
  });
  mReport->Start();
}

// Simulates a stop of the upstream's VM: running and queued requests are
// dropped without an answer.
void
Endpoint::Close()
{
  mLoop.Unwatch(mSocket->Fd());
  mSocket.reset();
  mExchanges.clear();
  mQueue.clear();
  mRunning.clear();
  mConnections.clear();
  mAwaitingAck.clear();
  // Destroyed in another thread: the report server's handler may wait for the
  // event loop's mutex, which the caller of Close holds.
  std::thread([report = std::move(mReport)]() mutable {
    report.reset();
  }).detach();
}

void
Endpoint::SetFaults(const Json& aFaults)
{
  mFaults.mSlow = aFaults.value("slow", mFaults.mSlow);
  mFaults.mShed = aFaults.value("shed", mFaults.mShed);
  mFaults.mDrain = aFaults.value("drain", mFaults.mDrain);
  mFaults.mReportLag =
    milliseconds(aFaults.value("report_lag_ms", mFaults.mReportLag.count()));
  if (const auto it = aFaults.find("reported_in_flight"); it != aFaults.end()) {
    mFaults.mReportedInFlight =
      it->is_null() ? std::nullopt : std::optional<size_t>(it->get<size_t>());
  }
  const bool stopped = aFaults.value("stop", mFaults.mStopped);
  if (stopped != mFaults.mStopped) {
    mFaults.mStopped = stopped;
    stopped ? Close() : Open();
  }
}

Json
Endpoint::Status() const
{
  return { { "name", mSettings.mName },
           { "service", mSettings.mService },
           { "running", mRunning.size() },
           { "queued", mQueue.size() },
           { "connections", mConnections.size() },
           { "draining", mFaults.mDrain },
           { "stopped", mFaults.mStopped },
           { "counters", mCounters } };
}

void
Endpoint::Receive()
{
  Address from;
  while (mSocket) {
    const auto datagram = mSocket->Receive(from);
    if (!datagram) {
      return;
    }
    try {
      // The decoded views must outlive the socket's buffer.
      const std::string bytes(*datagram);
      OnMessage(from, coap::Decode(bytes));
    } catch (const Error&) {
      ++mCounters["malformed"];
    }
  }
}

void
Endpoint::OnMessage(const Address& aFrom, const coap::Message& aMessage)
{
  if (aMessage.mType == coap::Type::Reset) {
    OnReset(aFrom, aMessage.mMessageId);
  } else if (aMessage.mType == coap::Type::Acknowledgement) {
    mAwaitingAck.erase(aMessage.mMessageId);
  } else if (aMessage.IsRequest()) {
    OnRequest(aFrom, aMessage);
  } else {
    ++mCounters["unexpected"];
  }
}

void
Endpoint::OnRequest(const Address& aFrom, const coap::Message& aMessage)
{
  const auto it = mExchanges.find({ aFrom, aMessage.mMessageId });
  if (it != mExchanges.end()) {
    OnDuplicate(*it->second, aMessage);
    return;
  }
  ++mCounters["requests"];
  const std::string reason = RefusalReason(aFrom);
  const ExchangePtr exchange = AddExchange(aFrom, aMessage);
  if (!reason.empty()) {
    Refuse(exchange, reason);
    return;
  }
  mConnections[aFrom] = std::chrono::steady_clock::now();
  AcknowledgeLater(exchange);
  mQueue.push_back(exchange);
  StartNext();
}

void
Endpoint::OnDuplicate(const Exchange& aExchange, const coap::Message& aMessage)
{
  ++mCounters["duplicates"];
  if (!(aExchange.mToken == aMessage.mToken)) {
    ++mCounters["message_id_reused"];
  }
  if (!aExchange.mAnswer.empty()) {
    mSocket->Send(aExchange.mKey.first, aExchange.mAnswer);
  }
}

void
Endpoint::OnReset(const Address& aFrom, uint16_t aMessageId)
{
  mAwaitingAck.erase(aMessageId);
  const auto it = mExchanges.find({ aFrom, aMessageId });
  if (it == mExchanges.end() || it->second->mState == State::Done) {
    return;
  }
  const ExchangePtr exchange = it->second;
  ++mCounters[exchange->mState == State::Running ? "cancelled_running"
                                                 : "cancelled_queued"];
  exchange->mState = State::Done;
  exchange->mAcknowledged = true;
  mRunning.erase(exchange);
  mQueue.erase(std::remove(mQueue.begin(), mQueue.end(), exchange),
               mQueue.end());
  StartNext();
}

Endpoint::ExchangePtr
Endpoint::AddExchange(const Address& aFrom, const coap::Message& aMessage)
{
  const Options options = ReadOptions(aMessage);
  const std::string query = JoinOption(options, kUriQueryOption);
  const std::string_view pairs =
    aMessage.mPayload.empty() ? query : aMessage.mPayload;
  auto exchange = std::make_shared<Exchange>();
  exchange->mKey = { aFrom, aMessage.mMessageId };
  exchange->mType = aMessage.mType;
  exchange->mToken = aMessage.mToken;
  exchange->mMethod = aMessage.mCode;
  exchange->mPath = JoinOption(options, kUriPathOption);
  exchange->mRequestId = FindPair(pairs, "id");
  exchange->mCaller = FindPair(pairs, "caller");
  exchange->mBlock2 = aMessage.mBlock2;
  exchange->mDeadline = aMessage.mDeadline;
  mExchanges[exchange->mKey] = exchange;
  mLoop.After(kExchangeLifetime, [this, exchange] {
    const auto it = mExchanges.find(exchange->mKey);
    if (it != mExchanges.end() && it->second == exchange) {
      mExchanges.erase(it);
    }
  });
  return exchange;
}

std::string
Endpoint::RefusalReason(const Address& aFrom)
{
  if (mFaults.mShed || mQueue.size() >= mSettings.mQueue) {
    return "overloaded";
  }
  return TooManyConnections(aFrom) ? "too many connections" : "";
}

bool
Endpoint::TooManyConnections(const Address& aFrom)
{
  if (mConnections.count(aFrom) != 0 ||
      mConnections.size() < mSettings.mMaxConnections) {
    return false;
  }
  const TimePoint oldest = std::chrono::steady_clock::now() - kConnectionIdle;
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    it = it->second < oldest ? mConnections.erase(it) : std::next(it);
  }
  return mConnections.size() >= mSettings.mMaxConnections;
}

void
Endpoint::StartNext()
{
  while (mRunning.size() < mSettings.mSlots && !mQueue.empty()) {
    const ExchangePtr exchange = mQueue.front();
    mQueue.pop_front();
    if (exchange->mDeadline &&
        *exchange->mDeadline <= std::chrono::system_clock::now()) {
      Refuse(exchange, "deadline passed");
      continue;
    }
    Start(exchange);
  }
}

void
Endpoint::Start(const ExchangePtr& aExchange)
{
  aExchange->mState = State::Running;
  aExchange->mRunTime = DrawRunTime(*aExchange);
  mRunning.insert(aExchange);
  ++mCounters[aExchange->mMethod == coap::kPost ? "run_post" : "run_get"];
  if (!aExchange->mRequestId.empty()) {
    mJournal.Add({ { "at_ms", WallMilliseconds() },
                   { "service", mSettings.mService },
                   { "upstream", mSettings.mName },
                   { "post", aExchange->mMethod == coap::kPost },
                   { "id", aExchange->mRequestId },
                   { "caller", aExchange->mCaller },
                   { "from", aExchange->mKey.first.ToString() } });
  }
  mLoop.After(aExchange->mRunTime, [this, aExchange] {
    if (aExchange->mState == State::Running && mRunning.count(aExchange)) {
      Finish(aExchange);
    }
  });
}

void
Endpoint::Finish(const ExchangePtr& aExchange)
{
  mRunning.erase(aExchange);
  Answer(aExchange);
  StartNext();
}

void
Endpoint::Refuse(const ExchangePtr& aExchange, const std::string& aReason)
{
  ++mCounters[absl::StrCat("refused ", aReason)];
  Options options;
  PutUint(kMaxAgeOption, kShedRetryAfter.count(), options);
  Reply(aExchange, coap::kUnavailable, options, "not run: " + aReason);
}

void
Endpoint::Answer(const ExchangePtr& aExchange)
{
  Options options;
  options.emplace(kServedByOption, mSettings.mName);
  std::string payload;
  if (DownloadSize(aExchange->mPath) != 0) {
    AnswerDownload(*aExchange, options, payload);
  } else {
    payload = absl::StrCat("service=",
                           mSettings.mService,
                           ";upstream=",
                           mSettings.mName,
                           ";id=",
                           aExchange->mRequestId,
                           ";path=",
                           aExchange->mPath,
                           ";run_us=",
                           aExchange->mRunTime.count());
  }
  Reply(aExchange, coap::kContent, options, payload);
}

void
Endpoint::AnswerDownload(const Exchange& aExchange,
                         Options& aOptions,
                         std::string& aPayload) const
{
  const size_t size = DownloadSize(aExchange.mPath);
  coap::Block block =
    aExchange.mBlock2.value_or(coap::Block{ 0, false, kLargestBlockExponent });
  block.mSizeExponent = std::min(block.mSizeExponent, kLargestBlockExponent);
  const size_t blockSize = size_t{ 16 } << block.mSizeExponent;
  const size_t offset = std::min(size, block.mNumber * blockSize);
  const size_t n = std::min(blockSize, size - offset);
  block.mMore = offset + n < size;
  PutBlock2(block, aOptions);
  aOptions.emplace(kETagOption,
                   DownloadETag(mSettings.mService, aExchange.mPath));
  aPayload = DownloadBytes(mSettings.mService, aExchange.mPath, offset, n);
}

void
Endpoint::Reply(const ExchangePtr& aExchange,
                uint8_t aCode,
                const Options& aOptions,
                std::string_view aPayload)
{
  using coap::Type;
  Exchange& exchange = *aExchange;
  exchange.mState = State::Done;
  const Address& to = exchange.mKey.first;
  const bool piggybacked =
    exchange.mType == Type::Confirmable && !exchange.mAcknowledged;
  if (piggybacked) {
    exchange.mAcknowledged = true;
    exchange.mAnswer = EncodeMessage(Type::Acknowledgement,
                                     aCode,
                                     exchange.mKey.second,
                                     exchange.mToken,
                                     aOptions,
                                     aPayload);
    mSocket->Send(to, exchange.mAnswer);
    return;
  }
  const uint16_t id = mNextMessageId++;
  exchange.mAnswer = EncodeMessage(
    exchange.mType, aCode, id, exchange.mToken, aOptions, aPayload);
  if (exchange.mType == Type::NonConfirmable) {
    mSocket->Send(to, exchange.mAnswer);
    return;
  }
  mAwaitingAck.insert(id);
  SendUntilAcknowledged(
    id, to, exchange.mAnswer, kAnswerRetransmissions, kAnswerTimeout);
}

void
Endpoint::AcknowledgeLater(const ExchangePtr& aExchange)
{
  if (aExchange->mType != coap::Type::Confirmable) {
    return;
  }
  mLoop.After(kAcknowledgeDelay, [this, aExchange] {
    if (aExchange->mAcknowledged || !mSocket) {
      return;
    }
    aExchange->mAcknowledged = true;
    coap::EncodeEmpty(
      coap::Type::Acknowledgement, aExchange->mKey.second, aExchange->mAnswer);
    mSocket->Send(aExchange->mKey.first, aExchange->mAnswer);
  });
}

void
Endpoint::SendUntilAcknowledged(uint16_t aMessageId,
                                const Address& aTo,
                                const std::string& aBytes,
                                int aLeft,
                                Duration aTimeout)
{
  if (!mSocket || mAwaitingAck.count(aMessageId) == 0) {
    return;
  }
  mSocket->Send(aTo, aBytes);
  if (aLeft == 0) {
    mAwaitingAck.erase(aMessageId);
    return;
  }
  mLoop.After(aTimeout, [=] {
    SendUntilAcknowledged(aMessageId, aTo, aBytes, aLeft - 1, aTimeout * 2);
  });
}

microseconds
Endpoint::DrawRunTime(const Exchange& aExchange)
{
  const ServiceTimes& times = mSettings.mTimes;
  std::uniform_real_distribution<> unit(0, 1);
  const bool block = DownloadSize(aExchange.mPath) != 0;
  double factor = mFaults.mSlow * (0.5 + unit(mRandom));
  if (!block && unit(mRandom) < times.mStragglerShare) {
    factor *= times.mStragglerFactor;
  }
  const Duration age = std::chrono::steady_clock::now() - mStarted;
  if (age < times.mColdPeriod) {
    const double warm = std::chrono::duration<double>(age) /
                        std::chrono::duration<double>(times.mColdPeriod);
    factor *= times.mColdFactor + (1 - times.mColdFactor) * warm;
  }
  const microseconds mean = block ? times.mBlock : times.mRequest;
  return microseconds(static_cast<int64_t>(mean.count() * factor));
}

Json
Endpoint::Load()
{
  const TimePoint taken = std::chrono::steady_clock::now() - mFaults.mReportLag;
  size_t inFlight = mRunning.size() + mQueue.size();
  if (mFaults.mReportLag > milliseconds(0)) {
    for (const LoadSample& sample : mSamples) {
      if (sample.mTaken <= taken) {
        inFlight = sample.mInFlight;
      }
    }
  }
  return { { "healthy", true },
           { "draining", mFaults.mDrain },
           { "in_flight", mFaults.mReportedInFlight.value_or(inFlight) },
           { "slots", mSettings.mSlots } };
}

void
Endpoint::Sample()
{
  mSamples.push_back(
    { std::chrono::steady_clock::now(), mRunning.size() + mQueue.size() });
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
  mLoop.After(kSampleInterval, [this] { Sample(); });
}

} // namespace foxtail::standins

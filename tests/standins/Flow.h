#ifndef foxtail_standins_Flow_h
#define foxtail_standins_Flow_h

#include <deque>
#include <memory>
#include <random>
#include <set>

#include "CallerReport.h"
#include "CoapOptions.h"
#include "EventLoop.h"
#include "UdpSocket.h"

namespace foxtail::standins {

// Transmission parameters of callers (RFC 7252 section 4.8) and parameters of
// their requests.
struct CallerSettings
{
  milliseconds mAckTimeout{ 2000 };
  double mAckRandomFactor = 1.5;
  int mMaxRetransmit = 4;
  // How long an acknowledged request waits for its answer.
  milliseconds mAnswerTimeout{ 30'000 };
  // Time from sending to the deadline in the deadline option; without a value
  // the option is not sent.
  std::optional<milliseconds> mDeadline;
  size_t mDownloadBytes = 100'000;
  // Pause between the blocks of a download.
  milliseconds mBlockPause{ 0 };
  // Maximum number of retries of a refused or failed block.
  int mBlockRetries = 5;
  uint32_t mSeed = 1;
};

struct ServiceTarget
{
  std::string mName;
  Address mAddress;
};

// A caller's socket that sends requests to one service, one at a time.
class Flow : public std::enable_shared_from_this<Flow>
{
public:
  using IdleCallback = std::function<void(const std::shared_ptr<Flow>&)>;

  Flow(EventLoop& aLoop,
       CallerReport& aReport,
       const CallerSettings& aSettings,
       const ServiceTarget& aService,
       std::unique_ptr<UdpSocket> aSocket,
       uint16_t aFirstMessageId,
       bool aFresh,
       uint64_t aSerial);
  ~Flow();
  Flow(const Flow&) = delete;
  Flow& operator=(const Flow&) = delete;

  // Starts receiving; aOnIdle is called whenever no request is outstanding or
  // queued any more.
  void Open(IdleCallback aOnIdle);
  void Ask(Kind aKind);
  bool IsIdle() const { return !mCurrent; }
  const Address& Local() const { return mSocket->Local(); }
  // First message id for the next flow on this address, because ids may not be
  // reused within the exchange lifetime.
  uint16_t NextMessageId() const { return mNextMessageId; }
  // Ends the outstanding request without an answer.
  void GiveUp();

private:
  // The outstanding request.
  struct Exchange
  {
    CallerReport::Request mRequest;
    uint64_t mSerial = 0;
    std::string mPath;
    std::string mPairs;
    std::string mEcho;
    TimePoint mStarted;
    // State of the message sent last.
    coap::Token mToken;
    uint16_t mMessageId = 0;
    std::string mDatagram;
    int mRetransmissions = 0;
    bool mAcknowledged = false;
    // State of a download: current block and retries so far.
    uint32_t mBlock = 0;
    int mBlockRetries = 0;
  };

  void Begin(Kind aKind);
  void SendMessage();
  std::string Encode();
  void AddDeadline(Options& aOptions) const;
  void Retransmit(uint64_t aSerial, Duration aTimeout);
  // Runs aStep after aDelay, unless the message is answered earlier.
  void AfterWhileWaiting(Duration aDelay, std::function<void()> aStep);
  void Receive();
  void OnMessage(const coap::Message& aMessage);
  void OnEmpty(const coap::Message& aMessage);
  void OnAnswer(const coap::Message& aMessage);
  void OnContent(const coap::Message& aMessage);
  void OnBlock(const coap::Message& aMessage);
  void OnFailure(const coap::Message& aMessage, Outcome aOutcome);
  bool IsOwnContent(std::string_view aPayload) const;
  bool IsOwnBlock(const coap::Message& aMessage) const;
  void NoteUpstream(const std::string& aUpstream);
  void End(Outcome aOutcome, const std::string& aDetail);

  EventLoop& mLoop;
  CallerReport& mReport;
  const CallerSettings& mSettings;
  ServiceTarget mService;
  std::unique_ptr<UdpSocket> mSocket;
  std::string mName;
  // True when no earlier flow used this local address. A balancer can't tell a
  // new flow on a reused port from the continued earlier flow.
  bool mFresh;
  std::mt19937_64 mRandom;
  IdleCallback mOnIdle;
  uint64_t mSerial = 0;
  uint64_t mRequests = 0;
  uint16_t mNextMessageId;
  std::string mUpstream;
  std::set<uint64_t> mPastTokens;
  std::deque<Kind> mWaiting;
  std::unique_ptr<Exchange> mCurrent;
};

} // namespace foxtail::standins

#endif

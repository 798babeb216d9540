#ifndef foxtail_standins_Endpoint_h
#define foxtail_standins_Endpoint_h

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "AdminServer.h"
#include "CoapOptions.h"
#include "EventLoop.h"
#include "UdpSocket.h"

namespace foxtail::standins {

// Simulated run times of requests at an upstream.
struct ServiceTimes
{
  // Mean run time of an ordinary request and of one block of a download.
  microseconds mRequest{ 20'000 };
  microseconds mBlock{ 2'000 };
  // Share of requests that take mStragglerFactor times longer.
  double mStragglerShare = 0.03;
  double mStragglerFactor = 50;
  // Cold start: requests take mColdFactor times longer right after the start;
  // the factor falls to 1 over mColdPeriod.
  double mColdFactor = 1;
  milliseconds mColdPeriod{ 0 };
};

struct EndpointSettings
{
  std::string mName;
  std::string mService;
  Address mAddress;
  Address mReportAddress;
  size_t mSlots = 3;
  size_t mMaxConnections = 2000;
  // Capacity of the queue for requests that wait for a slot; further requests
  // are shed.
  size_t mQueue = 32;
  ServiceTimes mTimes;
};

// Append-only file with one line of JSON for each run of a request.
class Journal
{
public:
  // Throws SettingsError 101 when the file cannot be opened.
  explicit Journal(const std::string& aPath);

  void Add(const Json& aRun);

private:
  std::ofstream mFile;
};

// Injected faults of an endpoint.
struct EndpointFaults
{
  double mSlow = 1;
  bool mShed = false;
  bool mDrain = false;
  bool mStopped = false;
  // Age of the load that the load endpoint reports.
  milliseconds mReportLag{ 0 };
  // Reported instead of the actual number of requests in flight.
  std::optional<size_t> mReportedInFlight;
};

// Simulated upstream: a CoAP server with a limited number of slots, a bounded
// queue and a load endpoint over HTTP.
class Endpoint
{
public:
  Endpoint(EventLoop& aLoop,
           Journal& aJournal,
           EndpointSettings aSettings,
           uint64_t aSeed);

  const std::string& Name() const { return mSettings.mName; }

  // Sets faults by key: slow, shed, drain, stop, report_lag_ms,
  // reported_in_flight (null restores the actual number). Absent keys keep
  // their value.
  void SetFaults(const Json& aFaults);

  Json Status() const;

private:
  // Source address and message id, which identify a message (RFC 7252 section
  // 4.4).
  using MessageKey = std::pair<Address, uint16_t>;

  enum class State
  {
    Queued,
    Running,
    Done
  };

  // A request, kept from its arrival until its message id may be reused.
  struct Exchange
  {
    MessageKey mKey;
    coap::Type mType = coap::Type::Confirmable;
    coap::Token mToken;
    uint8_t mMethod = 0;
    std::string mPath;
    std::string mRequestId;
    std::string mCaller;
    std::optional<coap::Block> mBlock2;
    std::optional<WallTime> mDeadline;
    State mState = State::Queued;
    bool mAcknowledged = false;
    microseconds mRunTime{ 0 };
    // The response datagram, sent again for duplicates of the request.
    std::string mAnswer;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  struct LoadSample
  {
    TimePoint mTaken;
    size_t mInFlight;
  };

  void Open();
  void Close();
  void Receive();
  void OnMessage(const Address& aFrom, const coap::Message& aMessage);
  void OnRequest(const Address& aFrom, const coap::Message& aMessage);
  void OnDuplicate(const Exchange& aExchange, const coap::Message& aMessage);
  void OnReset(const Address& aFrom, uint16_t aMessageId);
  ExchangePtr AddExchange(const Address& aFrom, const coap::Message& aMessage);
  // Returns why a new request is refused; empty when it is accepted.
  std::string RefusalReason(const Address& aFrom);
  bool TooManyConnections(const Address& aFrom);
  void StartNext();
  void Start(const ExchangePtr& aExchange);
  void Finish(const ExchangePtr& aExchange);
  void Refuse(const ExchangePtr& aExchange, const std::string& aReason);
  void Answer(const ExchangePtr& aExchange);
  void AnswerDownload(const Exchange& aExchange,
                      Options& aOptions,
                      std::string& aPayload) const;
  void Reply(const ExchangePtr& aExchange,
             uint8_t aCode,
             const Options& aOptions,
             std::string_view aPayload);
  void AcknowledgeLater(const ExchangePtr& aExchange);
  void SendUntilAcknowledged(uint16_t aMessageId,
                             const Address& aTo,
                             const std::string& aBytes,
                             int aLeft,
                             Duration aTimeout);
  microseconds DrawRunTime(const Exchange& aExchange);
  Json Load();
  void Sample();

  EventLoop& mLoop;
  Journal& mJournal;
  EndpointSettings mSettings;
  std::mt19937_64 mRandom;
  TimePoint mStarted;
  std::unique_ptr<UdpSocket> mSocket;
  std::unique_ptr<AdminServer> mReport;
  EndpointFaults mFaults;
  std::map<MessageKey, ExchangePtr> mExchanges;
  std::deque<ExchangePtr> mQueue;
  std::set<ExchangePtr> mRunning;
  std::map<Address, TimePoint> mConnections;
  std::set<uint16_t> mAwaitingAck;
  std::deque<LoadSample> mSamples;
  uint16_t mNextMessageId;
  std::map<std::string, uint64_t> mCounters;
};

} // namespace foxtail::standins

#endif

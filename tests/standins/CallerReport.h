#ifndef foxtail_standins_CallerReport_h
#define foxtail_standins_CallerReport_h

#include <array>
#include <map>
#include <string>
#include <vector>

#include "AdminServer.h"
#include "foxtail/core/Time.h"

namespace foxtail::standins {

// Kind of request that a caller sends.
enum class Kind
{
  Lookup,
  Posting,
  Download
};

constexpr size_t kKinds = 3;

const char*
KindName(Kind aKind);

// How a request ended for its caller.
enum class Outcome
{
  Whole,
  // The caller was told that the request was not run.
  Refused,
  // The caller was told to retry; only for idempotent requests, which may have
  // run.
  Retry,
  // The caller was told that the request may have run.
  Unknown,
  // No answer came: retransmissions or the answer time-out were exhausted, the
  // request was reset, or the run ended.
  NoAnswer,
  // The answer belongs to another request or service, has wrong content or an
  // unexpected code.
  Wrong
};

constexpr size_t kOutcomes = 6;

const char*
OutcomeName(Outcome aOutcome);

// Collects the requests that callers sent and their outcomes.
class CallerReport
{
public:
  struct Request
  {
    Kind mKind = Kind::Lookup;
    std::string mId;
    std::string mService;
    // The upstream that answered; empty without an answer.
    std::string mUpstream;
    std::string mDetail;
    int64_t mSentAt = 0;
  };

  void Sent(Kind aKind) { ++mKinds[Index(aKind)].mSent; }
  void Ended(const Request& aRequest, Outcome aOutcome);
  // Records the time from sending a short request to its answer, less its run
  // time at the upstream.
  void Waited(Kind aKind, Duration aWait);
  // Records the first answer on a new flow; aCaller is the caller's address.
  void FlowBound(const Request& aRequest, const std::string& aCaller);
  // Records that a flow bound to upstream aFrom was answered by another one.
  void FlowMoved(const Request& aRequest, const std::string& aFrom);
  // Records that a download failed after it had begun.
  void DownloadBroken(const Request& aRequest, Outcome aOutcome);
  // Counts an event other than an outcome, such as a retransmission or a late
  // answer.
  void Count(const std::string& aWhat) { ++mCounters[aWhat]; }

  Json ToJson() const;

private:
  struct KindReport
  {
    uint64_t mSent = 0;
    std::array<uint64_t, kOutcomes> mOutcomes{};
    std::vector<Duration> mWaits;
  };

  static size_t Index(Kind aKind) { return static_cast<size_t>(aKind); }
  static Json ToJson(const KindReport& aReport);

  std::array<KindReport, kKinds> mKinds;
  std::map<std::string, uint64_t> mCounters;
  // By upstream: when the latest request of a new flow was sent to it (Unix ms)
  // and the caller that sent it.
  std::map<std::string, std::pair<int64_t, std::string>> mLastNewFlow;
  std::map<std::string, uint64_t> mFlows;
  Json mMoved = Json::array();
  Json mBroken = Json::array();
  Json mWrong = Json::array();
  // The outcome of every short request, with its id.
  Json mTold = Json::array();
};

} // namespace foxtail::standins

#endif

#ifndef foxtail_standins_CallerReport_h
#define foxtail_standins_CallerReport_h

#include <array>
#include <map>
#include <string>
#include <vector>

#include "AdminServer.h"
#include "foxtail/core/Time.h"

namespace foxtail::standins {

// What a caller asks for.
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
  // Told that it was not run.
  Refused,
  // Told to ask again; only for idempotent requests, which may have run.
  Retry,
  // Told that it may have run.
  Unknown,
  // Nothing was heard after all retransmissions.
  NoAnswer,
  // The answer of another request, service or content.
  Wrong
};

constexpr size_t kOutcomes = 6;

const char*
OutcomeName(Outcome aOutcome);

// What callers asked and what they were told.
class CallerReport
{
public:
  struct Request
  {
    Kind mKind = Kind::Lookup;
    std::string mId;
    std::string mService;
    // Of the answer, when there was one.
    std::string mUpstream;
    std::string mDetail;
    int64_t mSentAt = 0;
  };

  void Sent(Kind aKind) { ++mKinds[Index(aKind)].mSent; }
  void Ended(const Request& aRequest, Outcome aOutcome);
  // Time that a short request spent anywhere but running.
  void Waited(Kind aKind, Duration aWait);
  // The first answer of a new flow, aCaller being its address.
  void FlowBound(const Request& aRequest, const std::string& aCaller);
  // Another upstream answers on a flow that had one.
  void FlowMoved(const Request& aRequest, const std::string& aFrom);
  // A download that had begun did not come to its end.
  void DownloadBroken(const Request& aRequest, Outcome aOutcome);
  // Counts what is no outcome: retransmissions, late answers and the like.
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
  // By upstream: when and by whom it was last asked on a new flow.
  std::map<std::string, std::pair<int64_t, std::string>> mLastNewFlow;
  std::map<std::string, uint64_t> mFlows;
  Json mMoved = Json::array();
  Json mBroken = Json::array();
  Json mWrong = Json::array();
  // Every short request by id: what was told.
  Json mTold = Json::array();
};

} // namespace foxtail::standins

#endif

#ifndef foxtail_agent_LoadTable_h
#define foxtail_agent_LoadTable_h

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "foxtail/config/Model.h"
#include "foxtail/core/Time.h"
#include "foxtail/net/PeerMessages.h"

namespace foxtail::agent {

// One poll of one upstream's load endpoint.
struct LoadPoll
{
  uint32_t mUpstream = 0;
  Address mAddress;
};

// Schedules the polls of load endpoints and stores their reports. The poll rate
// is constant, so that the cost of polling does not grow with the number of
// upstreams; instead, reports get older, and each carries its age.
class LoadTable
{
public:
  // Time between two polls.
  static constexpr milliseconds kPollPeriod{ 250 };
  // Older reports are removed.
  static constexpr seconds kMaxAge{ 60 };
  // Maximum size of a report in bytes; larger ones are dropped.
  static constexpr size_t kMaxReportSize = 1024;
  // Maximum count of requests or slots in a report; reports with greater counts
  // are implausible.
  static constexpr uint32_t kMaxReportedCount = 1000000;

  explicit LoadTable(uint64_t aSeed);

  // Sets the upstreams of the configuration in force and removes the reports of
  // others.
  void SetUpstreams(const config::Snapshot& aSnapshot);

  // Returns the next endpoint to poll; empty when no poll is due.
  std::optional<LoadPoll> NextPoll(TimePoint aNow);

  // Time from which NextPoll can return a poll again.
  TimePoint NextPollAt() const { return mNextPollAt; }

  // Adds the answer to a poll that was sent at aAsked. Throws PlatformError 830
  // when the answer is not a load report, 831 when a count in it is
  // implausible.
  void AddReport(TimePoint aAsked, uint32_t aUpstream, std::string_view aBody);

  // A report. mSerial increases with each report that arrives.
  struct Report
  {
    net::UpstreamLoad mLoad;
    TimePoint mPolledAt;
    uint64_t mSerial = 0;
  };

  // Returns the reports that arrived after the one with serial number aAfter,
  // with their ages at aNow. Removes reports older than kMaxAge.
  std::vector<net::UpstreamLoad> ReportsAfter(TimePoint aNow, uint64_t aAfter);

  // Serial number of the latest report; zero before the first one.
  uint64_t LastSerial() const { return mLastSerial; }

private:
  std::mt19937_64 mRandom;
  std::vector<LoadPoll> mPolls;
  size_t mNextIndex = 0;
  TimePoint mNextPollAt;
  std::map<uint32_t, Report> mReports;
  uint64_t mLastSerial = 0;
};

} // namespace foxtail::agent

#endif

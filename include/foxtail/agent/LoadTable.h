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

// Which load endpoint is polled when, and what they said. Polls are spread over
// all upstreams at a constant rate, so that their cost does not grow with the
// number of upstreams; reports grow older instead and say so.
class LoadTable
{
public:
  static constexpr milliseconds kPollPeriod{ 250 };
  // Older reports are forgotten.
  static constexpr seconds kMaxAge{ 60 };
  // Longer answers of an endpoint are dropped; bytes.
  static constexpr size_t kMaxReportSize = 1024;
  // More requests than this at one upstream are no true figure.
  static constexpr uint32_t kMaxInFlight = 1000000;

  explicit LoadTable(uint64_t aSeed);

  // The upstreams of the configuration in force.
  void SetUpstreams(const config::Snapshot& aSnapshot);

  // The endpoint whose turn it is; empty when none is due yet.
  std::optional<LoadPoll> NextPoll(TimePoint aNow);

  // When Next may give a poll again.
  TimePoint NextPollAt() const { return mNextPollAt; }

  // Takes the answer to a poll that was sent at aAsked. Throws PlatformError
  // 830 when it is no load report, 831 when a figure in it cannot be true.
  void AddReport(TimePoint aAsked, uint32_t aUpstream, std::string_view aBody);

  // A report and its place in the order of arrival.
  struct Report
  {
    net::UpstreamLoad mLoad;
    TimePoint mPolledAt;
    uint64_t mSerial = 0;
  };

  // Reports that arrived after the one with serial number aAfter, with their
  // ages at aNow. Forgets the old ones.
  std::vector<net::UpstreamLoad> ReportsAfter(TimePoint aNow, uint64_t aAfter);

  // Serial number of the last report; zero before the first.
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

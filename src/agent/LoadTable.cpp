#include "foxtail/agent/LoadTable.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

#include "foxtail/core/Error.h"

namespace foxtail::agent {

namespace {

using nlohmann::json;

bool
ReadFlag(const json& aReport, const char* aKey)
{
  const auto it = aReport.find(aKey);
  if (it == aReport.end() || !it->is_boolean()) {
    throw PlatformError(830, aKey, "expected true or false");
  }
  return it->get<bool>();
}

uint32_t
ReadCount(const json& aReport, const char* aKey)
{
  const auto it = aReport.find(aKey);
  if (it == aReport.end() || !it->is_number_unsigned()) {
    throw PlatformError(830, aKey, "expected a non-negative integer");
  }
  const uint64_t count = it->get<uint64_t>();
  if (count > LoadTable::kMaxReportedCount) {
    throw PlatformError(831, aKey, absl::StrCat("implausible count: ", count));
  }
  return static_cast<uint32_t>(count);
}

} // namespace

LoadTable::LoadTable(uint64_t aSeed)
  : mRandom(aSeed)
{
}

void
LoadTable::SetUpstreams(const config::Snapshot& aSnapshot)
{
  std::set<uint32_t> known;
  mPolls.clear();
  for (const config::Upstream& it : aSnapshot.mUpstreams) {
    known.insert(it.mId);
    if (it.mReportAddress.mPort != 0) {
      mPolls.push_back({ it.mId, it.mReportAddress });
    }
  }
  // Each agent uses a random order, so that the agents do not all poll an
  // upstream at the same time.
  std::shuffle(mPolls.begin(), mPolls.end(), mRandom);
  mNextIndex = 0;
  for (auto it = mReports.begin(); it != mReports.end();) {
    it = known.count(it->first) != 0 ? std::next(it) : mReports.erase(it);
  }
}

std::optional<LoadPoll>
LoadTable::NextPoll(TimePoint aNow)
{
  if (mPolls.empty() || aNow < mNextPollAt) {
    return std::nullopt;
  }
  mNextPollAt = aNow + kPollPeriod;
  mNextIndex = (mNextIndex + 1) % mPolls.size();
  return mPolls[mNextIndex];
}

void
LoadTable::AddReport(TimePoint aAsked,
                     uint32_t aUpstream,
                     std::string_view aBody)
{
  if (aBody.size() > kMaxReportSize) {
    throw PlatformError(830, "load report", "exceeds the maximum size");
  }
  const json report = json::parse(aBody, nullptr, false);
  if (!report.is_object()) {
    throw PlatformError(830, "load report", "not a JSON object");
  }
  net::UpstreamLoad load;
  load.mUpstream = aUpstream;
  load.mHealthy = ReadFlag(report, "healthy");
  load.mDraining = ReadFlag(report, "draining");
  load.mInFlight = ReadCount(report, "in_flight");
  // The slots are only validated; the configured number is used.
  ReadCount(report, "slots");
  mReports[aUpstream] = { load, aAsked, ++mLastSerial };
}

std::vector<net::UpstreamLoad>
LoadTable::ReportsAfter(TimePoint aNow, uint64_t aAfter)
{
  std::vector<net::UpstreamLoad> loads;
  for (auto it = mReports.begin(); it != mReports.end();) {
    const Report& report = it->second;
    if (aNow - report.mPolledAt > kMaxAge) {
      it = mReports.erase(it);
      continue;
    }
    if (report.mSerial > aAfter) {
      loads.push_back(report.mLoad);
      loads.back().mAge =
        std::chrono::duration_cast<milliseconds>(aNow - report.mPolledAt);
    }
    ++it;
  }
  return loads;
}

} // namespace foxtail::agent

#include "CallerReport.h"

#include <algorithm>

#include "Clock.h"

namespace foxtail::standins {

namespace {

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

// Returns the aShare quantile of the sorted values, in milliseconds; zero when
// there are none.
double
Quantile(const std::vector<Duration>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto at = static_cast<size_t>(aShare * (aSorted.size() - 1));
  return Milliseconds(aSorted[at]);
}

} // namespace

const char*
KindName(Kind aKind)
{
  constexpr const char* kNames[] = { "lookup", "posting", "download" };
  return kNames[static_cast<size_t>(aKind)];
}

const char*
OutcomeName(Outcome aOutcome)
{
  constexpr const char* kNames[] = { "whole",   "refused",   "retry",
                                     "unknown", "no_answer", "wrong" };
  return kNames[static_cast<size_t>(aOutcome)];
}

void
CallerReport::Ended(const Request& aRequest, Outcome aOutcome)
{
  ++mKinds[Index(aRequest.mKind)].mOutcomes[static_cast<size_t>(aOutcome)];
  const Json entry{ { "id", aRequest.mId },
                    { "kind", KindName(aRequest.mKind) },
                    { "service", aRequest.mService },
                    { "upstream", aRequest.mUpstream },
                    { "told", OutcomeName(aOutcome) },
                    { "detail", aRequest.mDetail },
                    { "sent_ms", aRequest.mSentAt },
                    { "ended_ms", WallMilliseconds() } };
  if (aRequest.mKind != Kind::Download) {
    mTold.push_back(entry);
  }
  if (aOutcome == Outcome::Wrong) {
    mWrong.push_back(entry);
  }
}

void
CallerReport::Waited(Kind aKind, Duration aWait)
{
  mKinds[Index(aKind)].mWaits.push_back(aWait);
}

void
CallerReport::FlowBound(const Request& aRequest, const std::string& aCaller)
{
  ++mFlows[aRequest.mUpstream];
  auto& last = mLastNewFlow[aRequest.mUpstream];
  last = std::max(last, { aRequest.mSentAt, aCaller });
}

void
CallerReport::FlowMoved(const Request& aRequest, const std::string& aFrom)
{
  mMoved.push_back({ { "id", aRequest.mId },
                     { "kind", KindName(aRequest.mKind) },
                     { "service", aRequest.mService },
                     { "from", aFrom },
                     { "to", aRequest.mUpstream },
                     { "sent_ms", aRequest.mSentAt },
                     { "ended_ms", WallMilliseconds() } });
}

void
CallerReport::DownloadBroken(const Request& aRequest, Outcome aOutcome)
{
  mBroken.push_back({ { "id", aRequest.mId },
                      { "service", aRequest.mService },
                      { "upstream", aRequest.mUpstream },
                      { "told", OutcomeName(aOutcome) },
                      { "detail", aRequest.mDetail },
                      { "ended_ms", WallMilliseconds() } });
}

Json
CallerReport::ToJson(const KindReport& aReport)
{
  std::vector<Duration> waits = aReport.mWaits;
  std::sort(waits.begin(), waits.end());
  Json json{ { "sent", aReport.mSent },
             { "wait_p50_ms", Quantile(waits, 0.5) },
             { "wait_p99_ms", Quantile(waits, 0.99) } };
  for (size_t i = 0; i < kOutcomes; ++i) {
    json[OutcomeName(static_cast<Outcome>(i))] = aReport.mOutcomes[i];
  }
  return json;
}

Json
CallerReport::ToJson() const
{
  Json kinds;
  for (size_t i = 0; i < kKinds; ++i) {
    kinds[KindName(static_cast<Kind>(i))] = ToJson(mKinds[i]);
  }
  Json lastNewFlow = Json::object();
  for (const auto& [upstream, last] : mLastNewFlow) {
    lastNewFlow[upstream] = { { "sent_ms", last.first },
                              { "caller", last.second } };
  }
  return { { "kinds", kinds },
           { "counters", mCounters },
           { "flows_by_upstream", mFlows },
           { "last_new_flow", lastNewFlow },
           { "moved_flows", mMoved },
           { "broken_downloads", mBroken },
           { "wrong", mWrong },
           { "told", mTold } };
}

} // namespace foxtail::standins

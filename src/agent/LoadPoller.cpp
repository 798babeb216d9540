#include "foxtail/agent/LoadPoller.h"

#include <chrono>
#include <string>

#include "httplib.h"

namespace foxtail::agent {

namespace {

constexpr milliseconds kIdleDelay{ 50 };
constexpr char kLoadPath[] = "/load";
// Estimated sizes of request line or status line with the usual headers,
// because the HTTP library does not report the bytes that it sent and received.
constexpr size_t kSentHeaderBytes = 110;
constexpr size_t kReceivedHeaderBytes = 120;

} // namespace

LoadPoller::LoadPoller(SharedCore& aCore, daemon::Metrics& aMetrics)
  : mCore(aCore)
  , mMetrics(aMetrics)
{
}

void
LoadPoller::Run(const daemon::StopToken& aStop)
{
  while (!aStop.IsRequested()) {
    const std::optional<LoadPoll> poll = mCore.With(
      [](AgentCore& c, TimePoint aNow) { return c.Loads().NextPoll(aNow); });
    if (poll) {
      Poll(*poll);
    } else {
      aStop.WaitFor(kIdleDelay);
    }
  }
}

void
LoadPoller::Poll(const LoadPoll& aPoll)
{
  const TimePoint asked = std::chrono::steady_clock::now();
  httplib::Client client(aPoll.mAddress.IpString(), aPoll.mAddress.mPort);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kAnswerTimeout);
  client.set_write_timeout(kAnswerTimeout);
  std::string body;
  const auto appendChunk = [&](const char* aData, size_t aLength) {
    body.append(aData, aLength);
    return body.size() <= LoadTable::kMaxReportSize;
  };
  const httplib::Result result = client.Get(kLoadPath, appendChunk);
  CountBytes("sent", kSentHeaderBytes);
  // A report that is too long aborts the transfer; the core counts and drops
  // it. An endpoint that does not answer with status 200 is skipped.
  const bool tooLong = body.size() > LoadTable::kMaxReportSize;
  if (!tooLong && (!result || result->status != 200)) {
    return;
  }
  CountBytes("received", kReceivedHeaderBytes + body.size());
  mCore.With(
    [&](AgentCore& c, TimePoint) { c.OnLoadReport(asked, aPoll, body); });
}

void
LoadPoller::CountBytes(const char* aDirection, size_t aBytes)
{
  mMetrics
    .Counter("foxtail_control_bytes_total",
             "Control traffic by kind, without IP headers.",
             { { "kind", "load_report" }, { "direction", aDirection } })
    .Increment(static_cast<double>(aBytes));
}

} // namespace foxtail::agent

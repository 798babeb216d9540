#include <benchmark/benchmark.h>

#include <cstdlib>
#include <malloc.h>
#include <string>
#include <vector>

#include "foxtail/requests/RequestTable.h"

using namespace foxtail;
using namespace foxtail::requests;

namespace {

const Address kService{ 0x7F000009, 5683 };
const Address kUpstream{ 0x7F000014, 5683 };
const TimePoint kNow{ seconds(1000) };

// Makes a confirmable request of 64 bytes with a Uri-Path and a payload.
std::string
MakeRequest(uint8_t aCode, uint16_t aMessageId)
{
  std::string out("\x41\x00\x00\x00"
                  "a\xB3pay\xFF",
                  10);
  out[1] = static_cast<char>(aCode);
  out[2] = static_cast<char>(aMessageId >> 8);
  out[3] = static_cast<char>(aMessageId & 0xFF);
  out.append(54, '5');
  return out;
}

FlowKey
Flow(uint32_t aNumber)
{
  return { Address{ 0x0A000000 + aNumber, 4000 }, kService };
}

RequestSettings
Settings()
{
  RequestSettings settings;
  settings.mEcho.mIncarnation = 7;
  settings.mMaxRequests = 1U << 20;
  settings.mMaxBytes = 1U << 30;
  return settings;
}

// An idempotent request from arrival to answer, while finished requests are
// removed at the same rate.
void
AnswerIdempotent(benchmark::State& aState)
{
  RequestTable table(Settings());
  const std::string bytes = MakeRequest(coap::kGet, 1);
  const coap::Message request = coap::Decode(bytes);
  std::string reply;
  TimePoint now = kNow;
  uint32_t n = 0;
  for (auto _ : aState) {
    now += microseconds(200);
    const auto action = table.OnRequest(
      Flow(++n), request, EchoIssuerPresence::Absent, now, now + seconds(30));
    const uint32_t serial = std::get<StartRequest>(action).mSerial;
    const auto sent = table.Send(serial, kUpstream, now);
    // Simulated answer of the upstream: header and token of the request, no
    // payload.
    reply.assign(sent->substr(0, 12));
    reply[0] = 0x68;
    reply[1] = coap::kContent;
    benchmark::DoNotOptimize(
      table.OnUpstream(kUpstream, coap::Decode(reply), now));
  }
}
BENCHMARK(AnswerIdempotent);

// A posting from its first datagram to its answer, with the 4.01 challenge in
// between.
void
AnswerPosting(benchmark::State& aState)
{
  RequestTable table(Settings());
  const std::string plain = MakeRequest(coap::kPost, 1);
  const coap::Message first = coap::Decode(plain);
  // The same request with an Echo option of 40 bytes before the payload.
  constexpr size_t kEchoAt = 12;
  std::string repeated = plain;
  repeated.insert(9, std::string("\xDD\xE4\x1B", 3) + std::string(40, 0));
  std::string reply;
  TimePoint now = kNow;
  uint32_t n = 0;
  for (auto _ : aState) {
    now += milliseconds(5);
    const FlowKey flow = Flow(++n);
    const TimePoint deadline = now + seconds(30);
    const auto challenge =
      table.OnRequest(flow, first, EchoIssuerPresence::Absent, now, deadline);
    const coap::Message answer =
      coap::Decode(std::get<Challenge>(challenge).mBytes);
    repeated.replace(kEchoAt, kEchoValueSize, *answer.mEcho);
    const auto action = table.OnRequest(
      flow, coap::Decode(repeated), EchoIssuerPresence::Absent, now, deadline);
    const uint32_t serial = std::get<StartRequest>(action).mSerial;
    const auto sent = table.Send(serial, kUpstream, now);
    reply.assign(sent->substr(0, 12));
    reply[0] = 0x68;
    reply[1] = coap::kContent;
    benchmark::DoNotOptimize(
      table.OnUpstream(kUpstream, coap::Decode(reply), now));
  }
}
BENCHMARK(AnswerPosting);

// The 4.01 response to a posting without an Echo value.
void
ChallengePosting(benchmark::State& aState)
{
  RequestTable table(Settings());
  const std::string bytes = MakeRequest(coap::kPost, 1);
  const coap::Message request = coap::Decode(bytes);
  const FlowKey flow = Flow(1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.OnRequest(
      flow, request, EchoIssuerPresence::Absent, kNow, kNow + seconds(30)));
  }
}
BENCHMARK(ChallengePosting);

// A duplicate of a running request.
void
RecogniseDuplicate(benchmark::State& aState)
{
  RequestTable table(Settings());
  const std::string bytes = MakeRequest(coap::kGet, 1);
  const coap::Message request = coap::Decode(bytes);
  const FlowKey flow = Flow(1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.OnRequest(
      flow, request, EchoIssuerPresence::Absent, kNow, kNow + seconds(30)));
  }
}
BENCHMARK(RecogniseDuplicate);

// Heap bytes of one open request of 64 bytes, including the indexes.
void
OpenRequestMemory(benchmark::State& aState)
{
  const std::string bytes = MakeRequest(coap::kGet, 1);
  const coap::Message request = coap::Decode(bytes);
  const auto count = static_cast<uint32_t>(aState.range(0));
  double perRequest = 0;
  for (auto _ : aState) {
    RequestTable table(Settings());
    const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (uint32_t i = 0; i < count; ++i) {
      table.OnRequest(
        Flow(i), request, EchoIssuerPresence::Absent, kNow, kNow + seconds(30));
    }
    const size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    perRequest = static_cast<double>(after - before) / count;
  }
  aState.counters["bytes_per_request"] = perRequest;
}
BENCHMARK(OpenRequestMemory)
  ->Arg(1000)
  ->Arg(10000)
  ->Arg(100000)
  ->Unit(benchmark::kMillisecond);

} // namespace

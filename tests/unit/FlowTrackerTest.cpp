#include <catch2/catch.hpp>

#include "foxtail/flow/FlowTracker.h"

using namespace foxtail;
using namespace foxtail::flow;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };
const FlowKey kKey{ { 1, 1024 }, { 9, 80 } };
constexpr Cookie kUpstream = 7;

Packet
MakePacket(uint32_t aAcknowledgement, uint32_t aLength, bool aFinishes = false)
{
  Packet packet;
  packet.mKey = kKey;
  packet.mHasAck = true;
  packet.mAcknowledgement = aAcknowledgement;
  packet.mPayloadLength = aLength;
  packet.mHasFin = aFinishes;
  packet.mCookie = kUpstream;
  return packet;
}

struct PassCase
{
  const char* mName;
  std::vector<Packet> mPackets;
  uint32_t mHeld;
};

} // namespace

TEST_CASE("A slot is held from the placement to the first answer",
          "[flow][ledger]")
{
  const auto it = GENERATE(values<PassCase>({
    { "placed", {}, 1 },
    { "confirmed with its request", { MakePacket(50, 100) }, 1 },
    { "answered", { MakePacket(50, 100), MakePacket(1050, 0) }, 0 },
    { "ended without an answer", { MakePacket(50, 100, true) }, 0 },
    { "a second request on the flow",
      { MakePacket(50, 100), MakePacket(1050, 0), MakePacket(1050, 100) },
      1 },
    { "its request comes again",
      { MakePacket(50, 100), MakePacket(50, 100), MakePacket(50, 100) },
      1 },
    { "acknowledgements wrap",
      { MakePacket(0xFFFFFFF0, 100), MakePacket(0x10, 0) },
      0 },
    { "an old acknowledgement",
      { MakePacket(500, 100), MakePacket(400, 0) },
      1 },
  }));
  INFO(it.mName);
  FlowTracker tracker;
  tracker.Place(kStart, kKey, kUpstream);
  TimePoint now = kStart;
  for (const Packet& packet : it.mPackets) {
    tracker.Pass(now += 10ms, packet, kUpstream);
  }
  CHECK(tracker.Held(kUpstream) == it.mHeld);
}

TEST_CASE("Flows that move here are counted when a request passes",
          "[flow][ledger]")
{
  FlowTracker tracker;
  tracker.Pass(kStart, MakePacket(50, 0), kUpstream);
  CHECK(tracker.Held(kUpstream) == 0);
  tracker.Pass(kStart, MakePacket(50, 100), kUpstream);
  CHECK(tracker.Held(kUpstream) == 1);
  tracker.Pass(kStart, MakePacket(50, 100), kUpstream);
  CHECK(tracker.Held(kUpstream) == 1);
}

TEST_CASE("Silent flows are forgotten", "[flow][ledger]")
{
  FlowTracker tracker;
  tracker.Place(kStart, kKey, kUpstream);
  CHECK_FALSE(tracker.Expire(kStart + tracker.BusySilence() - 1ms).mReleased);
  CHECK(tracker.Held(kUpstream) == 1);
  CHECK(tracker.Expire(kStart + tracker.BusySilence()).mReleased);
  CHECK(tracker.Held(kUpstream) == 0);
  CHECK(tracker.Flows() == 0);
}

TEST_CASE("Times of handshake and answer are told once", "[flow][ledger]")
{
  FlowTracker tracker;
  tracker.Place(kStart, kKey, kUpstream);
  const auto first = tracker.Pass(kStart + 8ms, MakePacket(50, 100), kUpstream);
  REQUIRE(first.mHandshake);
  CHECK(*first.mHandshake == 8ms);
  CHECK_FALSE(first.mAnswer);
  const auto second =
    tracker.Pass(kStart + 70ms, MakePacket(1050, 0), kUpstream);
  CHECK_FALSE(second.mHandshake);
  REQUIRE(second.mAnswer);
  CHECK(*second.mAnswer == 62ms);
  CHECK(second.mReleased);
  const auto third =
    tracker.Pass(kStart + 80ms, MakePacket(2050, 0), kUpstream);
  CHECK_FALSE(third.mAnswer);
}

TEST_CASE("A request without an answer is told once", "[flow][ledger]")
{
  FlowTracker tracker;
  tracker.Place(kStart, kKey, kUpstream);
  tracker.Pass(kStart + 5ms, MakePacket(1, 100), kUpstream);
  const Duration silence = tracker.BusySilence();
  const TimePoint silent = kStart + 5ms + silence;
  const FlowTracker::Expired released = tracker.Expire(silent);
  CHECK(released.mReleased);
  CHECK(released.mUnanswered.empty());
  CHECK(tracker.Held(kUpstream) == 0);

  SECTION("after a time in which nearly all answers come")
  {
    const TimePoint overdue = kStart + 5ms + tracker.OverdueTime();
    CHECK(tracker.Expire(overdue - 1ms).mUnanswered.empty());
    CHECK(tracker.Expire(overdue).mUnanswered ==
          std::vector<Cookie>{ kUpstream });
    CHECK(tracker.Expire(overdue + 1s).mUnanswered.empty());
  }
  SECTION("but not when the answer is merely late")
  {
    const FlowProgress progress =
      tracker.Pass(silent + 1ms, MakePacket(900, 0, true), kUpstream);
    REQUIRE(progress.mAnswer);
    CHECK_FALSE(progress.mReleased);
    REQUIRE(progress.mWhole);
    CHECK(progress.mWhole->mBytes == 899);
    CHECK(progress.mWhole->mWork == silence - 4ms);
    CHECK(tracker.Expire(kStart + 10s).mUnanswered.empty());
  }
}

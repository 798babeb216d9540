#include <catch2/catch.hpp>

#include "foxtail/requests/EchoIssuer.h"

using namespace foxtail;
using namespace foxtail::requests;

namespace {

const FlowKey kFlow{ Address{ 1, 4000 }, Address{ 9, 5683 } };
const FlowKey kOtherFlow{ Address{ 2, 4000 }, Address{ 9, 5683 } };
constexpr uint64_t kDigest = 77;
constexpr seconds kValidity{ 15 };
constexpr uint32_t kWindow = 4;
const TimePoint kStart{ seconds(1000) };

EchoSettings
Settings(Incarnation aIncarnation, uint8_t aKey)
{
  EchoSettings settings;
  settings.mIncarnation = aIncarnation;
  settings.mKey = { aKey };
  settings.mValidity = kValidity;
  settings.mWindowSize = kWindow;
  return settings;
}

// A value as the caller returns it, and what changed since it was issued.
struct EchoCase
{
  std::string mName;
  EchoVerdict mVerdict;
  FlowKey mFlow = kFlow;
  uint64_t mDigest = kDigest;
  // Time since the issue.
  Duration mAge{ 0 };
  // Index of the byte that is changed; negative for none.
  int mChangedByte = -1;
  size_t mLength = kEchoValueSize;
  // Number of values issued after this one.
  int mIssuedLater = 0;
  EchoState mState = EchoState::Unused;
};

} // namespace

TEST_CASE("Check finds forged, foreign, expired and used Echo values", "[echo]")
{
  using V = EchoVerdict;
  const EchoCase c = GENERATE(values<EchoCase>({
    { "returned at once", V::Unused },
    { "just valid", V::Unused, kFlow, kDigest, kValidity - seconds(1) },
    { "just expired", V::Expired, kFlow, kDigest, kValidity },
    { "other flow", V::OtherFlow, kOtherFlow },
    { "other request", V::OtherRequest, kFlow, kDigest + 1 },
    { "other incarnation", V::Forged, kFlow, kDigest, {}, 7 },
    { "counter changed", V::Forged, kFlow, kDigest, {}, 15 },
    { "time changed", V::Forged, kFlow, kDigest, {}, 23 },
    { "flow tag changed", V::Forged, kFlow, kDigest, {}, 24 },
    { "request tag changed", V::Forged, kFlow, kDigest, {}, 31 },
    { "MAC changed", V::Forged, kFlow, kDigest, {}, 39 },
    { "cut short", V::Forged, kFlow, kDigest, {}, -1, kEchoValueSize - 1 },
    { "empty", V::Forged, kFlow, kDigest, {}, -1, 0 },
    { "last tracked", V::Unused, kFlow, kDigest, {}, -1, 40, kWindow - 1 },
    { "untracked", V::Untracked, kFlow, kDigest, {}, -1, 40, kWindow },
    { "started",
      V::Started,
      kFlow,
      kDigest,
      {},
      -1,
      40,
      0,
      EchoState::Started },
    { "started and expired",
      V::Started,
      kFlow,
      kDigest,
      kValidity,
      -1,
      40,
      0,
      EchoState::Started },
    { "revoked",
      V::Revoked,
      kFlow,
      kDigest,
      {},
      -1,
      40,
      0,
      EchoState::Revoked },
  }));
  INFO(c.mName);
  EchoIssuer issuer(Settings(7, 1));
  EchoBytes value = issuer.Issue(kFlow, kDigest, kStart);
  if (c.mState != EchoState::Unused) {
    issuer.SetState(0, c.mState);
  }
  for (int i = 0; i < c.mIssuedLater; ++i) {
    issuer.Issue(kFlow, kDigest, kStart);
  }
  if (c.mChangedByte >= 0) {
    value[c.mChangedByte] ^= 1;
  }
  const EchoCheck check = issuer.Check(
    { value.data(), c.mLength }, c.mFlow, c.mDigest, kStart + c.mAge);
  CHECK(check.mVerdict == c.mVerdict);
}

TEST_CASE("Only the issuer's key makes a genuine value", "[echo]")
{
  EchoIssuer issuer(Settings(7, 1));
  EchoIssuer forger(Settings(7, 2));
  const EchoBytes forged = forger.Issue(kFlow, kDigest, kStart);
  const std::string_view value(forged.data(), forged.size());
  CHECK(ParseEchoIncarnation(value) == 7);
  CHECK(issuer.Check(value, kFlow, kDigest, kStart).mVerdict ==
        EchoVerdict::Forged);
}

TEST_CASE("HasUnused is false once values are used, revoked or expired",
          "[echo]")
{
  EchoIssuer issuer(Settings(7, 1));
  CHECK_FALSE(issuer.HasUnused(kStart));
  issuer.Issue(kFlow, kDigest, kStart);
  issuer.Issue(kFlow, kDigest, kStart);
  SECTION("used or revoked")
  {
    issuer.SetState(0, EchoState::Started);
    CHECK(issuer.HasUnused(kStart));
    issuer.SetState(1, EchoState::Revoked);
    CHECK_FALSE(issuer.HasUnused(kStart));
  }
  SECTION("expired")
  {
    CHECK(issuer.HasUnused(kStart + kValidity - seconds(1)));
    CHECK_FALSE(issuer.HasUnused(kStart + kValidity));
  }
  SECTION("untracked values don't count")
  {
    for (uint32_t i = 0; i < kWindow; ++i) {
      issuer.Issue(kFlow, kDigest, kStart);
    }
    for (uint64_t i = 2; i < 2 + kWindow; ++i) {
      issuer.SetState(i, EchoState::Revoked);
    }
    CHECK_FALSE(issuer.HasUnused(kStart));
  }
}

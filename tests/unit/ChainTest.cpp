#include <catch2/catch.hpp>

#include <array>
#include <random>

#include "foxtail/config/Chain.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"
#include "foxtail/core/Hash.h"
#include "unit/Sample.h"

using namespace foxtail;
using namespace foxtail::config;
using nlohmann::json;
using test::ErrorOf;
using test::MakeDocument;

namespace {

json
Entry(uint64_t aAgainst, const json& aPatch)
{
  return { { "against", aAgainst }, { "patch", aPatch } };
}

json
SetTimeout(size_t aService, int aTimeout)
{
  return json::array(
    { { { "op", "replace" },
        { "path", absl::StrCat("/services/", aService, "/timeout_ms") },
        { "value", aTimeout } } });
}

Base
FirstBase()
{
  return { { { 1, 0xabc }, 0 }, MakeDocument(3, 2) };
}

// A chain that has accepted FirstBase() and aCount patches after it.
Chain
ChainAfter(int aCount)
{
  Chain chain;
  chain.Offer(FirstBase());
  for (int it = 0; it < aCount; ++it) {
    const auto position = static_cast<uint64_t>(it);
    chain.Offer(
      PatchList{ position, { Entry(position + 1, SetTimeout(0, 100 + it)) } });
  }
  return chain;
}

// The state that a naive replay of the published patches in order reaches at
// one position. The tests compare the chain with it.
struct ReplayedState
{
  ChainPoint mPoint;
  json mDocument;
};

ReplayedState
ReplayEntry(const ReplayedState& aBefore, const json& aEntry)
{
  ReplayedState after = aBefore;
  ++after.mPoint.mPosition;
  try {
    if (aEntry.size() == 2 &&
        aEntry.at("against") == aBefore.mPoint.mVersion.mNumber) {
      const json patched = aBefore.mDocument.patch(aEntry.at("patch"));
      ParseDocument(patched, {});
      after.mDocument = patched;
      Version& version = after.mPoint.mVersion;
      version = { version.mNumber + 1,
                  StableHash(aEntry.dump(), version.mDigest) };
    }
  } catch (const std::exception&) {
    // The entry is refused, and only the position advances.
  }
  return after;
}

// All published entries, and the expected state at each position.
struct PublishedHistory
{
  std::vector<json> mEntries;
  std::vector<ReplayedState> mStates;

  PublishedHistory()
  {
    mStates.push_back({ FirstBase().mPoint, FirstBase().mConfig });
  }

  void Publish(const json& aEntry)
  {
    mEntries.push_back(aEntry);
    mStates.push_back(ReplayEntry(mStates.back(), aEntry));
  }

  Base BaseAt(size_t aPosition) const
  {
    const ReplayedState& state = mStates[aPosition];
    return { state.mPoint, state.mDocument };
  }

  PatchList PatchesBetween(size_t aFirst, size_t aEnd) const
  {
    const auto at = [&](size_t n) {
      return mEntries.begin() + static_cast<ptrdiff_t>(n);
    };
    return { aFirst, { at(aFirst), at(aEnd) } };
  }
};

// A naive replica that puts the last offer in force, whatever it holds. The
// test below checks that CountViolations detects its faults.
class LastOfferReplica
{
public:
  const ChainPoint& Point() const { return mState.mPoint; }
  const json& Json() const { return mState.mDocument; }
  void Offer(const Base& aBase) { mState = { aBase.mPoint, aBase.mConfig }; }
  void Offer(const PatchList& aPatches)
  {
    for (const json& it : aPatches.mEntries) {
      mState = ReplayEntry(mState, it);
    }
  }
  void Offer(const ChainAnswer& aAnswer)
  {
    if (!aAnswer.mDocument.empty()) {
      mState = { aAnswer.mPoint, json::parse(aAnswer.mDocument) };
    }
  }
  ChainAnswer Answer(const ChainPoint&) const
  {
    return { mState.mPoint, mState.mDocument.dump(), {} };
  }

private:
  ReplayedState mState;
};

class ChainReplica : public Chain
{
public:
  const json& Json() const { return CurrentDocument().ToJson(); }
};

// Delivers published bases and patches to four replicas in a random way: late,
// lost, duplicated or stale, from the platform and from other replicas, with
// restarts. Returns how often a replica went back to an older point, held a
// state other than that of an in-order replay, or did not reach the last point
// after a complete delivery at the end.
template<typename Replica>
int
CountViolations(uint32_t aSeed, int aRounds)
{
  std::mt19937 random(aSeed);
  const auto below = [&](size_t n) { return random() % n; };
  PublishedHistory published;
  std::array<Replica, 4> replicas;
  std::vector<ChainAnswer> inFlight(1);
  int violations = 0;
  for (int round = 0; round < aRounds; ++round) {
    const size_t end = published.mEntries.size();
    Replica& replica = replicas[below(replicas.size())];
    const ChainPoint before = replica.Point();
    bool restarted = false;
    switch (below(8)) {
      case 0: {
        // Operators publish concurrently: some entries are written against an
        // old version, some set an invalid value, some are not a patch.
        const uint64_t now = published.mStates.back().mPoint.mVersion.mNumber;
        published.Publish(
          Entry(now - std::min(now, below(2)),
                SetTimeout(below(4), static_cast<int>(1 + below(20)) - 2)));
        if (below(10) == 0) {
          published.Publish(below(2) == 0 ? json("no patch") : Entry(now, 1));
        }
        break;
      }
      case 1:
        replica.Offer(published.BaseAt(below(end + 1)));
        break;
      case 2:
      case 3: {
        const size_t first = below(end + 1);
        replica.Offer(
          published.PatchesBetween(first, first + below(end - first + 1)));
        break;
      }
      case 4:
      case 5:
        // The answer that one replica asked for may be delivered late and to
        // another replica.
        inFlight.push_back(replicas[below(replicas.size())].Answer(before));
        break;
      case 6:
        replica.Offer(inFlight[below(inFlight.size())]);
        break;
      default:
        restarted = below(8) == 0;
        replica = restarted ? Replica() : replica;
    }
    const ChainPoint& after = replica.Point();
    const bool wentBack = !restarted && before.IsNewerThan(after);
    const ReplayedState& expected =
      published.mStates[std::min(after.mPosition, published.mEntries.size())];
    const bool differs =
      after.mVersion.mNumber != 0 &&
      !(expected.mPoint == after && expected.mDocument == replica.Json());
    violations += wentBack || differs ? 1 : 0;
  }
  for (Replica& it : replicas) {
    it.Offer(published.BaseAt(0));
    it.Offer(published.PatchesBetween(0, published.mEntries.size()));
    violations += it.Point() == published.mStates.back().mPoint ? 0 : 1;
  }
  return violations;
}

} // namespace

TEST_CASE("Any order and loss of deliveries gives the chain of a replay",
          "[chain]")
{
  const auto seed = GENERATE(range(1u, 9u));
  CAPTURE(seed);
  CHECK(CountViolations<ChainReplica>(seed, 2000) == 0);
}

TEST_CASE("The deliveries break a replica that takes the last offer", "[chain]")
{
  CHECK(CountViolations<LastOfferReplica>(1, 500) > 0);
}

TEST_CASE("Of two patches against one version the first published wins",
          "[chain]")
{
  const bool swapped = GENERATE(false, true);
  json first = Entry(1, SetTimeout(0, 100));
  json second = Entry(1, SetTimeout(1, 200));
  if (swapped) {
    std::swap(first, second);
  }
  Chain whole;
  whole.Offer(FirstBase());
  const auto result =
    std::get<Advanced>(whole.Offer(PatchList{ 0, { first, second } }));
  CHECK(result.mAccepted.size() == 1);
  REQUIRE(result.mRefused.size() == 1);
  CHECK(result.mRefused[0].mPosition == 1);
  CHECK(result.mRefused[0].mErrorId == 222);
  CHECK_THAT(
    result.mRefused[0].mReason,
    Catch::Contains("written against version 1 but the current version is 2"));
  CHECK(whole.Point().mPosition == 2);
  CHECK(whole.CurrentDocument().ToJson()["services"][swapped]["timeout_ms"] ==
        (swapped ? 200 : 100));

  Chain apart;
  apart.Offer(FirstBase());
  apart.Offer(PatchList{ 0, { first } });
  apart.Offer(PatchList{ 1, { second } });
  CHECK(apart.Point() == whole.Point());
}

TEST_CASE("A restarted VM catches up from a peer and does not go back",
          "[chain]")
{
  const Chain peer = ChainAfter(3);
  Chain restarted;
  SECTION("without a platform") {}
  SECTION("with a stale platform")
  {
    restarted.Offer(FirstBase());
    restarted.Offer(PatchList{ 0, { Entry(1, SetTimeout(0, 100)) } });
    CHECK(peer.Answer(restarted.Point()).mPatches.size() == 2);
  }
  const ChainAnswer answer = peer.Answer(restarted.Point());
  CHECK(std::holds_alternative<Advanced>(restarted.Offer(answer)));
  CHECK(restarted.Point() == peer.Point());
  CHECK(restarted.Current()->mServices[0].mTimeout.count() == 102);
  // Neither the stale platform nor a peer that is behind moves the chain back.
  CHECK(std::holds_alternative<OlderIgnored>(restarted.Offer(FirstBase())));
  CHECK(std::holds_alternative<OlderIgnored>(
    restarted.Offer(ChainAfter(2).Answer({}))));
  CHECK(restarted.Point() == peer.Point());
  // A peer that is behind, or at the same point, has nothing to give.
  CHECK(ChainAfter(2).Answer(restarted.Point()).IsEmpty());
  CHECK(peer.Answer(restarted.Point()).IsEmpty());
}

TEST_CASE(
  "An offer that does not advance the chain is classified and changes nothing",
  "[chain]")
{
  Chain chain = ChainAfter(3);
  const ChainPoint before = chain.Point();
  ChainPoint other = before;
  other.mVersion.mDigest ^= 1;
  const ChainPoint ahead{ { 9, 9 }, before.mPosition + 1 };
  const ChainPoint sameAhead{ before.mVersion, before.mPosition + 1 };
  const std::string patch = Entry(4, SetTimeout(0, 5)).dump();
  const json processedEntry = Entry(1, SetTimeout(0, 100));
  const json rewrittenEntry = Entry(1, SetTimeout(0, 999));
  using AnyOffer = std::variant<Base, PatchList, ChainAnswer>;

  // Index of the alternative of OfferResult: 1 Unchanged, 2 OlderIgnored, 3
  // Gap, 4 Conflict.
  const auto [name,
              offer,
              kind] = GENERATE_COPY(table<std::string, AnyOffer, size_t>({
    { "base with another digest", Base{ other, {} }, 4 },
    { "older base", FirstBase(), 2 },
    { "same base", Base{ before, {} }, 1 },
    { "shorter list", PatchList{ 0, { processedEntry } }, 2 },
    { "empty list", PatchList{ 0, {} }, 2 },
    { "empty list at the position", PatchList{ 3, {} }, 1 },
    { "list starts after the position", PatchList{ 4, { processedEntry } }, 3 },
    { "rewritten list", PatchList{ 0, { rewrittenEntry } }, 4 },
    { "rewritten longer list",
      PatchList{
        0, { rewrittenEntry, rewrittenEntry, rewrittenEntry, processedEntry } },
      4 },
    { "peer with another digest", ChainAnswer{ other, "{}", {} }, 4 },
    { "peer's patches lead elsewhere", ChainAnswer{ ahead, "", { patch } }, 4 },
    { "peer claims the old version after an accepted patch",
      ChainAnswer{ sameAhead, "", { patch } },
      4 },
    { "gap before the peer's patches",
      ChainAnswer{ { { 9, 9 }, 9 }, "", { patch } },
      3 },
    { "peer's number ahead of its position",
      ChainAnswer{ { { 9, 9 }, before.mPosition }, "", { patch } },
      4 },
    { "nothing from a peer", ChainAnswer{ ahead, "", {} }, 1 },
  }));
  CAPTURE(name);
  const OfferResult result =
    std::visit([&](const auto& it) { return chain.Offer(it); }, offer);
  CHECK(result.index() == kind);
  CHECK(chain.Point() == before);
}

TEST_CASE("A chain without a version waits for a base", "[chain]")
{
  Chain chain;
  CHECK(chain.Current() == nullptr);
  CHECK(std::holds_alternative<Gap>(chain.Offer(PatchList{ 0, {} })));
  CHECK(chain.Answer({}).IsEmpty());
}

TEST_CASE("A refused patch advances only the position", "[chain]")
{
  const std::string kTimeout = R"([{"op": "replace",
    "path": "/services/0/timeout_ms", "value": )";
  const auto [entry, id] = GENERATE_COPY(table<std::string, int>({
    { R"(null)", 220 },
    { R"("x")", 220 },
    { R"([])", 220 },
    { R"({})", 220 },
    { R"({"against": 1})", 220 },
    { R"({"patch": []})", 220 },
    { R"({"against": "1", "patch": []})", 220 },
    { R"({"against": -1, "patch": []})", 220 },
    { R"({"against": 1.0, "patch": []})", 220 },
    { R"({"against": 1, "patch": [], "by": "x"})", 220 },
    { R"({"against": 1, "patch": {}})", 220 },
    { R"({"against": 1, "patch": "x"})", 220 },
    { R"({"against": 1, "patch": [{"op": "spin", "path": ""}]})", 220 },
    { R"({"against": 1, "patch": [{"op": "add", "path": 1, "value": 1}]})",
      221 },
    { R"({"against": 0, "patch": []})", 222 },
    { R"({"against": 2, "patch": []})", 222 },
    { R"({"against": 18446744073709551615, "patch": []})", 222 },
    { R"({"against": 1, "patch": )" + kTimeout + "\"3s\"}]}", 206 },
    { R"({"against": 1, "patch": )" + kTimeout + "0}]}", 207 },
    { R"({"against": 1, "patch": [{"op": "remove", "path": "/x"}]})", 221 },
  }));
  CAPTURE(entry);
  Chain chain = ChainAfter(0);
  const auto result =
    std::get<Advanced>(chain.Offer(PatchList{ 0, { json::parse(entry) } }));
  CHECK(result.mAccepted.empty());
  REQUIRE(result.mRefused.size() == 1);
  CHECK(result.mRefused[0].mErrorId == id);
  CHECK(chain.Point() == ChainPoint{ { 1, 0xabc }, 1 });
  CHECK(chain.CurrentDocument().ToJson() == MakeDocument(3, 2));
}

TEST_CASE(
  "A malformed value is refused with its error number and changes nothing",
  "[chain]")
{
  const auto [text, isBase, id] = GENERATE(table<std::string, bool, int>({
    { R"([])", true, 230 },
    { R"(null)", true, 230 },
    { R"({"digest": "00f1e2d3c4b5a697", "position": 1, "config": {}})",
      true,
      230 },
    { R"({"number": 0, "digest": "00f1e2d3c4b5a697", "position": 1,
          "config": {}})",
      true,
      230 },
    { R"({"number": 1, "digest": "00F1E2D3C4B5A697", "position": 1,
          "config": {}})",
      true,
      230 },
    { R"({"number": 1, "digest": "f1", "position": 1, "config": {}})",
      true,
      230 },
    { R"({"number": 1, "digest": 7, "position": 1, "config": {}})", true, 230 },
    { R"({"number": 1, "digest": "00f1e2d3c4b5a697", "position": -1,
          "config": {}})",
      true,
      230 },
    { R"({"number": 1, "digest": "00f1e2d3c4b5a697", "position": 1})",
      true,
      230 },
    { R"({"number": 1, "digest": "00f1e2d3c4b5a697", "position": 1,
          "config": {}, "x": 1})",
      true,
      230 },
    { R"({"number": 9, "digest": "00f1e2d3c4b5a697", "position": 1,
          "config": {}})",
      true,
      204 },
    { R"({"number": 9, "digest": "00f1e2d3c4b5a697", "position": 1,
          "config": {"services": 1}})",
      true,
      206 },
    { R"(7)", false, 231 },
    { R"({"patches": []})", false, 231 },
    { R"({"first": "0", "patches": []})", false, 231 },
    { R"({"first": -1, "patches": []})", false, 231 },
    { R"({"first": 0})", false, 231 },
    { R"({"first": 0, "patches": {}})", false, 231 },
    { R"({"first": 18446744073709551615, "patches": [1]})", false, 231 },
  }));
  CAPTURE(text);
  Chain chain = ChainAfter(1);
  const ChainPoint before = chain.Point();
  const json value = json::parse(text);
  const bool base = isBase;
  std::string message;
  const auto offer = [&] {
    base ? chain.Offer(Base::FromJson(value))
         : chain.Offer(PatchList::FromJson(value));
  };
  CHECK(ErrorOf<ConfigError>(offer, message) == id);
  CHECK(chain.Point() == before);
}

TEST_CASE("Malformed answers of a peer are refused with their error number",
          "[chain]")
{
  Chain chain = ChainAfter(1);
  const ChainPoint before = chain.Point();
  const ChainPoint ahead{ { 9, 9 }, 2 };
  const auto [document, patch, id] =
    GENERATE(table<std::string, std::string, int>({
      { "{", "", 232 },
      { "{}", "", 204 },
      { std::string(kMaxDocumentBytes + 1, ' '), "", 232 },
      { "", "{", 232 },
      { "", std::string(kMaxValueBytes, ' ') + "{}", 232 },
      { "", std::string(5000, '['), 232 },
    }));
  ChainAnswer answer{ ahead, document, {} };
  if (!patch.empty()) {
    answer.mPatches.push_back(patch);
  }
  std::string message;
  CHECK(ErrorOf<ConfigError>([&] { chain.Offer(answer); }, message) == id);
  answer = { { { 9, 9 }, 1 }, "", { "{}", "{}" } };
  CHECK(ErrorOf<ConfigError>([&] { chain.Offer(answer); }, message) == 232);
  CHECK(chain.Point() == before);
}

TEST_CASE("A peer too far behind gets the whole document", "[chain]")
{
  // Each patch has 600 test operations, so that the chain retains only a few of
  // the patches.
  Chain chain = ChainAfter(0);
  const json longTest = { { "op", "test" },
                          { "path", "/services/0/name" },
                          { "value", "s0" } };
  constexpr uint64_t kCount = 40;
  for (uint64_t it = 0; it < kCount; ++it) {
    json patch = json::array();
    for (int n = 0; n < 600; ++n) {
      patch.push_back(longTest);
    }
    chain.Offer(PatchList{ it, { Entry(it + 1, patch) } });
  }
  REQUIRE(chain.Point().mVersion.mNumber == kCount + 1);
  CHECK_FALSE(chain.Answer(FirstBase().mPoint).mDocument.empty());
  Chain behind = ChainAfter(0);
  behind.Offer(chain.Answer(behind.Point()));
  CHECK(behind.Point() == chain.Point());
}

TEST_CASE("A peer with another history gets no patches", "[chain]")
{
  const ChainPoint other{ { 2, 0xbad }, 1 };
  const ChainAnswer answer = ChainAfter(3).Answer(other);
  CHECK(answer.mPatches.empty());
  CHECK_FALSE(answer.mDocument.empty());
}

TEST_CASE("A digest is 16 lower-case hexadecimal digits", "[chain]")
{
  CHECK(DigestText(0xf1) == "00000000000000f1");
  CHECK(ParseDigest("00f1e2d3c4b5a697") == 0x00f1e2d3c4b5a697);
  const std::string text = GENERATE("",
                                    "0x00000000000001",
                                    "00f1e2d3c4b5a69",
                                    "00f1e2d3c4b5a6977",
                                    "00F1E2D3C4B5A697",
                                    " 0f1e2d3c4b5a697",
                                    "g0f1e2d3c4b5a697");
  CHECK_FALSE(ParseDigest(text));
}

#include "Explorer.h"

#include <algorithm>

#include "CoapBytes.h"
#include "absl/strings/str_cat.h"
#include "foxtail/core/Hash.h"

namespace foxtail::tests {

namespace {

// Added to a caller's number: the number of the flow that the caller moves to.
constexpr uint8_t kMovedFlowOffset = 100;
constexpr uint16_t kMessageIdsPerCaller = 100;
constexpr uint16_t kTokenCount = 20;
constexpr uint32_t kNoParent = UINT32_MAX;

template<typename T>
void
Append(std::string& aOut, const T& aValue)
{
  static_assert(std::has_unique_object_representations_v<T>);
  aOut.append(reinterpret_cast<const char*>(&aValue), sizeof(T));
}

bool
SaysNotRun(const coap::Message& aAnswer)
{
  return aAnswer.mPayload.substr(0, 7) == "not run";
}

char
TokenOf(uint16_t aMessageId)
{
  return static_cast<char>('a' + aMessageId % kTokenCount);
}

char
PayloadOf(uint8_t aCaller)
{
  return static_cast<char>('0' + aCaller);
}

} // namespace

std::string
Input::Key() const
{
  std::string key;
  Append(key, mKind);
  Append(key, mNow);
  Append(key, mWhere);
  Append(key, mPresent);
  Append(key, mSerial);
  return key + mBytes;
}

Explorer::Explorer(const Limits& aLimits, MachineFactory aFactory)
  : mLimits(aLimits)
  , mFactory(std::move(aFactory))
{
}

Report
Explorer::Run(Violation aLookFor)
{
  mLookFor = aLookFor;
  Visit(First(), "start");
  for (int depth = 0; depth < mLimits.mDepth; ++depth) {
    const std::vector<World> layer = std::exchange(mNext, {});
    for (const World& world : layer) {
      mCurrent = world.mId;
      Expand(world);
      if (mReport.mViolation != Violation::None) {
        return mReport;
      }
    }
  }
  return mReport;
}

Explorer::Content
Explorer::Intern(const std::string& aBytes)
{
  const auto next = static_cast<Content>(mContents.size());
  const auto [it, isNew] = mContentIds.try_emplace(aBytes, next);
  if (isNew) {
    mContents.push_back(aBytes);
  }
  return it->second;
}

uint32_t
Explorer::Root(uint8_t aNode, uint8_t aIncarnation)
{
  const auto next = static_cast<uint32_t>(mHistories.size());
  const auto [it, isNew] = mRoots.try_emplace({ aNode, aIncarnation }, next);
  if (isNew) {
    mHistories.push_back({ kNoParent, aNode, aIncarnation, {} });
  }
  return it->second;
}

const Explorer::Step&
Explorer::Execute(uint32_t aHistory, const Input& aInput)
{
  auto& step = mSteps[{ aHistory, aInput.Key() }];
  if (step) {
    return *step;
  }
  std::vector<uint32_t> inputs;
  uint32_t at = aHistory;
  for (; mHistories[at].mParent != kNoParent; at = mHistories[at].mParent) {
    inputs.push_back(at);
  }
  const auto machine =
    mFactory(mHistories[at].mNode, mHistories[at].mIncarnation);
  for (auto it = inputs.rbegin(); it != inputs.rend(); ++it) {
    machine->Handle(mHistories[*it].mInput);
  }
  step = std::make_unique<Step>();
  step->mOutputs = machine->Handle(aInput);
  step->mHistory = static_cast<uint32_t>(mHistories.size());
  mHistories.push_back({ aHistory, 0, 0, aInput });
  return *step;
}

Explorer::World
Explorer::First()
{
  World world;
  for (uint8_t node = 0; node < mLimits.mNodes; ++node) {
    const uint8_t incarnation = ++world.mIncarnations;
    world.mNodes.push_back({ incarnation, Root(node, incarnation), {} });
  }
  world.mCallers.resize(mLimits.mCallers);
  for (uint8_t caller = 0; caller < mLimits.mCallers; ++caller) {
    world.mCallers[caller].mMessageId = kMessageIdsPerCaller * caller;
    SendFromCaller(world, caller, "");
  }
  return world;
}

void
Explorer::SendFromCaller(World& aWorld,
                         uint8_t aCaller,
                         const std::string& aEcho)
{
  RequestBytes request;
  request.mMessageId = ++aWorld.mCallers[aCaller].mMessageId;
  request.mToken = TokenOf(request.mMessageId);
  request.mEcho = aEcho;
  request.mPayload = PayloadOf(aCaller);
  const Content content = Intern(Encode(request));
  aWorld.mPackets.push_back(
    { Packet::Request, 0, aCaller, mLimits.mCopies, content, content });
  if (mLimits.mMoves) {
    const uint8_t moved = aCaller + kMovedFlowOffset;
    aWorld.mPackets.push_back(
      { Packet::Request, 0, moved, mLimits.mCopies, content, content });
  }
}

void
Explorer::Expand(const World& aWorld)
{
  for (size_t i = 0; i < aWorld.mPackets.size(); ++i) {
    ExpandPacket(aWorld, i);
  }
  for (uint8_t node = 0; node < mLimits.mNodes; ++node) {
    ExpandNode(aWorld, node);
  }
  if (aWorld.mNow < mLimits.mTicks) {
    World next = aWorld;
    ++next.mNow;
    Visit(std::move(next), "time passes");
  }
}

Explorer::World
Explorer::Without(const World& aWorld, size_t aPacket)
{
  World next = aWorld;
  if (--next.mPackets[aPacket].mLeft == 0) {
    next.mPackets.erase(next.mPackets.begin() + aPacket);
  }
  return next;
}

void
Explorer::ExpandPacket(const World& aWorld, size_t aPacket)
{
  const Packet& packet = aWorld.mPackets[aPacket];
  switch (packet.mKind) {
    case Packet::ToUpstream:
      DeliverToUpstream(aWorld, aPacket);
      return;
    case Packet::ToCaller:
      DeliverToCaller(aWorld, aPacket);
      return;
    case Packet::Request:
      for (uint8_t node = 0; node < mLimits.mNodes; ++node) {
        DeliverToBalancer(aWorld, aPacket, node);
      }
      return;
    case Packet::HandOver:
    case Packet::Peer:
    case Packet::FromUpstream:
      DeliverToBalancer(aWorld, aPacket, packet.mTo);
      return;
  }
}

void
Explorer::DeliverToBalancer(const World& aWorld, size_t aPacket, uint8_t aNode)
{
  const Packet& packet = aWorld.mPackets[aPacket];
  Input input;
  input.mNow = aWorld.mNow;
  input.mWhere = packet.mFrom;
  input.mBytes = mContents[packet.mBytes];
  std::string event =
    absl::StrCat("balancer ", aNode, " receives ", packet.mBytes, " from ");
  if (packet.mKind == Packet::Peer || packet.mKind == Packet::FromUpstream) {
    const bool isPeer = packet.mKind == Packet::Peer;
    input.mKind = isPeer ? Input::FromPeer : Input::FromUpstream;
    absl::StrAppend(&event, isPeer ? "balancer " : "upstream ", packet.mFrom);
    Apply(Without(aWorld, aPacket), aNode, input, packet.mOrigin, event);
    return;
  }
  absl::StrAppend(&event, "flow ", packet.mFrom);
  Apply(Without(aWorld, aPacket), aNode, input, packet.mOrigin, event);
  // The view may be wrong at any moment, so both cases are explored: without
  // and with the incarnation in the view.
  input.mPresent = true;
  absl::StrAppend(&event, ", the incarnation it names is in the view");
  Apply(Without(aWorld, aPacket), aNode, input, packet.mOrigin, event);
}

void
Explorer::ExpandNode(const World& aWorld, uint8_t aNode)
{
  for (const OpenRequest& open : aWorld.mNodes[aNode].mOpen) {
    Input input;
    input.mNow = aWorld.mNow;
    input.mSerial = open.mSerial;
    const std::string name =
      absl::StrCat("balancer ", aNode, " request ", open.mSerial);
    input.mKind = Input::Send;
    for (uint8_t up = 0; up < mLimits.mUpstreams; ++up) {
      input.mWhere = up;
      const std::string event = absl::StrCat(name, " goes to upstream ", up);
      Apply(aWorld, aNode, input, open.mOrigin, event);
    }
    input.mWhere = 0;
    input.mKind = Input::Refuse;
    Apply(aWorld, aNode, input, open.mOrigin, name + " is refused");
    input.mKind = Input::Expire;
    Apply(aWorld, aNode, input, open.mOrigin, name + " expires");
  }
  if (aWorld.mKills < mLimits.mKills) {
    World next = aWorld;
    ++next.mKills;
    const uint8_t incarnation = ++next.mIncarnations;
    next.mNodes[aNode] = { incarnation, Root(aNode, incarnation), {} };
    Visit(std::move(next), absl::StrCat("balancer ", aNode, " is replaced"));
  }
}

void
Explorer::Apply(World aWorld,
                uint8_t aNode,
                const Input& aInput,
                Content aOrigin,
                const std::string& aEvent)
{
  const Step& step = Execute(aWorld.mNodes[aNode].mHistory, aInput);
  const bool isDispatch =
    aInput.mKind == Input::Send || aInput.mKind == Input::Refuse;
  if (isDispatch && step.mOutputs.empty()) {
    return;
  }
  const auto isAnswer = [](const Output& o) {
    return o.mKind == Output::ToCaller;
  };
  if (aInput.mKind == Input::Expire &&
      std::none_of(step.mOutputs.begin(), step.mOutputs.end(), isAnswer)) {
    mPending = Violation::LostSilently;
  }
  aWorld.mNodes[aNode].mHistory = step.mHistory;
  for (const Output& output : step.mOutputs) {
    Emit(aWorld, aNode, output, aOrigin, aInput.mWhere);
  }
  Visit(std::move(aWorld), aEvent);
}

void
Explorer::Emit(World& aWorld,
               uint8_t aNode,
               const Output& aOutput,
               Content aOrigin,
               uint8_t aFrom)
{
  auto& open = aWorld.mNodes[aNode].mOpen;
  const auto hasSerial = [&](const OpenRequest& o) {
    return aOutput.mSerial != 0 && o.mSerial == aOutput.mSerial;
  };
  const auto it = std::find_if(open.begin(), open.end(), hasSerial);
  const Content origin = it != open.end() ? it->mOrigin : aOrigin;
  Packet packet{ Packet::ToCaller, aOutput.mWhere, aNode, 1, 0, origin };
  switch (aOutput.mKind) {
    case Output::Open:
      open.push_back({ aOutput.mSerial, aOrigin });
      return;
    case Output::Close:
      open.erase(it);
      return;
    case Output::ToCaller:
      packet.mTo %= kMovedFlowOffset;
      if (SaysNotRun(coap::Decode(aOutput.mBytes))) {
        aWorld.mSaidNotRun.push_back(origin);
      }
      break;
    case Output::ToUpstream:
      packet.mKind = Packet::ToUpstream;
      packet.mLeft = mLimits.mUpstreamCopies;
      break;
    case Output::HandOver: {
      const auto to = std::find_if(
        aWorld.mNodes.begin(), aWorld.mNodes.end(), [&](const Node& n) {
          return n.mIncarnation == aOutput.mWhere;
        });
      if (to == aWorld.mNodes.end()) {
        return;
      }
      packet.mKind = Packet::HandOver;
      packet.mTo = static_cast<uint8_t>(to - aWorld.mNodes.begin());
      packet.mFrom = aFrom;
      break;
    }
    case Output::ToPeer:
      packet.mKind = Packet::Peer;
      break;
  }
  packet.mBytes = Intern(aOutput.mBytes);
  aWorld.mPackets.push_back(packet);
}

void
Explorer::DeliverToUpstream(const World& aWorld, size_t aPacket)
{
  const Packet packet = aWorld.mPackets[aPacket];
  const std::string bytes = mContents[packet.mBytes];
  const auto message = coap::Decode(bytes);
  const std::string event =
    absl::StrCat("upstream ", packet.mTo, " receives ", packet.mBytes);
  const auto reply = [&](World aNext, Content aAnswer, const char* aWhat) {
    aNext.mPackets.push_back({ Packet::FromUpstream,
                               packet.mFrom,
                               packet.mTo,
                               1,
                               aAnswer,
                               packet.mOrigin });
    Visit(std::move(aNext), event + aWhat);
  };
  for (const auto& [request, answer] : aWorld.mUpstreamAnswers) {
    if (request == packet.mBytes) {
      reply(Without(aWorld, aPacket), answer, " again");
      return;
    }
  }
  for (const bool shed : { false, true }) {
    World next = Without(aWorld, aPacket);
    const std::string text(shed ? "shed" : message.mPayload);
    const Content answer = Intern(
      EncodeReply(message, shed ? coap::kUnavailable : coap::kContent, text));
    if (!shed) {
      next.mJournal.push_back(packet.mOrigin);
    }
    next.mUpstreamAnswers.emplace_back(packet.mBytes, answer);
    reply(std::move(next), answer, shed ? " and sheds it" : " and runs it");
  }
}

void
Explorer::DeliverToCaller(const World& aWorld, size_t aPacket)
{
  const Packet packet = aWorld.mPackets[aPacket];
  World next = Without(aWorld, aPacket);
  const std::string bytes = mContents[packet.mBytes];
  const auto answer = coap::Decode(bytes);
  Caller& caller = next.mCallers[packet.mTo];
  // RFC 7252: an acknowledgement is matched by message id and token.
  if (caller.mState != Caller::Waiting ||
      answer.mMessageId != caller.mMessageId ||
      answer.mToken.mBytes[0] !=
        static_cast<uint8_t>(TokenOf(caller.mMessageId))) {
    return;
  }
  if (answer.mCode == coap::kUnauthorized) {
    SendFromCaller(next, packet.mTo, std::string(*answer.mEcho));
  } else if (answer.mCode == coap::kContent) {
    caller.mState = Caller::Answered;
    if (answer.mPayload != std::string(1, PayloadOf(packet.mTo))) {
      mPending = Violation::WrongAnswer;
    }
  } else {
    caller.mState = SaysNotRun(answer) ? Caller::NotRun : Caller::Unknown;
  }
  Visit(std::move(next),
        absl::StrCat("caller ", packet.mTo, " receives ", packet.mBytes));
}

uint8_t
Explorer::CallerOf(Content aOrigin) const
{
  const std::string& bytes = mContents[aOrigin];
  return static_cast<uint8_t>(bytes.back() - '0');
}

void
Explorer::Check(const World& aWorld)
{
  std::vector<int> runs(mLimits.mCallers);
  const auto& saidNotRun = aWorld.mSaidNotRun;
  for (const Content origin : aWorld.mJournal) {
    if (++runs[CallerOf(origin)] > 1) {
      Found(Violation::RanTwice);
    }
    if (std::find(saidNotRun.begin(), saidNotRun.end(), origin) !=
        saidNotRun.end()) {
      Found(Violation::NotRunButRan);
    }
  }
  for (uint8_t i = 0; i < mLimits.mCallers; ++i) {
    const Caller::State state = aWorld.mCallers[i].mState;
    mReport.mAnswered += state == Caller::Answered;
    mReport.mNotRun += state == Caller::NotRun;
    mReport.mUnknown += state == Caller::Unknown;
    if (state == Caller::NotRun && runs[i] > 0) {
      Found(Violation::NotRunButRan);
    }
    if (state == Caller::Answered && runs[i] == 0) {
      Found(Violation::LostSilently);
    }
  }
  mReport.mRan += !aWorld.mJournal.empty();
}

void
Explorer::Found(Violation aViolation)
{
  const bool wanted = mLookFor == Violation::None || mLookFor == aViolation;
  if (!wanted || mReport.mViolation != Violation::None) {
    return;
  }
  mReport.mViolation = aViolation;
  for (uint32_t at = mCurrent; at != 0; at = mOrigins[at - 1].first) {
    mReport.mTrace.push_back(mOrigins[at - 1].second);
  }
  std::reverse(mReport.mTrace.begin(), mReport.mTrace.end());
}

std::string
Explorer::Fingerprint(const World& aWorld)
{
  std::string out;
  for (const Node& node : aWorld.mNodes) {
    Append(out, node.mHistory);
    for (const OpenRequest& open : node.mOpen) {
      Append(out, open.mSerial);
      Append(out, open.mOrigin);
    }
    out.push_back('|');
  }
  for (const Caller& caller : aWorld.mCallers) {
    Append(out, caller.mState);
    Append(out, caller.mMessageId);
  }
  for (const Packet& packet : aWorld.mPackets) {
    Append(out, packet);
  }
  out.push_back('|');
  for (const Content origin : aWorld.mJournal) {
    Append(out, origin);
  }
  out.push_back('|');
  for (const Content origin : aWorld.mSaidNotRun) {
    Append(out, origin);
  }
  out.push_back('|');
  for (const auto& [request, answer] : aWorld.mUpstreamAnswers) {
    Append(out, request);
    Append(out, answer);
  }
  Append(out, aWorld.mNow);
  Append(out, aWorld.mKills);
  return out;
}

bool
Explorer::IsDead(const World& aWorld, const Packet& aPacket) const
{
  if (aPacket.mKind != Packet::ToCaller) {
    return false;
  }
  const Caller& caller = aWorld.mCallers[aPacket.mTo];
  const auto answer = coap::Decode(mContents[aPacket.mBytes]);
  return caller.mState != Caller::Waiting ||
         answer.mMessageId < caller.mMessageId;
}

// Makes worlds equal that differ only in what no longer has an effect: answers
// that the caller would ignore, and the order of entries.
void
Explorer::Normalize(World& aWorld) const
{
  auto& packets = aWorld.mPackets;
  const auto dead =
    std::remove_if(packets.begin(), packets.end(), [&](const Packet& aPacket) {
      return IsDead(aWorld, aPacket);
    });
  packets.erase(dead, packets.end());
  std::sort(packets.begin(), packets.end());
  std::sort(aWorld.mJournal.begin(), aWorld.mJournal.end());
  std::sort(aWorld.mUpstreamAnswers.begin(), aWorld.mUpstreamAnswers.end());
  auto& saidNotRun = aWorld.mSaidNotRun;
  std::sort(saidNotRun.begin(), saidNotRun.end());
  saidNotRun.erase(std::unique(saidNotRun.begin(), saidNotRun.end()),
                   saidNotRun.end());
}

void
Explorer::Visit(World aWorld, const std::string& aEvent)
{
  ++mReport.mEvents;
  Normalize(aWorld);
  const std::string fingerprint = Fingerprint(aWorld);
  const bool isNew =
    mSeen.insert({ StableHash(fingerprint, 1), StableHash(fingerprint, 2) })
      .second;
  const Violation pending = std::exchange(mPending, Violation::None);
  if (!isNew && pending == Violation::None) {
    return;
  }
  ++mReport.mStates;
  mOrigins.emplace_back(mCurrent, aEvent);
  const uint32_t parent =
    std::exchange(mCurrent, static_cast<uint32_t>(mOrigins.size()));
  aWorld.mId = mCurrent;
  if (pending != Violation::None) {
    Found(pending);
  }
  Check(aWorld);
  mCurrent = parent;
  mNext.push_back(std::move(aWorld));
}

} // namespace foxtail::tests

#ifndef foxtail_tests_contracts_Explorer_h
#define foxtail_tests_contracts_Explorer_h

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace foxtail::tests {

// Explores all orders of events among a few balancers, callers and upstreams,
// breadth first, up to a depth. Datagrams arrive in any order, at any balancer,
// late, repeatedly or never; so a balancer that pauses between a check and a
// send, a cut and a loss need no events of their own. Every decision is made
// by the code under test.

// One event that a balancer is handed. Time counts in ticks.
struct Input
{
  enum Kind : uint8_t
  {
    Request,
    FromPeer,
    FromUpstream,
    Send,
    Refuse,
    Expire
  };
  Kind mKind = Request;
  uint8_t mNow = 0;
  // Flow, peer or upstream: where it came from, or for Send where it goes.
  uint8_t mWhere = 0;
  // What the view says of the incarnation that the datagram names.
  bool mPresent = false;
  uint32_t mSerial = 0;
  std::string mBytes;

  std::string Key() const;
};

// What a balancer does about it.
struct Output
{
  enum Kind : uint8_t
  {
    ToCaller,
    ToUpstream,
    // The datagram as it came from the caller, to the incarnation mWhere.
    HandOver,
    ToPeer,
    // A request begins to wait for an upstream, or has ended.
    Open,
    Close
  };
  Kind mKind = ToCaller;
  uint8_t mWhere = 0;
  uint32_t mSerial = 0;
  std::string mBytes;
};

using Outputs = std::vector<Output>;

// One life of one balancer.
class Machine
{
public:
  virtual ~Machine() = default;
  virtual Outputs Handle(const Input& aInput) = 0;
};

using MachineFactory =
  std::function<std::unique_ptr<Machine>(uint8_t aNode, uint8_t aIncarnation)>;

enum class Violation : uint8_t
{
  None,
  RanTwice,
  NotRunButRan,
  WrongAnswer,
  LostSilently
};

struct Limits
{
  uint8_t mDepth = 8;
  uint8_t mNodes = 2;
  uint8_t mCallers = 1;
  // How often each datagram of a caller arrives at most.
  uint8_t mCopies = 2;
  // How often each datagram to an upstream arrives at most; upstreams detect
  // copies by their token.
  uint8_t mUpstreamCopies = 1;
  uint8_t mKills = 1;
  uint8_t mTicks = 1;
  uint8_t mUpstreams = 1;
  // Requests also arrive from a second address, whose answers reach the caller
  // too: it has moved behind an address translator.
  bool mMoves = false;
};

struct Report
{
  uint64_t mStates = 0;
  uint64_t mEvents = 0;
  Violation mViolation = Violation::None;
  // Events that lead to the violation.
  std::vector<std::string> mTrace;
  // States in which a caller has an answer, "not run" or "unknown", and in
  // which something ran.
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mUnknown = 0;
  uint64_t mRan = 0;
};

class Explorer
{
public:
  Explorer(const Limits& aLimits, MachineFactory aFactory);

  // Stops at the first violation of the kind looked for; None stops at any.
  Report Run(Violation aLookFor = Violation::None);

private:
  // Number of a datagram's bytes.
  using Content = uint32_t;

  struct Packet
  {
    enum Kind : uint8_t
    {
      Request,
      HandOver,
      Peer,
      ToUpstream,
      FromUpstream,
      ToCaller
    };
    Kind mKind;
    // Balancer, upstream or caller; requests reach any balancer.
    uint8_t mTo;
    uint8_t mFrom;
    uint8_t mLeft;
    Content mBytes;
    // The caller's datagram that it belongs to.
    Content mOrigin;

    bool operator<(const Packet& a) const
    {
      return std::tie(mKind, mTo, mFrom, mLeft, mBytes, mOrigin) <
             std::tie(a.mKind, a.mTo, a.mFrom, a.mLeft, a.mBytes, a.mOrigin);
    }
  };

  struct OpenRequest
  {
    uint32_t mSerial;
    Content mOrigin;
  };

  struct Node
  {
    uint8_t mIncarnation;
    uint32_t mHistory;
    std::vector<OpenRequest> mOpen;
  };

  struct Caller
  {
    enum State : uint8_t
    {
      Waiting,
      Answered,
      NotRun,
      Unknown
    };
    State mState = Waiting;
    uint16_t mMessageId = 0;
  };

  struct World
  {
    std::vector<Node> mNodes;
    std::vector<Caller> mCallers;
    std::vector<Packet> mPackets;
    // Callers' datagrams that ran.
    std::vector<Content> mJournal;
    // Each datagram that an upstream has taken, and its answer.
    std::vector<std::pair<Content, Content>> mUpstreamAnswers;
    // Callers' datagrams that a balancer has called not run.
    std::vector<Content> mSaidNotRun;
    uint8_t mNow = 0;
    uint8_t mKills = 0;
    uint8_t mIncarnations = 0;
    // Index in mOrigins.
    uint32_t mId = 0;
  };

  // A machine is known by its first input and all that followed.
  struct History
  {
    uint32_t mParent;
    uint8_t mNode;
    uint8_t mIncarnation;
    Input mInput;
  };

  struct Step
  {
    uint32_t mHistory;
    Outputs mOutputs;
  };

  Content Intern(const std::string& aBytes);
  uint32_t Root(uint8_t aNode, uint8_t aIncarnation);
  // Runs the code under test, once for each history and input.
  const Step& Execute(uint32_t aHistory, const Input& aInput);

  World First();
  void Expand(const World& aWorld);
  void ExpandPacket(const World& aWorld, size_t aPacket);
  void ExpandNode(const World& aWorld, uint8_t aNode);
  void DeliverToBalancer(const World& aWorld, size_t aPacket, uint8_t aNode);
  void DeliverToUpstream(const World& aWorld, size_t aPacket);
  void DeliverToCaller(const World& aWorld, size_t aPacket);
  static World Without(const World& aWorld, size_t aPacket);
  void Apply(World aWorld,
             uint8_t aNode,
             const Input& aInput,
             Content aOrigin,
             const std::string& aEvent);
  void Emit(World& aWorld,
            uint8_t aNode,
            const Output& aOutput,
            Content aOrigin,
            uint8_t aFrom);
  void SendFromCaller(World& aWorld, uint8_t aCaller, const std::string& aEcho);
  void Normalize(World& aWorld) const;
  bool IsDead(const World& aWorld, const Packet& aPacket) const;
  void Visit(World aWorld, const std::string& aEvent);
  void Check(const World& aWorld);
  void Found(Violation aViolation);
  static std::string Fingerprint(const World& aWorld);
  uint8_t CallerOf(Content aOrigin) const;

  Limits mLimits;
  MachineFactory mFactory;
  Report mReport;
  Violation mLookFor = Violation::None;
  std::vector<std::string> mContents;
  absl::flat_hash_map<std::string, Content> mContentIds;
  std::vector<History> mHistories;
  absl::flat_hash_map<std::pair<uint32_t, std::string>, std::unique_ptr<Step>>
    mSteps;
  absl::flat_hash_map<std::pair<uint8_t, uint8_t>, uint32_t> mRoots;
  absl::flat_hash_set<std::pair<uint64_t, uint64_t>> mSeen;
  std::vector<World> mNext;
  // Parent and event of each world, for the trace.
  std::vector<std::pair<uint32_t, std::string>> mOrigins;
  uint32_t mCurrent = 0;
  // Found while an event was applied; belongs to the world that follows.
  Violation mPending = Violation::None;
};

} // namespace foxtail::tests

#endif

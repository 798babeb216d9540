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
// late, repeatedly or never. This covers network partitions, packet loss and a
// balancer that pauses between a check and a send, so they are not separate
// events. Every decision is made by the code under test.

// One event that a balancer handles. Time is counted in ticks.
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
  // Flow, peer or upstream that the datagram came from; for Send the upstream
  // that the request goes to.
  uint8_t mWhere = 0;
  // Whether the view lists the incarnation that the datagram's Echo value
  // names.
  bool mPresent = false;
  uint32_t mSerial = 0;
  std::string mBytes;

  std::string Key() const;
};

// One action of a balancer in response to an event.
struct Output
{
  enum Kind : uint8_t
  {
    ToCaller,
    ToUpstream,
    // The caller's datagram is forwarded unchanged to the incarnation mWhere.
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

// One balancer process, from its start until it is killed.
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
  // Maximum number of arrivals of each datagram from a caller.
  uint8_t mCopies = 2;
  // Maximum number of arrivals of each datagram to an upstream. Upstreams
  // detect copies by their token.
  uint8_t mUpstreamCopies = 1;
  uint8_t mKills = 1;
  uint8_t mTicks = 1;
  uint8_t mUpstreams = 1;
  // Requests also arrive from a second address, whose answers reach the caller
  // too, as when an address translator gives the caller a new address.
  bool mMoves = false;
};

struct Report
{
  uint64_t mStates = 0;
  uint64_t mEvents = 0;
  Violation mViolation = Violation::None;
  // Events that led to the violation.
  std::vector<std::string> mTrace;
  // Numbers of states in which a caller has an answer, "not run" or "unknown",
  // counted for each caller, and of states in which a request ran.
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mUnknown = 0;
  uint64_t mRan = 0;
};

class Explorer
{
public:
  Explorer(const Limits& aLimits, MachineFactory aFactory);

  // Stops at the first violation of kind aLookFor, with None at the first of
  // any kind.
  Report Run(Violation aLookFor = Violation::None);

private:
  // Index of a datagram's bytes in mContents.
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
    // Balancer, upstream or caller; unused for requests, which reach any
    // balancer.
    uint8_t mTo;
    uint8_t mFrom;
    // How many more times the packet may be delivered.
    uint8_t mLeft;
    Content mBytes;
    // The caller's datagram that caused this packet.
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
    // Callers' datagrams that an upstream ran, one entry per run.
    std::vector<Content> mJournal;
    // Each distinct datagram that an upstream has received, and its answer.
    std::vector<std::pair<Content, Content>> mUpstreamAnswers;
    // Callers' datagrams that a balancer has answered with "not run".
    std::vector<Content> mSaidNotRun;
    uint8_t mNow = 0;
    uint8_t mKills = 0;
    uint8_t mIncarnations = 0;
    // Index in mOrigins.
    uint32_t mId = 0;
  };

  // The state of a machine is identified by its node, its incarnation and all
  // its inputs. Each history adds one input to its parent; a root has no input.
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
  // Runs the code under test, once for each history and input, and caches the
  // result in mSteps.
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
  // Violation found while an event was applied; Visit() reports it with the
  // world that results.
  Violation mPending = Violation::None;
};

} // namespace foxtail::tests

#endif

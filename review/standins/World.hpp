// Stand-ins for a small deployment around real foxtail-node processes: the
// platform's store, its routers and its process manager, endpoints and clients.
// Everything that the stand-ins send and receive follows PROTOCOL.md.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

// Milliseconds since the start of the program, on the steady clock.
int64_t
NowMs();

struct IpPort
{
  uint32_t mIp = 0; // host byte order
  uint16_t mPort = 0;
  bool operator<(const IpPort& aOther) const
  {
    return mIp != aOther.mIp ? mIp < aOther.mIp : mPort < aOther.mPort;
  }
  std::string Ip() const;
  std::string Text() const;
};

// Writes record.txt: one line per thing that was sent, answered or run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  FILE* mFile;
};

// The platform's metadata store: kv-range and kv-watch over HTTP/1.1.
class Store
{
public:
  Store(const IpPort& aListen, int64_t aHistoryMs);
  ~Store();
  // Writes a key. Returns the time of the acknowledgement.
  int64_t Put(const std::string& aKey, const std::string& aValue);
  int64_t Remove(const std::string& aKey);
  // Stops listening and closes all connections.
  void Close();

private:
  struct Item
  {
    std::string mValue;
    uint64_t mRevision = 0;
    uint64_t mCreated = 0;
  };
  struct Event
  {
    int64_t mAt = 0;
    uint64_t mRevision = 0;
    std::string mJson;
  };
  void Accept();
  void Serve(int aSocket);
  std::string Answer(const std::string& aPath, int& aStatus);
  std::string Range(const std::map<std::string, std::string>& aQuery);
  std::string Watch(const std::map<std::string, std::string>& aQuery,
                    int& aStatus);

  int mListener = -1;
  int64_t mHistoryMs;
  std::atomic<bool> mStop{ false };
  std::thread mAcceptor;
  std::vector<std::thread> mThreads;
  std::vector<int> mSockets;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  uint64_t mRevision = 100;
  uint64_t mDropped = 100;
};

// A machine with one foxtail-node process.
struct Machine
{
  std::string mName;
  std::string mZone;
  uint32_t mIp = 0;
  pid_t mPid = 0;
  int64_t mStartedAt = 0;
  // Time since which the process has run without a stop, kill or start; far in
  // the future while it does not run.
  int64_t mCalmSince = 0;
  std::atomic<bool> mInRotation{ false };
  int mMisses = 2;
};

struct Options
{
  std::string mRoot;
  std::string mScratch;
  std::string mRecordPath;
  std::string mScenario;
  bool mTrouble = true;
};

struct Endpoint
{
  std::string mId;
  uint64_t mInstance = 0;
  std::string mService;
  std::string mZone;
  IpPort mAddress;
  int mSocket = -1;
  std::string mState = "ready";
  bool mReachesStore = true;
  bool mRuns = true;
  bool mIsListed = false;
  int64_t mLastBeat = 0;
  uint64_t mSequence = 0;
  // When the store acknowledged that the endpoint is draining or gone; 0 while
  // it is ready.
  int64_t mLeftAt = 0;
  struct Flow
  {
    uint32_t mOpeningSeq = 0;
    // Next bytes that are expected from the client and sent to it.
    uint32_t mClientNext = 0;
    uint32_t mOwnNext = 0;
    uint32_t mEcho = 0;
    int64_t mSynAt = 0;
    bool mIsOpen = false;
    // The last answer, and the sequence number of its first byte.
    std::string mAnswer;
    uint32_t mAnswerSeq = 0;
  };
  std::map<std::pair<IpPort, IpPort>, Flow> mFlows; // client, route
};

// One attempt of a client: a flow with one request or, with pauses, several.
struct Attempt
{
  uint64_t mId = 0;
  IpPort mClient;
  IpPort mRoute;
  std::string mRouteName;
  Machine* mMachine = nullptr; // fixed for flows sent to one machine
  std::string mZone;
  int64_t mSentAt = 0;
  uint32_t mSeq = 0;
  uint32_t mNext = 0;
  uint32_t mPeerSeq = 0;
  uint32_t mEcho = 0;
  int mCopies = 0;
  bool mIsOpen = false;
  int mRequests = 1;
  int mAnswers = 0;
  bool mIsWaiting = false;
};

class World
{
public:
  World(const Options& aOptions);
  ~World();
  // Starts all machines; returns whether all became ready.
  bool Start(const std::vector<std::pair<std::string, int>>& aZones);
  // Runs events until aUntilMs.
  void RunUntil(int64_t aUntilMs);
  void At(int64_t aTime, std::function<void()> aWhat);

  Endpoint& AddEndpoint(const std::string& aId,
                        const std::string& aService,
                        const std::string& aZone);
  void WriteEntry(Endpoint& aEndpoint);
  void Drain(Endpoint& aEndpoint);
  void End(Endpoint& aEndpoint);
  void StopMachine(Machine& aMachine, int aSignal);
  void StartMachine(Machine& aMachine, const std::string& aStoreAddress = "");
  void WriteSettings(Machine& aMachine, const std::string& aStoreAddress);
  // Whether the machine's process has run undisturbed for stable_window_ms.
  bool IsInTouch(const Machine& aMachine) const;

  // Opens a flow with aRequests requests and a pause after each answer.
  // aMachine: sent to this machine only.
  void Send(const IpPort& aRoute,
            const std::string& aRouteName,
            const std::string& aZone,
            Machine* aMachine,
            int aRequests = 1);

  uint32_t Ip(int aNet, int aHost) const;
  Record& Log() { return mRecord; }
  void Broken(const std::string& aRule, const std::string& aText);
  int BrokenCount() const { return mBroken; }

  static constexpr int64_t kStableWindowMs = 4000;
  static constexpr int64_t kDrainMs = 3000;
  static constexpr int64_t kConfigMs = 3000;
  static constexpr int64_t kHeartbeatMs = 1200;
  static constexpr int64_t kGraceMs = 6000;

  Options mOptions;
  Record mRecord;
  uint32_t mNet = 0;
  uint16_t mPort = 0; // datagram port of all machines and clients
  IpPort mStoreAddress;
  std::unique_ptr<Store> mStore;
  std::deque<Machine> mMachines;
  std::deque<Endpoint> mEndpoints;
  std::mt19937_64 mRandom;
  // Called when a client attempt ends: kind is "200", "reset" or "none".
  std::function<void(const Attempt&, const std::string&)> mOnEnd;
  // Called when an endpoint takes a flow: the opening packet that it took came
  // from the machine at the given time.
  std::function<
    void(const Endpoint&, const Endpoint::Flow&, Machine*, uint64_t)>
    mOnOpened;
  // Called when a client gets a reset on an open flow.
  std::function<void(const Attempt&)> mOnResetOpen;
  uint64_t mSent = 0;
  uint64_t mAnswered = 0;

private:
  Machine* MachineFor(const Attempt& aAttempt);
  Machine* MachineAt(uint32_t aIp);
  void SendPacket(Attempt& aAttempt, uint8_t aFlags, const std::string& aData);
  void OnClientPacket(const std::string& aBytes, const IpPort& aClientSocket);
  void OnEndpointPacket(Endpoint& aEndpoint,
                        const std::string& aBytes,
                        const IpPort& aFrom);
  void Reply(Endpoint& aEndpoint,
             const IpPort& aClient,
             const IpPort& aRoute,
             uint8_t aFlags,
             uint32_t aSeq,
             uint32_t aAck,
             uint32_t aEcho,
             const std::string& aData);
  void CopyOpening(uint64_t aId);
  // Sends request number aNumber until it is answered.
  void Request(uint64_t aId, int aNumber);
  void Finish(Attempt& aAttempt, const std::string& aHow);
  void CheckReady();
  void Beat();
  void ReapMachines();

  struct Timer
  {
    int64_t mAt;
    uint64_t mOrder;
    std::function<void()> mWhat;
    bool operator>(const Timer& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> mTimers;
  uint64_t mOrder = 0;
  std::map<uint64_t, Attempt> mAttempts;
  std::map<std::pair<IpPort, IpPort>, uint64_t> mByFlow; // client, route
  std::map<uint32_t, int> mClientSockets;
  std::vector<std::thread> mProbes;
  std::atomic<bool> mStop{ false };
  uint64_t mLastId = 0;
  int mBroken = 0;
  uint16_t mNextClientPort = 20000;
};

} // namespace review

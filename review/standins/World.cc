#include "World.hpp"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t kHead = 36;
constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 32;
constexpr uint8_t kFin = 8;
constexpr uint8_t kRst = 2;
constexpr uint8_t kBounced = 16;
constexpr uint32_t kSumKey = 0x5bd1e995;
constexpr int64_t kDeadlineMs = 4000;
constexpr int64_t kOpeningMs = 1400;
constexpr int64_t kWorkMs = 47;
constexpr int64_t kRepeatMs = 200;
constexpr int64_t kPauseMs = 300;
constexpr uint32_t kResetWindow = 76800;

template<typename T>
void
Put(std::string& aBytes, size_t aAt, T aValue)
{
  for (size_t i = 0; i < sizeof(T); ++i) {
    aBytes[aAt + i] =
      static_cast<char>(aValue >> (8 * (sizeof(T) - 1 - i)) & 0xff);
  }
}

template<typename T>
T
Get(const std::string& aBytes, size_t aAt)
{
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>(value << 8 | static_cast<uint8_t>(aBytes[aAt + i]));
  }
  return value;
}

// Keyed sum over all fields but echo, pad, BOUNCED and the sum itself.
uint32_t
Sum(const std::string& aBytes)
{
  uint32_t h = kSumKey;
  for (size_t i = 0; i < aBytes.size(); ++i) {
    const bool skip = (i >= 15 && i < 20) || (i >= 28 && i < 36);
    uint8_t byte = skip ? 0 : static_cast<uint8_t>(aBytes[i]);
    if (i == 14) {
      byte &= static_cast<uint8_t>(~kBounced);
    }
    h = (h ^ byte) * 16777619U;
  }
  return h == 0 ? 1 : h;
}

std::string
MakePacket(const IpPort& aFrom,
           const IpPort& aTo,
           uint8_t aFlags,
           uint32_t aSeq,
           uint32_t aAck,
           uint32_t aEcho,
           const std::string& aData)
{
  std::string out(kHead, '\0');
  Put<uint16_t>(out, 0, static_cast<uint16_t>(aData.size()));
  Put<uint32_t>(out, 2, aTo.mIp);
  Put<uint16_t>(out, 6, aFrom.mPort);
  Put<uint16_t>(out, 8, aTo.mPort);
  Put<uint32_t>(out, 10, aFrom.mIp);
  out[14] = static_cast<char>(aFlags);
  Put<uint32_t>(out, 20, aSeq);
  Put<uint32_t>(out, 24, aAck);
  Put<uint32_t>(out, 28, aEcho);
  out += aData;
  Put<uint32_t>(out, 32, Sum(out));
  return out;
}

int
UdpSocket(const IpPort& aBind)
{
  const int s = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int size = 1 << 20;
  setsockopt(s, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aBind.mIp);
  address.sin_port = htons(aBind.mPort);
  if (bind(s, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(s);
    return -1;
  }
  return s;
}

void
SendTo(int aSocket, const IpPort& aTo, const std::string& aBytes)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aTo.mIp);
  address.sin_port = htons(aTo.mPort);
  sendto(aSocket,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<sockaddr*>(&address),
         sizeof(address));
}

std::string
RequestText(uint64_t aId, int aNumber)
{
  return "REQ " + std::to_string(aId) + "." + std::to_string(aNumber);
}

// One GET /v1/ready with a time-out; returns whether the answer was 200.
bool
AskReady(const IpPort& aTo)
{
  const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{ 0, 400000 };
  setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aTo.mIp);
  address.sin_port = htons(aTo.mPort);
  bool isReady = false;
  if (connect(s, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    const std::string request =
      "GET /v1/ready HTTP/1.1\r\nHost: " + aTo.Text() +
      "\r\nConnection: close\r\n\r\n";
    send(s, request.data(), request.size(), MSG_NOSIGNAL);
    char buf[64] = {};
    const ssize_t n = recv(s, buf, sizeof(buf) - 1, 0);
    isReady = n > 12 && std::strncmp(buf + 9, "200", 3) == 0;
  }
  close(s);
  return isReady;
}

const int64_t kStart = [] {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}();

} // namespace

int64_t
NowMs()
{
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000 - kStart;
}

std::string
IpPort::Ip() const
{
  char buf[INET_ADDRSTRLEN];
  const in_addr ip{ htonl(mIp) };
  inet_ntop(AF_INET, &ip, buf, sizeof(buf));
  return buf;
}

std::string
IpPort::Text() const
{
  return Ip() + ":" + std::to_string(mPort);
}

Record::Record(const std::string& aPath)
  : mFile(fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  fclose(mFile);
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const int64_t now = NowMs();
  fprintf(mFile,
          "%4lld.%03lld  %s\n",
          static_cast<long long>(now / 1000),
          static_cast<long long>(now % 1000),
          aText.c_str());
}

World::World(const Options& aOptions)
  : mOptions(aOptions)
  , mRecord(aOptions.mRecordPath)
  , mRandom(std::random_device{}())
{
  // A part of 127.0.0.0/8 and a port that nobody uses there.
  for (int i = 0; i < 100 && mPort == 0; ++i) {
    mNet = 0x7F000000U | (16 + mRandom() % 200) << 16;
    const auto port = static_cast<uint16_t>(21000 + mRandom() % 8000);
    const int s = UdpSocket({ mNet | 0x0101, port });
    if (s >= 0) {
      close(s);
      mPort = port;
    }
  }
  mStoreAddress = { Ip(9, 1), static_cast<uint16_t>(mPort + 5) };
  mStore = std::make_unique<Store>(mStoreAddress, 20000);
}

World::~World()
{
  mStop = true;
  for (std::thread& it : mProbes) {
    it.join();
  }
  for (Machine& it : mMachines) {
    if (it.mPid > 0) {
      kill(it.mPid, SIGCONT);
      kill(it.mPid, SIGKILL);
      waitpid(it.mPid, nullptr, 0);
    }
  }
  mStore->Close();
}

uint32_t
World::Ip(int aNet, int aHost) const
{
  return mNet | static_cast<uint32_t>(aNet) << 8 | static_cast<uint32_t>(aHost);
}

void
World::At(int64_t aTime, std::function<void()> aWhat)
{
  mTimers.push({ aTime, ++mOrder, std::move(aWhat) });
}

void
World::Broken(const std::string& aRule, const std::string& aText)
{
  ++mBroken;
  mRecord.Line("BROKEN " + aRule + ": " + aText);
}

void
World::WriteSettings(Machine& aMachine, const std::string& aStoreAddress)
{
  const std::string ip = IpPort{ aMachine.mIp, 0 }.Ip();
  const std::string port = std::to_string(mPort);
  std::string seeds;
  std::map<std::string, bool> hasSeed;
  for (const Machine& it : mMachines) {
    if (!hasSeed[it.mZone]) {
      hasSeed[it.mZone] = true;
      seeds += seeds.empty() ? "" : ", ";
      seeds += "\"" + IpPort{ it.mIp, 0 }.Ip() + ":" +
               std::to_string(mPort + 2) + "\"";
    }
  }
  const std::string path = mOptions.mScratch + "/" + aMachine.mName + ".json";
  std::ofstream out(path + ".new");
  out << "{\"node\": \"" << aMachine.mName
      << "\", \"role\": \"balancer\", \"machine_class\": \"front\", "
         "\"serves\": [\"front\", \"control\"], \"ip\": \""
      << ip << "\", \"zone\": \"" << aMachine.mZone
      << "\", \"region\": \"souss\", \"listen\": {\"datagram_addr\": \"" << ip
      << ":" << port << "\", \"ready_addr\": \"" << ip << ":" << mPort + 1
      << "\", \"control\": \"" << ip << ":" << mPort + 2
      << "\"}, \"internal_ports\": [" << mPort + 10 << ", " << mPort + 25
      << "], \"seeds\": [" << seeds
      << "], \"bootstrap\": true, \"limits\": {\"cpu_share\": 0.25, \"cores\": "
         "1, \"memory_mb\": 260, \"max_fds\": 4100, \"link_mbps\": 1000.0, "
         "\"disk_mb\": 0}, \"data_dir\": null, \"heartbeat_ms\": 1200, "
         "\"fault_tolerance\": {\"machines\": 2, \"zones\": 1, \"regions\": "
         "0}, \"bounds\": {\"seed_lag_s\": 3, \"reuse_after_s\": 2, "
         "\"stable_window_ms\": 4000, \"ack_ms\": 5000, \"catch_up_s\": 4, "
         "\"drain_ms\": 3000, \"grace_s\": 6, \"loss_slack_ms\": 200, "
         "\"config_apply_ms\": 3000, \"rollback_slack_ms\": 250, "
         "\"max_stretch_ms\": 12000, \"recovery_s\": 12, "
         "\"reorder_window_ms\": 2000, \"max_flow_s\": 60}, \"flow_hash\": "
         "\"mod\", \"access_mode\": \"echo\", \"platform\": {\"address\": \""
      << (aStoreAddress.empty() ? mStoreAddress.Text() : aStoreAddress)
      << "\", \"access_mode\": \"read\", \"writes_per_s\": 400, "
         "\"reads_per_s\": 2000, \"history_s\": 20, \"value_bytes\": 1048576, "
         "\"ttl_min_ms\": 1000}}\n";
  out.close();
  rename((path + ".new").c_str(), path.c_str());
}

void
World::StartMachine(Machine& aMachine, const std::string& aStoreAddress)
{
  WriteSettings(aMachine, aStoreAddress);
  // The build line's program and the words of the run line.
  const std::string settings = "FOXTAILCOVE_NODE_FILE=" + mOptions.mScratch +
                               "/" + aMachine.mName + ".json";
  const std::string log = mOptions.mScratch + "/" + aMachine.mName + ".log";
  const char* const path = getenv("PATH");
  const char* const home = getenv("HOME");
  const std::string pathWord = std::string("PATH=") + (path ? path : "");
  const std::string homeWord = std::string("HOME=") + (home ? home : "");
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(mOptions.mRoot.c_str()) != 0) {
      _exit(127);
    }
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, 1);
    dup2(file, 2);
    const char* const words[] = { "target/bin/foxtail-node",
                                  "--status_port=9464",
                                  nullptr };
    const char* const environment[] = {
      settings.c_str(), pathWord.c_str(), homeWord.c_str(), nullptr
    };
    execve(words[0],
           const_cast<char* const*>(words),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  aMachine.mPid = pid;
  aMachine.mStartedAt = aMachine.mCalmSince = NowMs();
  mRecord.Line("machine " + aMachine.mName + " starts, pid " +
               std::to_string(pid));
}

void
World::StopMachine(Machine& aMachine, int aSignal)
{
  mRecord.Line("machine " + aMachine.mName + " gets signal " +
               std::to_string(aSignal));
  aMachine.mCalmSince = INT64_MAX / 2;
  kill(aMachine.mPid, aSignal);
  const pid_t pid = aMachine.mPid;
  At(NowMs() + kGraceMs, [this, &aMachine, pid] {
    if (aMachine.mPid == pid) {
      mRecord.Line("machine " + aMachine.mName + " is killed after grace_s");
      kill(pid, SIGKILL);
    }
  });
}

void
World::ReapMachines()
{
  for (Machine& it : mMachines) {
    int status = 0;
    if (it.mPid > 0 && waitpid(it.mPid, &status, WNOHANG) == it.mPid) {
      mRecord.Line("machine " + it.mName + " ended, status " +
                   std::to_string(status));
      it.mPid = 0;
      it.mCalmSince = INT64_MAX / 2;
      At(NowMs() + 300, [this, &it] { StartMachine(it); });
    }
  }
}

bool
World::IsInTouch(const Machine& aMachine) const
{
  return NowMs() - aMachine.mCalmSince >= kStableWindowMs;
}

bool
World::Start(const std::vector<std::pair<std::string, int>>& aZones)
{
  int zone = 0;
  for (const auto& [name, count] : aZones) {
    ++zone;
    for (int i = 1; i <= count; ++i) {
      Machine& it = mMachines.emplace_back();
      it.mName = "front-" + name + "-" + std::to_string(i);
      it.mZone = name;
      it.mIp = Ip(zone, 10 + i);
    }
  }
  for (Machine& it : mMachines) {
    StartMachine(it);
  }
  // The routers ask each machine twice a second.
  for (Machine& it : mMachines) {
    mProbes.emplace_back([this, &it] {
      while (!mStop) {
        if (AskReady({ it.mIp, static_cast<uint16_t>(mPort + 1) })) {
          it.mMisses = 0;
          it.mInRotation = true;
        } else if (++it.mMisses >= 2) {
          it.mInRotation = false;
        }
        for (int i = 0; i < 10 && !mStop; ++i) {
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      }
    });
  }
  const int64_t end = NowMs() + 20000;
  while (NowMs() < end) {
    RunUntil(NowMs() + 100);
    if (std::all_of(mMachines.begin(), mMachines.end(), [](const Machine& it) {
          return it.mInRotation.load();
        })) {
      return true;
    }
  }
  return false;
}

Endpoint&
World::AddEndpoint(const std::string& aId,
                   const std::string& aService,
                   const std::string& aZone)
{
  Endpoint& out = mEndpoints.emplace_back();
  out.mId = aId;
  out.mInstance = std::stoull(aId.substr(aId.rfind('-') + 1), nullptr, 16);
  out.mService = aService;
  out.mZone = aZone;
  out.mAddress = { Ip(20, static_cast<int>(mEndpoints.size())),
                   static_cast<uint16_t>(mPort + 40) };
  out.mSocket = UdpSocket(out.mAddress);
  if (out.mSocket < 0) {
    throw std::runtime_error("cannot bind " + out.mAddress.Text());
  }
  WriteEntry(out);
  return out;
}

void
World::WriteEntry(Endpoint& aEndpoint)
{
  aEndpoint.mLastBeat = NowMs();
  const bool isChange = !aEndpoint.mIsListed;
  ++aEndpoint.mSequence;
  aEndpoint.mIsListed = true;
  const int64_t at = mStore->Put(
    "servers/" + aEndpoint.mId,
    "{\"service\":\"" + aEndpoint.mService + "\",\"address\":\"" +
      aEndpoint.mAddress.Text() + "\",\"zone\":\"" + aEndpoint.mZone +
      "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + aEndpoint.mState +
      "\",\"cold_remaining_ms\":0,\"sequence\":" +
      std::to_string(aEndpoint.mSequence) + "}");
  if (aEndpoint.mState == "ready") {
    aEndpoint.mLeftAt = 0;
  } else if (aEndpoint.mLeftAt == 0) {
    aEndpoint.mLeftAt = at;
  }
  if (isChange || aEndpoint.mState != "ready") {
    mRecord.Line("store acknowledges " + aEndpoint.mId + " (" +
                 aEndpoint.mService + ") " + aEndpoint.mState);
  }
}

void
World::Drain(Endpoint& aEndpoint)
{
  aEndpoint.mState = "draining";
  WriteEntry(aEndpoint);
}

void
World::End(Endpoint& aEndpoint)
{
  aEndpoint.mRuns = false;
  aEndpoint.mIsListed = false;
  const int64_t at = mStore->Remove("servers/" + aEndpoint.mId);
  aEndpoint.mLeftAt = aEndpoint.mLeftAt == 0 ? at : aEndpoint.mLeftAt;
  mRecord.Line("endpoint " + aEndpoint.mId + " ends, its entry is removed");
}

// Endpoints tell the store that they live; an entry whose endpoint is silent
// for three heartbeat intervals is removed. An entry changes only when more
// than its sequence changes.
void
World::Beat()
{
  for (Endpoint& it : mEndpoints) {
    if (!it.mRuns) {
      continue;
    }
    if (it.mReachesStore) {
      if (NowMs() - it.mLastBeat >= kHeartbeatMs) {
        if (it.mIsListed) {
          it.mLastBeat = NowMs();
        } else {
          WriteEntry(it);
        }
      }
    } else if (it.mIsListed && NowMs() - it.mLastBeat >= 3 * kHeartbeatMs) {
      it.mIsListed = false;
      const int64_t at = mStore->Remove("servers/" + it.mId);
      it.mLeftAt = it.mLeftAt == 0 ? at : it.mLeftAt;
      mRecord.Line("store removes " + it.mId + " (" + it.mService +
                   "): silent for three heartbeat intervals");
    }
  }
  At(NowMs() + 20, [this] { Beat(); });
}

// Routers and clients.

Machine*
World::MachineFor(const Attempt& aAttempt)
{
  if (aAttempt.mMachine != nullptr) {
    return aAttempt.mMachine;
  }
  std::vector<Machine*> all;
  std::vector<Machine*> ready;
  for (Machine& it : mMachines) {
    if (it.mZone == aAttempt.mZone) {
      all.push_back(&it);
      if (it.mInRotation) {
        ready.push_back(&it);
      }
    }
  }
  auto& pool = ready.size() * 2 < all.size() ? all : ready;
  const uint64_t hash = (aAttempt.mClient.mIp * 2654435761U) ^
                        (aAttempt.mClient.mPort * 40503U) ^
                        (aAttempt.mRoute.mIp * 97U + aAttempt.mRoute.mPort);
  return pool[hash % pool.size()];
}

Machine*
World::MachineAt(uint32_t aIp)
{
  for (Machine& it : mMachines) {
    if (it.mIp == aIp) {
      return &it;
    }
  }
  return nullptr;
}

void
World::SendPacket(Attempt& aAttempt, uint8_t aFlags, const std::string& aData)
{
  Machine* const machine = MachineFor(aAttempt);
  const bool isSyn = (aFlags & kSyn) != 0;
  const uint32_t seq = isSyn ? aAttempt.mSeq : aAttempt.mNext;
  const uint32_t ack =
    isSyn ? static_cast<uint32_t>(aAttempt.mCopies) : aAttempt.mPeerSeq;
  SendTo(mClientSockets.at(aAttempt.mClient.mIp),
         { machine->mIp, mPort },
         MakePacket(aAttempt.mClient,
                    aAttempt.mRoute,
                    aFlags,
                    seq,
                    ack,
                    isSyn ? 0 : aAttempt.mEcho,
                    aData));
}

void
World::Send(const IpPort& aRoute,
            const std::string& aRouteName,
            const std::string& aZone,
            Machine* aMachine,
            int aRequests)
{
  Attempt attempt;
  attempt.mId = ++mLastId;
  if (mNextClientPort >= 60000) {
    mNextClientPort = 20000;
  }
  attempt.mClient = { Ip(30, static_cast<int>(1 + mLastId % 40)),
                      mNextClientPort++ };
  attempt.mRoute = aRoute;
  attempt.mRouteName = aRouteName;
  attempt.mZone = aZone;
  attempt.mMachine = aMachine;
  attempt.mRequests = aRequests;
  attempt.mSentAt = NowMs();
  attempt.mSeq = static_cast<uint32_t>(mRandom());
  attempt.mNext = attempt.mSeq + 1;
  if (mClientSockets.count(attempt.mClient.mIp) == 0) {
    const int s = UdpSocket({ attempt.mClient.mIp, mPort });
    if (s < 0) {
      throw std::runtime_error("cannot bind a client");
    }
    mClientSockets[attempt.mClient.mIp] = s;
  }
  ++mSent;
  mByFlow[{ attempt.mClient, attempt.mRoute }] = attempt.mId;
  Attempt& stored = mAttempts[attempt.mId] = attempt;
  SendPacket(stored, kSyn, "");
  const uint64_t id = attempt.mId;
  At(attempt.mSentAt + 200, [this, id] { CopyOpening(id); });
  At(attempt.mSentAt + 600, [this, id] { CopyOpening(id); });
  At(attempt.mSentAt + kOpeningMs, [this, id] {
    const auto it = mAttempts.find(id);
    if (it != mAttempts.end() && !it->second.mIsOpen) {
      Finish(it->second, "none");
    }
  });
  At(attempt.mSentAt + kDeadlineMs * aRequests, [this, id] {
    const auto it = mAttempts.find(id);
    if (it != mAttempts.end()) {
      Finish(it->second, "none");
    }
  });
}

void
World::CopyOpening(uint64_t aId)
{
  const auto it = mAttempts.find(aId);
  if (it != mAttempts.end() && !it->second.mIsOpen) {
    ++it->second.mCopies;
    SendPacket(it->second, kSyn, "");
  }
}

void
World::Request(uint64_t aId, int aNumber)
{
  const auto it = mAttempts.find(aId);
  if (it == mAttempts.end() || it->second.mAnswers != aNumber) {
    return;
  }
  it->second.mIsWaiting = true;
  SendPacket(it->second, kAck, RequestText(aId, aNumber));
  At(NowMs() + kRepeatMs, [this, aId, aNumber] { Request(aId, aNumber); });
}

void
World::Finish(Attempt& aAttempt, const std::string& aHow)
{
  const Attempt attempt = aAttempt;
  mRecord.Line("client " + std::to_string(attempt.mId) + " (" +
               attempt.mRouteName + ", sent " +
               std::to_string(NowMs() - attempt.mSentAt) + " ms ago" +
               (attempt.mMachine ? " to " + attempt.mMachine->mName : "") +
               ") gets " + aHow);
  mAnswered += aHow == "200" ? 1 : 0;
  mByFlow.erase({ attempt.mClient, attempt.mRoute });
  mAttempts.erase(attempt.mId);
  if (mOnEnd) {
    mOnEnd(attempt, aHow);
  }
}

void
World::OnClientPacket(const std::string& aBytes, const IpPort& aClientSocket)
{
  if (aBytes.size() < kHead) {
    return;
  }
  const IpPort route{ Get<uint32_t>(aBytes, 10), Get<uint16_t>(aBytes, 6) };
  const IpPort client{ Get<uint32_t>(aBytes, 2), Get<uint16_t>(aBytes, 8) };
  const auto flow = mByFlow.find({ client, route });
  if (client.mIp != aClientSocket.mIp || flow == mByFlow.end()) {
    return;
  }
  Attempt& attempt = mAttempts.at(flow->second);
  const auto flags = static_cast<uint8_t>(aBytes[14]);
  const auto seq = Get<uint32_t>(aBytes, 20);
  const auto ack = Get<uint32_t>(aBytes, 24);
  const auto sum = Get<uint32_t>(aBytes, 32);
  if ((flags & kRst) != 0 && sum == 0) {
    // A reset of the system.
    const bool inWindow = seq - attempt.mPeerSeq < kResetWindow ||
                          attempt.mPeerSeq - seq < kResetWindow;
    if (!attempt.mIsOpen) {
      Finish(attempt, "reset");
    } else if (inWindow) {
      if (mOnResetOpen) {
        mOnResetOpen(attempt);
      }
      Finish(attempt, "reset while open");
    }
    return;
  }
  if (sum != Sum(aBytes)) {
    Broken("MIXED", "a client got a packet that its sender didn't write so");
    return;
  }
  if ((flags & kSyn) != 0) {
    if (!attempt.mIsOpen && ack == attempt.mSeq + 1) {
      attempt.mIsOpen = true;
      attempt.mPeerSeq = seq + 1;
      attempt.mEcho = Get<uint32_t>(aBytes, 28);
      Request(attempt.mId, 0);
    }
    return;
  }
  if (!attempt.mIsOpen) {
    if ((flags & kRst) != 0) {
      Finish(attempt, "reset by an endpoint");
    }
    return;
  }
  if ((flags & kRst) != 0) {
    // The data says which endpoint sent the reset.
    if (mOnResetOpen) {
      mOnResetOpen(attempt);
    }
    Finish(attempt, "reset by " + aBytes.substr(kHead) + " while open");
    return;
  }
  if (seq != attempt.mPeerSeq || !attempt.mIsWaiting) {
    return;
  }
  attempt.mEcho = Get<uint32_t>(aBytes, 28);
  const std::string data = aBytes.substr(kHead);
  const std::string request = RequestText(attempt.mId, attempt.mAnswers);
  if (data.rfind("200 " + request + " ", 0) != 0) {
    Broken("MIXED", "a client got the answer of another request: " + data);
  }
  attempt.mPeerSeq += static_cast<uint32_t>(data.size());
  attempt.mNext += static_cast<uint32_t>(request.size());
  attempt.mIsWaiting = false;
  ++attempt.mAnswers;
  if (attempt.mAnswers < attempt.mRequests) {
    SendPacket(attempt, kAck, "");
    const uint64_t id = attempt.mId;
    const int number = attempt.mAnswers;
    At(NowMs() + kPauseMs, [this, id, number] { Request(id, number); });
    return;
  }
  SendPacket(attempt, kAck, "");
  SendPacket(attempt, kAck | kFin, "");
  Finish(attempt, "200");
}

// Endpoints.

void
World::Reply(Endpoint& aEndpoint,
             const IpPort& aClient,
             const IpPort& aRoute,
             uint8_t aFlags,
             uint32_t aSeq,
             uint32_t aAck,
             uint32_t aEcho,
             const std::string& aData)
{
  SendTo(aEndpoint.mSocket,
         { aClient.mIp, mPort },
         MakePacket(aRoute, aClient, aFlags, aSeq, aAck, aEcho, aData));
}

void
World::OnEndpointPacket(Endpoint& aEndpoint,
                        const std::string& aBytes,
                        const IpPort& aFrom)
{
  if (!aEndpoint.mRuns || aBytes.size() < 8 + kHead) {
    return;
  }
  const auto instance = Get<uint64_t>(aBytes, 0);
  if (instance != 0 && instance != aEndpoint.mInstance) {
    return;
  }
  const std::string packet = aBytes.substr(8);
  const IpPort client{ Get<uint32_t>(packet, 10), Get<uint16_t>(packet, 6) };
  const IpPort route{ Get<uint32_t>(packet, 2), Get<uint16_t>(packet, 8) };
  const auto flags = static_cast<uint8_t>(packet[14]);
  const auto seq = Get<uint32_t>(packet, 20);
  const auto echo = Get<uint32_t>(packet, 28);
  if (Get<uint32_t>(packet, 32) != Sum(packet)) {
    Broken("UNASKED", "an endpoint got a packet that its sender didn't write");
    return;
  }
  const auto key = std::make_pair(client, route);
  const auto known = aEndpoint.mFlows.find(key);
  if ((flags & kSyn) != 0) {
    Endpoint::Flow& flow = aEndpoint.mFlows[key];
    if (flow.mOpeningSeq != seq || flow.mClientNext == 0) {
      flow = {};
      flow.mOpeningSeq = seq;
      flow.mClientNext = seq + 1;
      flow.mOwnNext = static_cast<uint32_t>(mRandom());
      flow.mSynAt = NowMs();
    }
    if (flow.mIsOpen) {
      return;
    }
    Reply(aEndpoint,
          client,
          route,
          kSyn | kAck,
          flow.mOwnNext,
          flow.mClientNext,
          echo,
          "");
    return;
  }
  const auto ack = Get<uint32_t>(packet, 24);
  const bool isHeld =
    known != aEndpoint.mFlows.end() &&
    (known->second.mIsOpen || ack == known->second.mOwnNext + 1);
  if (!isHeld) {
    // A flow that it doesn't hold. The data tells the record who sent this.
    if ((flags & kRst) == 0) {
      Reply(aEndpoint, client, route, kRst, ack, seq, echo, aEndpoint.mId);
    }
    return;
  }
  Endpoint::Flow& flow = known->second;
  flow.mEcho = echo;
  const std::string data = packet.substr(kHead);
  const std::string request = data.empty() ? "" : data.substr(4);
  if (!flow.mIsOpen) {
    flow.mIsOpen = true;
    ++flow.mOwnNext;
    const uint64_t id = data.empty() ? 0 : std::stoull(request);
    if (mOnOpened) {
      mOnOpened(aEndpoint, flow, MachineAt(aFrom.mIp), id);
    }
  }
  if (data.empty()) {
    return;
  }
  const auto answer = [this, &aEndpoint, key] {
    const auto it = aEndpoint.mFlows.find(key);
    if (it != aEndpoint.mFlows.end() && aEndpoint.mRuns) {
      Reply(aEndpoint,
            key.first,
            key.second,
            kAck,
            it->second.mAnswerSeq,
            it->second.mClientNext,
            it->second.mEcho,
            it->second.mAnswer);
    }
  };
  if (seq == flow.mClientNext) {
    mRecord.Line("endpoint " + aEndpoint.mId + " runs " + request + " of " +
                 aEndpoint.mService);
    flow.mClientNext += static_cast<uint32_t>(data.size());
    flow.mAnswer.clear();
    const std::string text = "200 " + data + " from " + aEndpoint.mId;
    At(NowMs() + kWorkMs, [&aEndpoint, key, text, answer] {
      const auto it = aEndpoint.mFlows.find(key);
      if (it != aEndpoint.mFlows.end()) {
        it->second.mAnswer = text;
        it->second.mAnswerSeq = it->second.mOwnNext;
        it->second.mOwnNext += static_cast<uint32_t>(text.size());
        answer();
      }
    });
  } else if (!flow.mAnswer.empty()) {
    answer();
  }
}

void
World::RunUntil(int64_t aUntilMs)
{
  if (mOrder == 0) {
    Beat();
  }
  std::vector<pollfd> items;
  char buf[2048];
  while (NowMs() < aUntilMs) {
    while (!mTimers.empty() && mTimers.top().mAt <= NowMs()) {
      const auto what = mTimers.top().mWhat;
      mTimers.pop();
      what();
    }
    ReapMachines();
    items.clear();
    for (const Endpoint& it : mEndpoints) {
      items.push_back({ it.mSocket, POLLIN, 0 });
    }
    std::vector<uint32_t> clients;
    for (const auto& [ip, s] : mClientSockets) {
      items.push_back({ s, POLLIN, 0 });
      clients.push_back(ip);
    }
    const int64_t next =
      mTimers.empty() ? aUntilMs : std::min(aUntilMs, mTimers.top().mAt);
    poll(items.data(),
         items.size(),
         static_cast<int>(std::clamp<int64_t>(next - NowMs(), 0, 20)));
    for (size_t i = 0; i < items.size(); ++i) {
      if ((items[i].revents & POLLIN) == 0) {
        continue;
      }
      for (int k = 0; k < 64; ++k) {
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        const ssize_t n = recvfrom(items[i].fd,
                                   buf,
                                   sizeof(buf),
                                   MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&from),
                                   &size);
        if (n < 0) {
          break;
        }
        const std::string bytes(buf, static_cast<size_t>(n));
        const IpPort sender{ ntohl(from.sin_addr.s_addr),
                             ntohs(from.sin_port) };
        if (i < mEndpoints.size()) {
          OnEndpointPacket(mEndpoints[i], bytes, sender);
        } else {
          OnClientPacket(bytes, { clients[i - mEndpoints.size()], mPort });
        }
      }
    }
  }
}

} // namespace review

#include "foxtail/net/HttpCaller.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>

#include <poll.h>
#include <sys/socket.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"

#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

constexpr int kUnreachable = 801;
constexpr int kNoAnswer = 802;
constexpr int kTooLarge = 805;
constexpr int kCutShort = 807;
constexpr int kStopped = 809;

// The blank line after the headers, and the ": " and line end of each header.
constexpr uint64_t kBlankLineBytes = 2;
constexpr uint64_t kHeaderFrameBytes = 4;

uint64_t
HeaderBytes(const httplib::Headers& aHeaders)
{
  uint64_t n = kBlankLineBytes;
  for (const auto& it : aHeaders) {
    n += it.first.size() + it.second.size() + kHeaderFrameBytes;
  }
  return n;
}

uint64_t
RequestBytes(const std::string& aPath, const httplib::Headers& aHeaders)
{
  constexpr std::string_view kLine = "GET  HTTP/1.1\r\n";
  return kLine.size() + aPath.size() + HeaderBytes(aHeaders);
}

uint64_t
ResponseHeadBytes(const httplib::Response& aResponse)
{
  constexpr std::string_view kLine = "HTTP/1.1 200 \r\n";
  return kLine.size() + aResponse.reason.size() +
         HeaderBytes(aResponse.headers);
}

// Returns all headers of a request, so that the library adds none of its own.
httplib::Headers
RequestHeaders(const Address& aAddress)
{
  return { { "Host", aAddress.ToString() },
           { "Accept", "application/json" },
           { "User-Agent", "foxtailcove" } };
}

// Whether the answer announces a body of more than aMaxBody bytes.
bool
AnnouncesMoreThan(const httplib::Response& aResponse, size_t aMaxBody)
{
  uint64_t length = 0;
  return absl::SimpleAtoi(aResponse.get_header_value("Content-Length"),
                          &length) &&
         length > aMaxBody;
}

void
TakeHead(const httplib::Response& aResponse, CallResult& aOut)
{
  aOut.mStatus = aResponse.status;
  aOut.mHeaders.assign(aResponse.headers.begin(), aResponse.headers.end());
}

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

// Reads and writes a connected socket until the deadline of the call passes.
class DeadlineStream : public httplib::Stream
{
public:
  DeadlineStream(int aSocket, AnswerDeadline& aDeadline)
    : mSocket(aSocket)
    , mDeadline(aDeadline)
  {
  }

  bool is_readable() const override { return Wait(POLLIN); }
  bool is_writable() const override { return Wait(POLLOUT); }

  ssize_t read(char* aOut, size_t aSize) override
  {
    if (mBegin == mEnd) {
      const ssize_t received = Receive();
      if (received <= 0) {
        return received;
      }
    }
    const size_t n = std::min(aSize, mEnd - mBegin);
    std::memcpy(aOut, mBuffer.data() + mBegin, n);
    mBegin += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char* aBytes, size_t aSize) override
  {
    return Wait(POLLOUT) ? send(mSocket, aBytes, aSize, MSG_NOSIGNAL) : -1;
  }

  // Needed only by servers.
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}

  socket_t socket() const override { return mSocket; }

private:
  bool Wait(short aEvents) const
  {
    pollfd item{ mSocket, aEvents, 0 };
    for (;;) {
      const Duration left = mDeadline.Next() - Now();
      if (left <= Duration(0)) {
        return false;
      }
      const auto rounded = std::chrono::ceil<milliseconds>(left).count();
      const int n = poll(&item, 1, static_cast<int>(rounded));
      const bool isInterrupted = n < 0 && errno == EINTR;
      if (n > 0 || (n < 0 && !isInterrupted)) {
        return n > 0;
      }
    }
  }

  ssize_t Receive()
  {
    if (!Wait(POLLIN)) {
      return -1;
    }
    ssize_t n = -1;
    do {
      n = recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    } while (n < 0 && errno == EINTR);
    if (n > 0) {
      mBegin = 0;
      mEnd = static_cast<size_t>(n);
      mDeadline.OnBytes(Now(), mEnd);
    }
    return n;
  }

  static constexpr size_t kBufferBytes = 16 << 10;

  int mSocket;
  AnswerDeadline& mDeadline;
  std::array<char, kBufferBytes> mBuffer;
  size_t mBegin = 0;
  size_t mEnd = 0;
};

// HTTP client whose calls end at a deadline that moves while bytes arrive.
class DeadlineClient : public httplib::ClientImpl
{
public:
  using httplib::ClientImpl::ClientImpl;

  // Set before each call.
  std::optional<AnswerDeadline> mDeadline;

private:
  bool process_socket(
    const Socket& aSocket,
    std::function<bool(httplib::Stream& aStream)> aCallback) override
  {
    DeadlineStream stream(aSocket.sock, *mDeadline);
    return aCallback(stream);
  }
};

std::string
DescribeTimeout(const AnswerDeadline& aDeadline,
                milliseconds aWait,
                const CallTimeouts& aTimeouts,
                uint64_t aReceived)
{
  switch (aDeadline.NextLimit()) {
    case AnswerDeadline::Limit::FirstBytes:
      return absl::StrCat(
        "no answer within ", (aWait + aTimeouts.mAnswer).count(), " ms");
    case AnswerDeadline::Limit::Progress:
      return absl::StrCat("the answer stalled after ",
                          aReceived,
                          " bytes: fewer than ",
                          AnswerDeadline::kMinProgress,
                          " bytes in ",
                          aTimeouts.mStall.count(),
                          " ms");
    case AnswerDeadline::Limit::Transfer:
      break;
  }
  return absl::StrCat("the answer was not complete within ",
                      aTimeouts.mTransfer.count(),
                      " ms, after ",
                      aReceived,
                      " bytes");
}

} // namespace

std::optional<std::string>
CallResult::Header(const std::string& aName) const
{
  std::optional<std::string> out;
  for (const auto& [name, value] : mHeaders) {
    if (absl::EqualsIgnoreCase(name, aName)) {
      out = out ? absl::StrCat(*out, ", ", value) : value;
    }
  }
  return out;
}

struct HttpCaller::State
{
  explicit State(const Address& aAddress)
    : mClient(aAddress.IpString(), aAddress.mPort)
    , mHeaders(RequestHeaders(aAddress))
  {
  }

  DeadlineClient mClient;
  httplib::Headers mHeaders;
  std::atomic<bool> mStopped{ false };
};

HttpCaller::HttpCaller(const std::string& aName,
                       const Address& aAddress,
                       CallTimeouts aTimeouts,
                       size_t aMaxBody)
  : mWhere(absl::StrCat(aName, " ", aAddress.ToString()))
  , mTimeouts(aTimeouts)
  , mMaxBody(aMaxBody)
  , mState(std::make_unique<State>(aAddress))
{
  DeadlineClient& client = mState->mClient;
  client.set_connection_timeout(aTimeouts.mConnect);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
}

HttpCaller::~HttpCaller() = default;

void
HttpCaller::AcceptCompressed()
{
  mState->mHeaders.emplace("Accept-Encoding", "gzip");
}

void
HttpCaller::Stop()
{
  mState->mStopped = true;
  mState->mClient.stop();
}

CallResult
HttpCaller::Get(const std::string& aPath,
                milliseconds aWait,
                OversizedAnswer aOversized)
{
  const bool keepsStart = aOversized == OversizedAnswer::KeepStart;
  const std::string where = absl::StrCat(mWhere, aPath);
  CallResult out;
  TimePoint headAt;
  bool tooLarge = false;
  mLastBytes = {};
  if (mState->mStopped) {
    throw PlatformError(kStopped, where, "the client was stopped");
  }
  std::optional<AnswerDeadline>& deadline = mState->mClient.mDeadline;
  deadline.emplace(Now(), aWait, mTimeouts);
  const auto result = mState->mClient.Get(
    aPath,
    mState->mHeaders,
    [&](const httplib::Response& aResponse) {
      headAt = Now();
      mLastBytes.mReceived += ResponseHeadBytes(aResponse);
      TakeHead(aResponse, out);
      tooLarge = !keepsStart && AnnouncesMoreThan(aResponse, mMaxBody);
      return !tooLarge;
    },
    [&](const char* aBytes, size_t n) {
      mLastBytes.mReceived += n;
      tooLarge = n > mMaxBody - out.mBody.size();
      out.mBody.append(aBytes, std::min(n, mMaxBody - out.mBody.size()));
      return !tooLarge && !deadline->HasPassed(Now());
    });
  mLastBytes.mSent = RequestBytes(aPath, mState->mHeaders);
  // A body that ends incomplete at exactly the limit was cut there because of
  // its size, and would be cut again.
  tooLarge = tooLarge || (!result && out.mBody.size() == mMaxBody);
  out.mIsPartial = tooLarge && keepsStart && !mState->mStopped;
  // The library does not report the head of an answer that has no body.
  if (result) {
    TakeHead(*result, out);
  }
  if (result || out.mIsPartial) {
    out.mTransferTime =
      std::chrono::duration_cast<milliseconds>(Now() - headAt);
    return out;
  }
  if (mState->mStopped) {
    throw PlatformError(kStopped, where, "the client was stopped");
  }
  if (tooLarge) {
    throw PlatformError(
      kTooLarge, where, absl::StrCat("expected at most ", mMaxBody, " bytes"));
  }
  if (result.error() == httplib::Error::ConnectionTimeout) {
    throw PlatformError(
      kNoAnswer,
      where,
      absl::StrCat("no connection within ", mTimeouts.mConnect.count(), " ms"));
  }
  if (deadline->HasPassed(Now())) {
    throw PlatformError(
      kNoAnswer,
      where,
      DescribeTimeout(*deadline, aWait, mTimeouts, mLastBytes.mReceived));
  }
  if (mLastBytes.mReceived > 0) {
    throw PlatformError(kCutShort, where, "the answer was truncated");
  }
  throw PlatformError(kUnreachable,
                      where,
                      absl::StrCat("not reachable (",
                                   httplib::to_string(result.error()),
                                   "); check the address and the server"));
}

} // namespace foxtail::net

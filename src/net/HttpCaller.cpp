#include "foxtail/net/HttpCaller.h"

#include <atomic>
#include <chrono>

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

} // namespace

struct HttpCaller::State
{
  explicit State(const Address& aAddress)
    : mClient(aAddress.IpString(), aAddress.mPort)
    , mHeaders(RequestHeaders(aAddress))
  {
  }

  httplib::Client mClient;
  const httplib::Headers mHeaders;
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
  httplib::Client& client = mState->mClient;
  client.set_connection_timeout(aTimeouts.mConnect);
  client.set_write_timeout(aTimeouts.mAnswer);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
}

HttpCaller::~HttpCaller() = default;

void
HttpCaller::Stop()
{
  mState->mStopped = true;
  mState->mClient.stop();
}

CallResult
HttpCaller::Get(const std::string& aPath, milliseconds aWait)
{
  const auto start = std::chrono::steady_clock::now();
  const milliseconds limit = aWait + mTimeouts.mAnswer;
  const auto isLate = [&] {
    return std::chrono::steady_clock::now() - start >= limit;
  };
  const std::string where = absl::StrCat(mWhere, aPath);
  CallResult out;
  bool tooLarge = false;
  mLastBytes = {};
  if (mState->mStopped) {
    throw PlatformError(kStopped, where, "the client was stopped");
  }
  mState->mClient.set_read_timeout(limit);
  const auto result = mState->mClient.Get(
    aPath,
    mState->mHeaders,
    [&](const httplib::Response& aResponse) {
      mLastBytes.mReceived += ResponseHeadBytes(aResponse);
      return true;
    },
    [&](const char* aBytes, size_t n) {
      mLastBytes.mReceived += n;
      out.mBody.append(aBytes, n);
      tooLarge = out.mBody.size() > mMaxBody;
      return !tooLarge && !isLate();
    });
  mLastBytes.mSent = RequestBytes(aPath, mState->mHeaders);
  if (result) {
    out.mStatus = result->status;
    return out;
  }
  if (mState->mStopped) {
    throw PlatformError(kStopped, where, "the client was stopped");
  }
  if (tooLarge) {
    throw PlatformError(
      kTooLarge, where, absl::StrCat("expected at most ", mMaxBody, " bytes"));
  }
  if (isLate() || result.error() == httplib::Error::ConnectionTimeout) {
    throw PlatformError(
      kNoAnswer,
      where,
      absl::StrCat(
        "no connection, or no complete answer within ", limit.count(), " ms"));
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

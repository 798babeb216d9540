#include "foxtail/net/PlatformClient.h"

#include <atomic>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "httplib.h"

#include "foxtail/config/Document.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

using nlohmann::json;

constexpr int kUnreachable = 801;
constexpr int kNoAnswer = 802;
constexpr int kUnknownName = 803;
constexpr int kWrongStatus = 804;
constexpr int kTooLarge = 805;
constexpr int kNotAValue = 806;
constexpr int kCutShort = 807;
constexpr int kIndexNotGreater = 808;
constexpr int kStopped = 809;

// A value and the index in front of it.
constexpr size_t kMaxBodyBytes = config::kMaxValueBytes + 64;
constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
// The blank line after the headers, and what stands between a header's name
// and value and after it.
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

// All headers of a request, so that the library adds none of its own.
httplib::Headers
RequestHeaders(const Address& aPlatform)
{
  return { { "Host", aPlatform.ToString() },
           { "Accept", "application/json" },
           { "User-Agent", "foxtailcove" } };
}

PlatformValue
ParseValue(const std::string& aBody, const std::string& aWhere)
{
  std::string reason;
  auto body = config::ParseBoundedJson(aBody, kMaxBodyBytes, reason);
  if (!body) {
    throw PlatformError(kNotAValue, aWhere, reason);
  }
  const bool ok = body->is_object() && body->contains("value") &&
                  body->contains("index") &&
                  (*body)["index"].is_number_unsigned();
  if (!ok) {
    throw PlatformError(
      kNotAValue, aWhere, "expected {\"index\": N, \"value\": ...}");
  }
  return { (*body)["index"].get<uint64_t>(), std::move((*body)["value"]) };
}

} // namespace

struct PlatformClient::State
{
  explicit State(const Address& aPlatform)
    : mClient(aPlatform.IpString(), aPlatform.mPort)
    , mHeaders(RequestHeaders(aPlatform))
  {
  }

  httplib::Client mClient;
  const httplib::Headers mHeaders;
  std::atomic<bool> mStopped{ false };
};

PlatformClient::PlatformClient(const Address& aPlatform,
                               PlatformTimeouts aTimeouts)
  : mWhere(absl::StrCat("platform ", aPlatform.ToString()))
  , mTimeouts(aTimeouts)
  , mState(std::make_unique<State>(aPlatform))
{
  httplib::Client& client = mState->mClient;
  client.set_connection_timeout(aTimeouts.mConnect);
  client.set_write_timeout(aTimeouts.mAnswer);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
}

PlatformClient::~PlatformClient() = default;

PlatformValue
PlatformClient::Read(const std::string& aName)
{
  const std::string path = absl::StrCat("/v1/values/", aName);
  const auto body = Call(path, milliseconds(0));
  const std::string where = absl::StrCat(mWhere, path);
  if (!body) {
    throw PlatformError(kWrongStatus, where, "expected status 200; got 304");
  }
  return ParseValue(*body, where);
}

std::optional<PlatformValue>
PlatformClient::Watch(const std::string& aName,
                      uint64_t aAfter,
                      milliseconds aWait)
{
  const std::string path = absl::StrCat(
    "/v1/values/", aName, "?after=", aAfter, "&wait_ms=", aWait.count());
  const auto body = Call(path, aWait);
  if (!body) {
    return std::nullopt;
  }
  const std::string where = absl::StrCat(mWhere, path);
  PlatformValue value = ParseValue(*body, where);
  if (value.mIndex <= aAfter) {
    throw PlatformError(kIndexNotGreater,
                        where,
                        absl::StrCat("expected an index greater than ",
                                     aAfter,
                                     "; got ",
                                     value.mIndex,
                                     ": the platform went back in time"));
  }
  return value;
}

void
PlatformClient::Stop()
{
  mState->mStopped = true;
  mState->mClient.stop();
}

std::optional<std::string>
PlatformClient::Call(const std::string& aPath, milliseconds aWait)
{
  int status = 0;
  std::string body = CallOnce(aPath, aWait, status);
  const std::string where = absl::StrCat(mWhere, aPath);
  switch (status) {
    case kOk:
      return body;
    case kNotModified:
      return std::nullopt;
    case kNotFound:
      throw PlatformError(
        kUnknownName,
        where,
        "the platform has no such value; publish it under this name");
    default:
      throw PlatformError(
        kWrongStatus,
        where,
        absl::StrCat("expected status 200 or 304; got ", status));
  }
}

std::string
PlatformClient::CallOnce(const std::string& aPath,
                         milliseconds aWait,
                         int& aStatus)
{
  const auto start = std::chrono::steady_clock::now();
  const milliseconds limit = aWait + mTimeouts.mAnswer;
  const auto isLate = [&] {
    return std::chrono::steady_clock::now() - start >= limit;
  };
  const std::string where = absl::StrCat(mWhere, aPath);
  std::string body;
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
      body.append(aBytes, n);
      tooLarge = body.size() > kMaxBodyBytes;
      return !tooLarge && !isLate();
    });
  mLastBytes.mSent = RequestBytes(aPath, mState->mHeaders);
  if (result) {
    aStatus = result->status;
    return body;
  }
  if (mState->mStopped) {
    throw PlatformError(kStopped, where, "the client was stopped");
  }
  if (tooLarge) {
    throw PlatformError(
      kTooLarge,
      where,
      absl::StrCat("expected at most ", config::kMaxValueBytes, " bytes"));
  }
  if (isLate() || result.error() == httplib::Error::ConnectionTimeout) {
    throw PlatformError(
      kNoAnswer,
      where,
      absl::StrCat("no whole answer within ", limit.count(), " ms"));
  }
  if (mLastBytes.mReceived > 0) {
    throw PlatformError(kCutShort, where, "the answer was cut short");
  }
  throw PlatformError(kUnreachable,
                      where,
                      absl::StrCat("not reachable (",
                                   httplib::to_string(result.error()),
                                   "); check the address and the platform"));
}

} // namespace foxtail::net

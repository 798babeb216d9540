#include "foxtail/net/PlatformClient.h"

#include "absl/strings/str_cat.h"

#include "foxtail/config/Document.h"
#include "foxtail/config/SchemaCheck.h"
#include "foxtail/core/Error.h"

namespace foxtail::net {

namespace {

using nlohmann::json;

constexpr int kNoSuchValue = 803;
constexpr int kWrongStatus = 804;
constexpr int kMalformedValue = 806;
constexpr int kIndexNotGreater = 808;

// A value and its index.
constexpr size_t kMaxBodyBytes = config::kMaxValueBytes + 64;
constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;

PlatformValue
ParseValue(const std::string& aBody, const std::string& aWhere)
{
  std::string reason;
  auto body = config::ParseBoundedJson(aBody, kMaxBodyBytes, reason);
  if (!body) {
    throw PlatformError(kMalformedValue, aWhere, reason);
  }
  const bool ok = body->is_object() && body->contains("value") &&
                  body->contains("index") &&
                  (*body)["index"].is_number_unsigned();
  if (!ok) {
    throw PlatformError(
      kMalformedValue, aWhere, "expected {\"index\": N, \"value\": ...}");
  }
  return { (*body)["index"].get<uint64_t>(), std::move((*body)["value"]) };
}

} // namespace

PlatformClient::PlatformClient(const Address& aPlatform,
                               PlatformTimeouts aTimeouts)
  : mCaller("platform", aPlatform, aTimeouts, kMaxBodyBytes)
{
}

PlatformValue
PlatformClient::Read(const std::string& aName)
{
  const std::string path = absl::StrCat("/v1/values/", aName);
  const auto body = Call(path, milliseconds(0));
  const std::string where = absl::StrCat(mCaller.Where(), path);
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
  const std::string where = absl::StrCat(mCaller.Where(), path);
  PlatformValue value = ParseValue(*body, where);
  if (value.mIndex <= aAfter) {
    throw PlatformError(
      kIndexNotGreater,
      where,
      absl::StrCat("expected an index greater than ",
                   aAfter,
                   "; got ",
                   value.mIndex,
                   ": the platform returned to an older state"));
  }
  return value;
}

std::optional<std::string>
PlatformClient::Call(const std::string& aPath, milliseconds aWait)
{
  CallResult result = mCaller.Get(aPath, aWait);
  const std::string where = absl::StrCat(mCaller.Where(), aPath);
  switch (result.mStatus) {
    case kOk:
      return std::move(result.mBody);
    case kNotModified:
      return std::nullopt;
    case kNotFound:
      throw PlatformError(
        kNoSuchValue,
        where,
        "the platform has no such value; publish it under this name");
    default:
      throw PlatformError(
        kWrongStatus,
        where,
        absl::StrCat("expected status 200 or 304; got ", result.mStatus));
  }
}

} // namespace foxtail::net

#ifndef foxtail_net_PlatformClient_h
#define foxtail_net_PlatformClient_h

#include <cstdint>
#include <optional>
#include <string>

#include "nlohmann/json.hpp"

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"
#include "foxtail/net/HttpCaller.h"

namespace foxtail::net {

// A value that is published on the platform.
struct PlatformValue
{
  // Grows with each change of the value. It may start again when the platform
  // has lost data.
  uint64_t mIndex = 0;
  nlohmann::json mValue;
};

// The time-out of the answer to a watch is mAnswer plus the watch's wait time.
using PlatformTimeouts = CallTimeouts;

// Reads and watches values of the platform over HTTP. Calls block; use one
// client per thread. Throws PlatformError 801, 802, 805, 807 and 809 as
// HttpCaller does, 803 when the value does not exist, 804 when the status is
// unexpected, 806 when the answer is not JSON with an index and a value, 808
// when the answer to a watch has an index that is not greater than the
// requested one, because the platform returned to an older state.
class PlatformClient
{
public:
  explicit PlatformClient(const Address& aPlatform,
                          PlatformTimeouts aTimeouts = {});

  // Returns the present value.
  PlatformValue Read(const std::string& aName);

  // Waits until the value's index is greater than aAfter, and returns the
  // value; empty when that does not happen within aWait. After the platform has
  // returned to an older state, a watch may never see a greater index, so read
  // the value again from time to time.
  std::optional<PlatformValue> Watch(const std::string& aName,
                                     uint64_t aAfter,
                                     milliseconds aWait);

  // Makes a call in progress in another thread, and every later call, fail with
  // 809.
  void Stop() { mCaller.Stop(); }

  // Bytes of the last call, also when it failed.
  const CallBytes& LastBytes() const { return mCaller.LastBytes(); }

private:
  // Returns the body of the answer; empty for status 304.
  std::optional<std::string> Call(const std::string& aPath, milliseconds aWait);

  HttpCaller mCaller;
};

} // namespace foxtail::net

#endif

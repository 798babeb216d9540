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

// A value of the platform.
struct PlatformValue
{
  // Grows with each change of the value, as long as the platform keeps its
  // word; it may start again after a loss.
  uint64_t mIndex = 0;
  nlohmann::json mValue;
};

// A watch adds its own wait to mAnswer.
using PlatformTimeouts = CallTimeouts;

// Reads and watches values of the platform over HTTP. Calls block; use one
// client for each thread. Failures are PlatformError: 801 not reachable, 802
// no answer in time, 803 no such value, 804 unexpected status, 805 too large,
// 806 no JSON or not an index and a value, 807 cut short, 808 a watch ended
// without a greater index, 809 stopped.
class PlatformClient
{
public:
  explicit PlatformClient(const Address& aPlatform,
                          PlatformTimeouts aTimeouts = {});

  // The value as it is.
  PlatformValue Read(const std::string& aName);

  // Waits until the index is greater than aAfter; empty when that did not
  // happen within aWait. A platform that went back in time keeps a watch
  // waiting, so read the value again now and then.
  std::optional<PlatformValue> Watch(const std::string& aName,
                                     uint64_t aAfter,
                                     milliseconds aWait);

  // Ends the call that another thread waits in, and every later one, with 809.
  void Stop() { mCaller.Stop(); }

  // Bytes of the last call, failed or not.
  const CallBytes& LastBytes() const { return mCaller.LastBytes(); }

private:
  // The body; empty for 304.
  std::optional<std::string> Call(const std::string& aPath, milliseconds aWait);

  HttpCaller mCaller;
};

} // namespace foxtail::net

#endif

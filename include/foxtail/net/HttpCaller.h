#ifndef foxtail_net_HttpCaller_h
#define foxtail_net_HttpCaller_h

#include <cstdint>
#include <memory>
#include <string>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::net {

// What HTTP carried, in bytes, without the headers of TCP and IP.
struct CallBytes
{
  uint64_t mSent = 0;
  uint64_t mReceived = 0;
};

// Longest times that a call waits.
struct CallTimeouts
{
  milliseconds mConnect{ 1000 };
  milliseconds mAnswer{ 3000 };
};

struct CallResult
{
  int mStatus = 0;
  std::string mBody;
};

// GET calls to one address over a connection that is kept. Calls block; use
// one caller for each thread. Failures are PlatformError: 801 not reachable,
// 802 no answer in time, 805 too large, 807 cut short, 809 stopped. After a
// failure the next call makes a new connection.
class HttpCaller
{
public:
  // aName stands in errors, before the address. aMaxBody is in bytes.
  HttpCaller(const std::string& aName,
             const Address& aAddress,
             CallTimeouts aTimeouts,
             size_t aMaxBody);
  ~HttpCaller();

  // Any status is a result. The answer may take aWait longer than usual.
  CallResult Get(const std::string& aPath, milliseconds aWait);

  // Ends the call that another thread waits in, and every later one, with 809.
  void Stop();

  // Bytes of the last call, failed or not.
  const CallBytes& LastBytes() const { return mLastBytes; }
  const std::string& Where() const { return mWhere; }

private:
  struct State;

  std::string mWhere;
  CallTimeouts mTimeouts;
  size_t mMaxBody;
  CallBytes mLastBytes;
  std::unique_ptr<State> mState;
};

} // namespace foxtail::net

#endif

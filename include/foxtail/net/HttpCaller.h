#ifndef foxtail_net_HttpCaller_h
#define foxtail_net_HttpCaller_h

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"
#include "foxtail/net/AnswerDeadline.h"

namespace foxtail::net {

// Bytes of HTTP messages, without the headers of TCP and IP.
struct CallBytes
{
  uint64_t mSent = 0;
  uint64_t mReceived = 0;
};

// What becomes of an answer whose body exceeds the size limit.
enum class OversizedAnswer
{
  // The call fails with PlatformError 805, before the body is received if its
  // announced length exceeds the limit.
  Refuse,
  // The call returns the body up to the limit.
  KeepStart
};

struct CallResult
{
  // Returns the value of a header, whatever the case of its name. Values of
  // several headers with this name are joined with ", ".
  std::optional<std::string> Header(const std::string& aName) const;

  int mStatus = 0;
  std::string mBody;
  // The body exceeds the size limit; mBody has only its start.
  bool mIsPartial = false;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  // From the head of the answer to its end.
  milliseconds mTransferTime{ 0 };
};

// HTTP client that makes GET calls to one address over a persistent connection.
// The server is the platform or a peer. Calls block; use one HttpCaller per
// thread. With either server, Get throws PlatformError 801 when the address is
// not reachable, 802 when the connection or the answer exceeds a time-out or
// stops making progress, 805 when the answer is too large or ends incomplete at
// the size limit, 807 when it is truncated before, 809 after Stop. After a
// failure the next call opens a new connection.
class HttpCaller
{
public:
  // Error messages name the server by aName and the address. aMaxBody is the
  // maximum size of an answer's body, in bytes.
  HttpCaller(const std::string& aName,
             const Address& aAddress,
             CallTimeouts aTimeouts,
             size_t aMaxBody);
  ~HttpCaller();

  // Returns the answer, whatever its status. aWait is added to the time-out of
  // the first bytes of the answer.
  CallResult Get(const std::string& aPath,
                 milliseconds aWait,
                 OversizedAnswer aOversized = OversizedAnswer::Refuse);

  // Lets the server compress its answers. LastBytes then counts the bytes of
  // the body after decompression.
  void AcceptCompressed();

  // Makes a call in progress in another thread, and every later call, fail with
  // 809.
  void Stop();

  // Bytes of the last call, also when it failed.
  const CallBytes& LastBytes() const { return mLastBytes; }
  // The server's name and address, for error messages.
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

#ifndef foxtail_requests_EchoIssuer_h
#define foxtail_requests_EchoIssuer_h

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "foxtail/core/FlowKey.h"
#include "foxtail/core/Time.h"

namespace foxtail::requests {

// Identifies one run of one balancer process; the same number as
// membership::Incarnation.
using Incarnation = uint64_t;

constexpr size_t kEchoValueSize = 40;
using EchoBytes = std::array<char, kEchoValueSize>;

// Reads the incarnation of the issuing balancer from an Echo value. Any
// balancer can read it; only the issuer can verify the value. Returns nothing
// when the value does not have the length of an EchoIssuer's value.
std::optional<Incarnation>
ParseEchoIncarnation(std::string_view aEcho);

// Whether a request was started with an issued Echo value. Unused changes to
// Started when a request is started, or to Revoked when the request is refused
// at once or the value has expired. Started changes to Revoked when the request
// ends and certainly was not run: it was never sent, or every upstream that it
// was sent to answered 5.03.
enum class EchoState : uint8_t
{
  // No request was started with the value; one may still be.
  Unused,
  // A request was started with the value and may have run.
  Started,
  // No request with the value has run, and none will be started.
  Revoked
};

// Result of checking an Echo value.
enum class EchoVerdict
{
  // Not issued by this incarnation: no request is ever started with the value.
  Forged,
  // Issued for another flow. The caller may have changed its address.
  OtherFlow,
  // Issued for another request of the same flow.
  OtherRequest,
  // Genuine, but older than the values whose state is stored.
  Untracked,
  // Genuine, unused, and past its validity.
  Expired,
  Unused,
  Started,
  Revoked
};

struct EchoCheck
{
  EchoVerdict mVerdict = EchoVerdict::Forged;
  // Set unless the verdict is Forged; identifies the value in SetState.
  uint64_t mCounter = 0;
};

struct EchoSettings
{
  Incarnation mIncarnation = 0;
  // Secret key of the MAC; a new random key for each incarnation.
  std::array<uint8_t, 16> mKey{};
  // How long after its issue a value can start a request.
  Duration mValidity = seconds(15);
  // Number of most recent values whose state is stored, at one byte each. For
  // an older value the outcome of its request is reported as unknown.
  uint32_t mWindowSize = 1U << 18;
};

// Issues Echo values (RFC 9175) and stores for each whether a request was
// started with it. At most one request is ever started with one value, and only
// by the incarnation that issued the value.
class EchoIssuer
{
public:
  // Throws RequestError 501 when mWindowSize is zero and 502 when libcrypto
  // does not provide SipHash.
  explicit EchoIssuer(const EchoSettings& aSettings);
  ~EchoIssuer();
  EchoIssuer(const EchoIssuer&) = delete;
  EchoIssuer& operator=(const EchoIssuer&) = delete;

  // Returns a new value for one request of one flow. Throws RequestError 502
  // when libcrypto fails to compute a MAC.
  EchoBytes Issue(const FlowKey& aFlow,
                  uint64_t aRequestDigest,
                  TimePoint aNow);

  // Verifies a value that came with a request and looks up its state. Throws
  // RequestError 502 when libcrypto fails to compute a MAC.
  EchoCheck Check(std::string_view aEcho,
                  const FlowKey& aFlow,
                  uint64_t aRequestDigest,
                  TimePoint aNow) const;

  // Stores the new state of a value, Started or Revoked. Does nothing when the
  // value is no longer tracked.
  void SetState(uint64_t aCounter, EchoState aState);

  // False only when no issued value can start a request any more. May stay true
  // a little longer: the function checks that any value is unused and that the
  // most recently issued value has not expired.
  bool HasUnused(TimePoint aNow) const;

private:
  struct SipHash;

  uint64_t ComputeMac(std::string_view aBytes) const;
  // Computes a truncated MAC. aPurpose is part of its input, so that a flow and
  // a request with the same hash have different tags.
  uint32_t ComputeTag(uint64_t aValue, uint64_t aPurpose) const;
  bool IsTracked(uint64_t aCounter) const;

  EchoSettings mSettings;
  std::unique_ptr<SipHash> mSipHash;
  // Indexed by counter modulo mWindowSize.
  std::vector<EchoState> mStates;
  uint64_t mNextCounter = 0;
  uint64_t mUnusedCount = 0;
  TimePoint mLastIssued;
};

} // namespace foxtail::requests

#endif

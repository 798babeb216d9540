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

// Names one life of one balancer; the same number as in membership.
using Incarnation = uint64_t;

constexpr size_t kEchoValueSize = 40;
using EchoBytes = std::array<char, kEchoValueSize>;

// The incarnation that an Echo value names. Any balancer can read it; only the
// one named can tell whether the value is genuine. Empty when the value has
// not the shape of one of ours.
std::optional<Incarnation>
ParseEchoIncarnation(std::string_view aEcho);

// What became of an issued Echo value. It only ever moves away from Unused,
// and from Started to Revoked when every upstream that was sent the request has
// shed it.
enum class EchoState : uint8_t
{
  // Nothing was run under it; it may still be started.
  Unused,
  // A request may have run under it.
  Started,
  // Nothing ran under it and nothing ever will.
  Revoked
};

// What the issuer can tell of an Echo value that names its own incarnation.
enum class EchoVerdict
{
  // Not issued here: no message with this value is ever run.
  Forged,
  // Issued for another flow. The caller may have moved from that flow.
  OtherFlow,
  // Issued for another request of the same flow.
  OtherRequest,
  // Genuine, but too old for its state to be remembered.
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
  // Set for every genuine value.
  uint64_t mCounter = 0;
};

struct EchoSettings
{
  Incarnation mIncarnation = 0;
  // Secret, drawn anew for each incarnation.
  std::array<uint8_t, 16> mKey{};
  Duration mValidity = seconds(15);
  // Values whose state is remembered; one byte each. A value that is older
  // than this many later ones is answered "unknown".
  uint32_t mWindowSize = 1U << 18;
};

// Issues Echo values (RFC 9175) and remembers for each whether a request was
// started under it. At most one request is ever started under one value, and
// only by the incarnation that issued it.
class EchoIssuer
{
public:
  // Throws RequestError 501 when the window is empty and 502 when the keyed
  // digest is not available.
  explicit EchoIssuer(const EchoSettings& aSettings);
  ~EchoIssuer();
  EchoIssuer(const EchoIssuer&) = delete;
  EchoIssuer& operator=(const EchoIssuer&) = delete;

  // A new value for one request of one flow.
  EchoBytes Issue(const FlowKey& aFlow, uint64_t aDigest, TimePoint aNow);

  EchoCheck Check(std::string_view aEcho,
                  const FlowKey& aFlow,
                  uint64_t aDigest,
                  TimePoint aNow) const;

  // Records a decision on a value that Check found genuine and remembered.
  void SetState(uint64_t aCounter, EchoState aState);

  // True while a value that was issued less than the validity ago may still be
  // started.
  bool HasUnused(TimePoint aNow) const;

private:
  struct Mac;

  uint64_t Digest(std::string_view aBytes) const;
  uint32_t Tag(uint64_t aValue, uint64_t aPurpose) const;
  bool IsRemembered(uint64_t aCounter) const;

  EchoSettings mSettings;
  std::unique_ptr<Mac> mMac;
  // By counter modulo the window.
  std::vector<EchoState> mStates;
  uint64_t mNext = 0;
  uint64_t mOpen = 0;
  TimePoint mLastIssued;
};

} // namespace foxtail::requests

#endif

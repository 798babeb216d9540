#include "foxtail/requests/EchoIssuer.h"

#include <cassert>
#include <cstring>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "foxtail/core/Error.h"

namespace foxtail::requests {

namespace {

// Offsets in an Echo value. All numbers are in network order.
constexpr size_t kCounterAt = 8;
constexpr size_t kIssuedAt = 16;
constexpr size_t kFlowTagAt = 24;
constexpr size_t kDigestTagAt = 28;
constexpr size_t kMacAt = 32;

// Keep the tags of flows and requests apart.
constexpr uint64_t kFlowPurpose = 1;
constexpr uint64_t kRequestPurpose = 2;

template<typename T>
void
Put(T aValue, char* aOut)
{
  for (size_t i = sizeof(T); i-- > 0; aValue >>= 8) {
    aOut[i] = static_cast<char>(aValue & 0xFF);
  }
}

template<typename T>
T
Get(std::string_view aBytes, size_t aAt)
{
  T value = 0;
  for (const char c : aBytes.substr(aAt, sizeof(T))) {
    value = value << 8 | static_cast<uint8_t>(c);
  }
  return value;
}

} // namespace

std::optional<Incarnation>
ParseEchoIncarnation(std::string_view aEcho)
{
  if (aEcho.size() != kEchoValueSize) {
    return std::nullopt;
  }
  return Get<Incarnation>(aEcho, 0);
}

// SipHash-2-4 with a 64-bit result.
struct EchoIssuer::Mac
{
  explicit Mac(const std::array<uint8_t, 16>& aKey)
    : mKey(aKey)
  {
    mMac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    mContext = mMac != nullptr ? EVP_MAC_CTX_new(mMac) : nullptr;
    size_t size = sizeof(uint64_t);
    const OSSL_PARAM params[] = { OSSL_PARAM_construct_size_t(
                                    OSSL_MAC_PARAM_SIZE, &size),
                                  OSSL_PARAM_construct_end() };
    if (mContext == nullptr ||
        EVP_MAC_init(mContext, mKey.data(), mKey.size(), params) != 1) {
      throw RequestError(502, "echo", "SipHash is not available in libcrypto");
    }
  }

  ~Mac()
  {
    EVP_MAC_CTX_free(mContext);
    EVP_MAC_free(mMac);
  }

  Mac(const Mac&) = delete;
  Mac& operator=(const Mac&) = delete;

  // Starts a new digest with the same key.
  bool Restart()
  {
    return EVP_MAC_init(mContext, mKey.data(), mKey.size(), nullptr) == 1;
  }

  std::array<uint8_t, 16> mKey;
  EVP_MAC* mMac = nullptr;
  EVP_MAC_CTX* mContext = nullptr;
};

EchoIssuer::EchoIssuer(const EchoSettings& aSettings)
  : mSettings(aSettings)
  , mMac(std::make_unique<Mac>(aSettings.mKey))
  , mStates(aSettings.mWindowSize, EchoState::Revoked)
{
  if (aSettings.mWindowSize == 0) {
    throw RequestError(501, "echo window", "expected at least one value");
  }
}

EchoIssuer::~EchoIssuer() = default;

uint64_t
EchoIssuer::Digest(std::string_view aBytes) const
{
  unsigned char out[sizeof(uint64_t)];
  size_t size = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  if (!mMac->Restart() ||
      EVP_MAC_update(mMac->mContext, bytes, aBytes.size()) != 1 ||
      EVP_MAC_final(mMac->mContext, out, &size, sizeof(out)) != 1) {
    throw RequestError(502, "echo", "libcrypto failed to compute a digest");
  }
  return Get<uint64_t>({ reinterpret_cast<const char*>(out), sizeof(out) }, 0);
}

uint32_t
EchoIssuer::Tag(uint64_t aValue, uint64_t aPurpose) const
{
  char buf[2 * sizeof(uint64_t)];
  Put(aValue, buf);
  Put(aPurpose, buf + sizeof(uint64_t));
  return static_cast<uint32_t>(Digest({ buf, sizeof(buf) }));
}

EchoBytes
EchoIssuer::Issue(const FlowKey& aFlow, uint64_t aDigest, TimePoint aNow)
{
  const uint64_t counter = mNext++;
  EchoState& state = mStates[counter % mStates.size()];
  if (counter >= mStates.size() && state == EchoState::Unused) {
    --mOpen;
  }
  state = EchoState::Unused;
  ++mOpen;
  mLastIssued = aNow;

  EchoBytes value;
  Put<uint64_t>(mSettings.mIncarnation, value.data());
  Put<uint64_t>(counter, value.data() + kCounterAt);
  Put<uint64_t>(aNow.time_since_epoch().count(), value.data() + kIssuedAt);
  Put<uint32_t>(Tag(aFlow.Hash(), kFlowPurpose), value.data() + kFlowTagAt);
  Put<uint32_t>(Tag(aDigest, kRequestPurpose), value.data() + kDigestTagAt);
  Put<uint64_t>(Digest({ value.data(), kMacAt }), value.data() + kMacAt);
  return value;
}

EchoCheck
EchoIssuer::Check(std::string_view aEcho,
                  const FlowKey& aFlow,
                  uint64_t aDigest,
                  TimePoint aNow) const
{
  if (ParseEchoIncarnation(aEcho) != mSettings.mIncarnation ||
      Get<uint64_t>(aEcho, kMacAt) != Digest(aEcho.substr(0, kMacAt))) {
    return { EchoVerdict::Forged, 0 };
  }
  const auto counter = Get<uint64_t>(aEcho, kCounterAt);
  if (Get<uint32_t>(aEcho, kFlowTagAt) != Tag(aFlow.Hash(), kFlowPurpose)) {
    return { EchoVerdict::OtherFlow, counter };
  }
  if (Get<uint32_t>(aEcho, kDigestTagAt) != Tag(aDigest, kRequestPurpose)) {
    return { EchoVerdict::OtherRequest, counter };
  }
  if (!IsRemembered(counter)) {
    return { EchoVerdict::Untracked, counter };
  }
  switch (mStates[counter % mStates.size()]) {
    case EchoState::Started:
      return { EchoVerdict::Started, counter };
    case EchoState::Revoked:
      return { EchoVerdict::Revoked, counter };
    case EchoState::Unused:
      break;
  }
  const TimePoint issued{ Duration(Get<uint64_t>(aEcho, kIssuedAt)) };
  const bool valid = aNow < issued + mSettings.mValidity;
  return { valid ? EchoVerdict::Unused : EchoVerdict::Expired, counter };
}

bool
EchoIssuer::IsRemembered(uint64_t aCounter) const
{
  return aCounter < mNext && mNext - aCounter <= mStates.size();
}

void
EchoIssuer::SetState(uint64_t aCounter, EchoState aState)
{
  if (!IsRemembered(aCounter)) {
    return;
  }
  EchoState& state = mStates[aCounter % mStates.size()];
  assert(state != EchoState::Revoked && aState != EchoState::Unused);
  if (state == EchoState::Unused) {
    --mOpen;
  }
  state = aState;
}

bool
EchoIssuer::HasUnused(TimePoint aNow) const
{
  return mOpen > 0 && aNow < mLastIssued + mSettings.mValidity;
}

} // namespace foxtail::requests

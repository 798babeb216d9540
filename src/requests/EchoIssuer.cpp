#include "foxtail/requests/EchoIssuer.h"

#include <cassert>
#include <cstring>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "foxtail/core/Error.h"

namespace foxtail::requests {

namespace {

// Offsets of the fields in an Echo value; the incarnation is at offset 0. All
// numbers are big-endian.
constexpr size_t kCounterOffset = 8;
constexpr size_t kIssuedAtOffset = 16;
constexpr size_t kFlowTagOffset = 24;
constexpr size_t kRequestTagOffset = 28;
constexpr size_t kMacOffset = 32;

// Appended to the MAC input of a tag, so that a flow and a request with the
// same hash have different tags.
constexpr uint64_t kFlowPurpose = 1;
constexpr uint64_t kRequestPurpose = 2;

template<typename T>
void
WriteBigEndian(T aValue, char* aOut)
{
  for (size_t i = sizeof(T); i-- > 0; aValue >>= 8) {
    aOut[i] = static_cast<char>(aValue & 0xFF);
  }
}

template<typename T>
T
ReadBigEndian(std::string_view aBytes, size_t aOffset)
{
  T value = 0;
  for (const char c : aBytes.substr(aOffset, sizeof(T))) {
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
  return ReadBigEndian<Incarnation>(aEcho, 0);
}

// SipHash-2-4 with a 64-bit result.
struct EchoIssuer::SipHash
{
  explicit SipHash(const std::array<uint8_t, 16>& aKey)
    : mKey(aKey)
  {
    mAlgorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    mContext = mAlgorithm != nullptr ? EVP_MAC_CTX_new(mAlgorithm) : nullptr;
    size_t size = sizeof(uint64_t);
    const OSSL_PARAM params[] = { OSSL_PARAM_construct_size_t(
                                    OSSL_MAC_PARAM_SIZE, &size),
                                  OSSL_PARAM_construct_end() };
    if (mContext == nullptr ||
        EVP_MAC_init(mContext, mKey.data(), mKey.size(), params) != 1) {
      throw RequestError(502, "echo", "libcrypto cannot initialize SipHash");
    }
  }

  ~SipHash()
  {
    EVP_MAC_CTX_free(mContext);
    EVP_MAC_free(mAlgorithm);
  }

  SipHash(const SipHash&) = delete;
  SipHash& operator=(const SipHash&) = delete;

  // Starts a new computation with the same key.
  bool Restart()
  {
    return EVP_MAC_init(mContext, mKey.data(), mKey.size(), nullptr) == 1;
  }

  std::array<uint8_t, 16> mKey;
  EVP_MAC* mAlgorithm = nullptr;
  EVP_MAC_CTX* mContext = nullptr;
};

EchoIssuer::EchoIssuer(const EchoSettings& aSettings)
  : mSettings(aSettings)
  , mSipHash(std::make_unique<SipHash>(aSettings.mKey))
  , mStates(aSettings.mWindowSize, EchoState::Revoked)
{
  if (aSettings.mWindowSize == 0) {
    throw RequestError(
      501, "echo window", "the window size must be at least 1");
  }
}

EchoIssuer::~EchoIssuer() = default;

uint64_t
EchoIssuer::ComputeMac(std::string_view aBytes) const
{
  unsigned char out[sizeof(uint64_t)];
  size_t size = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  if (!mSipHash->Restart() ||
      EVP_MAC_update(mSipHash->mContext, bytes, aBytes.size()) != 1 ||
      EVP_MAC_final(mSipHash->mContext, out, &size, sizeof(out)) != 1) {
    throw RequestError(502, "echo", "libcrypto failed to compute a MAC");
  }
  return ReadBigEndian<uint64_t>(
    { reinterpret_cast<const char*>(out), sizeof(out) }, 0);
}

uint32_t
EchoIssuer::ComputeTag(uint64_t aValue, uint64_t aPurpose) const
{
  char buf[2 * sizeof(uint64_t)];
  WriteBigEndian(aValue, buf);
  WriteBigEndian(aPurpose, buf + sizeof(uint64_t));
  return static_cast<uint32_t>(ComputeMac({ buf, sizeof(buf) }));
}

EchoBytes
EchoIssuer::Issue(const FlowKey& aFlow, uint64_t aRequestDigest, TimePoint aNow)
{
  const uint64_t counter = mNextCounter++;
  EchoState& state = mStates[counter % mStates.size()];
  if (counter >= mStates.size() && state == EchoState::Unused) {
    --mUnusedCount;
  }
  state = EchoState::Unused;
  ++mUnusedCount;
  mLastIssued = aNow;

  EchoBytes value;
  WriteBigEndian<uint64_t>(mSettings.mIncarnation, value.data());
  WriteBigEndian<uint64_t>(counter, value.data() + kCounterOffset);
  WriteBigEndian<uint64_t>(aNow.time_since_epoch().count(),
                           value.data() + kIssuedAtOffset);
  WriteBigEndian<uint32_t>(ComputeTag(aFlow.Hash(), kFlowPurpose),
                           value.data() + kFlowTagOffset);
  WriteBigEndian<uint32_t>(ComputeTag(aRequestDigest, kRequestPurpose),
                           value.data() + kRequestTagOffset);
  WriteBigEndian<uint64_t>(ComputeMac({ value.data(), kMacOffset }),
                           value.data() + kMacOffset);
  return value;
}

EchoCheck
EchoIssuer::Check(std::string_view aEcho,
                  const FlowKey& aFlow,
                  uint64_t aRequestDigest,
                  TimePoint aNow) const
{
  if (ParseEchoIncarnation(aEcho) != mSettings.mIncarnation ||
      ReadBigEndian<uint64_t>(aEcho, kMacOffset) !=
        ComputeMac(aEcho.substr(0, kMacOffset))) {
    return { EchoVerdict::Forged, 0 };
  }
  const auto counter = ReadBigEndian<uint64_t>(aEcho, kCounterOffset);
  if (ReadBigEndian<uint32_t>(aEcho, kFlowTagOffset) !=
      ComputeTag(aFlow.Hash(), kFlowPurpose)) {
    return { EchoVerdict::OtherFlow, counter };
  }
  if (ReadBigEndian<uint32_t>(aEcho, kRequestTagOffset) !=
      ComputeTag(aRequestDigest, kRequestPurpose)) {
    return { EchoVerdict::OtherRequest, counter };
  }
  if (!IsTracked(counter)) {
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
  const TimePoint issued{ Duration(
    ReadBigEndian<uint64_t>(aEcho, kIssuedAtOffset)) };
  const bool valid = aNow < issued + mSettings.mValidity;
  return { valid ? EchoVerdict::Unused : EchoVerdict::Expired, counter };
}

bool
EchoIssuer::IsTracked(uint64_t aCounter) const
{
  return aCounter < mNextCounter && mNextCounter - aCounter <= mStates.size();
}

void
EchoIssuer::SetState(uint64_t aCounter, EchoState aState)
{
  if (!IsTracked(aCounter)) {
    return;
  }
  EchoState& state = mStates[aCounter % mStates.size()];
  assert(state != EchoState::Revoked && aState != EchoState::Unused);
  if (state == EchoState::Unused) {
    --mUnusedCount;
  }
  state = aState;
}

bool
EchoIssuer::HasUnused(TimePoint aNow) const
{
  return mUnusedCount > 0 && aNow < mLastIssued + mSettings.mValidity;
}

} // namespace foxtail::requests

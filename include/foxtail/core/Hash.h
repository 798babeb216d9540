#ifndef foxtail_core_Hash_h
#define foxtail_core_Hash_h

#include <cstdint>
#include <string_view>

namespace foxtail {

// A hash that is equal in all processes and on all VMs, unlike absl::Hash.
uint64_t
StableHash(std::string_view aBytes, uint64_t aSeed = 0);

// Combines two stable hashes. Cheap enough for one call per candidate of a
// rendezvous ranking.
inline uint64_t
MixHash(uint64_t a, uint64_t b)
{
  uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
  x ^= x >> 32;
  x *= 0xD6E8FEB86659FD93ULL;
  x ^= x >> 32;
  x *= 0xD6E8FEB86659FD93ULL;
  x ^= x >> 32;
  return x;
}

} // namespace foxtail

#endif

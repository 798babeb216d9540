#include "foxtail/core/Hash.h"

#include <xxhash.h>

namespace foxtail {

uint64_t
StableHash(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace foxtail

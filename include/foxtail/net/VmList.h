#ifndef foxtail_net_VmList_h
#define foxtail_net_VmList_h

#include <cstdint>

#include "nlohmann/json.hpp"

#include "foxtail/membership/VmRegistry.h"

namespace foxtail::net {

// Maximum number of VMs in a list.
constexpr size_t kMaxVms = 4096;

// Decodes the platform's value "vms", which docs/PROTOCOLS.md describes. Throws
// PlatformError 820 when the value is malformed, 821 when it has more than
// kMaxVms VMs, 822 when a name or an address occurs twice.
membership::PublishedVmList
ParseVmList(const nlohmann::json& aValue, uint64_t aIndex);

} // namespace foxtail::net

#endif

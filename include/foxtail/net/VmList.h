#ifndef foxtail_net_VmList_h
#define foxtail_net_VmList_h

#include <cstdint>

#include "nlohmann/json.hpp"

#include "foxtail/membership/VmRegistry.h"

namespace foxtail::net {

// VMs in one list.
constexpr size_t kMaxVms = 4096;

// Reads the platform's value "vms", docs/PROTOCOLS.md. Throws PlatformError
// 820 when it is no such document, 821 when it has more than kMaxVms VMs, 822
// when a name or an address stands in it twice.
membership::PublishedVmList
ParseVmList(const nlohmann::json& aValue, uint64_t aIndex);

} // namespace foxtail::net

#endif

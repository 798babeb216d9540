#include "foxtail/net/VmList.h"

#include <set>
#include <string>

#include "absl/strings/str_cat.h"

#include "foxtail/core/Address.h"
#include "foxtail/core/Error.h"
#include "foxtail/net/PeerCodec.h"

namespace foxtail::net {

namespace {

using nlohmann::json;

[[noreturn]] void
Refuse(const std::string& aWhere, const std::string& aWhy)
{
  throw PlatformError(820, aWhere, aWhy);
}

std::string
ReadName(const json& aVm, const char* aKey, const std::string& aWhere)
{
  const auto it = aVm.find(aKey);
  if (it == aVm.end() || !it->is_string()) {
    Refuse(absl::StrCat(aWhere, ".", aKey), "expected a string");
  }
  std::string text = it->get<std::string>();
  if (text.empty() || text.size() > kMaxNameLength) {
    Refuse(absl::StrCat(aWhere, ".", aKey), "expected 1 to 63 characters");
  }
  return text;
}

membership::PublishedVm
ReadVm(const json& aVm, const std::string& aWhere)
{
  if (!aVm.is_object()) {
    Refuse(aWhere, "expected an object");
  }
  membership::PublishedVm vm;
  vm.mName = ReadName(aVm, "name", aWhere);
  vm.mRegion = ReadName(aVm, "region", aWhere);
  vm.mDomain = ReadName(aVm, "domain", aWhere);
  try {
    vm.mIp = Address::Parse(ReadName(aVm, "address", aWhere) + ":0").mIp;
  } catch (const NetError&) {
    Refuse(aWhere + ".address", "expected an address like 127.0.0.1");
  }
  const std::string state = ReadName(aVm, "state", aWhere);
  if (state != "live" && state != "leaving") {
    Refuse(aWhere + ".state", "expected live or leaving");
  }
  vm.mLeaving = state == "leaving";
  return vm;
}

} // namespace

membership::PublishedVmList
ParseVmList(const json& aValue, uint64_t aIndex)
{
  const auto list = aValue.is_object() ? aValue.find("vms") : aValue.end();
  if (list == aValue.end() || !list->is_array()) {
    Refuse("vms", "expected {\"vms\": [...]}");
  }
  if (list->size() > kMaxVms) {
    throw PlatformError(
      821, "vms", absl::StrCat(list->size(), " VMs, limit ", kMaxVms));
  }
  membership::PublishedVmList vms{ aIndex, {} };
  std::set<std::string> names;
  std::set<uint32_t> ips;
  for (const json& it : *list) {
    const std::string where = absl::StrCat("vms[", vms.mVms.size(), "]");
    vms.mVms.push_back(ReadVm(it, where));
    const membership::PublishedVm& vm = vms.mVms.back();
    if (!names.insert(vm.mName).second || !ips.insert(vm.mIp).second) {
      throw PlatformError(822, where, "name or address used twice");
    }
  }
  return vms;
}

} // namespace foxtail::net

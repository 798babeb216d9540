#ifndef foxtail_membership_VmRegistry_h
#define foxtail_membership_VmRegistry_h

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxtail/core/Time.h"

namespace foxtail::membership {

// One VM as the platform publishes it.
struct PublishedVm
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  uint32_t mIp = 0;
  bool mLeaving = false;
};

// The platform's VM list as read at one time. The list lags behind the VMs that
// are running.
struct PublishedVmList
{
  // The platform's index of the VM list; grows with each change of the list.
  uint64_t mIndex = 0;
  std::vector<PublishedVm> mVms;
};

// The VMs that belong to the system, from all published lists read so far.
// Gossip from a VM is permitted once the VM was in a list. A VM that is missing
// from the newest list is removed after it has been missing for kRemovalDelay.
// Nothing is removed while the newest list lacks half or more of the live VMs
// (see Expire), so an empty or badly truncated list removes no VM. A list with
// an older index than the newest one is ignored.
class VmRegistry
{
public:
  // How long a VM must be missing from the lists before it can be removed.
  static constexpr seconds kRemovalDelay{ 30 };

  enum class ApplyResult
  {
    // The list has the same index as the newest one.
    Confirmed,
    Changed,
    // The list is older than the newest one and was ignored.
    Older
  };

  // Updates the registry from a list that was read at aNow.
  ApplyResult ApplyList(TimePoint aNow, const PublishedVmList& aVms);

  // Returns the permitted VM with this name, or null.
  const PublishedVm* Find(const std::string& aName) const;

  // True when the VM is permitted and aIp is its published IP address.
  bool Permits(const std::string& aName, uint32_t aIp) const;

  // True when a permitted VM has this IP address.
  bool PermitsIp(uint32_t aIp) const;

  // Removes the VMs that have been missing for kRemovalDelay and returns their
  // names. aIsAlive tells whether a VM is known to be alive: when the newest
  // list lacks half of the live VMs or more, the list is not credible and no VM
  // is removed.
  std::vector<std::string> Expire(
    const std::function<bool(const std::string&)>& aIsAlive);

  // Index of the newest list.
  uint64_t Index() const { return mIndex; }

  struct Entry
  {
    PublishedVm mVm;
    // When the first list without the VM was read; empty when the newest list
    // has the VM.
    std::optional<TimePoint> mMissingSince;
  };
  // Every permitted VM, by name.
  const std::map<std::string, Entry>& Entries() const { return mEntries; }

private:
  std::map<std::string, Entry> mEntries;
  uint64_t mIndex = 0;
  // When the newest list was last read.
  TimePoint mReadAt;
};

} // namespace foxtail::membership

#endif

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

// One reading of the platform's VM list. The list lags.
struct PublishedVmList
{
  // The platform's index of the value; grows with each change.
  uint64_t mIndex = 0;
  std::vector<PublishedVm> mVms;
};

// What the published lists read so far say about who belongs to the system.
// A VM may speak once it was published. It stays permitted while newer lists
// lack it until a list that still lacks it was read kRemovalDelay after the
// first that did, and then only when the newest list is credible; so neither a
// stale nor a shrunken nor an empty list removes living VMs.
class VmRegistry
{
public:
  // A VM is forgotten when it has been missing this long.
  static constexpr seconds kRemovalDelay{ 30 };

  enum class ApplyResult
  {
    // Nothing new; the list in hand was confirmed.
    Confirmed,
    Changed,
    // Older than the list in hand; ignored.
    Older
  };

  // Takes a list that was read at aNow.
  ApplyResult ApplyList(TimePoint aNow, const PublishedVmList& aVms);

  // The VM if it may speak, else null.
  const PublishedVm* Find(const std::string& aName) const;

  // True when the VM may speak and does so from its published IP number.
  bool Permits(const std::string& aName, uint32_t aIp) const;

  // True when any VM that may speak has this IP number.
  bool PermitsIp(uint32_t aIp) const;

  // Forgets the VMs that have been missing for too long and returns their
  // names. aIsHeard tells which VMs are known to live: when the newest list
  // lacks half of them or more, it is not believed and nobody is forgotten.
  std::vector<std::string> Expire(
    const std::function<bool(const std::string&)>& aIsHeard);

  // Index of the newest list.
  uint64_t Index() const { return mIndex; }

  struct Entry
  {
    PublishedVm mVm;
    // When it was first missing from the newest lists.
    std::optional<TimePoint> mMissingSince;
  };
  // Every VM that may speak, by name.
  const std::map<std::string, Entry>& Entries() const { return mEntries; }

private:
  std::map<std::string, Entry> mEntries;
  uint64_t mIndex = 0;
  // When the newest list was last read.
  TimePoint mReadAt;
};

} // namespace foxtail::membership

#endif

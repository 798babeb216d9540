#ifndef foxtail_ctl_Difference_h
#define foxtail_ctl_Difference_h

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

#include "foxtail/config/Model.h"

namespace foxtail::ctl {

// One difference between two configurations.
struct Change
{
  enum class Kind
  {
    Added,
    Removed,
    Changed
  };
  Kind mKind;
  // The service or upstream that differs: "service ledger" or "upstream
  // ledger-1 of ledger".
  std::string mItem;
  // For Changed: the key, and its values before and after as JSON text.
  std::string mKey;
  std::string mBefore;
  std::string mAfter;
};

// Returns the changes from aBefore to aAfter. Services and upstreams are
// matched by name, so that a different order is not a change.
std::vector<Change>
Compare(const config::Snapshot& aBefore, const config::Snapshot& aAfter);

nlohmann::json
ToJson(const std::vector<Change>& aChanges);

// Returns one line for each change, indented by two spaces.
std::string
ToText(const std::vector<Change>& aChanges);

} // namespace foxtail::ctl

#endif

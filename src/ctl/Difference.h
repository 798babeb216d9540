#ifndef foxtail_ctl_Difference_h
#define foxtail_ctl_Difference_h

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

#include "foxtail/config/Model.h"

namespace foxtail::ctl {

// One change from a configuration to another.
struct Change
{
  enum class Kind
  {
    Added,
    Removed,
    Changed
  };
  Kind mKind;
  // "service ledger" or "upstream ledger-1 of ledger".
  std::string mItem;
  // For Changed: the key and its values before and after, as JSON text.
  std::string mKey;
  std::string mBefore;
  std::string mAfter;
};

// Changes by name, so that the order of services and upstreams is no change.
std::vector<Change>
Compare(const config::Snapshot& aBefore, const config::Snapshot& aAfter);

nlohmann::json
ToJson(const std::vector<Change>& aChanges);

// One line for each change, indented by two.
std::string
ToText(const std::vector<Change>& aChanges);

} // namespace foxtail::ctl

#endif

#include "foxtail/core/Error.h"

#include "absl/strings/str_cat.h"

namespace foxtail {

Error::Error(std::string_view aFamily,
             int aId,
             std::string_view aWhere,
             std::string_view aWhy)
  : std::runtime_error(absl::StrCat("[foxtail.",
                                    std::string(aFamily),
                                    ".",
                                    aId,
                                    "] ",
                                    std::string(aWhere),
                                    ": ",
                                    std::string(aWhy)))
  , mId(aId)
  , mWhere(aWhere)
{
}

} // namespace foxtail

#include "foxtail/flow/Revision.h"

#include "absl/strings/str_cat.h"

namespace foxtail::flow {

std::string
FormatRevision(Revision aRevision)
{
  const uint64_t era = EraOf(aRevision);
  return era == 0 ? absl::StrCat(NumberOf(aRevision))
                  : absl::StrCat(era, ".", NumberOf(aRevision));
}

} // namespace foxtail::flow

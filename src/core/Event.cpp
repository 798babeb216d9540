#include "foxtail/core/Event.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

std::string_view
SeverityName(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return "debug";
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      break;
  }
  return "error";
}

const std::vector<EventInfo>&
EventCatalogue()
{
  static const std::vector<EventInfo> sCatalogue = {
#include "EventCatalogue.inc"
  };
  return sCatalogue;
}

const EventInfo&
FindEvent(int aId)
{
  const std::vector<EventInfo>& catalogue = EventCatalogue();
  const auto it = std::lower_bound(
    catalogue.begin(), catalogue.end(), aId, [](const EventInfo& e, int n) {
      return e.mId < n;
    });
  assert(it != catalogue.end() && it->mId == aId);
  return *it;
}

} // namespace foxtail

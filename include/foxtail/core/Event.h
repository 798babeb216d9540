#ifndef foxtail_core_Event_h
#define foxtail_core_Event_h

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error
};

// "debug", "info", "warning" or "error".
std::string_view
SeverityName(Severity aSeverity);

// One entry of the event catalogue. A number never changes its meaning.
// docs/EVENTS.md is generated from the catalogue.
struct EventInfo
{
  int mId;
  Severity mSeverity;
  std::string_view mName;
  // What happened, and where it helps, what an operator should do.
  std::string_view mMeaning;
};

// All entries, ordered by number. The thousands digit gives the area: 1000
// daemon and settings, 2000 configuration, 3000 membership, 4000 routing, 5000
// requests, 6000 net, 7000 peers, 8000 platform and upstream reports.
const std::vector<EventInfo>&
EventCatalogue();

// The entry with this number. An unknown number is a programming error and
// fails an assertion.
const EventInfo&
FindEvent(int aId);

// One occurrence of an event, to be logged. mDetail is "key=value" text.
struct Event
{
  int mId;
  std::string mDetail;
};

} // namespace foxtail

#endif

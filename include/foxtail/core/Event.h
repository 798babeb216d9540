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

// One entry of the event catalogue. The number never changes its meaning;
// docs/EVENTS.md is generated from the catalogue.
struct EventInfo
{
  int mId;
  Severity mSeverity;
  std::string_view mName;
  // What happened and what an operator should do about it.
  std::string_view mMeaning;
};

// The whole catalogue, ordered by number. Numbers: 1000 daemon and settings,
// 2000 configuration, 3000 membership, 4000 routing, 5000 requests, 6000 net,
// 7000 peers, 8000 platform and upstream reports.
const std::vector<EventInfo>&
EventCatalogue();

// The entry with this number; an unknown number is a programming error and
// ends the process through an assertion.
const EventInfo&
FindEvent(int aId);

// One occurrence, ready to be logged. The detail is "key=value" text.
struct Event
{
  int mId;
  std::string mDetail;
};

} // namespace foxtail

#endif

#ifndef foxtail_agent_WatchDuty_h
#define foxtail_agent_WatchDuty_h

#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::agent {

// Agents of one failure domain that watch the platform; the others hear from
// them.
constexpr size_t kWatchersPerDomain = 2;

// True when the agent aName of aDomain is among the first kWatchersPerDomain
// of its domain by rendezvous rank, given the other agents that live. Every
// agent with the same view comes to the same watchers, and the end of one
// changes only who takes its place.
bool
WatchesPlatform(const std::string& aName,
                const std::string& aDomain,
                const std::vector<membership::Member>& aOthers);

} // namespace foxtail::agent

#endif

#ifndef foxtail_agent_WatchDuty_h
#define foxtail_agent_WatchDuty_h

#include <string>
#include <vector>

#include "foxtail/membership/View.h"

namespace foxtail::agent {

// Number of agents per failure domain that watch the platform; the other agents
// get changes from them.
constexpr size_t kWatchersPerDomain = 2;

// True when the agent aName of aDomain is among the first kWatchersPerDomain
// agents of its domain by rendezvous hashing. aOthers are the other live
// agents. Agents with the same view choose the same watchers, and when a
// watcher ends, only its place is filled by another agent.
bool
IsPlatformWatcher(const std::string& aName,
                  const std::string& aDomain,
                  const std::vector<membership::Member>& aOthers);

} // namespace foxtail::agent

#endif

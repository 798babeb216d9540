#ifndef foxtail_agent_Status_h
#define foxtail_agent_Status_h

#include <string>

#include "foxtail/agent/AgentCore.h"
#include "foxtail/daemon/Metrics.h"

namespace foxtail::agent {

// Returns the JSON document of /status.
std::string
StatusText(const AgentCore& aCore, const std::string& aVm);

// Sets the metrics to the core's current counts and state.
void
UpdateMetrics(const AgentCore& aCore, daemon::Metrics& aMetrics);

} // namespace foxtail::agent

#endif

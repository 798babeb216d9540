#ifndef foxtail_agent_Status_h
#define foxtail_agent_Status_h

#include <string>

#include "foxtail/agent/AgentCore.h"
#include "foxtail/daemon/Metrics.h"

namespace foxtail::agent {

// What operators see of an agent, as JSON.
std::string
StatusText(const AgentCore& aCore, const std::string& aVm);

// Brings the metrics that the core counts up to date.
void
UpdateMetrics(const AgentCore& aCore, daemon::Metrics& aMetrics);

} // namespace foxtail::agent

#endif

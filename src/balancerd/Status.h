#ifndef foxtail_balancerd_Status_h
#define foxtail_balancerd_Status_h

#include <string>

#include "foxtail/balancer/Balancer.h"
#include "foxtail/daemon/Metrics.h"

namespace foxtail::balancerd {

// State of the daemon that the balancer itself does not have.
struct StatusContext
{
  std::string mVm;
  routing::Incarnation mIncarnation = 0;
  // Time since the agent's latest answer.
  Duration mAgentAnswerAge{ 0 };
  // Datagrams dropped because of their sender's address.
  uint64_t mUnauthorised = 0;
};

// Returns the JSON document of /status.
std::string
StatusText(const balancer::Balancer& aBalancer, const StatusContext& aContext);

// Sets the gauges and counters to the current values.
void
UpdateMetrics(const balancer::Balancer& aBalancer,
              const StatusContext& aContext,
              daemon::Metrics& aMetrics);

// Returns the JSON document of /explain.
std::string
ExplanationText(const balancer::Explanation& aExplanation);

} // namespace foxtail::balancerd

#endif

#ifndef foxtail_balancerd_Status_h
#define foxtail_balancerd_Status_h

#include <string>

#include "foxtail/balancer/Balancer.h"
#include "foxtail/daemon/Metrics.h"

namespace foxtail::balancerd {

// What is known of the balancer besides its own state.
struct StatusContext
{
  std::string mVm;
  routing::Incarnation mIncarnation = 0;
  Duration mAgentAge{ 0 };
  uint64_t mUnauthorised = 0;
};

// The document of /status.
std::string
StatusText(const balancer::Balancer& aBalancer, const StatusContext& aContext);

// Brings the gauges and counters up to date.
void
UpdateMetrics(const balancer::Balancer& aBalancer,
              const StatusContext& aContext,
              daemon::Metrics& aMetrics);

// The document of /explain.
std::string
ExplanationText(const balancer::Explanation& aExplanation);

} // namespace foxtail::balancerd

#endif

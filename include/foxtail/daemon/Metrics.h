#ifndef foxtail_daemon_Metrics_h
#define foxtail_daemon_Metrics_h

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace foxtail::daemon {

// The metrics of a process. Names follow Prometheus' conventions and start
// with "foxtail_"; counters end in "_total". Thread-safe.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  // The counter or gauge of this name and these labels, created at first use.
  // The reference stays valid as long as this object.
  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  // The histogram of this name and these labels; aBounds are the upper bounds
  // of its buckets.
  prometheus::Histogram& Histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const Labels& aLabels,
                                   const std::vector<double>& aBounds);

  // Sets a counter that is counted elsewhere to aValue, which must not shrink.
  void SetCounter(const std::string& aName,
                  const std::string& aHelp,
                  const Labels& aLabels,
                  double aValue);

  // The exposition text.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
};

} // namespace foxtail::daemon

#endif

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

// Prometheus metrics of a process. Names follow Prometheus' conventions and
// start with "foxtail_"; names of counters end in "_total". Thread-safe.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  // Returns the counter or gauge with this name and these labels; it is created
  // at first use. The reference stays valid for the lifetime of this object.
  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  // Returns the histogram with this name and these labels; aBounds are the
  // upper bounds of its buckets.
  prometheus::Histogram& Histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const Labels& aLabels,
                                   const std::vector<double>& aBounds);

  // Sets a counter to a total that is kept elsewhere. aValue must not be less
  // than the counter's value.
  void SetCounter(const std::string& aName,
                  const std::string& aHelp,
                  const Labels& aLabels,
                  double aValue);

  // Returns all metrics in Prometheus' text exposition format.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
};

} // namespace foxtail::daemon

#endif

#include "foxtail/daemon/Metrics.h"

#include <prometheus/text_serializer.h>

namespace foxtail::daemon {

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>(
      prometheus::Registry::InsertBehavior::Merge))
{
}

prometheus::Counter&
Metrics::Counter(const std::string& aName,
                 const std::string& aHelp,
                 const Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(*mRegistry)
    .Add(aLabels);
}

prometheus::Gauge&
Metrics::Gauge(const std::string& aName,
               const std::string& aHelp,
               const Labels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*mRegistry)
    .Add(aLabels);
}

prometheus::Histogram&
Metrics::Histogram(const std::string& aName,
                   const std::string& aHelp,
                   const Labels& aLabels,
                   const std::vector<double>& aBounds)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*mRegistry)
    .Add(aLabels, aBounds);
}

void
Metrics::SetCounter(const std::string& aName,
                    const std::string& aHelp,
                    const Labels& aLabels,
                    double aValue)
{
  prometheus::Counter& counter = Counter(aName, aHelp, aLabels);
  counter.Increment(aValue - counter.Value());
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace foxtail::daemon

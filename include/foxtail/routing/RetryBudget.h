#ifndef foxtail_routing_RetryBudget_h
#define foxtail_routing_RetryBudget_h

namespace foxtail::routing {

// Limits retries to a share of the requests, so that retries cannot multiply a
// load peak.
class RetryBudget
{
public:
  // Retries that each request adds to the budget.
  static constexpr double kRetriesPerRequest = 0.1;
  // Largest number of retries that the budget can hold.
  static constexpr double kMaxSavedRetries = 10.0;

  void OnRequest();
  // Takes one retry from the budget; returns false when none is left.
  bool TryRetry();

private:
  double mSavedRetries = kMaxSavedRetries;
};

} // namespace foxtail::routing

#endif

#ifndef foxtail_routing_RetryBudget_h
#define foxtail_routing_RetryBudget_h

namespace foxtail::routing {

// Bounds retries to a share of the requests, so that they cannot multiply a
// crest.
class RetryBudget
{
public:
  // Retries that each request pays for.
  static constexpr double kRetriesPerRequest = 0.1;
  // Retries that may be saved up.
  static constexpr double kMaxSavedRetries = 10.0;

  void OnRequest();
  // Spends one retry; false when none is left.
  bool TryRetry();

private:
  double mSavedRetries = kMaxSavedRetries;
};

} // namespace foxtail::routing

#endif

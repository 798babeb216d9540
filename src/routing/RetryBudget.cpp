#include "foxtail/routing/RetryBudget.h"

#include <algorithm>

namespace foxtail::routing {

void
RetryBudget::OnRequest()
{
  mSavedRetries =
    std::min(kMaxSavedRetries, mSavedRetries + kRetriesPerRequest);
}

bool
RetryBudget::TryRetry()
{
  if (mSavedRetries < 1.0) {
    return false;
  }
  mSavedRetries -= 1.0;
  return true;
}

} // namespace foxtail::routing

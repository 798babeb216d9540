#include "foxtail/routing/RetryBudget.h"

#include <algorithm>

namespace foxtail::routing {

void
RetryBudget::OnRequest()
{
  mSaved = std::min(kMaxSaved, mSaved + kRetriesPerRequest);
}

bool
RetryBudget::TryRetry()
{
  if (mSaved < 1.0) {
    return false;
  }
  mSaved -= 1.0;
  return true;
}

} // namespace foxtail::routing

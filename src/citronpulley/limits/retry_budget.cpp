#include "citronpulley/limits/retry_budget.h"

#include <algorithm>

namespace citronpulley {

void retry_budget::RecordRequest(const service_name& aService)
{
  double& tokens = mTokens.try_emplace(aService, mMaxTokens).first->second;
  tokens = std::min(mMaxTokens, tokens + mRetriesPerRequest);
}

bool retry_budget::TrySpend(const service_name& aService)
{
  double& tokens = mTokens.try_emplace(aService, mMaxTokens).first->second;
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

} // namespace citronpulley

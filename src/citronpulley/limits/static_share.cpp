#include "citronpulley/limits/static_share.h"

#include <algorithm>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void static_share::SetCapacity(double aCapacityPerSecond, std::size_t aVms, instant aNow)
{
  Refill(aNow);
  mRate = aVms == 0 ? 0 : kCapacityShare * aCapacityPerSecond / static_cast<double>(aVms);
  mLevel = std::min(mLevel, mRate);
}

bool static_share::TrySpend(double aTokens, instant aNow)
{
  Refill(aNow);
  if (mLevel < aTokens) {
    return false;
  }
  mLevel -= aTokens;
  return true;
}

void static_share::Refill(instant aNow)
{
  const auto elapsed = static_cast<double>((aNow - mRefilledAt).count());
  mLevel = std::min(mLevel + mRate * elapsed / kMicrosecondsPerSecond, mRate);
  mRefilledAt = aNow;
}

} // namespace citronpulley

#include "citronpulley/steering/rate_share.h"

#include <algorithm>
#include <cmath>

namespace citronpulley {

namespace {

/** Time whose tokens may be saved up; at least one token may. */
constexpr double kMaxTokenSeconds = 1;

double ToSeconds(microseconds aSpan)
{
  return static_cast<double>(aSpan.count()) / 1e6;
}

} // namespace

double rate_share::ComputeTokens(instant aNow) const noexcept
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - mRefilledAt));
  return std::min(std::max(1.0, mShare * kMaxTokenSeconds), mTokens + mShare * elapsed);
}

void rate_share::SetShare(double aShare, instant aNow) noexcept
{
  mTokens = aShare > 0 ? ComputeTokens(aNow) : 0;
  mRefilledAt = aNow;
  mShare = aShare;
}

bool rate_share::HasToken(instant aNow) const noexcept
{
  return ComputeTokens(aNow) >= 1;
}

void rate_share::Spend(instant aNow) noexcept
{
  mTokens = ComputeTokens(aNow) - 1;
  mRefilledAt = aNow;
}

void rate_share::RecordDemand(instant aNow) noexcept
{
  mDemand = GetDemand(aNow) + 1 / ToSeconds(kDemandWindow);
  mDemandAt = aNow;
}

double rate_share::GetDemand(instant aNow) const noexcept
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - mDemandAt));
  return mDemand * std::exp(-elapsed / ToSeconds(kDemandWindow));
}

} // namespace citronpulley

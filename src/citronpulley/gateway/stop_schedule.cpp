#include "citronpulley/gateway/stop_schedule.h"

#include <algorithm>

namespace citronpulley {

stop_schedule::stop_schedule(instant aSignalledAt, microseconds aGracePeriod) noexcept
{
  const auto at = [&](double aFraction) {
    return aSignalledAt + microseconds(static_cast<microseconds::rep>(
                            aFraction * static_cast<double>(aGracePeriod.count())));
  };
  mGenerousUntil = std::min(aSignalledAt + kGenerousTime, at(0.5));
  mRequestsEndAt = at(kRequestsEndFraction);
  mEndWhenIdleAt = at(kEndWhenIdleFraction);
  mAnswerAllAt = at(kAnswerAllFraction);
  mEndAt = at(kEndFraction);
}

bool stop_schedule::MayTake(instant aDeadline, instant aExpectedEnd, instant aNow) const noexcept
{
  return aDeadline <= mRequestsEndAt || (aNow < mGenerousUntil && aExpectedEnd <= mRequestsEndAt);
}

bool stop_schedule::IsOver(bool aIsIdle, instant aNow) const noexcept
{
  return aNow >= mEndAt || (aIsIdle && aNow >= mEndWhenIdleAt);
}

} // namespace citronpulley

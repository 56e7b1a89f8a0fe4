#include "citronpulley/steering/run_time_estimate.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** Quantile that is estimated: the fraction of runs that are faster than the estimate. */
constexpr double kQuantile = 0.3;
/**
 * Step size relative to the estimate: it falls to a third within about ten responses, and rises to
 * three times its value within about 25.
 */
constexpr double kStep = 0.15;

} // namespace

double ComputeRunTimeUs(microseconds aTook, const std::optional<load_report>& aLoad) noexcept
{
  // The reported queue is measured at the end of the run; it is about as long as the one that the
  // request found.
  const double queue = aLoad ? aLoad->mWaiting / std::max(1.0, aLoad->mSlots) : 0;
  return static_cast<double>(aTook.count()) / (1 + queue);
}

void run_time_estimate::Record(microseconds aTook, const std::optional<load_report>& aLoad) noexcept
{
  const double time = ComputeRunTimeUs(aTook, aLoad);
  if (mMicroseconds == 0) {
    mMicroseconds = time;
    return;
  }
  mMicroseconds *= time > mMicroseconds ? 1 + kStep * kQuantile : 1 - kStep * (1 - kQuantile);
}

std::optional<microseconds> run_time_estimate::Get() const noexcept
{
  if (mMicroseconds == 0) {
    return std::nullopt;
  }
  return microseconds(static_cast<microseconds::rep>(mMicroseconds));
}

double run_time_estimate::GetSlowness(microseconds aTook,
                                      const std::optional<load_report>& aLoad) const noexcept
{
  return mMicroseconds == 0 ? 1 : ComputeRunTimeUs(aTook, aLoad) / mMicroseconds;
}

} // namespace citronpulley

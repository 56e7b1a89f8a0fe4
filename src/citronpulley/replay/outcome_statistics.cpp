#include "citronpulley/replay/outcome_statistics.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace citronpulley {

double ComputeWorstExcess(const std::vector<microseconds>& aTimes, double aRate, double aBurst)
{
  // Maximizes count(s..t) - rate * (t - s) over all s <= t in one pass. `best` is the maximum of
  // rate * s - count(before s) so far, which is the contribution of the best window start.
  double best = -std::numeric_limits<double>::infinity();
  double worst = -std::numeric_limits<double>::infinity();
  double count = 0;
  for (const microseconds time : aTimes) {
    const double refill = aRate * static_cast<double>(time.count()) / 1e6;
    best = std::max(best, refill - count);
    ++count;
    worst = std::max(worst, count - refill + best);
  }
  return aTimes.empty() ? 0 : worst - aBurst;
}

double ComputeQuantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double rank = std::ceil(aQuantile * static_cast<double>(aValues.size()));
  const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return aValues[std::min(position, aValues.size() - 1)];
}

} // namespace citronpulley

#ifndef CITRONPULLEY_LIMITS_SPEND_HISTORY_H
#define CITRONPULLEY_LIMITS_SPEND_HISTORY_H

#include "citronpulley/base/instant.h"

#include <algorithm>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Record of all spends of one resource by all holders. It checks every time window against the
 * configured limits, independently of the code under test.
 */
class spend_history
{
public:
  /** Time for which tokens granted under a higher burst may still be spent: lease plus margin. */
  static constexpr microseconds kBurstTail{ 1'250'000 };

  void SetLimit(double aRate, double aBurst, instant aNow)
  {
    mLimits.push_back({ aRate, aBurst, aNow });
  }

  void Add(double aTokens, instant aNow) { mSpends.push_back({ aTokens, aNow }); }

  double GetTotal() const
  {
    double sum = 0;
    for (const spend& one : mSpends) {
      sum += one.mTokens;
    }
    return sum;
  }

  /** @return maximum number of tokens by which a window exceeds burst + rate * window; at most 0
   * when no window does */
  double GetWorstExcess() const
  {
    double worst = -1e9;
    for (const limit& bound : mLimits) {
      worst = std::max(worst, GetExcess(bound.mBurst));
    }
    return worst;
  }

private:
  struct limit
  {
    double mRate = 0;
    double mBurst = 0;
    instant mFrom;
  };

  struct spend
  {
    double mTokens = 0;
    instant mAt;
  };

  /** @return maximum excess over a burst in all windows in which no higher burst was in force */
  double GetExcess(double aBurst) const
  {
    double worst = -1e9;
    double sum = 0;
    double minBefore = 1e18;
    for (const spend& one : mSpends) {
      if (GetHighestBurst(one.mAt) > aBurst) {
        minBefore = 1e18;
        sum += one.mTokens;
        continue;
      }
      const double refilled = ComputeRefilled(one.mAt);
      minBefore = std::min(minBefore, sum - refilled);
      sum += one.mTokens;
      worst = std::max(worst, sum - refilled - minBefore - aBurst);
    }
    return worst;
  }

  double GetHighestBurst(instant aAt) const
  {
    double highest = 0;
    for (std::size_t index = 0; index < mLimits.size(); ++index) {
      const bool isOver =
        index + 1 < mLimits.size() && mLimits[index + 1].mFrom + kBurstTail <= aAt;
      if (mLimits[index].mFrom <= aAt && !isOver) {
        highest = std::max(highest, mLimits[index].mBurst);
      }
    }
    return highest;
  }

  double ComputeRefilled(instant aAt) const
  {
    double sum = 0;
    for (std::size_t index = 0; index < mLimits.size(); ++index) {
      const instant until =
        index + 1 < mLimits.size() ? std::min(aAt, mLimits[index + 1].mFrom) : aAt;
      if (until > mLimits[index].mFrom) {
        sum +=
          mLimits[index].mRate * static_cast<double>((until - mLimits[index].mFrom).count()) / 1e6;
      }
    }
    return sum;
  }

  std::vector<limit> mLimits;
  std::vector<spend> mSpends;
};

} // namespace citronpulley

#endif

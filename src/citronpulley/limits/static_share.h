#ifndef CITRONPULLEY_LIMITS_STATIC_SHARE_H
#define CITRONPULLEY_LIMITS_STATIC_SHARE_H

#include "citronpulley/base/instant.h"

#include <cstddef>

namespace citronpulley {

/**
 * Part of its region's capacity that one entry VM may use when it can get no grants. This part of
 * the capacity is never granted, so all VMs of the region may use theirs at once without
 * overloading it.
 */
class static_share
{
public:
  /** Part of a region's capacity that its VMs share without grants. */
  static constexpr double kCapacityShare = 0.1;

  /**
   * Takes over the capacity and the number of VMs. A smaller share holds at once; the unused part
   * of the earlier one is never carried over beyond it.
   *
   * @param aCapacityPerSecond capacity of the whole region
   * @param aVms entry VMs that share it; without any there is no share
   * @param aNow present time
   */
  void SetCapacity(double aCapacityPerSecond, std::size_t aVms, instant aNow);

  /**
   * Spends tokens of the share.
   *
   * @return true when the tokens were spent
   */
  bool TrySpend(double aTokens, instant aNow);

private:
  void Refill(instant aNow);

  /** Tokens per second, and the most at hand: those of one second. */
  double mRate = 0;
  /** It starts empty, so that a restarted VM gets no second burst. */
  double mLevel = 0;
  instant mRefilledAt;
};

} // namespace citronpulley

#endif

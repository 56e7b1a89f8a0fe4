#ifndef CITRONPULLEY_LIMITS_STATIC_SHARE_H
#define CITRONPULLEY_LIMITS_STATIC_SHARE_H

#include "citronpulley/base/instant.h"

#include <cstddef>

namespace citronpulley {

/**
 * Share of its region's capacity that one entry VM may use while it cannot get grants. This part of
 * the capacity is never granted, so all VMs of the region can use their shares at once without
 * overloading it.
 */
class static_share
{
public:
  /** Fraction of a region's capacity that its VMs share without grants. */
  static constexpr double kCapacityShare = 0.1;

  /**
   * Sets the capacity and the number of VMs. A smaller share applies at once: unspent tokens above
   * it are discarded.
   *
   * @param aCapacityPerSecond capacity of the whole region
   * @param aVms number of entry VMs that share it; with 0 the share is empty
   * @param aNow current time
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

  /** Tokens per second; also the maximum level, as one second's worth can be stored. */
  double mRate = 0;
  /** Starts empty, so that a restarted VM does not get a second burst. */
  double mLevel = 0;
  instant mRefilledAt;
};

} // namespace citronpulley

#endif

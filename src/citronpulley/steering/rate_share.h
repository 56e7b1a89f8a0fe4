#ifndef CITRONPULLEY_STEERING_RATE_SHARE_H
#define CITRONPULLEY_STEERING_RATE_SHARE_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * Share of this VM in the rate that a backend server takes from all VMs together. Holds few tokens,
 * so that the VMs together cannot save up a burst. Does no input or output. Not thread-safe.
 */
class rate_share
{
public:
  /** Time constant of the demand. */
  static constexpr microseconds kDemandWindow{ 2'000'000 };

  /** @param aLimit requests per second of all VMs together */
  rate_share(double aLimit, instant aNow) noexcept
    : mLimit(aLimit)
    , mRefilledAt(aNow)
    , mDemandAt(aNow)
  {
  }

  double GetLimit() const noexcept { return mLimit; }
  void SetLimit(double aLimit) noexcept { mLimit = aLimit; }

  /** Sets the requests per second that this VM may send. */
  void SetShare(double aShare, instant aNow) noexcept;
  double GetShare() const noexcept { return mShare; }

  /** @return true when a request may be sent now */
  bool HasToken(instant aNow) const noexcept;
  void Spend(instant aNow) noexcept;

  /** Records a request that this VM would send if it had a token. */
  void RecordDemand(instant aNow) noexcept;
  /** @return requests per second that this VM would send */
  double GetDemand(instant aNow) const noexcept;

private:
  double ComputeTokens(instant aNow) const noexcept;

  double mLimit = 0;
  double mShare = 0;
  double mTokens = 0;
  instant mRefilledAt;
  double mDemand = 0;
  instant mDemandAt;
};

} // namespace citronpulley

#endif

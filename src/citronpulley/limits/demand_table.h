#ifndef CITRONPULLEY_LIMITS_DEMAND_TABLE_H
#define CITRONPULLEY_LIMITS_DEMAND_TABLE_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace citronpulley {

/** Recent demand of all holders for one resource, and its max-min fair allocation. */
class demand_table
{
public:
  /** Age at which a demand expires; longer than the interval between requests of a holder. */
  static constexpr microseconds kDemandLifetime{ 150'000 };

  /** Records the tokens that a holder still wants. This replaces its earlier demand. */
  void RecordDemand(const vm_name& aHolder, double aWanted, instant aNow);

  /** Records tokens granted to a holder and subtracts them from its demand. */
  void RecordGranted(const vm_name& aHolder, double aTokens, instant aNow);

  /**
   * Computes the max-min fair limit of a holder. Tokens granted recently count towards its share,
   * so a holder gains nothing by requesting first or more often.
   *
   * @param aHolder requesting holder; RecordDemand() must have been called for it
   * @param aAvailable tokens to be divided among all holders
   * @param aNow current time
   * @return maximum number of tokens to grant now; infinity when all demands can be met
   */
  double ComputeFairLimit(const vm_name& aHolder, double aAvailable, instant aNow);

  /** @return holders with a recent demand */
  std::size_t GetHolderCount() const noexcept { return mDemands.size(); }

private:
  struct demand
  {
    /** Tokens wanted but not yet granted. */
    double mWanted = 0;
    /** Tokens granted, as of mAt; decays exponentially with the time constant kDemandLifetime. */
    double mReceived = 0;
    instant mAt;
  };

  void ComputeFairShare(double aAvailable, instant aNow);
  static double GetReceived(const demand& aDemand, instant aNow);

  std::map<vm_name, demand> mDemands;
  std::deque<std::pair<instant, vm_name>> mByTime;
  double mTotalWanted = 0;
  /** Result of the latest ComputeFairShare(): maximum tokens of a holder, including those received
   * recently. */
  double mFairShare = 0;
  /** Fewest tokens received by a holder with unmet demand, at the latest ComputeFairShare(). */
  double mMinReceived = 0;
  instant mNextDivisionAt;
};

} // namespace citronpulley

#endif

#ifndef CITRONPULLEY_LIMITS_DEMAND_TABLE_H
#define CITRONPULLEY_LIMITS_DEMAND_TABLE_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace citronpulley {

/** Recent demand of all holders for one resource, and its max-min fair division. */
class demand_table
{
public:
  /** Age from which a demand no longer counts. It exceeds the interval at which holders ask. */
  static constexpr microseconds kDemandLifetime{ 150'000 };

  /** Notes what a holder totals and has not got; it replaces the holder's earlier demand. */
  void RecordDemand(const vm_name& aHolder, double aWanted, instant aNow);

  /** Notes what a holder got of its demand. */
  void RecordGranted(const vm_name& aHolder, double aTokens, instant aNow);

  /**
   * Divides tokens among the holders so that none gets more while one that got less still totals
   * some. What they received recently counts, so that asking more often or first brings no more.
   *
   * @param aHolder holder that asks, after RecordDemand()
   * @param aAvailable tokens to be divided
   * @return the most that the holder gets now; no limit when all demands can be met
   */
  double ComputeFairLimit(const vm_name& aHolder, double aAvailable, instant aNow);

  /** @return holders with a recent demand */
  std::size_t GetHolderCount() const noexcept { return mDemands.size(); }

private:
  struct demand
  {
    /** Tokens wanted and not received. */
    double mWanted = 0;
    /** Tokens received, as of a time; they fade with kDemandLifetime. */
    double mReceived = 0;
    instant mAt;
  };

  void ComputeFairShare(double aAvailable, instant aNow);
  static double GetReceived(const demand& aDemand, instant aNow);

  std::map<vm_name, demand> mDemands;
  std::deque<std::pair<instant, vm_name>> mByTime;
  double mTotalWanted = 0;
  /** Result of the latest ComputeFairShare(): most tokens of a holder, those received recently
   * included. */
  double mFairShare = 0;
  /** Fewest tokens received by a holder that totals some, at the latest ComputeFairShare(). */
  double mMinReceived = 0;
  instant mNextDivisionAt;
};

} // namespace citronpulley

#endif

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
  static constexpr microseconds kMemory{ 150'000 };

  /** Notes what a holder wants and has not got; it replaces the holder's earlier demand. */
  void Note(const vm_name& aHolder, double aWanted, instant aNow);

  /** Notes what a holder got of its demand. */
  void NoteReceived(const vm_name& aHolder, double aTokens, instant aNow);

  /**
   * Divides tokens among the holders so that none gets more while one that got less still wants
   * some. What they received recently counts, so that asking more often or first brings no more.
   *
   * @param aHolder holder that asks, after Note()
   * @param aAvailable tokens to be divided
   * @return the most that the holder gets now; no limit when all demands can be met
   */
  double GetFairLimit(const vm_name& aHolder, double aAvailable, instant aNow);

  /** @return holders with a recent demand */
  std::size_t GetCount() const noexcept { return mDemands.size(); }

private:
  struct demand
  {
    /** Tokens wanted and not received. */
    double mWanted = 0;
    /** Tokens received, as of a time; they fade with kMemory. */
    double mReceived = 0;
    instant mAt;
  };

  void Divide(double aAvailable, instant aNow);
  static double GetReceived(const demand& aDemand, instant aNow);

  std::map<vm_name, demand> mDemands;
  std::deque<std::pair<instant, vm_name>> mByTime;
  double mSum = 0;
  /** Result of the latest Divide(): most tokens of a holder, those received recently included. */
  double mShare = 0;
  /** Fewest tokens received by a holder that wants some, at the latest Divide(). */
  double mLeastReceived = 0;
  instant mDivideAgainAt;
};

} // namespace citronpulley

#endif

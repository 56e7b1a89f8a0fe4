#ifndef CITRONPULLEY_LIMITS_GRANT_AUTHORITY_H
#define CITRONPULLEY_LIMITS_GRANT_AUTHORITY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/limits/demand_table.h"
#include "citronpulley/limits/rate_ledger.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace citronpulley {

/**
 * Granting side of all limited resources, at a control VM: `workspace:<name>` for the rate of a
 * workspace and `region:<name>` for the capacity of a region.
 *
 * It lends only while the caller confirms that the VM leads the control group. In a new term all
 * ledgers stay blocked until each grant of an earlier leader has ended.
 */
class grant_authority
{
public:
  /** Time for which a holder may spend a grant, from the sending of its request. */
  static constexpr microseconds kLease{ 1'000'000 };
  /** Allowance for the drift of clocks. */
  static constexpr microseconds kLeaseMargin{ 250'000 };
  /** Time from the start of a confirming round for which a leader may lend. */
  static constexpr microseconds kLeadershipValidity{ 500'000 };
  /** Part of a region's capacity that is granted; the rest is the static share. */
  static constexpr double kGrantedCapacityShare = 0.9;

  /**
   * @param aSelf this VM
   * @param aIncarnation number of this run; grants of other runs get other numbers
   */
  grant_authority(vm_name aSelf, incarnation aIncarnation);

  /**
   * Notes that a majority confirmed this VM as leader.
   *
   * @param aTerm term of the control group; a new one starts with blocked ledgers
   * @param aConfirmedAt time at which the confirming round began
   * @param aNow present time
   */
  void ConfirmLeadership(std::uint64_t aTerm, instant aConfirmedAt, instant aNow);

  /**
   * Takes over rates and capacities. What is lent out stays lent; a removed resource keeps its
   * ledger until nothing of it is lent out.
   */
  void SetCatalogue(const catalogue& aCatalogue, instant aNow);

  /**
   * Answers a request for tokens. The same request number of the same run gets the same answer.
   *
   * @param aHolder VM that asks
   * @param aRequest its request
   * @param aNow present time
   * @return the answer; without leadership confirmed it says so and grants nothing
   */
  grant_reply HandleRequest(const vm_name& aHolder, const grant_request& aRequest, instant aNow);

private:
  struct rate_limit
  {
    double mRate = 0;
    double mBurst = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
  };

  struct resource_state
  {
    rate_ledger mLedger;
    demand_table mDemands;
  };

  struct holder_state
  {
    incarnation mIncarnation = 0;
    std::deque<grant_reply> mReplies;
  };

  resource_grant Grant(const vm_name& aHolder,
                       const std::string& aResource,
                       resource_state& aState,
                       double aWanted,
                       instant aNow);
  void SetLimit(const std::string& aResource, const rate_limit& aLimit, instant aNow);

  vm_name mSelf;
  incarnation mIncarnation;
  std::uint64_t mTerm = 0;
  instant mConfirmedAt;
  instant mBlockedUntil;
  bool mHasLed = false;
  std::map<std::string, rate_limit> mLimits;
  std::map<std::string, resource_state> mResources;
  std::map<vm_name, holder_state> mHolders;
  std::uint64_t mLastGrant = 0;
};

} // namespace citronpulley

#endif

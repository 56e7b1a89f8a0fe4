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
 * Grants tokens of all limited resources; runs on the control VMs. The resource `workspace:<name>`
 * is the rate of a workspace, `region:<name>` the capacity of a region.
 *
 * Tokens are granted only while the caller confirms that this VM leads the control group. In a new
 * term all ledgers are blocked until every grant of an earlier leader has expired.
 */
class grant_authority
{
public:
  /** Time for which a holder may spend a grant, counted from when it sent the request. */
  static constexpr microseconds kLease{ 1'000'000 };
  /** Allowance for clock drift between holder and granting VM. */
  static constexpr microseconds kLeaseMargin{ 250'000 };
  /** Time for which a leader may grant after the start of a confirming round. */
  static constexpr microseconds kLeadershipValidity{ 500'000 };
  /** Fraction of a region's capacity that is granted; the rest is the static share. */
  static constexpr double kGrantedCapacityShare = 0.9;

  /**
   * @param aSelf this VM
   * @param aIncarnation number of this run, from which the grant numbers are derived, so that they
   * differ between runs
   */
  grant_authority(vm_name aSelf, incarnation aIncarnation);

  /**
   * Records that a majority confirmed this VM as leader.
   *
   * @param aTerm term of the control group; in a new term all ledgers start blocked
   * @param aConfirmedAt time at which the confirming round began
   * @param aNow current time
   */
  void ConfirmLeadership(std::uint64_t aTerm, instant aConfirmedAt, instant aNow);

  /**
   * Sets the rates and capacities. Outstanding grants stay valid; the ledger of a removed resource
   * is kept until none of its tokens are outstanding.
   */
  void SetCatalogue(const catalogue& aCatalogue, instant aNow);

  /**
   * Handles a request for tokens and the reports of spent grants in it. A resent request, which has
   * the same number and holder run, gets the same reply.
   *
   * @param aHolder requesting VM
   * @param aRequest tokens wanted and grants reported
   * @param aNow current time
   * @return the reply; without a recent confirmation of leadership its mIsLeader is false and it
   * grants nothing. A request of an earlier run of the holder is granted nothing either.
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

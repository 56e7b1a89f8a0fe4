#ifndef CITRONPULLEY_LIMITS_ADMISSION_H
#define CITRONPULLEY_LIMITS_ADMISSION_H

#include "citronpulley/base/error.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/limits/static_share.h"
#include "citronpulley/limits/token_pool.h"

#include <cstddef>
#include <map>
#include <string>

namespace citronpulley {

/** Tokens that one attempt of a request consumes. */
struct request_cost
{
  /** Workspace whose rate is charged; empty on open routes and for attempts after the first. */
  workspace_name mWorkspace;
  /** Region in which the request runs. */
  region_name mRegion;
  /** Region tokens: one for the request plus one for each call to its dependencies. */
  double mCalls = 1;

  friend auto operator<=>(const request_cost&, const request_cost&) = default;
};

/** Reason for which a request was refused its tokens. */
struct token_refusal
{
  /** RateExceeded or RegionFull. */
  error_code mCode = error_code::RateExceeded;
  std::string mMessage;
  /** True when the granting VM had not reported the rate of the workspace as used up; false on open
   * routes. */
  bool mIsInsideRate = false;
};

/**
 * Computes how many calls inside a region one request of a service causes.
 *
 * @return 1 for the request itself plus the mean number of calls to its direct and indirect
 * dependencies
 */
double ComputeCallsPerRequest(const catalogue& aCatalogue, const service_name& aService);

/**
 * Admission control of an entry VM: checks each request against the rate of its workspace and the
 * capacity of its region.
 *
 * Tokens normally come from grants. While grants are unavailable, requests to the VM's own region
 * may use the static share of its capacity instead.
 */
class admission
{
public:
  /**
   * @param aTokenPool tokens granted to this VM; must outlive this object
   * @param aOwnRegion region of this VM
   */
  admission(token_pool& aTokenPool, region_name aOwnRegion);

  /**
   * Sets the capacity of the own region and the number of entry VMs that share it. The share is
   * divided by the largest number of VMs seen in this run, because VMs that are no longer listed
   * may still be using their shares.
   */
  void SetCapacity(double aCapacityPerSecond, std::size_t aVms, instant aNow);

  /**
   * Spends all tokens of a request, or none if any of them is missing.
   *
   * @param aIsRetry see token_pool::TrySpend()
   * @param aHasControlContact false when contact with the control group is lost; requests to the
   * own region may then use the static share
   * @return true when the request may run
   */
  bool TrySpend(const request_cost& aCost, bool aIsRetry, bool aHasControlContact, instant aNow);

  /** @return true when this VM holds too few tokens of the workspace's rate for the request */
  bool IsShortOfRateTokens(const request_cost& aCost, instant aNow) const;

  /** Records the demand of a request that waits behind another one of its workspace. */
  void AddWaitingDemand(const workspace_name& aWorkspace);

  /**
   * Builds the error for a request for which TrySpend() returned false.
   *
   * @param aWorkspace workspace of the request; empty on open routes
   * @param aStartedAt time at which the request arrived
   */
  token_refusal MakeRefusal(const request_cost& aCost,
                            const workspace_name& aWorkspace,
                            instant aStartedAt,
                            instant aNow) const;

private:
  token_pool& mTokenPool;
  region_name mOwnRegion;
  static_share mShare;
  std::size_t mMaxVms = 0;
};

} // namespace citronpulley

#endif

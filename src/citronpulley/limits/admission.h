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

/** Tokens that one attempt of a request costs. */
struct request_cost
{
  /** Workspace whose rate it uses; empty on open routes and for later attempts. */
  workspace_name mWorkspace;
  /** Region in which it runs. */
  region_name mRegion;
  /** Region tokens: one for the request and one for each call of its dependencies. */
  double mCalls = 1;

  friend auto operator<=>(const request_cost&, const request_cost&) = default;
};

/** Why a request got no tokens. */
struct token_refusal
{
  /** RateExceeded or RegionFull. */
  error_code mCode = error_code::RateExceeded;
  std::string mMessage;
  /** The granting VM had not reported the rate of the workspace as used up. */
  bool mIsInsideRate = false;
};

/**
 * Counts the calls inside a region that one request of a service leads to.
 *
 * @return 1 for the request and the mean number of calls of its dependencies at all levels
 */
double ComputeCallsPerRequest(const catalogue& aCatalogue, const service_name& aService);

/**
 * Admission of requests at an entry VM: rate of the workspace and capacity of the region, from
 * grants or, for the own region while no grants can be had, from the VM's static share.
 */
class admission
{
public:
  /**
   * @param aTokenPool tokens of this VM; it outlives the admission
   * @param aOwnRegion region of this VM
   */
  admission(token_pool& aTokenPool, region_name aOwnRegion);

  /**
   * Takes over the capacity of the own region and the VMs that share it. The largest number of VMs
   * seen in this run counts, because VMs that left may still use their shares.
   */
  void SetCapacity(double aCapacityPerSecond, std::size_t aVms, instant aNow);

  /**
   * Spends the tokens of a request, or none at all.
   *
   * @param aIsRetry see token_pool::TrySpend()
   * @param aHasControlContact false when contact with the control group is lost
   * @return true when the request may run
   */
  bool TrySpend(const request_cost& aCost, bool aIsRetry, bool aHasControlContact, instant aNow);

  /** @return true when the rate of the workspace lacks tokens for the request */
  bool IsShortOfRateTokens(const request_cost& aCost, instant aNow) const;

  /** Notes that a request waits behind another one of its workspace, without trying it. */
  void AddWaitingDemand(const workspace_name& aWorkspace);

  /**
   * Explains a refusal, after TrySpend() failed.
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

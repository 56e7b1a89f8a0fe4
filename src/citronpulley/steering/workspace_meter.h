#ifndef CITRONPULLEY_STEERING_WORKSPACE_METER_H
#define CITRONPULLEY_STEERING_WORKSPACE_METER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <map>
#include <vector>

namespace citronpulley {

/**
 * Tracks the rate tokens of each workspace that this entry VM holds, and the demand that it reports
 * to the leader. The leader grants tokens ahead of the requests. While the leader is unreachable,
 * the VM adds tokens at the fallback rate that is reserved for it. Does no input or output. Not
 * thread-safe.
 */
class workspace_meter
{
public:
  /** Time constant of the moving average of the demand. */
  static constexpr microseconds kDemandWindow{ 1'500'000 };
  /** Time without contact with the leader after which tokens are added at the fallback rate. */
  static constexpr microseconds kContactTimeout{ 800'000 };

  /** Demand and tokens of one workspace for the report to the leader. */
  struct account_report
  {
    workspace_name mWorkspace;
    double mDemand = 0;
    double mTokens = 0;
  };

  /** Records that the leader answered a report. */
  void RecordLeaderContact(instant aNow) noexcept;

  /**
   * Adds granted tokens, or removes some if `aTokens` is negative.
   *
   * @param aFallbackRate tokens per second to add while the leader is unreachable
   * @param aMaxTokens maximum number of tokens held by adding at the fallback rate
   */
  void Grant(const workspace_name& aWorkspace,
             double aTokens,
             double aFallbackRate,
             double aMaxTokens);

  /**
   * Counts a request of a workspace with a rate limit and spends a token for it. Any positive
   * fraction of a token is enough; the resulting negative balance is reported and compensated by
   * the next grant.
   *
   * @return true when the request may run
   */
  bool TrySpend(const workspace_name& aWorkspace, instant aNow);

  /** Returns the token of a request that did not run. */
  void Refund(const workspace_name& aWorkspace);

  /** @return workspaces with a noticeable demand or a non-zero balance of tokens */
  std::vector<account_report> Report(instant aNow);

private:
  struct account
  {
    double mTokens = 0;
    double mFallbackRate = 0;
    double mMaxTokens = 0;
    instant mRefilledAt;
    double mDemand = 0;
    instant mDemandAt;
  };

  void RefillFallback(account& aAccount, instant aNow) const;
  static void DecayDemand(account& aAccount, instant aNow);

  std::map<workspace_name, account> mAccounts;
  instant mLeaderSeenAt;
};

} // namespace citronpulley

#endif

#ifndef CITRONPULLEY_STEERING_WORKSPACE_METER_H
#define CITRONPULLEY_STEERING_WORKSPACE_METER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <map>
#include <vector>

namespace citronpulley {

/**
 * Tokens of the workspaces' rates that this VM holds, and the demand that it reports. The leader
 * tops them up ahead of the requests; while it is silent, the VM adds its reserved part by itself.
 * Pure and not thread-safe.
 */
class workspace_meter
{
public:
  /** Time over which the demand is averaged. */
  static constexpr microseconds kDemandWindow{ 1'500'000 };
  /** Silence of the leader from which on the reserved part is added. */
  static constexpr microseconds kContactTimeout{ 800'000 };

  /** What the VM reports of a workspace. */
  struct account_report
  {
    workspace_name mWorkspace;
    double mDemand = 0;
    double mTokens = 0;
  };

  /** Notes that the leader answered. */
  void RecordLeaderContact(instant aNow) noexcept;

  /** Adds tokens of a grant. */
  void Grant(const workspace_name& aWorkspace,
             double aTokens,
             double aFallbackRate,
             double aMaxTokens);

  /**
   * Counts a request of a workspace with a limit. A fraction of a token is enough: what it spends
   * in advance is reported and made up for by the next grant.
   *
   * @return true when it may run; a token is taken then
   */
  bool TrySpend(const workspace_name& aWorkspace, instant aNow);

  /** Gives the token of a request back that did not run. */
  void Refund(const workspace_name& aWorkspace);

  /** @return accounts with some demand, or with tokens */
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

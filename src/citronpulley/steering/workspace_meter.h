#ifndef CITRONPULLEY_STEERING_WORKSPACE_METER_H
#define CITRONPULLEY_STEERING_WORKSPACE_METER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <map>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Tokens of the part of each workspace's rate that this VM may use, and the demand that it reports.
 * A part that grows brings no tokens at once, so that parts moved between VMs are not spent twice.
 * Pure and not thread-safe.
 */
class workspace_meter
{
public:
  /** Time over which the demand is averaged. */
  static constexpr microseconds kDemandWindow{ 1'500'000 };

  /** Sets the part of a workspace. */
  void SetShare(const workspace_name& aWorkspace, double aRate, double aBurst, instant aNow);

  /**
   * Counts a request of a workspace with a limit.
   *
   * @return true when it may run; a token is taken then
   */
  bool TryTake(const workspace_name& aWorkspace, instant aNow);

  /** Gives the token of a request back that did not run. */
  void GiveBack(const workspace_name& aWorkspace);

  /** @return requests per second that were asked for, by workspace */
  std::vector<std::pair<workspace_name, double>> ListDemands(instant aNow);

private:
  struct account
  {
    double mRate = 0;
    double mBurst = 0;
    double mTokens = 0;
    instant mFilledAt;
    double mDemand = 0;
    instant mDemandAt;
  };

  static void Fill(account& aAccount, instant aNow);
  static void DecayDemand(account& aAccount, instant aNow);

  std::map<workspace_name, account> mAccounts;
};

} // namespace citronpulley

#endif

#ifndef CITRONPULLEY_LIMITS_RATE_WALLET_H
#define CITRONPULLEY_LIMITS_RATE_WALLET_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronpulley {

/** Tokens that one entry VM holds of all limited resources, and its demand for more. */
class rate_wallet
{
public:
  /**
   * Spends a token of each resource, or none at all.
   *
   * @param aCosts tokens by resource
   * @param aIsRetry true when the same request tried before; its demand is counted once
   * @param aNow present time; a grant whose lease is over is never used
   * @return true when the tokens were spent
   */
  bool TrySpend(const std::map<std::string, double>& aCosts, bool aIsRetry, instant aNow);

  /**
   * Makes the request for the tokens that the VM expects to spend.
   *
   * @param aNow present time
   * @return the request; its list is empty when the VM neither needs nor returns tokens
   */
  grant_request MakeRequest(incarnation aIncarnation, instant aNow);

  /**
   * Takes grants.
   *
   * @param aReply answer to the newest request; others are dropped
   * @param aNow present time
   */
  void Accept(const grant_reply& aReply, instant aNow);

  /** @return tokens of a resource that can be spent at a time */
  double GetHeld(const std::string& aResource, instant aNow) const;

private:
  struct held_grant
  {
    std::uint64_t mGrant = 0;
    double mTokens = 0;
    instant mExpiresAt;
  };

  struct resource_state
  {
    std::vector<held_grant> mGrants;
    std::vector<resource_demand::settled_grant> mSettled;
    /** Tokens spent or wanted in vain since the last request. */
    double mRecentDemand = 0;
    /** Smoothed demand per second. */
    double mDemandPerSecond = 0;
  };

  static void DropExpired(resource_state& aResource, instant aNow);
  static void Take(resource_state& aResource, double aTokens);

  std::map<std::string, resource_state> mResources;
  std::uint64_t mRequestNumber = 0;
  instant mRequestedAt;
};

} // namespace citronpulley

#endif

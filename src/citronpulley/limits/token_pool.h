#ifndef CITRONPULLEY_LIMITS_TOKEN_POOL_H
#define CITRONPULLEY_LIMITS_TOKEN_POOL_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Tokens that one entry VM holds of all limited resources, and its demand for more.
 *
 * A lease counts from the first sending of the request that brought the grant, so it ends before
 * the granting VM counts the tokens as free. Each answer is used once at most.
 */
class token_pool
{
public:
  /**
   * Time without any answer after which the VM counts as cut off from the granting VM. It is below
   * the time for which a request waits, so that the request can still use the static share.
   */
  static constexpr microseconds kContactTimeout{ 100'000 };

  /**
   * Spends tokens of each resource, or none at all.
   *
   * @param aCosts tokens by resource
   * @param aIsRetry true when the same request tried before. Its demand is counted once, and what
   * retries miss is wanted at the next MakeRequests().
   * @param aNow present time; a grant whose lease is over is never used
   * @return true when the tokens were spent
   */
  bool TrySpend(const std::map<std::string, double>& aCosts, bool aIsRetry, instant aNow);

  /**
   * Adds to what is wanted at the next MakeRequests(), for a waiting request that need not be tried
   * because an earlier one of the same workspace missed its tokens.
   */
  void AddNeededTokens(const std::string& aResource, double aTokens);

  /**
   * Makes the requests that are due: one for the tokens that the VM needs, and each unanswered one
   * again with its number. Call it every few milliseconds, after the retries of waiting requests.
   *
   * @param aIncarnation this run of the VM
   * @param aNow present time
   * @return requests to be sent to the granting VM; mostly none
   */
  std::vector<grant_request> MakeRequests(incarnation aIncarnation, instant aNow);

  /**
   * Takes grants.
   *
   * @param aReply answer of a granting VM; one that answers no open request of this run is dropped
   * @param aNow present time
   */
  void Receive(const grant_reply& aReply, instant aNow);

  /** @return tokens of a resource that can be spent at a time */
  double GetAvailableTokens(const std::string& aResource, instant aNow) const;

  /** @return the last resource in the order of names that lacks tokens for the costs, or nothing */
  std::optional<std::string> FindShortage(const std::map<std::string, double>& aCosts,
                                          instant aNow) const;

  /** @return true when the granting VM has reported a resource as used up since a time */
  bool WasReportedUsedUp(const std::string& aResource, instant aSince) const;

  /** @return true when requests have stayed unanswered for kContactTimeout */
  bool HasLostContact(instant aNow) const noexcept
  {
    return mUnansweredSince && *mUnansweredSince + kContactTimeout <= aNow;
  }

private:
  struct held_grant
  {
    std::uint64_t mGrant = 0;
    double mTokens = 0;
    instant mExpiresAt;
    instant mReceivedAt;
  };

  struct grant_report
  {
    double mUnspent = 0;
    bool mIsReturned = false;
    instant mExpiresAt;
    /** Request that carries the report; 0 when it is still to be sent. */
    std::uint64_t mRequestNumber = 0;
  };

  struct resource_state
  {
    /** In order of their ends. */
    std::vector<held_grant> mGrants;
    std::map<std::uint64_t, grant_report> mReports;
    /** Demand per second, smoothed over kDemandSmoothingTime, as of a time. */
    double mDemandPerSecond = 0;
    instant mDemandAt;
    /** Tokens that waiting requests missed or still need since the last MakeRequests(). */
    double mNeeded = 0;
    /** Tokens wanted by requests that are not answered yet. */
    double mInFlight = 0;
    instant mRetryAt;
    instant mNextReportAt;
    std::optional<instant> mUsedUpAt;
    microseconds mBurstTime{ 1'000'000 };
  };

  struct pending_request
  {
    grant_request mRequest;
    instant mSentAt;
    instant mResendAt;
    std::uint32_t mSendCount = 1;
    /** Its wanted tokens no longer count as on their way. */
    bool mIsAbandoned = false;
  };

  static void ExpireGrants(resource_state& aResource, instant aNow);
  static void AddDemand(resource_state& aResource, double aTokens, instant aNow);
  static void SpendTokens(resource_state& aResource, double aTokens);
  static void ReturnSurplus(resource_state& aResource, double aTarget, instant aNow);
  std::optional<resource_demand> MakeDemand(const std::string& aName,
                                            resource_state& aResource,
                                            instant aNow);
  void AppendResends(std::vector<grant_request>& aRequests, instant aNow);
  void AbandonRequest(pending_request& aPending);

  std::map<std::string, resource_state> mResources;
  std::map<std::uint64_t, pending_request> mPending;
  std::uint64_t mRequestNumber = 0;
  instant mNextRequestAt;
  std::optional<instant> mUnansweredSince;
  /** Smoothed time from a request to its answer. */
  microseconds mRoundTrip{ 50'000 };
};

} // namespace citronpulley

#endif

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
 * Tokens that were granted to one entry VM, for all limited resources, and its demand for more.
 *
 * The lease of a grant is counted from when the request was first sent, so it ends before the
 * granting VM counts the tokens as free. Each reply is processed at most once.
 */
class token_pool
{
public:
  /**
   * Time without any reply after which the granting VM counts as unreachable. It is shorter than
   * the time for which a request waits, so that the request can still use the static share.
   */
  static constexpr microseconds kContactTimeout{ 100'000 };

  /**
   * Spends tokens of each resource, or none if any of them is missing.
   *
   * @param aCosts tokens by resource
   * @param aIsRetry true when the same request tried before. The demand of a request is counted
   * once; the tokens that a retry needs count towards the next MakeRequests().
   * @param aNow current time; a grant whose lease has expired is never used
   * @return true when the tokens were spent
   */
  bool TrySpend(const std::map<std::string, double>& aCosts, bool aIsRetry, instant aNow);

  /**
   * Adds to the tokens that waiting requests need. The next MakeRequests() requests those that are
   * neither held nor already requested. Call it for a waiting request that is not retried because
   * an earlier one of its workspace is still short of tokens.
   */
  void AddNeededTokens(const std::string& aResource, double aTokens);

  /**
   * Makes the requests that are due: one for the tokens that the VM needs, and unanswered ones that
   * have to be resent under their old number. Call it every few milliseconds, after the retries of
   * waiting requests.
   *
   * @param aIncarnation number of the current run of this VM
   * @param aNow current time
   * @return requests to be sent to the granting VM; empty when none is due
   */
  std::vector<grant_request> MakeRequests(incarnation aIncarnation, instant aNow);

  /**
   * Receives a reply and adds the tokens granted in it.
   *
   * @param aReply reply of a granting VM; ignored unless it belongs to an open request of this run
   * @param aNow current time
   */
  void Receive(const grant_reply& aReply, instant aNow);

  /** @return tokens of a resource that can be spent now */
  double GetAvailableTokens(const std::string& aResource, instant aNow) const;

  /** @return the last resource, in order of names, that lacks tokens for the costs; empty if none
   */
  std::optional<std::string> FindShortage(const std::map<std::string, double>& aCosts,
                                          instant aNow) const;

  /** @return true when the granting VM has reported a resource as used up since a time */
  bool WasReportedUsedUp(const std::string& aResource, instant aSince) const;

  /** @return true when requests have been unanswered for kContactTimeout */
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
    /** Number of the request that carries the report; 0 while it has to be sent. */
    std::uint64_t mRequestNumber = 0;
  };

  struct resource_state
  {
    /** In order of expiry. */
    std::vector<held_grant> mGrants;
    std::map<std::uint64_t, grant_report> mReports;
    /** Demand per second, smoothed over kDemandSmoothingTime, as of mDemandAt. */
    double mDemandPerSecond = 0;
    instant mDemandAt;
    /** Tokens that waiting requests need, whether held or not, since the last MakeRequests(). */
    double mNeeded = 0;
    /** Tokens wanted by requests that have not been answered yet. */
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
    /** The wanted tokens no longer count as in flight; a late reply is still accepted. */
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
  /** Smoothed round-trip time of requests. */
  microseconds mRoundTrip{ 50'000 };
};

} // namespace citronpulley

#endif

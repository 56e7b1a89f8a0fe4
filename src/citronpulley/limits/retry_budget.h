#ifndef CITRONPULLEY_LIMITS_RETRY_BUDGET_H
#define CITRONPULLEY_LIMITS_RETRY_BUDGET_H

#include "citronpulley/base/identifiers.h"

#include <map>

namespace citronpulley {

/**
 * Limits retries to a share of the requests of each service, so that retries cannot multiply the
 * load of a service that fails. Only the entry VM of a request counts and retries; gateways and
 * home VMs pass failures on, so that the layers do not multiply each other's retries.
 */
class retry_budget
{
public:
  /** Retries that each request adds to the budget. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Largest budget, which is also the budget of a service at its first request; it lets a service
   * with few requests retry at all. */
  static constexpr double kMaxTokens = 10;

  /**
   * @param aRetriesPerRequest retries that each request adds
   * @param aMaxTokens largest budget of a service
   */
  explicit retry_budget(double aRetriesPerRequest = kRetriesPerRequest,
                        double aMaxTokens = kMaxTokens) noexcept
    : mRetriesPerRequest(aRetriesPerRequest)
    , mMaxTokens(aMaxTokens)
  {
  }

  /** Counts a request of a caller; call it once for each, not for its retries. */
  void RecordRequest(const service_name& aService);

  /** @return true when a retry may be sent; it is taken from the budget then */
  bool TrySpend(const service_name& aService);

private:
  double mRetriesPerRequest;
  double mMaxTokens;
  std::map<service_name, double> mTokens;
};

} // namespace citronpulley

#endif

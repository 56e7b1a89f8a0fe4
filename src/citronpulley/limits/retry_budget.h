#ifndef CITRONPULLEY_LIMITS_RETRY_BUDGET_H
#define CITRONPULLEY_LIMITS_RETRY_BUDGET_H

#include "citronpulley/base/identifiers.h"

#include <map>

namespace citronpulley {

/**
 * Limits retries to a fraction of the requests of each service, so that retries cannot multiply the
 * load of a failing service. Only the entry VM of a request counts and retries it; gateways and
 * home VMs return failures, so that retries of several layers do not multiply.
 */
class retry_budget
{
public:
  /** Number of retries that each request adds to the budget. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Maximum and initial budget of a service; it allows retries for services with few requests. */
  static constexpr double kMaxTokens = 10;

  /**
   * @param aRetriesPerRequest retries that each request adds
   * @param aMaxTokens maximum and initial budget of a service
   */
  explicit retry_budget(double aRetriesPerRequest = kRetriesPerRequest,
                        double aMaxTokens = kMaxTokens) noexcept
    : mRetriesPerRequest(aRetriesPerRequest)
    , mMaxTokens(aMaxTokens)
  {
  }

  /** Records a request of a caller. Call it once per request, not for its retries. */
  void RecordRequest(const service_name& aService);

  /** Spends one retry of the budget. @return false when the budget is used up */
  bool TrySpend(const service_name& aService);

private:
  double mRetriesPerRequest;
  double mMaxTokens;
  std::map<service_name, double> mTokens;
};

} // namespace citronpulley

#endif

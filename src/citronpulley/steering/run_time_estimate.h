#ifndef CITRONPULLEY_STEERING_RUN_TIME_ESTIMATE_H
#define CITRONPULLEY_STEERING_RUN_TIME_ESTIMATE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/steering/load_report.h"

#include <optional>

namespace citronpulley {

/**
 * Time that requests of a route run on a backend server that knows their key, without the time in
 * its queue: a low quantile of the observed times, since runs on backend servers that do not know
 * the key take several times as long. Pure and not thread-safe.
 */
class run_time_estimate
{
public:
  /**
   * Takes a response.
   *
   * @param aTook time from sending the request to its response
   * @param aLoad load that the response states, if it does
   */
  void Record(microseconds aTook, const std::optional<load_report>& aLoad) noexcept;

  /** @return the estimate, or nothing before the first response */
  std::optional<microseconds> Get() const noexcept;

  /** @return the run time of a response as a multiple of the estimate; 1 before the first one */
  double GetSlowness(microseconds aTook, const std::optional<load_report>& aLoad) const noexcept;

private:
  double mMicroseconds = 0;
};

/** @return the part of a request's time at a backend server that is not spent in its queue */
double ComputeRunTimeUs(microseconds aTook, const std::optional<load_report>& aLoad) noexcept;

} // namespace citronpulley

#endif

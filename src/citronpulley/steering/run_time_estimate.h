#ifndef CITRONPULLEY_STEERING_RUN_TIME_ESTIMATE_H
#define CITRONPULLEY_STEERING_RUN_TIME_ESTIMATE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/steering/load_report.h"

#include <optional>

namespace citronpulley {

/**
 * Estimates the run time of a route's requests on backend servers that have cached their affinity
 * key, without the time in the queue. The estimate is a low quantile of the observed times, because
 * runs with a cold cache take several times as long. Does no input or output. Not thread-safe.
 */
class run_time_estimate
{
public:
  /**
   * Records the run time of an answered request.
   *
   * @param aTook time from sending the request to its response
   * @param aLoad load that the response reported, if any
   */
  void Record(microseconds aTook, const std::optional<load_report>& aLoad) noexcept;

  /** @return the estimated run time, or nothing before the first response */
  std::optional<microseconds> Get() const noexcept;

  /**
   * @return the run time of a response as a multiple of the estimate, or 1 before the first
   * response
   */
  double GetSlowness(microseconds aTook, const std::optional<load_report>& aLoad) const noexcept;

private:
  double mMicroseconds = 0;
};

/**
 * @return the run time in microseconds of a request at a backend server, without the time in its
 * queue
 */
double ComputeRunTimeUs(microseconds aTook, const std::optional<load_report>& aLoad) noexcept;

} // namespace citronpulley

#endif

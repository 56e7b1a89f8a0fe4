#ifndef CITRONPULLEY_FLEET_BACKEND_HEALTH_TABLE_H
#define CITRONPULLEY_FLEET_BACKEND_HEALTH_TABLE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/steering/outcome_tally.h"

#include <map>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Derives the health of the backend servers from the outcomes of requests at all entry VMs. In a
 * large fleet, one VM sends a backend server a request about every 30 s; only the combined outcomes
 * show in time that it fails or is slow while its health checks succeed. Soft state of the leader.
 * Does no input or output. Not thread-safe.
 */
class backend_health_table
{
public:
  /** Time between two comparisons of each backend server with the others of its service. */
  static constexpr microseconds kInterval{ 500'000 };

  /** Records the outcomes that one entry VM reported. */
  void RecordOutcomes(const std::string& aBackend,
                      const service_name& aService,
                      const outcome_tally& aTally,
                      instant aNow);

  /**
   * @return backend servers with a high failure rate, or much slower than the median of their
   * service
   */
  const std::vector<backend_health>& List(instant aNow);

private:
  struct backend
  {
    service_name mService;
    double mFailureRate = 0;
    /** Moving average of log(run time / usual run time of the route). */
    double mMeanLogSlowness = 0;
    instant mSeenAt;
  };

  std::map<service_name, double> ComputeMedians(instant aNow) const;

  std::map<std::string, backend> mBackends;
  std::vector<backend_health> mList;
  instant mNextComputeAt;
};

} // namespace citronpulley

#endif

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
 * Health of the backend servers as the requests of all entry VMs show it. One VM of a large fleet
 * sends a server a request every half a minute; only together they see in time that it fails or is
 * slow while its health checks are good. Soft state of the leader. Pure and not thread-safe.
 */
class backend_health_table
{
public:
  /** Time between two comparisons with the other backend servers of the service. */
  static constexpr microseconds kInterval{ 500'000 };

  /** Takes outcomes that one entry VM saw. */
  void RecordOutcomes(const std::string& aBackend,
                      const service_name& aService,
                      const outcome_tally& aTally,
                      instant aNow);

  /** @return backend servers that fail, or are much slower than most of their service */
  const std::vector<backend_health>& List(instant aNow);

private:
  struct backend
  {
    service_name mService;
    double mFailureRate = 0;
    /** Mean logarithm of run time to the usual run time. */
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

#ifndef CITRONPULLEY_NODE_FLEET_GAUGES_H
#define CITRONPULLEY_NODE_FLEET_GAUGES_H

#include "citronpulley/base/instant.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/node/node_actions.h"

#include <map>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Gauges that an entry VM exports about the fleet: headroom of each zone and service, and the
 * progress of zone drains. It does no I/O and reads no clock.
 */
class fleet_gauges
{
public:
  static constexpr microseconds kUpdateInterval{ 1'000'000 };

  /**
   * Sets the gauges when an update is due.
   *
   * @param aCatalogue catalogue in force; null before the first one is known
   * @param aZones capacity and load of the zones, from the last poll reply
   * @param aNow current time
   * @param aActions receives the gauges
   */
  void Tick(const catalogue* aCatalogue,
            const std::vector<zone_summary>& aZones,
            instant aNow,
            node_actions& aActions);

private:
  struct drain_state
  {
    instant mStartedAt;
    /** Time at which the last request ended; time of the last update while requests run. */
    instant mEndedAt;
    bool mIsDone = false;
  };

  void UpdateDrainGauges(const catalogue& aCatalogue,
                         const std::vector<zone_summary>& aZones,
                         instant aNow,
                         node_actions& aActions);

  instant mNextUpdateAt;
  std::map<zone_name, drain_state> mDrains;
};

} // namespace citronpulley

#endif

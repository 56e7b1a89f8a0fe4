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
 * progress of drains. Pure.
 */
class fleet_gauges
{
public:
  static constexpr microseconds kUpdateInterval{ 1'000'000 };

  /**
   * Sets the gauges when they are due.
   *
   * @param aCatalogue operators' text in force; null before the first one
   * @param aZones capacity and load of the zones, as of the last poll
   * @param aNow present time
   * @param aActions gets the gauges
   */
  void Tick(const catalogue* aCatalogue,
            const std::vector<zone_summary>& aZones,
            instant aNow,
            node_actions& aActions);

private:
  struct drain_state
  {
    instant mStartedAt;
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

#include "citronpulley/node/fleet_gauges.h"

#include <algorithm>
#include <set>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

std::set<zone_name> ListDrainedZones(const catalogue& aCatalogue)
{
  std::set<zone_name> zones(aCatalogue.mDrainedZones.begin(), aCatalogue.mDrainedZones.end());
  for (const region_name& name : aCatalogue.mDrainedRegions) {
    if (const region_entry* region = aCatalogue.FindRegion(name)) {
      zones.insert(region->mZones.begin(), region->mZones.end());
    }
  }
  return zones;
}

} // namespace

void fleet_gauges::Tick(const catalogue* aCatalogue,
                        const std::vector<zone_summary>& aZones,
                        instant aNow,
                        node_actions& aActions)
{
  if (aNow < mNextUpdateAt || aCatalogue == nullptr) {
    return;
  }
  mNextUpdateAt = aNow + kUpdateInterval;
  for (const zone_summary& zone : aZones) {
    const double used = zone.mSlots == 0
                          ? 1.0
                          : static_cast<double>(zone.mRunning) / static_cast<double>(zone.mSlots);
    aActions.emplace_back(
      set_gauge{ "headroom",
                 "zone=\"" + zone.mZone.mValue + "\",service=\"" + zone.mService.mValue + "\"",
                 std::max(0.0, 1.0 - used) });
  }
  UpdateDrainGauges(*aCatalogue, aZones, aNow, aActions);
}

void fleet_gauges::UpdateDrainGauges(const catalogue& aCatalogue,
                                     const std::vector<zone_summary>& aZones,
                                     instant aNow,
                                     node_actions& aActions)
{
  const std::set<zone_name> drained = ListDrainedZones(aCatalogue);
  std::erase_if(mDrains, [&](const auto& aDrain) { return !drained.contains(aDrain.first); });
  for (const zone_name& name : drained) {
    const auto [position, isNew] = mDrains.try_emplace(name, drain_state{ aNow, aNow, false });
    drain_state& drain = position->second;
    std::uint32_t running = 0;
    for (const zone_summary& zone : aZones) {
      running += zone.mZone == name ? zone.mRunning : 0;
    }
    if (!drain.mIsDone) {
      drain.mEndedAt = aNow;
      drain.mIsDone = running == 0 && !isNew;
    }
    const std::string label = "zone=\"" + name.mValue + "\"";
    aActions.emplace_back(set_gauge{
      "drain_seconds",
      label,
      static_cast<double>((drain.mEndedAt - drain.mStartedAt).count()) / kMicrosecondsPerSecond });
    aActions.emplace_back(set_gauge{ "drain_running", label, static_cast<double>(running) });
  }
}

} // namespace citronpulley

#include "citronpulley/node/fleet_gauges.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

double FindGauge(const node_actions& aActions, const std::string& aName)
{
  for (const node_action& action : aActions) {
    const auto* gauge = std::get_if<set_gauge>(&action);
    if (gauge != nullptr && gauge->mName == aName) {
      return gauge->mValue;
    }
  }
  return -1;
}

} // namespace

TEST_GROUP(fleet_gauges){};

/** Guards against a drain whose end is not detected, or whose time keeps rising after its end. */
TEST(fleet_gauges, reports_headroom_and_drain_time)
{
  catalogue content;
  content.mRegions.push_back({ region_name("r"), { zone_name("z") }, 1 });
  content.mDrainedRegions.push_back(region_name("r"));
  std::vector<zone_summary> zones{ { zone_name("z"), service_name("s"), 1, 4, 3 } };
  fleet_gauges gauges;
  instant now;
  for (int second = 0; second < 10; ++second) {
    zones[0].mRunning = second < 5 ? 3 : 0;
    node_actions actions;
    gauges.Tick(&content, zones, now, actions);
    DOUBLES_EQUAL(second < 5 ? 0.25 : 1.0, FindGauge(actions, "headroom"), 1e-9);
    DOUBLES_EQUAL(second < 5 ? second : 5, FindGauge(actions, "drain_seconds"), 1e-9);
    now += fleet_gauges::kUpdateInterval;
  }
}

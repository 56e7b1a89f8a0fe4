#include "citronpulley/routing/shift_controller.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr microseconds kSecond{ 1'000'000 };
const service_name kOrders("orders");
const service_name kTill("till");
const region_name kA("a");
const region_name kB("b");
const region_name kC("c");

catalogue MakeCatalogue(double aCapacity)
{
  catalogue content;
  for (const char* name : { "a", "b", "c" }) {
    content.mRegions.push_back(
      { region_name(name), { zone_name(std::string(name) + "-1") }, aCapacity });
  }
  content.mLinks = { { kA, kB, 4, 10 }, { kA, kC, 4, 20 }, { kB, kC, 4, 10 } };
  content.mServices.push_back({ kOrders, { { kTill, 1 } }, {}, 100, 10, 60 });
  content.mServices.push_back({ kTill, {}, {}, 100, 10, 60 });
  return content;
}

double GetShare(const std::vector<region_share>& aPlan,
                const region_name& aSource,
                const region_name& aTarget,
                const service_name& aService = kOrders)
{
  for (const region_share& share : aPlan) {
    if (share.mService == aService && share.mSource == aSource && share.mTarget == aTarget) {
      return share.mShare;
    }
  }
  return 0;
}

} // namespace

TEST_GROUP(shift_controller)
{
  catalogue mCatalogue = MakeCatalogue(1'000);
  std::vector<zone_summary> mZones = SummariseAll();
  std::vector<region_demand> mDemands{ { kOrders, kA, 100 },
                                       { kOrders, kB, 100 },
                                       { kOrders, kC, 100 } };
  std::vector<region_share> mPlan;
  shift_controller mController;
  instant mNow{ 1'000 * kSecond };
  shift_outcome mLast;

  static std::vector<zone_summary> SummariseAll()
  {
    std::vector<zone_summary> zones;
    for (const char* zone : { "a-1", "b-1", "c-1" }) {
      zones.push_back({ zone_name(zone), kOrders, 5, 50, 10 });
      zones.push_back({ zone_name(zone), kTill, 5, 50, 10 });
    }
    return zones;
  }

  void RemoveZone(const char* aZone)
  {
    std::erase_if(mZones,
                  [&](const zone_summary& aSummary) { return aSummary.mZone == zone_name(aZone); });
  }

  void Run(int aSeconds)
  {
    for (int second = 0; second < aSeconds; ++second) {
      mLast = mController.Advance({ mCatalogue, mZones, mDemands, mPlan }, mNow);
      mPlan = mLast.mPlan;
      mNow += kSecond;
    }
  }
};

/** Guards against traffic that leaves its own region without need. */
TEST(shift_controller, first_plan_serves_each_source_in_its_own_region)
{
  Run(2);
  CHECK(mPlan.empty());
  Run(2);
  DOUBLES_EQUAL(1, GetShare(mPlan, kA, kA), 1e-9);
  DOUBLES_EQUAL(1, GetShare(mPlan, kC, kC), 1e-9);
  Run(1);
  CHECK_FALSE(mLast.mIsChanged);
}

/** Guards against a drain that jumps, stalls, or tells operators nothing or a wrong end. */
TEST(shift_controller, drain_moves_under_the_cap_and_reports_its_end)
{
  Run(4);
  mCatalogue.mDrainedRegions = { kA };
  Run(1);
  DOUBLES_EQUAL(1.0 / 3, mLast.mDrains.at(0).mRemainingShare, 1e-3);
  const instant expected = *mLast.mDrains.at(0).mExpectedEnd;
  Run(60);
  const double moved = GetShare(mPlan, kA, kB);
  CHECK(moved > 0.09 && moved <= 0.1);
  const instant limit = mNow + 1'200 * kSecond;
  while (GetShare(mPlan, kA, kA) > 0 && mNow < limit) {
    Run(1);
  }
  DOUBLES_EQUAL(1, GetShare(mPlan, kA, kB), 1e-6);
  DOUBLES_EQUAL(0, static_cast<double>((mNow - expected).count()) / 1e6, 5);
  Run(1);
  DOUBLES_EQUAL(0, mLast.mDrains.at(0).mRemainingShare, 1e-9);
  CHECK_FALSE(mLast.mDrains.at(0).mExpectedEnd.has_value());
}

/** Guards against a drain that sheds traffic although the drained region can still serve it. */
TEST(shift_controller, drain_without_headroom_elsewhere_is_reported_as_blocked)
{
  mCatalogue = MakeCatalogue(300);
  Run(4);
  mCatalogue.mDrainedRegions = { kA };
  Run(1'500);
  CHECK(mLast.mDrains.at(0).mIsBlocked);
  const double sum = GetShare(mPlan, kA, kA) + GetShare(mPlan, kA, kB) + GetShare(mPlan, kA, kC);
  DOUBLES_EQUAL(1, sum, 1e-6);
  CHECK(GetShare(mPlan, kA, kA) > 0.2);
}

/** Guards against survivors that fail one after the other under the load of a lost region. */
TEST(shift_controller, lost_share_moves_under_the_emergency_cap_up_to_the_headroom)
{
  mCatalogue = MakeCatalogue(300);
  Run(4);
  RemoveZone("a-1");
  Run(62);
  const double moved = GetShare(mPlan, kA, kB) + GetShare(mPlan, kA, kC);
  CHECK(moved > 0.1 && moved <= 0.6);
  Run(1'000);
  // Each request costs two calls; 0.85 of 300 leaves 55 calls beside the own 200 in both survivors.
  DOUBLES_EQUAL(0, GetShare(mPlan, kA, kA), 1e-6);
  DOUBLES_EQUAL(0.275, GetShare(mPlan, kA, kB), 1e-3);
  DOUBLES_EQUAL(0.275, GetShare(mPlan, kA, kC), 1e-3);
  DOUBLES_EQUAL(1, GetShare(mPlan, kB, kB), 1e-6);
}

/** Guards against a region whose slots are overrun although its capacity is not. */
TEST(shift_controller, target_fits_the_slots_of_dependencies)
{
  for (zone_summary& zone : mZones) {
    zone.mSlots = zone.mService == kTill && zone.mZone == zone_name("b-1") ? 12 : zone.mSlots;
  }
  Run(4);
  RemoveZone("a-1");
  Run(1'500);
  // 20 of the remaining busy slots run 300 calls/s, so that 12 slots run 180 calls/s.
  DOUBLES_EQUAL(0.53, GetShare(mPlan, kA, kB), 1e-2);
}

/** Guards against requests sent where the service behind has no server. */
TEST(shift_controller, region_without_a_dependency_counts_as_lost)
{
  Run(4);
  std::erase_if(mZones, [](const zone_summary& aSummary) {
    return aSummary.mService == kTill && aSummary.mZone == zone_name("a-1");
  });
  Run(1'000);
  DOUBLES_EQUAL(0, GetShare(mPlan, kA, kA), 1e-6);
  DOUBLES_EQUAL(1, GetShare(mPlan, kA, kB), 1e-6);
}

/** Guards against cold caches that get traffic at full speed. */
TEST(shift_controller, cold_region_gains_traffic_at_a_quarter_of_the_cap)
{
  mPlan = { { kOrders, kA, kB, 1 }, { kOrders, kB, kB, 1 }, { kOrders, kC, kC, 1 } };
  Run(3 + 60);
  const double cold = GetShare(mPlan, kA, kA);
  CHECK(cold > 0.02 && cold <= 0.025);
}

/** Guards against a fleet that sheds all traffic because its measurements stop. */
TEST(shift_controller, plan_is_kept_when_no_summary_arrives)
{
  Run(4);
  const std::vector<region_share> before = mPlan;
  mZones.clear();
  Run(100);
  CHECK(before == mPlan);
}

/** Guards against a text without a region, service or demand that ends the process. */
TEST(shift_controller, malformed_plans_and_empty_input_are_handled)
{
  mPlan = { { kOrders, kA, kA, 3 },
            { kOrders, kA, kB, -1 },
            { service_name("gone"), kA, kA, 1 },
            { kOrders, kB, region_name("gone"), 1 } };
  mDemands.clear();
  Run(200);
  DOUBLES_EQUAL(1, GetShare(mPlan, kA, kA), 1e-6);
  CHECK(GetShare(mPlan, kB, kB) > 0.05);
  mCatalogue.mRegions.clear();
  Run(1);
  CHECK(mPlan.empty());
}

#include "citronpulley/routing/zone_router.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr const char* kText = R"(
deployment = "t"
[[regions]]
name = "north"
zones = ["n-a", "n-b"]
capacity_per_second = 100
[[regions]]
name = "south"
zones = ["s-a", "s-b"]
capacity_per_second = 100
[[links]]
from = "north"
to = "south"
gigabits_per_second = 4
one_way_ms = 20
[[services]]
name = "orders"
shift_cap_percent_per_minute = 10
[[services.depends_on]]
service = "till"
[[services.routes]]
path = "/"
[[services]]
name = "till"
shift_cap_percent_per_minute = 10
[[services.routes]]
path = "/"
)";

constexpr instant kStart{ microseconds(1'000'000'000) };
constexpr microseconds kSecond{ 1'000'000 };

const service_name kOrders("orders");
const service_name kTill("till");

zone_summary Summary(const char* aZone, const service_name& aService, std::uint32_t aSlots)
{
  return { zone_name(aZone), aService, 1, aSlots, 0 };
}

std::vector<zone_summary> SummariseAll()
{
  std::vector<zone_summary> all;
  for (const char* zone : { "n-a", "n-b", "s-a", "s-b" }) {
    all.push_back(Summary(zone, kOrders, 10));
    all.push_back(Summary(zone, kTill, 10));
  }
  return all;
}

} // namespace

TEST_GROUP(zone_router)
{
  catalogue mCatalogue;
  zone_router mRouter{ zone_name("n-a"), region_name("north") };
  std::set<zone_name> mTried;
  std::mt19937_64 mRandom{ 1 };
  bool mIsFresh = true;
  std::uint32_t mOwnSlots = 10;

  void Load(const std::string& aExtraSettings)
  {
    config_faults faults;
    mCatalogue = *ParseCatalogue(aExtraSettings + kText, "t", faults);
    mRouter.SetCatalogue(mCatalogue);
    mRouter.UpdateSummaries(SummariseAll(), kStart);
  }

  void setup() override
  {
    Load("");
  }

  /** Counts 10,000 choices by zone; `none` and `shed` stand for those without a zone. */
  std::map<std::string, int> Count(instant aNow)
  {
    std::map<std::string, int> counts;
    for (int count = 0; count < 10'000; ++count) {
      const zone_choice choice =
        mRouter.Choose({ kOrders, mOwnSlots, 0, mTried, mIsFresh }, aNow, mRandom());
      if (choice.mVerdict == zone_verdict::Chosen) {
        ++counts[choice.mZone->mValue];
      } else {
        ++counts[choice.mVerdict == zone_verdict::Shed ? "shed" : "none"];
      }
    }
    return counts;
  }
};

/** Guards against work for zones that planned work empties or that refused the request. */
TEST(zone_router, drained_and_tried_zones_get_no_requests)
{
  Load("drained_regions = [\"south\"]\ndrained_zones = [\"n-b\"]\n");
  LONGS_EQUAL(10'000, Count(kStart)["n-a"]);
  mTried.insert(zone_name("n-a"));
  LONGS_EQUAL(10'000, Count(kStart)["none"]);
}

/** Guards against requests that fail in a region because the service behind has no server there. */
TEST(zone_router, region_without_a_dependency_is_excluded)
{
  mRouter.UpdateSummaries(std::vector{ Summary("n-a", kOrders, 10),
                                       Summary("n-b", kOrders, 10),
                                       Summary("s-b", kOrders, 10),
                                       Summary("s-a", kTill, 10) },
                          kStart + 3 * kSecond);
  auto counts = Count(kStart + 3 * kSecond);
  LONGS_EQUAL(0, counts["n-a"] + counts["n-b"] + counts["none"]);
  CHECK(counts["s-b"] > 0);
}

/** Guards against a region that gets another share than planned, and against shed load that is not
 * shed. */
TEST(zone_router, honours_the_planned_shares)
{
  const region_name north("north");
  mRouter.SetPlan(std::vector<region_share>{ { kOrders, north, north, 0.5 },
                                             { kOrders, north, region_name("south"), 0.3 },
                                             { kOrders, region_name("south"), north, 1 } });
  auto counts = Count(kStart);
  DOUBLES_EQUAL(5'000, counts["n-a"] + counts["n-b"], 200);
  DOUBLES_EQUAL(3'000, counts["s-a"] + counts["s-b"], 200);
  DOUBLES_EQUAL(2'000, counts["shed"], 200);
}

/** Guards against a shift without a cap when a planned region has no slots. */
TEST(zone_router, share_of_an_unavailable_region_is_shed)
{
  const region_name north("north");
  mRouter.SetPlan(std::vector<region_share>{ { kOrders, north, north, 0.6 },
                                             { kOrders, north, region_name("south"), 0.4 } });
  mRouter.UpdateSummaries(std::vector{ Summary("s-a", kOrders, 0),
                                       Summary("s-b", kOrders, 0),
                                       Summary("n-b", kTill, 1),
                                       Summary("s-b", kTill, 1) },
                          kStart);
  auto counts = Count(kStart);
  DOUBLES_EQUAL(6'000, counts["n-a"] + counts["n-b"], 200);
  DOUBLES_EQUAL(4'000, counts["shed"], 200);
  mTried.insert(zone_name("s-a"));
  counts = Count(kStart);
  LONGS_EQUAL(10'000, counts["n-a"] + counts["n-b"]);
}

/** Guards against a drain that moves all traffic at once although the plan moves it step by step.
 */
TEST(zone_router, draining_region_keeps_its_planned_share)
{
  Load("drained_regions = [\"north\"]\n");
  LONGS_EQUAL(0, Count(kStart)["n-a"]);
  const region_name north("north");
  mRouter.SetPlan(std::vector<region_share>{ { kOrders, north, north, 0.7 },
                                             { kOrders, north, region_name("south"), 0.3 } });
  auto counts = Count(kStart);
  DOUBLES_EQUAL(7'000, counts["n-a"] + counts["n-b"], 200);
}

/** Guards against trust in old summaries: other regions need tokens that a VM without news cannot
 * get, and the zones of the own region get a share that old counts do not move. */
TEST(zone_router, stale_summaries_lead_to_a_fixed_share_in_the_own_region)
{
  std::vector<zone_summary> busy = SummariseAll();
  busy[2].mRunning = 10;
  mRouter.UpdateSummaries(busy, kStart);
  const instant late = kStart + zone_router::kMaxSummaryAge + microseconds(1);
  const int busyShare = Count(late)["n-b"];
  mRouter.UpdateSummaries(SummariseAll(), kStart);
  auto counts = Count(late);
  DOUBLES_EQUAL(busyShare, counts["n-b"], 200);
  CHECK(counts["n-b"] > 0 && counts["n-b"] < counts["n-a"]);
  LONGS_EQUAL(0, counts["s-a"] + counts["s-b"] + counts["none"]);
  mIsFresh = false;
  counts = Count(kStart);
  LONGS_EQUAL(0, counts["s-a"] + counts["s-b"]);
}

/** Guards against a VM that serves nothing because it has no summary of any zone yet. */
TEST(zone_router, serves_in_the_own_zone_without_any_summary)
{
  mRouter.SetCatalogue(mCatalogue);
  LONGS_EQUAL(10'000, Count(kStart)["n-a"]);
  mOwnSlots = 0;
  LONGS_EQUAL(10'000, Count(kStart)["none"]);
}

#include "citronpulley/fleet/entry_registry.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

const service_name kFirst("first");
const service_name kSecond("second");
constexpr std::size_t kServices = 2;

} // namespace

TEST_GROUP(entry_registry)
{
  instant mNow{ microseconds(10'000'000) };
  entry_registry mRegistry;

  void Report(
    const std::string& aVm, const std::string& aRegion, const std::vector<service_name>& aCutOff)
  {
    entry_report report;
    report.mLocation = {
      vm_name(aVm), aVm + ":80", zone_name(aRegion + "-a"), region_name(aRegion)
    };
    report.mIsAccepting = true;
    report.mCutOff = aCutOff;
    mRegistry.Update(report, mNow);
  }

  std::string ListCallerVms()
  {
    std::string names;
    for (const entry_location& location : mRegistry.ListAccepting(kServices, mNow)) {
      names += location.mVm.mValue;
    }
    return names;
  }

  /** @return the names for relays of a VM that has none yet */
  std::vector<relay_vm> ListRelays(const std::string& aVm)
  {
    entry_report report;
    report.mLocation.mVm = vm_name(aVm);
    entry_update update;
    mRegistry.FillRelays(report, mNow, update);
    return update.mRelays;
  }
};

/** Guards against callers that are directed to VMs which can only send their requests on. */
TEST(entry_registry, leaves_out_vms_that_reach_nothing_while_others_of_the_region_do)
{
  Report("a", "north", { kFirst, kSecond });
  Report("b", "north", {});
  Report("c", "north", {});
  STRCMP_EQUAL("bc", ListCallerVms().c_str());
  // One VM alone would get all callers of the region.
  Report("c", "north", { kFirst, kSecond });
  STRCMP_EQUAL("abc", ListCallerVms().c_str());
}

/** Guards against a region without entry VMs, and a service that is down moving callers. */
TEST(entry_registry, keeps_vms_that_reach_a_service_and_regions_that_are_cut_off)
{
  Report("a", "north", { kFirst });
  Report("b", "north", {});
  Report("c", "north", {});
  Report("d", "south", { kFirst, kSecond });
  Report("e", "south", { kFirst, kSecond });
  STRCMP_EQUAL("abcde", ListCallerVms().c_str());
}

/** Guards against relays to VMs that reach no more than the one that asks. */
TEST(entry_registry, names_only_vms_that_reach_more_for_relays)
{
  Report("a", "north", { kFirst });
  Report("b", "north", { kFirst });
  Report("c", "south", { kFirst, kSecond });
  CHECK(ListRelays("a").empty());
  Report("c", "south", { kSecond });
  const std::vector<relay_vm> relays = ListRelays("a");
  LONGS_EQUAL(1, relays.size());
  STRCMP_EQUAL("c", relays.front().mVm.mValue.c_str());
  CHECK(relays.front().mCutOff == std::vector<service_name>{ kSecond });
}

/** Guards against lists that grow with the fleet, and VMs that get no list of other regions. */
TEST(entry_registry, names_a_few_vms_of_each_region_and_the_same_ones_again)
{
  for (int i = 0; i < 300; ++i) {
    Report("vm" + std::to_string(i), i % 3 == 0 ? "north" : i % 3 == 1 ? "south" : "west", {});
  }
  const std::vector<relay_vm> relays = ListRelays("vm0");
  const auto count = [&](const char* aRegion) {
    return std::ranges::count(relays, region_name(aRegion), &relay_vm::mRegion);
  };
  LONGS_EQUAL(6, count("north"));
  LONGS_EQUAL(3, count("south"));
  LONGS_EQUAL(3, count("west"));
  CHECK(ListRelays("vm0") == relays);
  CHECK(ListRelays("vm3") != relays);
}

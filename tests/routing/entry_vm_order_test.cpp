#include "citronpulley/routing/entry_vm_order.h"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

std::vector<vm_record> MakeFleet()
{
  std::vector<vm_record> fleet;
  for (const char* region : { "north", "south" }) {
    for (const char* zone : { "-a", "-b" }) {
      for (int number = 0; number < 4; ++number) {
        vm_record vm;
        vm.mRegion = region_name(region);
        vm.mZone = zone_name(std::string(region) + zone);
        vm.mVm = vm_name(vm.mZone.mValue + std::to_string(number));
        fleet.push_back(vm);
      }
    }
  }
  return fleet;
}

entry_vm_query MakeQuery(const char* aClient, const char* aNearest)
{
  return { aClient, region_name(aNearest), zone_name("north-b") };
}

} // namespace

TEST_GROUP(entry_vm_order){};

/** Guards against callers that are sent past their nearest region or lose the other zones. */
TEST(entry_vm_order, puts_the_nearest_region_first_and_keeps_each_zone)
{
  const auto own = OrderEntryVms(MakeFleet(), MakeQuery("10.0.0.1", "north"), nullptr, 3);
  LONGS_EQUAL(12, own.size());
  STRCMP_EQUAL("north-b", own.front().mZone.mValue.c_str());
  const auto other = OrderEntryVms(MakeFleet(), MakeQuery("10.0.0.1", "south"), nullptr, 3);
  LONGS_EQUAL(12, other.size());
  STRCMP_EQUAL("south", other.front().mRegion.mValue.c_str());
  STRCMP_EQUAL("south", other[5].mRegion.mValue.c_str());
}

/** Guards against a client whose requests are spread because each VM answers in another order. */
TEST(entry_vm_order, is_stable_per_client_and_spreads_clients)
{
  std::vector<vm_record> reversed = MakeFleet();
  std::reverse(reversed.begin(), reversed.end());
  std::set<vm_name> first;
  for (int client = 0; client < 50; ++client) {
    const std::string address = "10.0.0." + std::to_string(client);
    const auto query = MakeQuery(address.c_str(), "north");
    const auto order = OrderEntryVms(MakeFleet(), query, nullptr, 3);
    CHECK(order == OrderEntryVms(reversed, query, nullptr, 3));
    first.insert(order.front().mVm);
  }
  LONGS_EQUAL(4, first.size());
}

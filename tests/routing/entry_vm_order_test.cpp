#include "citronpulley/routing/entry_vm_order.h"

#include "citronpulley/node/entry_node.h"

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

std::vector<vm_record> Order(const std::vector<vm_record>& aFleet, const entry_vm_query& aQuery)
{
  std::vector<const vm_record*> vms;
  vms.reserve(aFleet.size());
  for (const vm_record& vm : aFleet) {
    vms.push_back(&vm);
  }
  std::vector<vm_record> order;
  for (const vm_record* vm : OrderEntryVms(vms, aQuery, nullptr, 3)) {
    order.push_back(*vm);
  }
  return order;
}

entry_vm_query MakeQuery(const char* aClient, const char* aNearest)
{
  return { aClient, region_name(aNearest), zone_name("north-b") };
}

} // namespace

TEST_GROUP(entry_vm_order){};

/** Guards against an order that does not begin with the nearest region or omits other zones. */
TEST(entry_vm_order, puts_the_nearest_region_first_and_keeps_each_zone)
{
  const auto own = Order(MakeFleet(), MakeQuery("10.0.0.1", "north"));
  LONGS_EQUAL(12, own.size());
  STRCMP_EQUAL("north-b", own.front().mZone.mValue.c_str());
  const auto other = Order(MakeFleet(), MakeQuery("10.0.0.1", "south"));
  LONGS_EQUAL(12, other.size());
  STRCMP_EQUAL("south", other.front().mRegion.mValue.c_str());
  STRCMP_EQUAL("south", other[5].mRegion.mValue.c_str());
}

/** Guards against a client whose requests spread over many VMs because the order depends on the
 * answering VM, and against an order that sends all clients to the same VM. */
TEST(entry_vm_order, is_stable_per_client_and_spreads_clients)
{
  std::vector<vm_record> reversed = MakeFleet();
  std::reverse(reversed.begin(), reversed.end());
  std::set<vm_name> first;
  for (int client = 0; client < 50; ++client) {
    const std::string address = "10.0.0." + std::to_string(client);
    const auto query = MakeQuery(address.c_str(), "north");
    const auto order = Order(MakeFleet(), query);
    CHECK(order == Order(reversed, query));
    first.insert(order.front().mVm);
  }
  LONGS_EQUAL(4, first.size());
}

/** Guards against an entry VM that ignores the client blocks when it lists entry VMs. */
TEST(entry_vm_order, entry_vm_answers_with_the_region_of_the_client_block_first)
{
  const std::vector<vm_record> fleet = MakeFleet();
  entry_node node(fleet.front(), { vm_name("c1") }, "secret", 1);
  node_actions actions;
  node.Handle(timer_ticked{}, {}, actions);
  view_delta delta{ 0, 1, true };
  delta.mConfiguration = configuration_record{ 1, R"(deployment = "t"
client_blocks = [{ network = "10.7.0.0/16", region = "south" }]
regions = [{ name = "north", zones = ["north-a", "north-b"], capacity_per_second = 1 },
           { name = "south", zones = ["south-a", "south-b"], capacity_per_second = 1 }]
[[services]]
name = "s"
shift_cap_percent_per_minute = 1
routes = [{ path = "/" }]
)" };
  node.Handle(
    peer_message_received{ vm_name("c1"), poll_reply{ 1, EncodeDelta(delta), fleet, {}, {} } },
    {},
    actions);
  const auto askFrom = [&](const char* aClient) {
    http_request_received request{ 1, "GET", "/v1/entry-vms", {}, "", aClient };
    node.Handle(request, {}, actions);
    const std::string body = std::get<reply_to_client>(actions.back()).mAnswer.mBody;
    return body.find("\"south\"") < body.find("\"north\"");
  };
  CHECK(askFrom("10.7.1.1"));
  CHECK_FALSE(askFrom("10.8.1.1"));
  CHECK_FALSE(askFrom("not an address"));
}

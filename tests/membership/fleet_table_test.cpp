#include "citronpulley/membership/fleet_table.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

poll MakePoll(int aZone, int aNumber, incarnation aRun = 1)
{
  poll message;
  message.mSender.mZone = zone_name("z" + std::to_string(aZone));
  message.mSender.mVm = vm_name(message.mSender.mZone.mValue + "-" + std::to_string(aNumber));
  message.mSender.mIncarnation = aRun;
  message.mServerSummaries.push_back({ message.mSender.mZone, service_name("s"), 1, 4, 1 });
  return message;
}

} // namespace

TEST_GROUP(fleet_table)
{
  fleet_table mTable;
  instant mNow;

  void setup() override
  {
    for (int zone = 0; zone < 3; ++zone) {
      for (int number = 0; number < 20; ++number) {
        mTable.UpdateFromPoll(MakePoll(zone, number), mNow);
      }
    }
  }
};

/** Guards against a list that grows with the fleet, against zones without a VM to forward to, and
 * against VMs of other zones that no receiver gets. */
TEST(fleet_table, lists_the_own_zone_and_a_few_vms_of_each_other_zone)
{
  std::set<vm_name> gateways;
  for (int number = 0; number < 20; ++number) {
    std::map<zone_name, std::size_t> counts;
    for (const vm_record& vm : mTable.ListVmsFor(MakePoll(0, number).mSender, mNow)) {
      ++counts[vm.mZone];
      if (vm.mZone == zone_name("z1")) {
        gateways.insert(vm.mVm);
      }
    }
    LONGS_EQUAL(20, counts[zone_name("z0")]);
    LONGS_EQUAL(fleet_table::kVmsPerOtherZone, counts[zone_name("z1")]);
    LONGS_EQUAL(fleet_table::kVmsPerOtherZone, counts[zone_name("z2")]);
  }
  LONGS_EQUAL(20, gateways.size());
}

/** Guards against a delayed report of another control VM that overwrites a newer poll. */
TEST(fleet_table, keeps_the_newer_of_a_poll_and_a_report)
{
  mNow += std::chrono::seconds(1);
  mTable.UpdateFromPoll(MakePoll(0, 0, 2), mNow);
  const poll old = MakePoll(0, 0, 1);
  mTable.UpdateFromReport({ { { old.mSender, 0, old.mServerSummaries } } }, mNow);
  LONGS_EQUAL(2, mTable.ListLiveVms(mNow).front().mIncarnation);
}

/** Guards against dead VMs that are still listed and whose slots still count. */
TEST(fleet_table, excludes_vms_after_the_contact_timeout)
{
  LONGS_EQUAL(80, mTable.SummariseZones(mNow).front().mSlots);
  mNow += fleet_table::kContactTimeout;
  mTable.UpdateFromPoll(MakePoll(0, 0), mNow);
  LONGS_EQUAL(1, mTable.ListLiveVms(mNow).size());
  LONGS_EQUAL(4, mTable.SummariseZones(mNow).front().mSlots);
}

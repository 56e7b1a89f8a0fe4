#include "fleet/control_vm_harness.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace citronpulley;

namespace {

const vm_name kSelf("10.1.0.1:7600");
const vm_name kFormerLeader("10.2.0.1:7600");

entry_location MakeLocation(int aNumber)
{
  const std::string ip = "10.9.0." + std::to_string(aNumber);
  return { vm_name(ip + ":7600"), ip + ":80", zone_name("a"), region_name("north") };
}

entry_report MakeReport(int aNumber)
{
  entry_report report;
  report.mLocation = MakeLocation(aNumber);
  report.mIsAccepting = true;
  report.mNumber = 1;
  return report;
}

} // namespace

TEST_GROUP(fleet_control)
{
  control_vm_harness mVm{ kSelf, [](std::string_view) -> result<traffic_config> {
                           return traffic_config{};
                         } };

  void ListByFormerLeader(int aCount)
  {
    directory_update update{ kFormerLeader, {}, {} };
    for (int i = 0; i < aCount; ++i) {
      update.mEntries.push_back(MakeLocation(i));
    }
    mVm.Receive(update);
  }

  std::vector<entry_location> ListEntryVms()
  {
    return mVm.Get().ListEntryVms(mVm.GetNow());
  }
};

/**
 * Guards against a new leader that directs all callers to the first entry VMs that found it, while
 * the others still look for it.
 */
TEST(fleet_control, a_new_leader_lists_the_entry_vms_of_the_former_one)
{
  ListByFormerLeader(20);
  mVm.Run(microseconds(500'000));
  CHECK(mVm.Get().IsLeader());
  mVm.Receive(MakeReport(3));
  LONGS_EQUAL(20, ListEntryVms().size());
}

/** Guards against callers that are directed to entry VMs which ended with the former leader. */
TEST(fleet_control, entry_vms_that_do_not_report_to_the_new_leader_leave_the_list)
{
  ListByFormerLeader(20);
  mVm.Run(microseconds(500'000));
  const instant end = mVm.GetNow() + entry_registry::kAdoptionTimeout;
  while (mVm.GetNow() < end) {
    mVm.Receive(MakeReport(3));
    mVm.Run(microseconds(300'000));
  }
  const std::vector<entry_location> listed = ListEntryVms();
  LONGS_EQUAL(1, listed.size());
  CHECK(listed.front() == MakeLocation(3));
}

/** Guards against a leader that takes over a list from before a long isolation. */
TEST(fleet_control, an_old_list_is_not_taken_over)
{
  ListByFormerLeader(20);
  mVm.Advance(microseconds(60'000'000));
  mVm.Run(microseconds(500'000));
  CHECK(mVm.Get().IsLeader());
  CHECK(ListEntryVms().empty());
}

/** Guards against a restarted control VM that refuses callers while its peers know entry VMs. */
TEST(fleet_control, a_list_is_passed_on_to_a_control_vm_without_a_leader)
{
  ListByFormerLeader(4);
  const std::vector<fleet_message> replies = mVm.Receive(contact_request{ kFormerLeader });
  LONGS_EQUAL(2, replies.size());
  const auto& list = std::get<directory_update>(replies.back());
  CHECK(list.mLeader.IsEmpty());
  LONGS_EQUAL(4, list.mEntries.size());
  // A list of the leader goes before one that a peer passes on.
  directory_update passedOn = list;
  passedOn.mEntries.pop_back();
  mVm.Receive(passedOn);
  LONGS_EQUAL(4, ListEntryVms().size());
}

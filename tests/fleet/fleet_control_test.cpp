#include "citronpulley/fleet/fleet_control.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace citronpulley;

namespace {

const vm_name kSelf("10.1.0.1:7600");
const vm_name kFormerLeader("10.2.0.1:7600");
constexpr microseconds kTick{ 25'000 };

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

/** One control VM that founds a group, so that it leads after its first ticks. */
TEST_GROUP(fleet_control)
{
  instant mNow{ microseconds(100'000'000) };
  std::unique_ptr<fleet_control> mControl;

  void setup() override
  {
    fleet_control_settings settings;
    settings.mSelf = kSelf;
    settings.mSeeds = { kSelf };
    recovered_member recovered;
    recovered.mMember = member_id{ 11 };
    const std::optional<storage_batch> first = BootstrapGroup(settings, recovered, 5);
    recovered.mEntries = first->mEntries;
    mControl = std::make_unique<fleet_control>(
      settings,
      [](std::string_view) -> result<traffic_config> { return traffic_config{}; },
      std::move(recovered),
      1,
      mNow);
  }

  void teardown() override
  {
    mControl.reset();
  }

  /** Stores what the control VM asks for until nothing is left. */
  void Store(fleet_actions aActions)
  {
    while (!aActions.empty()) {
      fleet_actions next;
      for (const fleet_action& action : aActions) {
        if (const auto* batch = std::get_if<storage_batch>(&action)) {
          mControl->HandleStored(batch->mNumber, mNow, next);
        }
      }
      aActions = std::move(next);
    }
  }

  void Run(microseconds aTime)
  {
    for (const instant end = mNow + aTime; mNow < end; mNow += kTick) {
      fleet_actions actions;
      mControl->Tick(mNow, actions);
      Store(std::move(actions));
    }
  }

  std::vector<fleet_message> Receive(const fleet_message& aMessage)
  {
    std::vector<fleet_message> replies;
    fleet_actions actions;
    mControl->Receive(
      aMessage, mNow, [&](fleet_message aReply) { replies.push_back(std::move(aReply)); }, actions);
    Store(std::move(actions));
    return replies;
  }

  void ListByFormerLeader(int aCount)
  {
    directory_update update{ kFormerLeader, {}, {} };
    for (int i = 0; i < aCount; ++i) {
      update.mEntries.push_back(MakeLocation(i));
    }
    Receive(update);
  }
};

/**
 * Guards against a new leader that directs all callers to the first entry VMs that found it, while
 * the others still look for it.
 */
TEST(fleet_control, a_new_leader_lists_the_entry_vms_of_the_former_one)
{
  ListByFormerLeader(20);
  Run(microseconds(500'000));
  CHECK(mControl->IsLeader());
  Receive(MakeReport(3));
  LONGS_EQUAL(20, mControl->ListEntryVms(mNow).size());
}

/** Guards against callers that are directed to entry VMs which ended with the former leader. */
TEST(fleet_control, entry_vms_that_do_not_report_to_the_new_leader_leave_the_list)
{
  ListByFormerLeader(20);
  Run(microseconds(500'000));
  const instant end = mNow + entry_registry::kAdoptionTimeout;
  while (mNow < end) {
    Receive(MakeReport(3));
    Run(microseconds(300'000));
  }
  const std::vector<entry_location> listed = mControl->ListEntryVms(mNow);
  LONGS_EQUAL(1, listed.size());
  CHECK(listed.front() == MakeLocation(3));
}

/** Guards against a leader that takes over a list from before a long isolation. */
TEST(fleet_control, an_old_list_is_not_taken_over)
{
  ListByFormerLeader(20);
  mNow += microseconds(60'000'000);
  Run(microseconds(500'000));
  CHECK(mControl->IsLeader());
  CHECK(mControl->ListEntryVms(mNow).empty());
}

/** Guards against a restarted control VM that refuses callers while its peers know entry VMs. */
TEST(fleet_control, a_list_is_passed_on_to_a_control_vm_without_a_leader)
{
  ListByFormerLeader(4);
  const std::vector<fleet_message> replies = Receive(contact_request{ kFormerLeader });
  LONGS_EQUAL(2, replies.size());
  const auto& list = std::get<directory_update>(replies.back());
  CHECK(list.mLeader.IsEmpty());
  LONGS_EQUAL(4, list.mEntries.size());
  // A list of the leader goes before one that a peer passes on.
  directory_update passedOn = list;
  passedOn.mEntries.pop_back();
  Receive(passedOn);
  LONGS_EQUAL(4, mControl->ListEntryVms(mNow).size());
}

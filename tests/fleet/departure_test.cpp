#include "citronpulley/fleet/entry_steering.h"
#include "fleet/control_vm_harness.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <variant>
#include <vector>

using namespace citronpulley;

namespace {

constexpr std::int64_t kStartedAtMs = 5'000;
constexpr int kBackends = 12;
constexpr microseconds kSecond{ 1'000'000 };

result<traffic_config> ReadNothing(std::string_view)
{
  return traffic_config{};
}

std::string GetId(int aNumber)
{
  return "i-" + std::to_string(aNumber);
}

backend_record MakeRecord(int aNumber, std::int64_t aStartedAtMs, std::uint64_t aSequence)
{
  backend_record record;
  record.mId = GetId(aNumber);
  record.mService = service_name("stock");
  record.mAddress = server_name("10.2.0." + std::to_string(aNumber) + ":80");
  record.mZone = zone_name("a");
  record.mSlots = 4;
  record.mStartedAtMs = aStartedAtMs;
  record.mSequence = aSequence;
  return record;
}

entry_steering_settings MakeSettings()
{
  entry_steering_settings settings;
  settings.mLocation.mVm = vm_name("10.9.0.1:7600");
  settings.mLocation.mZone = zone_name("a");
  settings.mLocation.mRegion = region_name("north");
  settings.mRegions = { { zone_name("a"), region_name("north") } };
  settings.mLease = microseconds(4'800'000);
  return settings;
}

} // namespace

/**
 * An entry VM that knows all backend servers from a former leader, and a new leader that has heard
 * of two of them.
 */
TEST_GROUP(departure)
{
  control_vm_harness mFormer{ vm_name("10.1.0.1:7600"), ReadNothing, 1 };
  control_vm_harness mLeader{ vm_name("10.1.0.2:7600"), ReadNothing, 2 };
  entry_steering mEntry{ MakeSettings() };
  std::uint64_t mSequence = 1;

  void setup() override
  {
    mFormer.Run(kSecond);
    mLeader.Run(kSecond);
    for (int i = 0; i < kBackends; ++i) {
      Announce(mFormer, i, kStartedAtMs);
    }
    ReportTo(mFormer);
    AnnounceKnown();
    ReportTo(mLeader);
    LONGS_EQUAL(kBackends, mEntry.GetPool().GetCount());
  }

  void Announce(control_vm_harness & aTo, int aNumber, std::int64_t aStartedAtMs)
  {
    aTo.Get().HandleAnnouncement(MakeRecord(aNumber, aStartedAtMs, mSequence++), aTo.GetNow());
  }

  /** Announces the two backend servers that the new leader knows. */
  void AnnounceKnown()
  {
    Announce(mLeader, 0, kStartedAtMs);
    Announce(mLeader, 1, kStartedAtMs);
  }

  /** Records a departure whose process start the call did not name. */
  void Deregister(int aNumber)
  {
    const std::int64_t start = mLeader.Get().FindDepartingStartMs(GetId(aNumber), mLeader.GetNow());
    mLeader.Submit(record_departure{ GetId(aNumber), start });
  }

  void ReportTo(control_vm_harness & aLeader)
  {
    const instant now = aLeader.GetNow();
    const std::vector<fleet_message> replies = aLeader.Receive(mEntry.MakeReport(true, now));
    CHECK(static_cast<bool>(mEntry.HandleUpdate(std::get<entry_update>(replies.front()), now)));
  }

  bool Knows(int aNumber) const
  {
    return mEntry.GetPool().FindRecord(GetId(aNumber)) != nullptr;
  }
};

/**
 * Guards against a leaving that a new leader acknowledges and never tells the entry VMs, because it
 * had not heard of the backend server itself.
 */
TEST(departure, entry_vms_are_told_of_a_departure_of_an_unlisted_backend_server)
{
  mLeader.Submit(record_departure{ GetId(5), kStartedAtMs });
  ReportTo(mLeader);
  CHECK_FALSE(Knows(5));
  LONGS_EQUAL(kBackends - 1, mEntry.GetPool().GetCount());
}

/** Guards against the loss of a backend server whose earlier process start left. */
TEST(departure, a_departure_of_an_earlier_start_does_not_remove_a_later_one)
{
  mLeader.Submit(record_departure{ GetId(5), kStartedAtMs - 1 });
  ReportTo(mLeader);
  CHECK(Knows(5));
}

/**
 * Guards against a backend server that deregistered without its start and is in use again: the new
 * leader did not know the start, and the former leader, which had been paused, forwards an
 * announcement from before.
 */
TEST(departure, a_forwarded_announcement_does_not_undo_a_departure_without_a_start)
{
  const backend_record before = MakeRecord(5, kStartedAtMs, mSequence++);
  Deregister(5);
  ReportTo(mLeader);
  CHECK_FALSE(Knows(5));
  mLeader.Run(3 * kSecond);
  mLeader.Receive(announcement_batch{ { before } });
  ReportTo(mLeader);
  CHECK_FALSE(Knows(5));
}

/** Guards against the same with an entry VM that the former leader did not tell of the departure.
 */
TEST(departure, a_full_list_removes_what_left_without_a_start)
{
  control_vm_harness next{ vm_name("10.1.0.3:7600"), ReadNothing, 3 };
  next.Run(kSecond);
  next.Submit(record_departure{ GetId(5), 0 });
  ReportTo(next);
  CHECK_FALSE(Knows(5));
  LONGS_EQUAL(kBackends - 1, mEntry.GetPool().GetCount());
}

/** Guards against a backend server that is never used again after a departure without a start. */
TEST(departure, a_later_start_is_used_after_a_departure_without_a_start)
{
  mLeader.Submit(record_departure{ GetId(5), 0 });
  mLeader.Run(fleet_control::kLateAnnouncementTime + kSecond);
  Announce(mLeader, 5, kStartedAtMs + 20'000);
  ReportTo(mLeader);
  CHECK(Knows(5));
}

/** Guards against a wait for a process that starts again after it drained and deregistered. */
TEST(departure, a_restart_after_a_known_departure_is_used_at_once)
{
  mLeader.Run(fleet_control::kStartsKnownAfter);
  Announce(mLeader, 5, kStartedAtMs);
  mLeader.Submit(record_departure{ GetId(5), kStartedAtMs });
  Deregister(5);
  Announce(mLeader, 5, kStartedAtMs + 20'000);
  ReportTo(mLeader);
  CHECK(Knows(5));
}

/**
 * Guards against a departure that is recorded for an earlier process start: the server started
 * again under its identity and announced that to the former leader only, so the new leader knew
 * an outdated start, or the departure of one.
 */
TEST(departure, a_new_leader_does_not_take_an_outdated_start_for_the_latest_one)
{
  Announce(mLeader, 5, kStartedAtMs);
  mLeader.Submit(record_departure{ GetId(6), kStartedAtMs });
  for (const int restarted : { 5, 6 }) {
    Announce(mFormer, restarted, kStartedAtMs + 1'000);
  }
  ReportTo(mFormer);
  ReportTo(mLeader);
  CHECK(Knows(5) && Knows(6));
  for (const int restarted : { 5, 6 }) {
    Deregister(restarted);
    mLeader.Receive(
      announcement_batch{ { MakeRecord(restarted, kStartedAtMs + 1'000, mSequence++) } });
  }
  ReportTo(mLeader);
  CHECK_FALSE(Knows(5));
  CHECK_FALSE(Knows(6));
}

/** Guards against a control VM that leads again and lists what left while it was paused. */
TEST(departure, a_departure_without_a_start_removes_what_this_vm_knew)
{
  Announce(mLeader, 5, kStartedAtMs);
  mLeader.Submit(record_departure{ GetId(5), 0 });
  ReportTo(mLeader);
  CHECK_FALSE(Knows(5));
}

/**
 * Guards against a backend server that crashed while the leader changed and stays in use for good:
 * the new leader never listed it, so it has nothing to remove.
 */
TEST(departure, what_a_new_leader_does_not_list_is_removed_in_time)
{
  const instant begin = mLeader.GetNow();
  while (mLeader.GetNow() < begin + backend_registry::kExpireAfter - kSecond) {
    mLeader.Run(kSecond);
    AnnounceKnown();
    Announce(mLeader, 2, kStartedAtMs);
    ReportTo(mLeader);
  }
  LONGS_EQUAL(kBackends, mEntry.GetPool().GetCount());
  mLeader.Run(kSecond);
  ReportTo(mLeader);
  LONGS_EQUAL(3, mEntry.GetPool().GetCount());
  CHECK(Knows(2));
}

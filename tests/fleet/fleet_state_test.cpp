#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/fleet_state.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

bool IsAccepted(fleet_outcome aOutcome)
{
  return aOutcome == fleet_outcome::Accepted;
}

backend_record MakeRecord(std::string aId, std::string aAddress, std::int64_t aStart, int aSequence)
{
  backend_record record;
  record.mId = std::move(aId);
  record.mService = service_name("stock");
  record.mAddress = server_name(std::move(aAddress));
  record.mZone = zone_name("a");
  record.mSlots = 4;
  record.mStartedAtMs = aStart;
  record.mSequence = static_cast<std::uint64_t>(aSequence);
  return record;
}

} // namespace

TEST_GROUP(fleet_state)
{
  fleet_state mState;
  log_index mIndex = 0;

  fleet_outcome Put(config_version aVersion, config_version aBase, const std::string& aText)
  {
    return mState.Apply(++mIndex, put_config{ aVersion, aBase, aText });
  }
};

/** Guards against accepting two changes that are based on the same version. */
TEST(fleet_state, one_of_two_changes_on_the_same_version_wins)
{
  CHECK(IsAccepted(Put(3, 0, "first")));
  CHECK(IsAccepted(Put(5, 3, "mine")));
  CHECK(fleet_outcome::Conflict == Put(5, 3, "other"));
  CHECK(fleet_outcome::Conflict == Put(6, 3, "later"));
  STRCMP_EQUAL("mine", mState.GetText().c_str());
}

/**
 * Guards against refusing a change that is sent again because the reply to its first copy was lost.
 */
TEST(fleet_state, a_resent_change_is_accepted_again_even_when_it_is_no_longer_the_newest)
{
  CHECK(IsAccepted(Put(3, 0, "first")));
  CHECK(IsAccepted(Put(5, 3, "second")));
  CHECK(IsAccepted(Put(3, 0, "first")));
  CHECK(IsAccepted(Put(5, 3, "second")));
  STRCMP_EQUAL("second", mState.GetText().c_str());
  UNSIGNED_LONGS_EQUAL(5, mState.GetVersion());
}

/** Guards against accepting a version that is not higher than the one in force. */
TEST(fleet_state, a_version_that_is_not_newer_is_refused)
{
  CHECK(IsAccepted(Put(3, 0, "first")));
  CHECK(fleet_outcome::NotNewer == Put(3, 3, "same number"));
  CHECK(fleet_outcome::NotNewer == Put(2, 3, "lower"));
}

/** Guards against a departure that also excludes the next process start under the same identity. */
TEST(fleet_state, a_departure_applies_to_one_process_start)
{
  mState.Apply(++mIndex, record_departure{ "i-1", 1'000 });
  CHECK(mState.HasDeparted("i-1", 1'000));
  CHECK(mState.HasDeparted("i-1", 999));
  CHECK_FALSE(mState.HasDeparted("i-1", 1'001));
  mState.Apply(++mIndex, record_departure{ "i-1", 500 });
  CHECK(mState.HasDeparted("i-1", 1'000));
}

/** Guards against a snapshot that omits acknowledged changes. */
TEST(fleet_state, a_snapshot_restores_the_whole_state)
{
  CHECK(IsAccepted(Put(3, 0, "first")));
  mState.Apply(++mIndex, set_evacuation{ zone_name("a"), true });
  mState.Apply(++mIndex, record_departure{ "i-1", 1'000 });
  result<fleet_state> copy = fleet_state::Decode(mState.Encode());
  CHECK(static_cast<bool>(copy));
  STRCMP_EQUAL("first", copy.Get().GetText().c_str());
  LONGS_EQUAL(1, copy.Get().GetEvacuatedZones().size());
  CHECK(copy.Get().HasDeparted("i-1", 1'000));
  CHECK(copy.Get().WasAccepted({ 3, 0, "first" }));
  UNSIGNED_LONGS_EQUAL(mIndex, copy.Get().GetIndex());
}

TEST_GROUP(backend_registry)
{
  instant mNow{ microseconds(50'000'000) };
  backend_registry mRegistry{ 7 };

  entry_update GetUpdate(std::uint64_t aEpoch, std::uint64_t aRevision)
  {
    entry_update update;
    mRegistry.FillUpdate(aEpoch, aRevision, mNow, update);
    return update;
  }

  std::vector<backend_record> GetFullList()
  {
    const result<std::vector<backend_record>> list =
      DecodeBackendList(GetUpdate(0, 0).mListSnapshot);
    CHECK(static_cast<bool>(list));
    return list.Get();
  }
};

/** Guards against an out-of-order announcement overwriting a newer one. */
TEST(backend_registry, out_of_order_announcements_change_nothing)
{
  CHECK(mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 5), mNow));
  CHECK_FALSE(mRegistry.Update(MakeRecord("i-1", "10.0.0.9:80", 1'000, 4), mNow));
  CHECK_FALSE(mRegistry.Update(MakeRecord("i-1", "10.0.0.9:80", 900, 9), mNow));
  STRCMP_EQUAL("10.0.0.1:80", GetFullList().front().mAddress.mValue.c_str());
}

/**
 * Guards against mistaking the announcements of a restarted backend server, whose sequence starts
 * again, for out-of-order ones.
 */
TEST(backend_registry, a_restart_starts_a_new_sequence_of_announcements)
{
  mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 50), mNow);
  CHECK(mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 2'000, 1), mNow));
}

/** Guards against listing two backend servers at one address after the address was reused. */
TEST(backend_registry, the_newest_start_owns_an_address)
{
  mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 5), mNow);
  CHECK(mRegistry.Update(MakeRecord("i-2", "10.0.0.1:80", 2'000, 1), mNow));
  LONGS_EQUAL(1, mRegistry.GetCount());
  CHECK_FALSE(mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 6), mNow));
  STRCMP_EQUAL("i-2", GetFullList().front().mId.c_str());
}

/** Guards against updates that omit a change, and against updates that repeat the full list. */
TEST(backend_registry, an_update_holds_only_changes_that_the_entry_vm_lacks)
{
  mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 1), mNow);
  const entry_update full = GetUpdate(0, 0);
  CHECK(full.mIsWholeList);
  mRegistry.Update(MakeRecord("i-1", "10.0.0.1:80", 1'000, 2), mNow);
  LONGS_EQUAL(0, GetUpdate(7, full.mListRevision).mBackends.size());
  mRegistry.Update(MakeRecord("i-2", "10.0.0.2:80", 1'000, 1), mNow);
  mRegistry.Remove("i-1", 1'000);
  const entry_update change = GetUpdate(7, full.mListRevision);
  CHECK_FALSE(change.mIsWholeList);
  LONGS_EQUAL(1, change.mBackends.size());
  LONGS_EQUAL(1, change.mRemoved.size());
  CHECK(GetUpdate(8, full.mListRevision).mIsWholeList);
}

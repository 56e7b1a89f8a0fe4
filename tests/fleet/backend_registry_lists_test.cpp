#include "citronpulley/fleet/backend_registry.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>
#include <string>

using namespace citronpulley;

TEST_GROUP(backend_registry_lists)
{
  instant mNow{ microseconds(100'000'000) };
  backend_registry mRegistry{ 7 };

  void Announce(const std::string& aId, std::uint64_t aSequence, std::int64_t aColdForMs = 0)
  {
    backend_record record;
    record.mId = aId;
    record.mAddress = server_name("10.0.0.1:" + aId);
    record.mSlots = 4;
    record.mStartedAtMs = 1;
    record.mSequence = aSequence;
    record.mColdForMs = aColdForMs;
    mRegistry.Update(record, mNow);
  }

  entry_update GetUpdate(std::uint64_t aEpoch, std::uint64_t aRevision)
  {
    entry_update update;
    mRegistry.FillUpdate(aEpoch, aRevision, mNow, update);
    return update;
  }

  /** @return the listed backend servers after all steps of the update */
  static std::set<std::string> GetIds(const entry_update& aUpdate)
  {
    std::set<std::string> ids;
    if (aUpdate.mIsWholeList) {
      const result<std::vector<backend_record>> snapshot = DecodeBackendList(aUpdate.mListSnapshot);
      CHECK(static_cast<bool>(snapshot));
      for (const backend_record& record : snapshot.Get()) {
        ids.insert(record.mId);
      }
    }
    for (const backend_record& record : aUpdate.mBackends) {
      ids.insert(record.mId);
    }
    for (const std::string& id : aUpdate.mRemoved) {
      ids.erase(id);
    }
    return ids;
  }
};

/** Guards against updates that omit a change or repeat one that the entry VM already has. */
TEST(backend_registry_lists, an_update_holds_the_changes_since_a_revision)
{
  Announce("1", 1);
  Announce("2", 1);
  const entry_update full = GetUpdate(0, 0);
  CHECK(full.mIsWholeList);
  CHECK(GetIds(full) == std::set<std::string>({ "1", "2" }));
  CHECK(GetUpdate(7, full.mListRevision).mBackends.empty());
  Announce("1", 2);
  CHECK(GetUpdate(7, full.mListRevision).mBackends.empty());
  Announce("2", 2, 3'000);
  Announce("3", 1);
  const entry_update change = GetUpdate(7, full.mListRevision);
  CHECK(!change.mIsWholeList);
  CHECK(GetIds(change) == std::set<std::string>({ "2", "3" }));
  mRegistry.Remove("2", 1);
  const entry_update removal = GetUpdate(7, change.mListRevision);
  CHECK(removal.mBackends.empty());
  LONGS_EQUAL(1, removal.mRemoved.size());
  CHECK(GetIds(GetUpdate(7, full.mListRevision)) == std::set<std::string>({ "3" }));
}

/**
 * Guards against a full list that costs the leader as much for each VM as for the first one, and
 * against one that lacks what changed since it was encoded.
 */
TEST(backend_registry_lists, a_full_list_is_encoded_once_and_completed_by_later_changes)
{
  Announce("1", 1);
  Announce("2", 1);
  const entry_update first = GetUpdate(0, 0);
  mNow += microseconds(500'000);
  Announce("3", 1);
  mRegistry.Remove("1", 1);
  const entry_update second = GetUpdate(0, 0);
  CHECK(first.mListSnapshot == second.mListSnapshot);
  LONGS_EQUAL(500'000, second.mListSnapshotAge);
  CHECK(GetIds(second) == std::set<std::string>({ "2", "3" }));
  mNow += backend_registry::kSnapshotLifetime;
  const entry_update third = GetUpdate(0, 0);
  LONGS_EQUAL(0, third.mListSnapshotAge);
  CHECK(third.mBackends.empty() && third.mRemoved.empty());
  CHECK(GetIds(third) == std::set<std::string>({ "2", "3" }));
}

/**
 * Guards against granting permits for warm backend servers, or none for those that became cold
 * again.
 */
TEST(backend_registry_lists, cold_servers_are_listed_while_they_are_cold)
{
  Announce("1", 1, 2'000);
  Announce("2", 1);
  LONGS_EQUAL(1, mRegistry.ListCold(mNow).size());
  mNow += microseconds(2'000'000);
  CHECK(mRegistry.ListCold(mNow).empty());
  Announce("1", 2, 3'000);
  LONGS_EQUAL(1, mRegistry.ListCold(mNow).size());
  mRegistry.Remove("1", 1);
  CHECK(mRegistry.ListCold(mNow).empty());
}

/** Guards against ages that do not grow while the cached list of busy backend servers is used. */
TEST(backend_registry_lists, busy_servers_are_listed_with_the_age_of_their_load)
{
  Announce("1", 1);
  Announce("2", 1);
  mRegistry.UpdateLoad({ "1", 6, 100'000 }, mNow);
  mRegistry.UpdateLoad({ "2", 1, 0 }, mNow);
  LONGS_EQUAL(1, mRegistry.ListBusy(mNow).size());
  LONGS_EQUAL(100'000, mRegistry.ListBusy(mNow).front().mAge);
  mNow += microseconds(20'000);
  LONGS_EQUAL(120'000, mRegistry.ListBusy(mNow).front().mAge);
  mNow += microseconds(1'500'000);
  CHECK(mRegistry.ListBusy(mNow).empty());
}

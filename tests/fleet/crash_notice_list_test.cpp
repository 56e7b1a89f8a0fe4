#include "citronpulley/fleet/crash_notice_list.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

namespace {

constexpr std::uint64_t kLeader = 7;
constexpr std::uint64_t kNextLeader = 9;

} // namespace

TEST_GROUP(crash_notice_list)
{
  instant mNow{ microseconds(100'000'000) };
  crash_notice_list mList;
  std::uint64_t mReport = 0;

  void Add(const std::string& aStart)
  {
    mList.Add({ ComputeDigest("request"), aStart }, mNow);
  }

  std::size_t CountReported()
  {
    return mList.ListForReport(++mReport, mNow).size();
  }

  void Acknowledge(std::uint64_t aLeader)
  {
    mList.HandleUpdate(mReport, aLeader);
  }
};

/** Guards against a new leader that does not know which requests crash backend servers. */
TEST(crash_notice_list, a_new_leader_gets_all_notices_again)
{
  Add("i-1/1");
  Add("i-2/1");
  UNSIGNED_LONGS_EQUAL(2, CountReported());
  Acknowledge(kLeader);
  UNSIGNED_LONGS_EQUAL(0, CountReported());
  Acknowledge(kNextLeader);
  UNSIGNED_LONGS_EQUAL(2, CountReported());
  Acknowledge(kNextLeader);
  UNSIGNED_LONGS_EQUAL(0, CountReported());
}

/** Guards against a crash that is forgotten because a leader was lost with the report of it. */
TEST(crash_notice_list, a_notice_is_reported_until_it_is_acknowledged)
{
  Acknowledge(kLeader);
  Add("i-1/1");
  UNSIGNED_LONGS_EQUAL(1, CountReported());
  UNSIGNED_LONGS_EQUAL(1, CountReported());
  // The update answers a report from before the crash.
  mList.HandleUpdate(0, kLeader);
  UNSIGNED_LONGS_EQUAL(1, CountReported());
  Acknowledge(kLeader);
  UNSIGNED_LONGS_EQUAL(0, CountReported());
}

/** Guards against reports that grow with the number of crashes, and against old ones for good. */
TEST(crash_notice_list, is_bounded_and_forgets_old_notices)
{
  for (std::size_t i = 0; i < 2 * crash_notice_list::kMaxNotices; ++i) {
    Add("i-" + std::to_string(i) + "/1");
    Add("i-" + std::to_string(i) + "/1");
  }
  UNSIGNED_LONGS_EQUAL(crash_notice_list::kMaxNotices, CountReported());
  mNow += crash_notice_list::kLifetime;
  UNSIGNED_LONGS_EQUAL(0, CountReported());
}

#include "citronpulley/steering/backend_pool.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

namespace {

backend_record MakeRecord(std::int64_t aStartedAtMs, std::uint64_t aSequence)
{
  backend_record record;
  record.mId = "i-1";
  record.mService = service_name("stock");
  record.mAddress = server_name("10.0.0.1:80");
  record.mZone = zone_name("a");
  record.mSlots = 4;
  record.mStartedAtMs = aStartedAtMs;
  record.mSequence = aSequence;
  return record;
}

} // namespace

TEST_GROUP(backend_leaving)
{
  instant mNow{ microseconds(10'000'000) };
  backend_pool mPool{ zone_name("a"), { { zone_name("a"), region_name("north") } } };

  void setup() override
  {
    mPool.Update(MakeRecord(1'000, 1), mNow);
  }

  bool CanChoose()
  {
    placement_request request;
    request.mService = service_name("stock");
    return mPool.Choose(request, mNow).has_value();
  }
};

/** Guards against requests to a backend server whose responses say that it leaves. */
TEST(backend_leaving, nothing_is_sent_after_a_response_that_says_so)
{
  CHECK(CanChoose());
  mPool.RecordLeaving("i-1", 1'000);
  CHECK_FALSE(CanChoose());
  CHECK_FALSE(mPool.IsAccepting("i-1", 1'000, mNow));
}

/** Guards against a late announcement, or a list without it, that brings such a server back. */
TEST(backend_leaving, late_news_do_not_undo_it)
{
  mPool.RecordLeaving("i-1", 1'000);
  mPool.Update(MakeRecord(1'000, 2), mNow);
  CHECK_FALSE(CanChoose());
  mPool.KeepOnly({});
  mPool.Update(MakeRecord(1'000, 3), mNow);
  CHECK_FALSE(CanChoose());
}

/** Guards against a new process that counts as leaving because the one before it left. */
TEST(backend_leaving, a_restart_starts_clean)
{
  mPool.RecordLeaving("i-1", 1'000);
  mPool.Update(MakeRecord(2'000, 1), mNow);
  CHECK(CanChoose());
  mPool.RecordLeaving("i-1", 1'000);
  CHECK(CanChoose());
}

#include "citronpulley/steering/backend_pool.h"
#include "steering/backend_records.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

TEST_GROUP(backend_leaving)
{
  instant mNow{ microseconds(10'000'000) };
  backend_pool mPool{ zone_name("a"), { { zone_name("a"), region_name("north") } } };

  void setup() override
  {
    mPool.Update(MakeStockRecord("i-1", 1'000), mNow);
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
  mPool.Update(MakeStockRecord("i-1", 1'000), mNow);
  CHECK_FALSE(CanChoose());
  mPool.KeepOnly({});
  mPool.Update(MakeStockRecord("i-1", 1'000), mNow);
  CHECK_FALSE(CanChoose());
}

/** Guards against a new process that counts as leaving because the one before it left. */
TEST(backend_leaving, a_restart_starts_clean)
{
  mPool.RecordLeaving("i-1", 1'000);
  mPool.Update(MakeStockRecord("i-1", 2'000), mNow);
  CHECK(CanChoose());
  mPool.RecordLeaving("i-1", 1'000);
  CHECK(CanChoose());
}

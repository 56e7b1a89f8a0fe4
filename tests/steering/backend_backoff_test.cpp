#include "citronpulley/steering/backend_pool.h"
#include "steering/backend_records.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

namespace {

const service_name kService("stock");

} // namespace

TEST_GROUP(backend_backoff)
{
  instant mNow{ microseconds(10'000'000) };
  backend_pool mPool{ zone_name("a"), { { zone_name("a"), region_name("north") } } };
  placement_request mRequest;

  void setup() override
  {
    mRequest.mService = kService;
    mPool.Update(MakeStockRecord("busy", 1'000), mNow);
  }

  bool CanChoose()
  {
    return mPool.Choose(mRequest, mNow).has_value();
  }
};

/** Guards against requests to a backend server that has asked this VM for a pause. */
TEST(backend_backoff, nothing_is_sent_before_the_pause_ends)
{
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(3'000'000));
  for (int i = 0; i < 30; ++i) {
    CHECK_FALSE(CanChoose());
    // Also when the backend server was chosen before it asked for the pause.
    CHECK_FALSE(mPool.IsAccepting("busy", 1'000, mNow));
    mNow += microseconds(100'000);
  }
  CHECK(CanChoose());
  CHECK(mPool.IsAccepting("busy", 1'000, mNow));
}

/** Guards against a shorter pause, an announcement or a success that ends a longer pause. */
TEST(backend_backoff, the_longest_pause_counts)
{
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(3'000'000));
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(500'000));
  mNow += microseconds(600'000);
  mPool.Update(MakeStockRecord("busy", 1'000), mNow);
  mPool.RecordSent("busy", mNow);
  mPool.RecordEnd("busy", attempt_outcome::Answered, std::nullopt, microseconds(50'000), 1, mNow);
  CHECK_FALSE(CanChoose());
  LONGS_EQUAL(1, mPool.CountBackoffs(mNow));
}

/** Guards against a process that inherits the pause of the one before it at the same identity. */
TEST(backend_backoff, a_restart_ends_the_pause)
{
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(60'000'000));
  mNow += backend_pool::kStartNewsDelay;
  mPool.Update(MakeStockRecord("busy", 2'000), mNow);
  CHECK(CanChoose());
  // A late answer of the former process says nothing about the present one.
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(3'000'000));
  CHECK(CanChoose());
}

/** Guards against a pause of a new process that is forgotten when the news of its start comes. */
TEST(backend_backoff, late_news_of_a_restart_do_not_end_the_pause)
{
  // This VM still knows the former process; the new one answers at the same identity and address.
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(4'000'000));
  mNow += microseconds(500'000);
  mPool.Update(MakeStockRecord("busy", 2'000), mNow);
  CHECK_FALSE(CanChoose());
  mNow += microseconds(3'500'000);
  CHECK(CanChoose());
}

/** Guards against a pause that is forgotten when a new leader leaves the backend server out. */
TEST(backend_backoff, a_backend_server_that_was_left_out_for_a_moment_keeps_its_pause)
{
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(3'000'000));
  mPool.KeepOnly({});
  mPool.Update(MakeStockRecord("busy", 1'000), mNow);
  CHECK_FALSE(CanChoose());
  mPool.Remove("busy");
  mPool.Update(MakeStockRecord("busy", 2'000), mNow);
  CHECK(CanChoose());
}

/** Guards against callers that come back before any backend server takes their request. */
TEST(backend_backoff, the_end_is_known_when_all_backend_servers_pause)
{
  mPool.Update(MakeStockRecord("other", 1'000), mNow);
  mPool.RecordBackoff("busy", 1'000, mNow, mNow + microseconds(3'000'000));
  CHECK_FALSE(mPool.FindBackoffEnd(mRequest, mNow).has_value());
  mPool.RecordBackoff("other", 1'000, mNow, mNow + microseconds(2'000'000));
  mRequest.mExcluded = { "other" };
  CHECK(mPool.FindBackoffEnd(mRequest, mNow) == mNow + microseconds(2'000'000));
}

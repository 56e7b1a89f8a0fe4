#include "citronpulley/fleet/backend_health_table.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <string>

using namespace citronpulley;

namespace {

const service_name kService("stock");

} // namespace

TEST_GROUP(backend_health_table)
{
  instant mNow{ microseconds(100'000'000) };
  backend_health_table mTable;

  /** One request at each of ten servers every 100 ms; the first one fails or is slow. */
  void Run(double aSeconds, bool aFails, double aSlowness)
  {
    for (int step = 0; step < aSeconds * 10; ++step) {
      mNow += microseconds(100'000);
      for (int i = 0; i < 10; ++i) {
        outcome_tally tally{ 1, 0, std::log(i == 0 ? aSlowness : 1.2) };
        if (i == 0 && aFails && step % 2 == 0) {
          tally = { 0, 1, 0 };
        }
        mTable.RecordOutcomes(std::to_string(i), kService, tally, mNow);
      }
    }
  }
};

/** Guards against a server that fails every other request while no single VM sees enough of it. */
TEST(backend_health_table, a_failing_server_is_listed_within_two_seconds)
{
  Run(5, false, 1);
  CHECK(mTable.List(mNow).empty());
  Run(2, true, 1);
  LONGS_EQUAL(1, mTable.List(mNow).size());
  STRCMP_EQUAL("0", mTable.List(mNow).front().mBackend.c_str());
  CHECK(mTable.List(mNow).front().mFailureRate > 0.25);
}

/** Guards against requests that go on to a server five times as slow as the others. */
TEST(backend_health_table, a_slow_server_is_listed_within_two_seconds)
{
  Run(5, false, 1);
  Run(2, false, 5);
  LONGS_EQUAL(1, mTable.List(mNow).size());
  CHECK(mTable.List(mNow).front().mSlowness > 2.5);
}

/** Guards against all servers being avoided at once, for instance while all are cold. */
TEST(backend_health_table, servers_that_are_all_slow_are_not_listed)
{
  for (int step = 0; step < 50; ++step) {
    mNow += microseconds(100'000);
    for (int i = 0; i < 10; ++i) {
      mTable.RecordOutcomes(std::to_string(i), kService, { 1, 0, std::log(3.3) }, mNow);
    }
  }
  CHECK(mTable.List(mNow).empty());
}

/** Guards against a server that is avoided for ever since nobody sends it anything. */
TEST(backend_health_table, a_judgement_without_new_outcomes_fades)
{
  Run(3, true, 1);
  mTable.List(mNow);
  mNow += microseconds(12'000'000);
  CHECK(mTable.List(mNow).empty());
}

#include "citronpulley/steering/run_time_estimate.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace citronpulley;

TEST_GROUP(run_time_estimate){};

/** Guards against a wait limit that shrinks because some runs are cold or waited in a queue. */
TEST(run_time_estimate, follows_the_fast_runs_and_leaves_out_the_queue)
{
  std::mt19937_64 random(3);
  run_time_estimate estimate;
  CHECK(!estimate.Get());
  for (int i = 0; i < 300; ++i) {
    const bool isCold = random() % 3 == 0;
    const auto queue = static_cast<double>(random() % 12);
    const double took = (isCold ? 900'000 : 270'000) * (1 + queue / 6);
    estimate.Record(microseconds(static_cast<std::int64_t>(took)), load_report{ 6, queue, 6 });
    if (i > 100) {
      CHECK(*estimate.Get() > microseconds(200'000));
      CHECK(*estimate.Get() < microseconds(450'000));
    }
  }
}

/** Guards against an estimate that stays high after the caches have filled. */
TEST(run_time_estimate, follows_a_service_that_becomes_warm)
{
  run_time_estimate estimate;
  for (int i = 0; i < 30; ++i) {
    estimate.Record(microseconds(900'000), std::nullopt);
  }
  for (int i = 0; i < 15; ++i) {
    estimate.Record(microseconds(270'000), std::nullopt);
  }
  CHECK(*estimate.Get() < microseconds(350'000));
}

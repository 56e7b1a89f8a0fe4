#include "citronpulley/steering/crash_monitor.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const service_name kService("stock");
const backend_start kStart{ "i-1", 1'000 };

digest MakeFingerprint(std::uint8_t aNumber)
{
  digest value;
  value.mBytes[0] = aNumber;
  return value;
}

} // namespace

TEST_GROUP(crash_monitor)
{
  instant mNow{ microseconds(100'000'000) };
  crash_monitor mMonitor;
  const digest mRequest = MakeFingerprint(1);

  void RecordUnanswered()
  {
    CHECK_FALSE(mMonitor.RecordUnanswered(kStart, kService, mRequest, mNow).has_value());
  }

  bool IsCrashFound()
  {
    return mMonitor.HandleReplaced(kStart, mNow).has_value();
  }
};

/** Guards against a crash by silence that counts for no request. */
TEST(crash_monitor, a_replaced_start_crashed_with_its_unanswered_requests)
{
  RecordUnanswered();
  RecordUnanswered();
  const std::optional<backend_crash> crash = mMonitor.HandleReplaced(kStart, mNow);
  CHECK(crash.has_value());
  CHECK(kStart == crash->mStart);
  CHECK(kService == crash->mService);
  CHECK(std::vector<digest>{ mRequest } == crash->mRequests);
  CHECK_FALSE(IsCrashFound());
}

/** Guards against a missed crash when the deadline ends after the backend server is back. */
TEST(crash_monitor, an_attempt_that_ends_after_the_replacement_counts)
{
  CHECK_FALSE(IsCrashFound());
  mNow += microseconds(10'000'000);
  CHECK(mMonitor.RecordUnanswered(kStart, kService, mRequest, mNow).has_value());
  mNow += crash_monitor::kReplacementLifetime;
  CHECK_FALSE(mMonitor.RecordUnanswered(kStart, kService, mRequest, mNow).has_value());
}

/** Guards against blaming a request for a slow backend server that crashes later. */
TEST(crash_monitor, a_start_that_responds_again_clears_its_requests)
{
  RecordUnanswered();
  mMonitor.ClearSuspicion(kStart);
  CHECK_FALSE(IsCrashFound());
}

/** Guards against an answer of long ago that hides a request that crashes backend servers now. */
TEST(crash_monitor, an_answer_counts_for_a_limited_time)
{
  mMonitor.RecordAnswered(mRequest, mNow);
  CHECK(mMonitor.IsAnsweredLately(mRequest, mNow));
  mNow += crash_monitor::kAnswerLifetime;
  CHECK_FALSE(mMonitor.IsAnsweredLately(mRequest, mNow));
}

/** Guards against memory that grows with the number of different requests. */
TEST(crash_monitor, holds_a_bounded_number_of_answers_and_suspicions)
{
  for (std::size_t i = 0; i < 2 * crash_monitor::kMaxSuspicions; ++i) {
    const backend_start start{ "i-" + std::to_string(i), 1 };
    mMonitor.RecordUnanswered(start, kService, mRequest, mNow);
  }
  UNSIGNED_LONGS_EQUAL(crash_monitor::kMaxSuspicions, mMonitor.CountSuspicions());
  mNow += crash_monitor::kSuspicionLifetime;
  RecordUnanswered();
  UNSIGNED_LONGS_EQUAL(1, mMonitor.CountSuspicions());
}

#include "citronpulley/limits/rate_ledger.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

instant At(std::int64_t aMilliseconds)
{
  return instant(microseconds(aMilliseconds * 1000));
}

} // namespace

TEST_GROUP(limits_rate_ledger)
{
  rate_ledger mLedger{ 100, 50, At(0) };

  double Grant(std::uint64_t aGrant, double aWanted, std::int64_t aNow)
  {
    return mLedger.Grant(aGrant, aWanted, At(aNow + 1250), At(aNow));
  }
};

/** Guards against grants while holders may still spend tokens of an earlier granting VM. */
TEST(limits_rate_ledger, grants_nothing_while_blocked_and_starts_empty)
{
  rate_ledger ledger(100, 50, At(1750));
  DOUBLES_EQUAL(0, ledger.Grant(1, 10, At(3000), At(1749)), 0);
  DOUBLES_EQUAL(50, ledger.GetOutstanding(At(1749)), 0);
  DOUBLES_EQUAL(0, ledger.Grant(1, 10, At(3000), At(1750)), 0);
  DOUBLES_EQUAL(10, ledger.GetLevel(At(1850)), 1e-9);
}

/** Guards against a refill beyond the burst while granted tokens were never reported. */
TEST(limits_rate_ledger, does_not_refill_past_the_burst_until_a_lost_grant_expires)
{
  DOUBLES_EQUAL(50, Grant(1, 80, 1000), 0);
  DOUBLES_EQUAL(0, mLedger.GetLevel(At(2249)), 0);
  DOUBLES_EQUAL(0, mLedger.GetLevel(At(2250)), 0);
  DOUBLES_EQUAL(10, mLedger.GetLevel(At(2350)), 1e-9);
}

/** Guards against a reordered or repeated report that makes spent tokens available again. */
TEST(limits_rate_ledger, applies_a_report_once_and_never_increases_a_grant)
{
  Grant(1, 40, 1000);
  mLedger.ReduceGrant(1, 10, At(1000));
  mLedger.ReduceGrant(1, 30, At(1000));
  DOUBLES_EQUAL(10, mLedger.GetOutstanding(At(1000)), 0);
  mLedger.ReturnGrant(1, 30, At(1000));
  mLedger.ReturnGrant(1, 30, At(1000));
  DOUBLES_EQUAL(0, mLedger.GetOutstanding(At(1000)), 0);
  DOUBLES_EQUAL(20, mLedger.GetLevel(At(1000)), 0);
}

/** Guards against available and outstanding tokens that together exceed a lowered burst. */
TEST(limits_rate_ledger, counts_outstanding_tokens_against_a_changed_burst)
{
  Grant(1, 30, 1000);
  mLedger.SetLimit(100, 35, At(1000));
  DOUBLES_EQUAL(5, mLedger.GetLevel(At(1500)), 0);
  mLedger.SetLimit(100, 10, At(1500));
  DOUBLES_EQUAL(0, mLedger.GetLevel(At(2000)), 0);
  mLedger.SetLimit(10, 100, At(2000));
  DOUBLES_EQUAL(10, mLedger.GetLevel(At(3000)), 1e-9);
}

/** Guards against a NaN or infinity in a report that makes the level undefined. */
TEST(limits_rate_ledger, ignores_reports_with_non_finite_numbers)
{
  Grant(1, 50, 1000);
  mLedger.ReturnGrant(1, std::numeric_limits<double>::quiet_NaN(), At(1000));
  mLedger.ReduceGrant(1, std::numeric_limits<double>::infinity(), At(1000));
  DOUBLES_EQUAL(50, mLedger.GetOutstanding(At(1000)), 0);
}

#include "citronpulley/steering/workspace_meter.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const workspace_name kWorkspace("boats");

} // namespace

TEST_GROUP(workspace_meter)
{
  instant mNow{ microseconds(10'000'000) };
  workspace_meter mMeter;

  int CountSpent(int aTries)
  {
    int spent = 0;
    for (int i = 0; i < aTries; ++i) {
      spent += mMeter.TrySpend(kWorkspace, mNow) ? 1 : 0;
    }
    return spent;
  }
};

/** Guards against spending more than the granted tokens, except for a fraction of one token. */
TEST(workspace_meter, spends_what_was_granted_and_at_most_a_fraction_more)
{
  mMeter.RecordLeaderContact(mNow);
  LONGS_EQUAL(0, CountSpent(3));
  mMeter.Grant(kWorkspace, 2.5, 1, 10);
  LONGS_EQUAL(3, CountSpent(10));
  DOUBLES_EQUAL(-0.5, mMeter.Report(mNow).front().mTokens, 1e-9);
}

/** Guards against adding tokens at the fallback rate while the leader grants the same tokens. */
TEST(workspace_meter, adds_the_fallback_rate_only_while_the_leader_is_unreachable)
{
  mMeter.RecordLeaderContact(mNow);
  mMeter.Grant(kWorkspace, 0, 10, 5);
  mNow += microseconds(700'000);
  LONGS_EQUAL(0, CountSpent(3));
  mNow += microseconds(300'000);
  LONGS_EQUAL(2, CountSpent(10));
  mNow += microseconds(60'000'000);
  LONGS_EQUAL(5, CountSpent(10));
}

/** Guards against losing the token of a request that could not be placed. */
TEST(workspace_meter, a_refunded_token_can_be_spent_again)
{
  mMeter.Grant(kWorkspace, 1, 0, 5);
  CHECK(mMeter.TrySpend(kWorkspace, mNow));
  mMeter.Refund(kWorkspace);
  CHECK(mMeter.TrySpend(kWorkspace, mNow));
}

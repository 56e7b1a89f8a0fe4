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

  int CountTaken(int aTries)
  {
    int taken = 0;
    for (int i = 0; i < aTries; ++i) {
      taken += mMeter.TrySpend(kWorkspace, mNow) ? 1 : 0;
    }
    return taken;
  }
};

/** Guards against requests beyond what was lent, but for one fraction in advance. */
TEST(workspace_meter, spends_what_was_granted_and_at_most_a_fraction_more)
{
  mMeter.RecordLeaderContact(mNow);
  LONGS_EQUAL(0, CountTaken(3));
  mMeter.Grant(kWorkspace, 2.5, 1, 10);
  LONGS_EQUAL(3, CountTaken(10));
  DOUBLES_EQUAL(-0.5, mMeter.Report(mNow).front().mTokens, 1e-9);
}

/** Guards against a VM that uses its reserved part while the leader lends the same tokens. */
TEST(workspace_meter, adds_its_reserved_part_only_while_the_leader_is_silent)
{
  mMeter.RecordLeaderContact(mNow);
  mMeter.Grant(kWorkspace, 0, 10, 5);
  mNow += microseconds(700'000);
  LONGS_EQUAL(0, CountTaken(3));
  mNow += microseconds(300'000);
  LONGS_EQUAL(2, CountTaken(10));
  mNow += microseconds(60'000'000);
  LONGS_EQUAL(5, CountTaken(10));
}

/** Guards against a token that is lost with each request that could not be placed. */
TEST(workspace_meter, a_token_that_was_not_used_comes_back)
{
  mMeter.Grant(kWorkspace, 1, 0, 5);
  CHECK(mMeter.TrySpend(kWorkspace, mNow));
  mMeter.Refund(kWorkspace);
  CHECK(mMeter.TrySpend(kWorkspace, mNow));
}

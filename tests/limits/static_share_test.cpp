#include "citronpulley/limits/static_share.h"
#include "limits/spend_history.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

instant At(std::int64_t aMilliseconds)
{
  return instant(microseconds(aMilliseconds * 1000));
}

} // namespace

TEST_GROUP(limits_static_share){};

/** Guards against VMs of a region without grants that together exceed the fraction of the capacity
 * reserved for static shares. */
TEST(limits_static_share, vms_together_stay_inside_a_tenth_of_the_capacity)
{
  std::array<static_share, 4> shares;
  spend_history history;
  history.SetLimit(40, 40, At(0));
  for (std::int64_t now = 1000; now < 11000; ++now) {
    for (static_share& share : shares) {
      if (now % 500 == 0) {
        share.SetCapacity(400, shares.size(), At(now));
      }
      if (share.TrySpend(1.5, At(now))) {
        history.Add(1.5, At(now));
      }
    }
  }
  CHECK(history.GetWorstExcess() <= 1e-6);
  CHECK(history.GetTotal() > 350);
}

/** Guards against use of a share before the capacity is known, and of tokens above a lowered one.
 */
TEST(limits_static_share, starts_empty_and_follows_a_lower_capacity)
{
  static_share share;
  CHECK_FALSE(share.TrySpend(1, At(5000)));
  share.SetCapacity(400, 4, At(5000));
  CHECK_FALSE(share.TrySpend(1, At(5050)));
  share.SetCapacity(40, 4, At(7000));
  CHECK(share.TrySpend(1, At(7000)));
  CHECK_FALSE(share.TrySpend(1, At(7000)));
}

#include "citronpulley/base/bounded_ring.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(bounded_ring){};

/** Guards against a ring that grows or loses elements when the consumer is slower than the
 * producer. */
TEST(bounded_ring, refuses_an_element_when_full_and_keeps_the_order)
{
  bounded_ring<int> ring(2);
  int first = 1;
  int second = 2;
  int third = 3;
  CHECK(ring.TryPush(first));
  CHECK(ring.TryPush(second));
  CHECK_FALSE(ring.TryPush(third));
  LONGS_EQUAL(1, *ring.TryPop());
  CHECK(ring.TryPush(third));
  LONGS_EQUAL(2, *ring.TryPop());
  LONGS_EQUAL(3, *ring.TryPop());
  CHECK_FALSE(ring.TryPop().has_value());
}

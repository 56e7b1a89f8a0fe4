#include "citronpulley/gateway/memory_reservation.h"

#include "citronpulley/gateway/memory_budget.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <utility>

using namespace citronpulley;

TEST_GROUP(memory_reservation)
{
  std::shared_ptr<memory_budget> mBudget = std::make_shared<memory_budget>(1'000);

  void teardown() override
  {
    mBudget.reset();
  }
};

/** Guards against one message that takes the memory of all. */
TEST(memory_reservation, limits_a_message_to_its_share)
{
  memory_reservation reservation(mBudget);
  CHECK(reservation.TryResize(250));
  CHECK_FALSE(reservation.TryResize(251));
  UNSIGNED_LONGS_EQUAL(250, mBudget->GetUsedBytes());
}

/** Guards against many messages that together exceed the memory. */
TEST(memory_reservation, limits_all_messages_together)
{
  memory_reservation reservations[5];
  for (int i = 0; i < 4; ++i) {
    reservations[i] = memory_reservation(mBudget);
    CHECK(reservations[i].TryResize(240));
  }
  CHECK(mBudget->IsShort());
  reservations[4] = memory_reservation(mBudget);
  CHECK_FALSE(reservations[4].TryResize(41));
  CHECK(reservations[4].TryResize(40));
  reservations[0] = memory_reservation(mBudget);
  CHECK(reservations[4].TryResize(240));
}

/** Guards against memory that is counted twice, or never returned, when a message is handed on. */
TEST(memory_reservation, moves_and_returns_what_it_took)
{
  {
    memory_reservation first(mBudget);
    CHECK(first.TryResize(100));
    const memory_reservation second(std::move(first));
    UNSIGNED_LONGS_EQUAL(100, mBudget->GetUsedBytes());
  }
  UNSIGNED_LONGS_EQUAL(0, mBudget->GetUsedBytes());
}

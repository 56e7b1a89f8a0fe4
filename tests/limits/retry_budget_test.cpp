#include "citronpulley/limits/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(retry_budget){};

/** Guards against retries that multiply the load of a service that fails all requests. */
TEST(retry_budget, retries_stay_at_a_tenth_of_the_requests_of_each_service)
{
  retry_budget budget;
  const service_name failing("failing");
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {
    budget.RecordRequest(failing);
    retries += budget.TrySpend(failing) ? 1 : 0;
    retries += budget.TrySpend(failing) ? 1 : 0;
  }
  CHECK(retries >= 990 && retries <= 1'010);
  CHECK(budget.TrySpend(service_name("other")));
}

/** Guards against a budget that grows during a long time without failures and then permits a retry
 * storm. */
TEST(retry_budget, unused_budget_does_not_grow_without_bound)
{
  retry_budget budget;
  const service_name service("s");
  for (int request = 0; request < 100'000; ++request) {
    budget.RecordRequest(service);
  }
  int retries = 0;
  while (budget.TrySpend(service)) {
    ++retries;
  }
  LONGS_EQUAL(10, retries);
}

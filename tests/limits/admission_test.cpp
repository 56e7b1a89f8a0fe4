#include "citronpulley/limits/admission.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

instant At(std::int64_t aMilliseconds)
{
  return instant(microseconds(aMilliseconds * 1000));
}

} // namespace

TEST_GROUP(limits_admission)
{
  token_pool mTokenPool;
  admission mAdmission{ mTokenPool, region_name("r") };
  const workspace_name mWorkspace{ "a" };

  /** Grants tokens for all requests of the pool. @return number of resources requested */
  std::size_t Grant(double aWorkspaceTokens, double aRegionTokens, std::int64_t aNow)
  {
    std::size_t count = 0;
    for (const grant_request& request : mTokenPool.MakeRequests(1, At(aNow))) {
      grant_reply reply;
      reply.mRequestNumber = request.mRequestNumber;
      reply.mHolderIncarnation = 1;
      for (const resource_demand& demand : request.mDemands) {
        const double tokens = demand.mResource == "region:r" ? aRegionTokens : aWorkspaceTokens;
        reply.mGrants.push_back(
          { demand.mResource, ++count, tokens, 1'000'000, tokens <= 0, 0, 1'000'000 });
      }
      mTokenPool.Receive(reply, At(aNow));
    }
    return count;
  }
};

/** Guards against uncounted load of a region by indirect or cyclic dependencies. */
TEST(limits_admission, counts_calls_at_all_levels)
{
  catalogue content;
  content.mServices.push_back({ service_name("front"), { { service_name("middle"), 2 } } });
  content.mServices.push_back({ service_name("middle"), { { service_name("back"), 1.5 } } });
  content.mServices.push_back({ service_name("back"), {} });
  DOUBLES_EQUAL(6, ComputeCallsPerRequest(content, service_name("front")), 1e-9);
  content.mServices[2].mDependencies.push_back({ service_name("back"), 1 });
  CHECK(ComputeCallsPerRequest(content, service_name("back")) < 100);
}

/** Guards against refusals that report the wrong cause: the rate of the workspace for a full
 * region, or the region for a used-up rate. */
TEST(limits_admission, distinguishes_a_used_up_rate_from_a_full_region)
{
  const request_cost cost{ mWorkspace, region_name("r"), 2 };
  CHECK_FALSE(mAdmission.TrySpend(cost, false, true, At(0)));
  CHECK_FALSE(mAdmission.TrySpend(cost, true, true, At(5)));
  LONGS_EQUAL(2, Grant(1, 0, 5));
  token_refusal refusal = mAdmission.MakeRefusal(cost, mWorkspace, At(0), At(10));
  CHECK(refusal.mCode == error_code::RegionFull);
  CHECK(refusal.mIsInsideRate);
  CHECK_FALSE(mAdmission.TrySpend(cost, true, true, At(1200)));
  LONGS_EQUAL(2, Grant(0, 2, 1200));
  refusal = mAdmission.MakeRefusal(cost, mWorkspace, At(1100), At(1250));
  CHECK(refusal.mCode == error_code::RateExceeded);
  CHECK_FALSE(refusal.mIsInsideRate);
}

/** Guards against a zone that serves nothing without contact with the granting VM, and against use
 * of the static share while grants are available. */
TEST(limits_admission, uses_the_static_share_only_without_contact)
{
  const request_cost cost{ {}, region_name("r"), 1 };
  const request_cost foreign{ {}, region_name("s"), 1 };
  mAdmission.SetCapacity(100, 2, At(0));
  CHECK_FALSE(mAdmission.TrySpend(cost, false, true, At(1000)));
  CHECK(mAdmission.TrySpend(cost, false, false, At(1000)));
  CHECK_FALSE(mAdmission.TrySpend(foreign, false, false, At(1000)));
  CHECK_FALSE(mAdmission.TrySpend({ mWorkspace, region_name("r"), 1 }, false, false, At(1000)));
  mAdmission.TrySpend(cost, true, true, At(1000));
  CHECK_FALSE(mTokenPool.MakeRequests(1, At(1000)).empty());
  CHECK_FALSE(mAdmission.TrySpend(cost, true, true, At(1099)));
  CHECK(mAdmission.TrySpend(cost, true, true, At(1100)));
}

/** Guards against a workspace above its rate that requests region tokens which it cannot spend. */
TEST(limits_admission, requests_no_region_tokens_while_the_rate_is_used_up)
{
  const request_cost cost{ mWorkspace, region_name("r"), 1 };
  mAdmission.TrySpend(cost, false, true, At(0));
  mAdmission.TrySpend(cost, true, true, At(5));
  LONGS_EQUAL(2, Grant(0, 0.5, 5));
  mAdmission.TrySpend(cost, true, true, At(15));
  CHECK(mAdmission.IsShortOfRateTokens(cost, At(15)));
  mAdmission.AddWaitingDemand(mWorkspace);
  LONGS_EQUAL(1, Grant(1, 1, 15));
}

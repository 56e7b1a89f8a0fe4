#include "citronpulley/limits/grant_authority.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const std::string kResource = "workspace:a";

instant At(std::int64_t aMilliseconds)
{
  return instant(microseconds(aMilliseconds * 1000));
}

catalogue MakeCatalogue(double aRate, double aBurst)
{
  catalogue content;
  content.mWorkspaces.push_back({ workspace_name("a"), aRate, aBurst });
  content.mRegions.push_back({ region_name("r"), {}, 1000 });
  return content;
}

} // namespace

TEST_GROUP(limits_grant_authority)
{
  grant_authority mAuthority{ vm_name("control-1"), 1 };
  std::uint64_t mRequestNumber = 0;

  void setup() override
  {
    mAuthority.SetCatalogue(MakeCatalogue(100, 100), At(0));
    mAuthority.ConfirmLeadership(1, At(0), At(0));
  }

  grant_reply Request(const char* aHolder, double aWanted, std::int64_t aNow)
  {
    mAuthority.ConfirmLeadership(1, At(aNow), At(aNow));
    return RequestUnconfirmed(aHolder, aWanted, aNow);
  }

  grant_reply RequestUnconfirmed(const char* aHolder, double aWanted, std::int64_t aNow)
  {
    return mAuthority.HandleRequest(
      vm_name(aHolder), { ++mRequestNumber, 1, { { kResource, aWanted, {} } } }, At(aNow));
  }
};

/** Guards against grants by a VM that is no longer leader or was not confirmed as leader. */
TEST(limits_grant_authority, grants_only_for_500_ms_after_a_confirmation)
{
  DOUBLES_EQUAL(5, Request("x", 5, 5000).mGrants[0].mTokens, 0);
  CHECK(RequestUnconfirmed("x", 5, 5499).mIsLeader);
  const grant_reply reply = RequestUnconfirmed("x", 5, 5500);
  CHECK_FALSE(reply.mIsLeader);
  CHECK(reply.mGrants.empty());
}

/** Guards against grants by a new leader while grants of its predecessor are still valid. */
TEST(limits_grant_authority, is_blocked_until_grants_of_earlier_terms_have_expired)
{
  const grant_reply blocked = Request("x", 5, 1749);
  DOUBLES_EQUAL(0, blocked.mGrants[0].mTokens, 0);
  CHECK_FALSE(blocked.mGrants[0].mIsUsedUp);
  DOUBLES_EQUAL(5, Request("x", 5, 1850).mGrants[0].mTokens, 0);
  mAuthority.ConfirmLeadership(2, At(3000), At(3000));
  DOUBLES_EQUAL(0, RequestUnconfirmed("x", 5, 3100).mGrants[0].mTokens, 0);
}

/** Guards against a second grant for a resent request, and against different grants with one
 * number.
 */
TEST(limits_grant_authority, sends_the_same_reply_to_a_resent_request)
{
  mAuthority.ConfirmLeadership(1, At(5000), At(5000));
  const grant_request request{ 9, 1, { { kResource, 60, {} } } };
  const grant_reply first = mAuthority.HandleRequest(vm_name("x"), request, At(5000));
  CHECK(first == mAuthority.HandleRequest(vm_name("x"), request, At(5100)));
  const grant_reply other = mAuthority.HandleRequest(vm_name("y"), request, At(5100));
  CHECK(first.mGrants[0].mGrant != other.mGrants[0].mGrant);
  grant_request restarted = request;
  restarted.mHolderIncarnation = 2;
  CHECK(first.mGrants[0] != mAuthority.HandleRequest(vm_name("x"), restarted, At(5100)).mGrants[0]);
  CHECK(mAuthority.HandleRequest(vm_name("x"), request, At(5100)).mGrants.empty());
}

/** Guards against a configuration change that blocks grants for a while or loses outstanding ones.
 */
TEST(limits_grant_authority, keeps_ledgers_when_the_configuration_changes)
{
  DOUBLES_EQUAL(80, Request("x", 80, 5000).mGrants[0].mTokens, 0);
  mAuthority.SetCatalogue(MakeCatalogue(100, 90), At(5000));
  DOUBLES_EQUAL(10, Request("y", 80, 5000).mGrants[0].mTokens, 0);
  mAuthority.SetCatalogue(catalogue{}, At(5000));
  CHECK(Request("y", 80, 5000).mGrants.empty());
  mAuthority.SetCatalogue(MakeCatalogue(100, 90), At(5500));
  DOUBLES_EQUAL(0, Request("y", 80, 5500).mGrants[0].mTokens, 0);
}

/** Guards against grants that include the static share of a region. */
TEST(limits_grant_authority, grants_nine_tenths_of_a_region)
{
  mAuthority.ConfirmLeadership(1, At(9000), At(9000));
  const grant_request request{ 1, 1, { { "region:r", 5000, {} } } };
  DOUBLES_EQUAL(
    900, mAuthority.HandleRequest(vm_name("x"), request, At(9000)).mGrants[0].mTokens, 0);
}

/** Guards against a holder with high demand that gets all tokens of a resource in short supply. */
TEST(limits_grant_authority, divides_scarce_tokens_max_min_fair)
{
  std::map<std::string, double> sums;
  for (std::int64_t now = 5000; now < 15000; now += 50) {
    for (const auto& [holder, wanted] :
         std::map<const char*, double>{ { "hot", 100 }, { "warm", 10 }, { "cold", 1 } }) {
      const grant_reply reply = Request(holder, wanted, now);
      sums[holder] += reply.mGrants[0].mTokens;
      grant_request spent{ ++mRequestNumber, 1, { { kResource, 0, {} } } };
      spent.mDemands[0].mSettled.push_back({ reply.mGrants[0].mGrant, 0, true });
      mAuthority.HandleRequest(vm_name(holder), spent, At(now));
    }
  }
  // The cold holder wants 20 tokens per second, the others share the remaining 80.
  CHECK(sums["cold"] >= 190);
  CHECK(sums["warm"] >= 350 && sums["hot"] >= 350);
}

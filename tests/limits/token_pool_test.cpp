#include "citronpulley/limits/token_pool.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr std::int64_t kLease = 1'000'000;

instant At(std::int64_t aMilliseconds)
{
  return instant(microseconds(aMilliseconds * 1000));
}

grant_reply MakeReply(const grant_request& aRequest, std::uint64_t aGrant, double aTokens)
{
  grant_reply reply;
  reply.mRequestNumber = aRequest.mRequestNumber;
  reply.mIsLeader = true;
  reply.mHolderIncarnation = aRequest.mHolderIncarnation;
  reply.mGrants.push_back({ "workspace:a", aGrant, aTokens, kLease, false, 0, 1'000'000 });
  return reply;
}

} // namespace

TEST_GROUP(limits_token_pool)
{
  token_pool mTokenPool;
  const std::map<std::string, double> mCosts{ { "workspace:a", 1 } };

  /** Lets a request fail for lack of tokens and retry. @return the resulting grant request */
  grant_request RequestTokens(token_pool & aTokenPool, incarnation aRun, std::int64_t aNow)
  {
    aTokenPool.TrySpend(mCosts, false, At(aNow));
    aTokenPool.TrySpend(mCosts, true, At(aNow));
    const std::vector<grant_request> requests = aTokenPool.MakeRequests(aRun, At(aNow));
    CHECK_FALSE(requests.empty());
    return requests.empty() ? grant_request{} : requests.back();
  }
};

/** Guards against a lease that is counted from the reply, and against spending after its end, e.g.
 * by a holder whose process was suspended. */
TEST(limits_token_pool, spends_nothing_after_the_lease_counted_from_the_request)
{
  const grant_request request = RequestTokens(mTokenPool, 1, 0);
  mTokenPool.Receive(MakeReply(request, 7, 2), At(900));
  CHECK(mTokenPool.TrySpend(mCosts, false, At(999)));
  CHECK_FALSE(mTokenPool.TrySpend(mCosts, false, At(1000)));
}

/** Guards against grants that are lost because a newer request was sent before the reply arrived.
 */
TEST(limits_token_pool, accepts_the_reply_to_an_older_request)
{
  const grant_request first = RequestTokens(mTokenPool, 1, 0);
  mTokenPool.TrySpend(mCosts, true, At(10));
  mTokenPool.TrySpend(mCosts, true, At(10));
  LONGS_EQUAL(1, mTokenPool.MakeRequests(1, At(10)).size());
  mTokenPool.Receive(MakeReply(first, 7, 1), At(60));
  DOUBLES_EQUAL(1, mTokenPool.GetAvailableTokens("workspace:a", At(60)), 0);
}

/** Guards against a duplicated reply that doubles the tokens. */
TEST(limits_token_pool, accepts_a_reply_once)
{
  const grant_request request = RequestTokens(mTokenPool, 1, 0);
  mTokenPool.Receive(MakeReply(request, 7, 1), At(10));
  mTokenPool.Receive(MakeReply(request, 7, 1), At(11));
  DOUBLES_EQUAL(1, mTokenPool.GetAvailableTokens("workspace:a", At(11)), 0);
}

/** Guards against use of a late reply to a request sent before a restart, whose lease ends earlier.
 */
TEST(limits_token_pool, ignores_a_reply_to_an_earlier_run)
{
  const grant_request old = RequestTokens(mTokenPool, 1, 0);
  token_pool restarted;
  LONGS_EQUAL(old.mRequestNumber, RequestTokens(restarted, 2, 900).mRequestNumber);
  restarted.Receive(MakeReply(old, 7, 1), At(910));
  DOUBLES_EQUAL(0, restarted.GetAvailableTokens("workspace:a", At(910)), 0);
}

/** Guards against spent tokens that block the refill until their lease ends because the request
 * that reported them was lost. */
TEST(limits_token_pool, resends_a_lost_request_with_its_reports)
{
  mTokenPool.Receive(MakeReply(RequestTokens(mTokenPool, 1, 0), 7, 1), At(3));
  CHECK(mTokenPool.TrySpend(mCosts, true, At(3)));
  const grant_request report = RequestTokens(mTokenPool, 1, 60);
  LONGS_EQUAL(1, report.mDemands[0].mSettled.size());
  CHECK(mTokenPool.MakeRequests(1, At(65)).empty());
  const std::vector<grant_request> again = mTokenPool.MakeRequests(1, At(260));
  CHECK_FALSE(again.empty());
  CHECK(again[0] == report);
}

/** Guards against an idle VM that holds unspent tokens which other VMs need. */
TEST(limits_token_pool, returns_the_tokens_of_an_idle_resource)
{
  mTokenPool.Receive(MakeReply(RequestTokens(mTokenPool, 1, 0), 7, 3), At(3));
  CHECK(mTokenPool.MakeRequests(1, At(100)).empty());
  const std::vector<grant_request> requests = mTokenPool.MakeRequests(1, At(600));
  LONGS_EQUAL(1, requests.size());
  const resource_demand::settled_grant expected{ 7, 3, true };
  CHECK(requests[0].mDemands[0].mSettled.front() == expected);
  DOUBLES_EQUAL(0, mTokenPool.GetAvailableTokens("workspace:a", At(600)), 0);
}

/** Guards against a refusal that names the wrong resource, or reports it as used up although the
 * granting VM never replied. */
TEST(limits_token_pool, identifies_the_short_resource_and_whether_it_was_reported)
{
  const std::map<std::string, double> costs{ { "region:r", 1.5 }, { "workspace:a", 1 } };
  const grant_request request = RequestTokens(mTokenPool, 1, 0);
  STRCMP_EQUAL("workspace:a", mTokenPool.FindShortage(costs, At(0))->c_str());
  grant_reply reply = MakeReply(request, 0, 0);
  reply.mGrants[0].mIsUsedUp = true;
  CHECK(mTokenPool.HasLostContact(At(300)));
  CHECK_FALSE(mTokenPool.WasReportedUsedUp("workspace:a", At(0)));
  mTokenPool.Receive(reply, At(310));
  CHECK_FALSE(mTokenPool.HasLostContact(At(310)));
  CHECK(mTokenPool.WasReportedUsedUp("workspace:a", At(310)));
  CHECK_FALSE(mTokenPool.WasReportedUsedUp("workspace:a", At(311)));
  mTokenPool.Receive(MakeReply(RequestTokens(mTokenPool, 1, 320), 8, 5), At(330));
  STRCMP_EQUAL("region:r", mTokenPool.FindShortage(costs, At(330))->c_str());
}

#include "citronpulley/limits/rate_wallet.h"

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

TEST_GROUP(limits_rate_wallet)
{
  rate_wallet mWallet;
  const std::map<std::string, double> mCosts{ { "workspace:a", 1 } };

  /** Lets a request miss its tokens, and @returns the request for them. */
  grant_request Ask(rate_wallet & aWallet, incarnation aRun, std::int64_t aNow)
  {
    aWallet.TrySpend(mCosts, false, At(aNow));
    aWallet.TrySpend(mCosts, true, At(aNow));
    const std::vector<grant_request> requests = aWallet.MakeRequests(aRun, At(aNow));
    CHECK_FALSE(requests.empty());
    return requests.empty() ? grant_request{} : requests.back();
  }
};

/** Guards against a lease that counts from the reply, and a frozen holder that spends after it. */
TEST(limits_rate_wallet, spends_nothing_after_the_lease_counted_from_the_request)
{
  const grant_request request = Ask(mWallet, 1, 0);
  mWallet.Accept(MakeReply(request, 7, 2), At(900));
  CHECK(mWallet.TrySpend(mCosts, false, At(999)));
  CHECK_FALSE(mWallet.TrySpend(mCosts, false, At(1000)));
}

/** Guards against grants lost because a newer request was sent before the answer arrived. */
TEST(limits_rate_wallet, takes_the_answer_to_an_older_request)
{
  const grant_request first = Ask(mWallet, 1, 0);
  mWallet.TrySpend(mCosts, true, At(10));
  mWallet.TrySpend(mCosts, true, At(10));
  LONGS_EQUAL(1, mWallet.MakeRequests(1, At(10)).size());
  mWallet.Accept(MakeReply(first, 7, 1), At(60));
  DOUBLES_EQUAL(1, mWallet.GetHeld("workspace:a", At(60)), 0);
}

/** Guards against a repeated answer that doubles the tokens. */
TEST(limits_rate_wallet, takes_an_answer_once)
{
  const grant_request request = Ask(mWallet, 1, 0);
  mWallet.Accept(MakeReply(request, 7, 1), At(10));
  mWallet.Accept(MakeReply(request, 7, 1), At(11));
  DOUBLES_EQUAL(1, mWallet.GetHeld("workspace:a", At(11)), 0);
}

/** Guards against a late answer to the run before a restart, whose lease ended earlier. */
TEST(limits_rate_wallet, drops_an_answer_to_an_earlier_run)
{
  const grant_request old = Ask(mWallet, 1, 0);
  rate_wallet restarted;
  LONGS_EQUAL(old.mRequestNumber, Ask(restarted, 2, 900).mRequestNumber);
  restarted.Accept(MakeReply(old, 7, 1), At(910));
  DOUBLES_EQUAL(0, restarted.GetHeld("workspace:a", At(910)), 0);
}

/** Guards against tokens that block the refill until their lease ends when a request is lost. */
TEST(limits_rate_wallet, sends_a_lost_request_with_its_reports_again)
{
  mWallet.Accept(MakeReply(Ask(mWallet, 1, 0), 7, 1), At(3));
  CHECK(mWallet.TrySpend(mCosts, true, At(3)));
  const grant_request report = Ask(mWallet, 1, 60);
  LONGS_EQUAL(1, report.mDemands[0].mSettled.size());
  CHECK(mWallet.MakeRequests(1, At(65)).empty());
  const std::vector<grant_request> again = mWallet.MakeRequests(1, At(260));
  CHECK_FALSE(again.empty());
  CHECK(again[0] == report);
}

/** Guards against unspent tokens that an idle VM keeps from the others. */
TEST(limits_rate_wallet, returns_the_tokens_of_an_idle_resource)
{
  mWallet.Accept(MakeReply(Ask(mWallet, 1, 0), 7, 3), At(3));
  CHECK(mWallet.MakeRequests(1, At(100)).empty());
  const std::vector<grant_request> requests = mWallet.MakeRequests(1, At(600));
  LONGS_EQUAL(1, requests.size());
  const resource_demand::settled_grant expected{ 7, 3, true };
  CHECK(requests[0].mDemands[0].mSettled.front() == expected);
  DOUBLES_EQUAL(0, mWallet.GetHeld("workspace:a", At(600)), 0);
}

/** Guards against a refusal that blames the wrong resource or a granting VM that never answered. */
TEST(limits_rate_wallet, tells_what_is_short_and_whether_it_was_reported)
{
  const std::map<std::string, double> costs{ { "region:r", 1.5 }, { "workspace:a", 1 } };
  const grant_request request = Ask(mWallet, 1, 0);
  STRCMP_EQUAL("workspace:a", mWallet.FindShortage(costs, At(0))->c_str());
  grant_reply reply = MakeReply(request, 0, 0);
  reply.mGrants[0].mIsUsedUp = true;
  CHECK(mWallet.IsCutOff(At(300)));
  CHECK_FALSE(mWallet.WasReportedUsedUp("workspace:a", At(0)));
  mWallet.Accept(reply, At(310));
  CHECK_FALSE(mWallet.IsCutOff(At(310)));
  CHECK(mWallet.WasReportedUsedUp("workspace:a", At(310)));
  CHECK_FALSE(mWallet.WasReportedUsedUp("workspace:a", At(311)));
  mWallet.Accept(MakeReply(Ask(mWallet, 1, 320), 8, 5), At(330));
  STRCMP_EQUAL("region:r", mWallet.FindShortage(costs, At(330))->c_str());
}

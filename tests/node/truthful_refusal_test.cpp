#include "node/test_fleet.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(truthful_refusal)
{
  std::uint64_t Call(bool aIsIdempotent, int aDeadlineMilliseconds = 1'000)
  {
    test_call call;
    call.mVm = vm_name("vm2");
    call.mDeadlineMilliseconds = aDeadlineMilliseconds;
    if (aIsIdempotent) {
      call.mMethod = "GET";
      call.mTarget = "/svc/orders/list";
    } else {
      call.mIdempotencyKey = MakeIdempotencyKey(mFleet, ++mLastKey);
    }
    return mFleet.Call(call);
  }

  std::string Finish(std::uint64_t aCall, int aMilliseconds = 1'200)
  {
    mFleet.Run(aMilliseconds);
    STRCMP_EQUAL("", mFleet.FindViolation().c_str());
    return mFleet.DescribeAnswer(aCall);
  }

  fake_server& Start(std::uint32_t aSlots = 4)
  {
    fake_server& server = mFleet.AddServer("s1", "vm1", aSlots);
    mFleet.Run(14'000);
    return server;
  }

  test_fleet mFleet{ { "a", "a" } };
  int mLastKey = 0;
};

/** Guards against another outcome than `not_run` when no server gets the request (none is known, or
 * none accepts connections), and against its idempotency key staying claimed. */
TEST(truthful_refusal, request_that_reaches_no_server_is_reported_as_not_run)
{
  mFleet.Run(3'000);
  STRCMP_EQUAL("not_run", Finish(Call(false)).c_str());
  fake_server& server = Start();
  server.mIsUp = false;
  STRCMP_EQUAL("not_run", Finish(Call(false), 200).c_str());
  server.mIsUp = true;
  test_call repeat = mFleet.mCalls.rbegin()->second;
  repeat.mVm = vm_name("vm1");
  CHECK(Finish(mFleet.Call(repeat)).starts_with("done "));
}

/** Guards against a refusal marked with Citronpulley-Not-Run that counts as a run or is not retried
 * on another server. */
TEST(truthful_refusal, marked_refusal_is_retried_on_another_server)
{
  fake_server& server = Start();
  server.mRefuses = true;
  STRCMP_EQUAL("not_run", Finish(Call(false)).c_str());
  STRCMP_EQUAL("not_run", Finish(Call(true)).c_str());
  mFleet.AddServer("s2", "vm2");
  mFleet.Run(4'000);
  for (int call = 0; call < 4; ++call) {
    CHECK(Finish(Call(false)).starts_with("done "));
  }
}

/** Guards against a request that is sent to a server although its deadline passed or its caller
 * disconnected while it was queued. */
TEST(truthful_refusal, request_that_ends_in_the_queue_did_not_run)
{
  Start(1).mServiceTime = microseconds(900'000);
  const std::uint64_t first = Call(false, 2'000);
  mFleet.Run(50);
  const std::uint64_t second = Call(false, 300);
  const std::uint64_t third = Call(false, 600);
  mFleet.Run(20);
  mFleet.DisconnectCaller("vm2", third);
  mFleet.Run(400);
  CHECK(mFleet.DescribeAnswer(second) != "no answer");
  CHECK(Finish(first, 2'500).starts_with("done "));
  const std::string key = mFleet.mCalls.at(second).mIdempotencyKey;
  LONGS_EQUAL(0, mFleet.CountRuns(key));
}

/** Guards against the outcome `not_run` after a refused attempt when an earlier attempt of the
 * request may have run. */
TEST(truthful_refusal, unknown_attempt_followed_by_a_refused_one_ends_as_unknown)
{
  fake_server& server = Start();
  server.mPoisonBody = "body";
  server.mRestartTime = microseconds(10'000'000);
  STRCMP_EQUAL("unknown", Finish(Call(true, 5'000), 6'000).c_str());
  LONGS_EQUAL(1, server.mCrashes);
}

/** Guards against a caller that receives a response to another attempt, from a VM to which its
 * request was not sent, or to an earlier run of this VM. */
TEST(truthful_refusal, late_or_mismatched_answer_never_reaches_a_caller)
{
  Start().mServiceTime = microseconds(100'000);
  for (int round = 0; round < 4; ++round) {
    const std::uint64_t call = Call(true);
    mFleet.Run(20);
    for (std::uint64_t number = 0; number < 20; ++number) {
      for (const char* sender : { "vm1", "vm9" }) {
        forward_response response;
        response.mForwardNumber = number;
        response.mReceiverIncarnation = std::string(sender) == "vm1" ? 77 : 1;
        response.mIsAnswered = true;
        response.mAnswer = { 200, {}, "done by another" };
        mFleet.Deliver(vm_name("vm2"), peer_message_received{ vm_name(sender), response });
      }
      mFleet.Deliver(vm_name("vm2"),
                     backend_finished{ number + 1'000, http_answer{ 200, {}, "x" } });
    }
    CHECK(Finish(call).starts_with("done boats"));
  }
}

#include "node/test_fleet.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(at_most_once)
{
  void setup() override
  {
    mFleet.AddServer("s1", "vm1");
    mFleet.Run(4'000);
  }

  test_call MakeCall(const std::string& aVm, int aKey)
  {
    test_call call;
    call.mVm = vm_name(aVm);
    call.mIdempotencyKey = MakeIdempotencyKey(mFleet, aKey);
    return call;
  }

  /** Repeats a call on another VM and runs for some time. @return the answer to the repeat */
  std::string Repeat(test_call aCall, const std::string& aVm, int aMilliseconds = 1'200)
  {
    aCall.mVm = vm_name(aVm);
    const std::uint64_t call = mFleet.Call(aCall);
    mFleet.Run(aMilliseconds);
    return mFleet.DescribeAnswer(call);
  }

  void CheckHistory()
  {
    STRCMP_EQUAL("", mFleet.FindViolation().c_str());
  }

  /** @return home VM of the server and another VM */
  std::pair<std::string, std::string> FindHome()
  {
    test_call call;
    call.mVm = vm_name("vm1");
    call.mMethod = "GET";
    call.mTarget = "/svc/orders/list";
    mFleet.Call(call);
    mFleet.Run(500);
    CHECK_FALSE(mFleet.mRuns.empty());
    const std::string home = mFleet.mRuns.back().mSender.mValue;
    return { home, home == "vm1" ? "vm2" : "vm1" };
  }

  /** Drops the first messages of a type, whoever sends them. */
  template<typename Message>
  void DropFirst(int aCount)
  {
    mFleet.mMessageFilter =
      [aCount](const vm_name&,
               const vm_name&,
               const peer_message& aMessage) mutable -> std::optional<microseconds> {
      if (std::holds_alternative<Message>(aMessage) && aCount-- > 0) {
        return std::nullopt;
      }
      return microseconds(0);
    };
  }

  test_fleet mFleet{ { "a", "a", "a" } };
};

/** Guards against a second run when the entry VM crashes between accepting the request and
 * recording its outcome. */
TEST(at_most_once, request_runs_once_when_entry_vm_crashes_at_any_step)
{
  for (int after = 0; after < 36; after += 2) {
    const std::string entry = FindHome().second;
    const test_call call = MakeCall(entry, after);
    mFleet.Call(call);
    mFleet.Run(after);
    mFleet.Kill(entry);
    Repeat(call, "vm3");
    mFleet.Start(entry);
    mFleet.Run(1'000);
    Repeat(call, entry);
    CheckHistory();
  }
}

/** Guards against a second run when the home VM of the server crashes during the request. */
TEST(at_most_once, request_runs_once_when_home_vm_crashes_at_any_step)
{
  for (int after = 0; after < 36; after += 3) {
    const auto [home, entry] = FindHome();
    const test_call call = MakeCall(entry, after);
    const std::uint64_t number = mFleet.Call(call);
    mFleet.Run(after);
    mFleet.Kill(home);
    Repeat(call, entry);
    CHECK(mFleet.DescribeAnswer(number) != "no answer");
    mFleet.Start(home);
    mFleet.Run(8'000);
    Repeat(call, "vm3");
    CheckHistory();
  }
}

/** Guards against a request that runs twice or loses its recorded answer because a claim reply, an
 * outcome or its acknowledgement is lost and not sent again. */
TEST(at_most_once, lost_claim_messages_are_resent)
{
  const test_call first = MakeCall("vm1", 1);
  DropFirst<claim_reply>(2);
  mFleet.Call(first);
  mFleet.Run(1'500);
  STRCMP_EQUAL(Repeat(first, "vm2").c_str(), ("done boats " + first.mIdempotencyKey).c_str());
  const test_call second = MakeCall("vm1", 2);
  DropFirst<claim_outcome>(3);
  mFleet.Call(second);
  mFleet.Run(100);
  STRCMP_EQUAL("unknown", Repeat(second, "vm2", 100).c_str());
  mFleet.Run(1'500);
  STRCMP_EQUAL(Repeat(second, "vm3").c_str(), ("done boats " + second.mIdempotencyKey).c_str());
  const test_call third = MakeCall("vm1", 3);
  DropFirst<claim_outcome_reply>(3);
  mFleet.Call(third);
  mFleet.Run(1'500);
  STRCMP_EQUAL(Repeat(third, "vm2").c_str(), ("done boats " + third.mIdempotencyKey).c_str());
  LONGS_EQUAL(1, mFleet.CountRuns(third.mIdempotencyKey));
  CheckHistory();
}

/** Guards against a key that stays claimed forever because its delayed claim arrives after its
 * release. */
TEST(at_most_once, claim_that_arrives_after_its_release_does_not_lock_the_key)
{
  test_call call = MakeCall("vm1", 1);
  call.mDeadlineMilliseconds = 100;
  mFleet.mMessageFilter = [](const vm_name&,
                             const vm_name&,
                             const peer_message& aMessage) -> std::optional<microseconds> {
    return microseconds(std::holds_alternative<claim_request>(aMessage) ? 400'000 : 0);
  };
  const std::uint64_t number = mFleet.Call(call);
  mFleet.Run(300);
  STRCMP_EQUAL("not_run", mFleet.DescribeAnswer(number).c_str());
  mFleet.Run(1'000);
  mFleet.mMessageFilter = nullptr;
  call.mDeadlineMilliseconds = 1'000;
  STRCMP_EQUAL(Repeat(call, "vm2").c_str(), ("done boats " + call.mIdempotencyKey).c_str());
  CheckHistory();
}

/** Guards against an entry VM that is frozen past the deadline and then sends the claimed request.
 */
TEST(at_most_once, entry_vm_frozen_past_the_deadline_does_not_send_the_request)
{
  for (int after = 0; after < 6; ++after) {
    const test_call call = MakeCall("vm2", after);
    const std::uint64_t number = mFleet.Call(call);
    mFleet.Run(after);
    mFleet.Freeze("vm2");
    mFleet.Run(1'800);
    const std::size_t runs = mFleet.mRuns.size();
    mFleet.Thaw("vm2");
    mFleet.Run(300);
    LONGS_EQUAL(runs, mFleet.mRuns.size());
    CHECK(mFleet.DescribeAnswer(number) != "no answer");
    Repeat(call, "vm3");
    mFleet.Run(5'000);
    CheckHistory();
  }
}

/** Guards against a repeat that runs again, gets another workspace's answer, or is accepted with
 * another body or an expired key. */
TEST(at_most_once, repeats_get_the_recorded_answer_or_a_refusal)
{
  test_call call = MakeCall("vm1", 1);
  STRCMP_EQUAL(Repeat(call, "vm1").c_str(), ("done boats " + call.mIdempotencyKey).c_str());
  STRCMP_EQUAL(Repeat(call, "vm2").c_str(), ("done boats " + call.mIdempotencyKey).c_str());
  test_call other = call;
  other.mBody = "another body";
  STRCMP_EQUAL("not_run", Repeat(other, "vm2").c_str());
  other = call;
  other.mApiKey = "cpk_k2_secret2";
  STRCMP_EQUAL(Repeat(other, "vm3").c_str(), ("done nets " + call.mIdempotencyKey).c_str());
  LONGS_EQUAL(2, mFleet.CountRuns(call.mIdempotencyKey));
  test_call old = call;
  old.mIdempotencyKey = MakeIdempotencyKey(mFleet, 2, 3'600'000);
  STRCMP_EQUAL("not_run", Repeat(old, "vm1").c_str());
  LONGS_EQUAL(0, mFleet.CountRuns(old.mIdempotencyKey));
  mFleet.Run(60'000);
  mFleet.SetIdempotencyWindow(60);
  STRCMP_EQUAL("not_run", Repeat(call, "vm1").c_str());
  mFleet.SetIdempotencyWindow(36'000);
  STRCMP_EQUAL("not_run", Repeat(call, "vm1").c_str());
  CheckHistory();
}

/** Guards against two VMs that both run a request when it reaches them with one key at almost the
 * same time. */
TEST(at_most_once, concurrent_requests_with_one_key_on_two_vms_run_once)
{
  for (int key = 0; key < 10; ++key) {
    test_call call = MakeCall("vm1", key);
    mFleet.Call(call);
    call.mVm = vm_name("vm2");
    mFleet.Run(key % 3);
    mFleet.Call(call);
    mFleet.Run(200);
    LONGS_EQUAL(1, mFleet.CountRuns(call.mIdempotencyKey));
    CheckHistory();
  }
}

/** Guards against a key that runs twice, or a `not_run` for a request that ran, under random
 * combinations of lost and delayed messages, VM crashes and freezes, refusing servers and
 * disconnected callers. */
TEST(at_most_once, random_faults_cause_no_duplicate_run_or_wrong_not_run)
{
  for (std::uint64_t seed = 1; seed <= GetSeedCount(12); ++seed) {
    test_fleet fleet({ "a", "a", "b" });
    fleet.AddServer("s1", "vm1", 2).mServiceTime = microseconds(60'000);
    fleet.AddServer("s2", "vm2", 2);
    fleet.AddServer("s3", "vm3", 2);
    fleet.Run(4'000);
    std::mt19937_64 random(seed);
    fleet.mMessageFilter = [&random](const vm_name&,
                                     const vm_name&,
                                     const peer_message&) -> std::optional<microseconds> {
      const std::uint64_t draw = random() % 100;
      if (draw < 4) {
        return std::nullopt;
      }
      return microseconds(draw < 20 ? random() % 400'000 : 0);
    };
    std::vector<test_call> calls;
    for (int step = 0; step < 300; ++step) {
      const std::string vm = "vm" + std::to_string(random() % 3 + 1);
      const std::string callerVm = "vm" + std::to_string(random() % 3 + 1);
      const std::uint64_t draw = random() % 100;
      if (draw < 50 || calls.empty()) {
        test_call call;
        call.mIdempotencyKey = MakeIdempotencyKey(fleet, step);
        call.mDeadlineMilliseconds = 50 + static_cast<int>(random() % 500);
        call.mVm = vm_name(vm);
        calls.push_back(call);
        fleet.Call(call);
      } else if (draw < 80) {
        test_call call = calls[random() % calls.size()];
        call.mVm = vm_name(vm);
        fleet.Call(call);
      } else if (draw < 84) {
        fleet.Kill(vm);
        fleet.Start(vm);
      } else if (draw < 88) {
        fleet.Freeze(vm);
      } else if (draw < 94) {
        fleet.Thaw(vm);
      } else if (draw < 97) {
        fleet.mServers.at(server_name("s" + std::to_string(random() % 3 + 1))).mRefuses =
          random() % 2 == 0;
      } else {
        fleet.DisconnectCaller(callerVm, fleet.mCalls.rbegin()->first);
      }
      fleet.Run(static_cast<int>(random() % 60));
    }
    for (const char* vm : { "vm1", "vm2", "vm3" }) {
      fleet.Thaw(vm);
    }
    fleet.Run(3'000);
    if (!fleet.FindViolation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + fleet.FindViolation()).c_str());
    }
  }
}

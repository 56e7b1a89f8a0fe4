#include "node/test_fleet.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(crash_suspect){
  static test_call MakeCall(const std::string& aVm, const std::string& aBody){ test_call call;
call.mVm = vm_name(aVm);
call.mMethod = "GET";
call.mTarget = "/svc/orders/list";
call.mBody = aBody;
call.mDeadlineMilliseconds = 4'000;
return call;
}

static int CountCrashes(const test_fleet& aFleet)
{
  int crashes = 0;
  for (const auto& [name, server] : aFleet.mServers) {
    crashes += server.mCrashes;
  }
  return crashes;
}

static std::size_t CountQuarantined(const test_fleet& aFleet)
{
  std::size_t count = 0;
  for (const auto& [fingerprint, suspect] : aFleet.mControl.GetSuspects().GetAll()) {
    count += suspect.mIsQuarantined ? 1 : 0;
  }
  return count;
}
}
;

/** Guards against a request that crashes one server after another because its caller resends it to
 * other VMs, before or after a crash is confirmed, and against the quarantine of other requests
 * that ran on these servers. */
TEST(crash_suspect, poison_crashes_three_servers_at_most)
{
  for (std::uint64_t seed = 1; seed <= GetSeedCount(12); ++seed) {
    test_fleet fleet({ "a", "a", "a", "b", "b" });
    std::mt19937_64 random(seed);
    for (int index = 1; index <= 6; ++index) {
      fake_server& server =
        fleet.AddServer("s" + std::to_string(index), "vm" + std::to_string(index % 5 + 1));
      server.mPoisonBody = "poison";
      server.mRestartTime = microseconds(100'000 + random() % 2'500'000);
    }
    fleet.Run(14'000);
    const auto call = [&](const std::string& aBody, int aDeadline) {
      test_call one = MakeCall("vm" + std::to_string(random() % 5 + 1), aBody);
      one.mDeadlineMilliseconds = aDeadline;
      return fleet.Call(one);
    };
    for (int resend = 0; resend < 15; ++resend) {
      const std::uint64_t poison = call("poison", 100 + static_cast<int>(random() % 1'500));
      for (int step = 0; step < 100 || fleet.DescribeAnswer(poison) == "no answer"; ++step) {
        call("innocent " + std::to_string(random() % 60), 3'000);
        fleet.Run(5);
      }
    }
    const std::string label = "seed " + std::to_string(seed) + ": " +
                              std::to_string(CountCrashes(fleet)) + " crashes, " +
                              std::to_string(CountQuarantined(fleet)) + " quarantined";
    CHECK_TEXT(CountCrashes(fleet) >= 2 && CountCrashes(fleet) <= 3, label.c_str());
    CHECK_TEXT(CountQuarantined(fleet) == 1, label.c_str());
    fleet.Run(5'000);
    STRCMP_EQUAL("", fleet.FindViolation().c_str());
    const std::uint64_t last = call("innocent 1", 3'000);
    fleet.Run(4'000);
    CHECK(fleet.DescribeAnswer(last).starts_with("done "));
  }
}

/** Guards against a suspicion that is not cleared: a crash that the request did not cause makes it
 * a suspect, but once it has been answered it must run with others again. */
TEST(crash_suspect, answered_suspect_is_cleared)
{
  test_fleet fleet({ "a", "a" });
  fleet.AddServer("s1", "vm1").mPoisonBody = "once";
  fleet.AddServer("s2", "vm2").mPoisonBody = "once";
  fleet.Run(8'000);
  fleet.Call(MakeCall("vm1", "once"));
  while (fleet.mRuns.empty()) {
    fleet.Run(1);
  }
  for (auto& [name, server] : fleet.mServers) {
    server.mPoisonBody.clear();
  }
  fleet.Run(5'000);
  LONGS_EQUAL(1, CountCrashes(fleet));
  LONGS_EQUAL(0, fleet.mControl.GetSuspects().GetAll().size());
  const std::uint64_t repeat = fleet.Call(MakeCall("vm2", "once"));
  fleet.Run(500);
  CHECK(fleet.DescribeAnswer(repeat).starts_with("done "));
}

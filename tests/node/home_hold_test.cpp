#include "node/test_fleet.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(home_hold){};

/** Guards against more running requests than slots: a home VM that restarted or took over must not
 * send requests while those of the previous home VM still run on the server. */
TEST(home_hold, slot_limit_holds_across_crashes_and_restarts_of_home_vms)
{
  for (std::uint64_t seed = 1; seed <= GetSeedCount(6); ++seed) {
    test_fleet fleet({ "a", "a", "a" });
    fake_server& server = fleet.AddServer("s1", "vm1", 2);
    server.mServiceTime = microseconds(700'000);
    fleet.Run(14'000);
    std::mt19937_64 random(seed);
    for (int step = 0; step < 400; ++step) {
      test_call call;
      call.mVm = vm_name("vm" + std::to_string(random() % 3 + 1));
      call.mMethod = "GET";
      call.mTarget = "/svc/orders/list";
      call.mDeadlineMilliseconds = 2'000;
      fleet.Call(call);
      if (random() % 60 == 0) {
        const std::string vm = "vm" + std::to_string(random() % 3 + 1);
        fleet.Kill(vm);
        fleet.Run(static_cast<int>(random() % 3'000));
        fleet.Start(vm);
      }
      fleet.Run(50);
    }
    if (server.mMaxRunning > 2) {
      FAIL(("seed " + std::to_string(seed) + ": " + std::to_string(server.mMaxRunning) +
            " requests on 2 slots")
             .c_str());
    }
    STRCMP_EQUAL("", fleet.FindViolation().c_str());
    CHECK(fleet.mRuns.size() > 20);
  }
}

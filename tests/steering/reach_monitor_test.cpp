#include "citronpulley/steering/reach_monitor.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

const service_name kService("stock");

std::vector<reach_monitor::candidate> MakeCandidates(int aCount)
{
  std::vector<reach_monitor::candidate> list;
  list.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    list.push_back({ "i-" + std::to_string(i), zone_name(i % 2 == 0 ? "a" : "b") });
  }
  return list;
}

} // namespace

TEST_GROUP(reach_monitor)
{
  instant mNow{ microseconds(10'000'000) };
  reach_monitor mMonitor;
  std::vector<reach_monitor::candidate> mCandidates = MakeCandidates(8);

  std::vector<std::string> StartProbes()
  {
    return mMonitor.StartProbes(kService, mCandidates, mNow);
  }

  void RecordProbes(const std::vector<std::string>& aProbes, bool aIsReachable)
  {
    mNow += microseconds(250'000);
    for (const std::string& backend : aProbes) {
      mMonitor.RecordProbe(kService, backend, aIsReachable, mNow);
    }
  }

  void Fail(const std::string& aBackend)
  {
    mMonitor.RecordFailure(kService, aBackend, mNow);
  }

  void CutOff()
  {
    Fail("i-0");
    Fail("i-1");
    RecordProbes(StartProbes(), false);
    CHECK(reach::CutOff == mMonitor.GetReach(kService));
  }
};

/** Guards against a VM that takes a few failed backend servers for a cut. */
TEST(reach_monitor, failed_backend_servers_are_no_cut_while_others_are_reached)
{
  Fail("i-0");
  CHECK(StartProbes().empty());
  Fail("i-1");
  const std::vector<std::string> probes = StartProbes();
  LONGS_EQUAL(3, probes.size());
  CHECK(std::ranges::find(probes, "i-0") == probes.end());
  CHECK(std::ranges::find(probes, "i-1") == probes.end());
  CHECK(reach::Suspected == mMonitor.GetReach(kService));
  mMonitor.RecordProbe(kService, probes[0], false, mNow);
  mMonitor.RecordProbe(kService, probes[1], true, mNow);
  CHECK(reach::Reachable == mMonitor.GetReach(kService));
  // A late result of the same round changes nothing.
  mMonitor.RecordProbe(kService, probes[2], false, mNow);
  CHECK(reach::Reachable == mMonitor.GetReach(kService));
}

/** Guards against a cut that is noticed only after every backend server was tried. */
TEST(reach_monitor, two_failures_and_three_probes_show_a_cut)
{
  CutOff();
  CHECK(mMonitor.ListCutOff() == std::vector<service_name>{ kService });
  CHECK(mNow <= instant{ microseconds(10'300'000) });
}

/** Guards against probes whose result never comes, and against a cut that is never left. */
TEST(reach_monitor, probes_find_the_end_of_a_cut)
{
  Fail("i-0");
  Fail("i-1");
  LONGS_EQUAL(3, StartProbes().size());
  mNow += reach_monitor::kProbeTimeout;
  StartProbes();
  CHECK(reach::CutOff == mMonitor.GetReach(kService));
  std::vector<std::string> probed;
  for (int i = 0; i < 6; ++i) {
    mNow += reach_monitor::kProbeInterval;
    const std::vector<std::string> probes = StartProbes();
    LONGS_EQUAL(1, probes.size());
    CHECK(std::ranges::find(probed, probes.front()) == probed.end());
    probed.push_back(probes.front());
    mMonitor.RecordProbe(kService, probes.front(), i == 5, mNow);
  }
  CHECK(reach::Reachable == mMonitor.GetReach(kService));
  CHECK(mMonitor.ListWatched().empty());
}

/** Guards against failures long ago, or one after the other, that add up to a suspicion. */
TEST(reach_monitor, old_failures_do_not_count)
{
  Fail("i-0");
  mNow += reach_monitor::kFailureLifetime;
  Fail("i-1");
  Fail("i-1");
  CHECK(StartProbes().empty());
  CHECK(reach::Reachable == mMonitor.GetReach(kService));
}

/** Guards against services with one or two backend servers that are never suspected. */
TEST(reach_monitor, works_with_few_backend_servers)
{
  mCandidates = MakeCandidates(1);
  Fail("i-0");
  const std::vector<std::string> probes = StartProbes();
  LONGS_EQUAL(1, probes.size());
  RecordProbes(probes, false);
  CHECK(reach::CutOff == mMonitor.GetReach(kService));
  mCandidates.clear();
  mNow += reach_monitor::kProbeInterval;
  CHECK(StartProbes().empty());
}

/** Guards against probes in a cut between zones that all go to the zone that is cut off. */
TEST(reach_monitor, probes_other_zones_than_those_that_failed)
{
  Fail("i-0");
  Fail("i-2");
  const std::vector<std::string> probes = StartProbes();
  CHECK(std::ranges::any_of(probes, [](const std::string& aBackend) {
    return aBackend == "i-1" || aBackend == "i-3" || aBackend == "i-5" || aBackend == "i-7";
  }));
}

#include "consensus/group_harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr int kVms = 3;
constexpr std::uint64_t kSeeds = 3'000;
constexpr std::size_t kMeanSuccesses = 80;

std::uint64_t CountSeeds()
{
  const char* text = std::getenv("CITRONPULLEY_SEEDS"); // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? kSeeds
                         : std::max<std::uint64_t>(kSeeds, std::strtoull(text, nullptr, 10));
}

/** Injects or repairs one random fault. A disk is replaced only while all VMs are voters. */
void InjectRandomFault(group_harness& aGroups)
{
  std::mt19937_64& random = aGroups.GetRandom();
  const int vm = static_cast<int>(random() % kVms);
  switch (random() % 13) {
    case 0:
    case 1:
      if (aGroups.IsRunning(vm)) {
        aGroups.Crash(vm);
      }
      break;
    case 2:
    case 3:
    case 4:
      if (!aGroups.IsRunning(vm)) {
        aGroups.Start(vm);
      }
      break;
    case 5:
      aGroups.Isolate(vm, true);
      break;
    case 6:
      aGroups.Cut(vm, static_cast<int>(random() % kVms), true);
      break;
    case 7:
    case 8:
      aGroups.Isolate(vm, false);
      break;
    case 9:
    case 10:
      aGroups.Pause(vm, microseconds(static_cast<microseconds::rep>(random() % 2'000'000)));
      break;
    case 11:
      for (int each = 0; each < kVms; ++each) {
        if (aGroups.IsRunning(each)) {
          aGroups.Crash(each);
        }
        aGroups.Start(each);
      }
      break;
    default:
      if (aGroups.IsFormed()) {
        aGroups.ReplaceDisk(vm);
        aGroups.Start(vm);
      }
  }
}

struct success_counts
{
  std::size_t mProposals = 0;
  std::size_t mReads = 0;
};

std::string RunSchedule(std::uint64_t aSeed, success_counts& aSuccesses)
{
  group_harness groups(kVms, aSeed);
  groups.mSnapshotEntries = 30;
  if (!groups.RunUntilFormed(microseconds(20'000'000))) {
    return "the group was not formed";
  }
  groups.mLossPercent = aSeed % 3 * 5;
  groups.mDuplicatePercent = aSeed % 2 * 10;
  groups.mMaxDelay = aSeed % 4 == 0 ? 3'000 : 30'000;
  groups.mMaxSyncTime = aSeed % 5 == 0 ? 4'000 : 80'000;
  for (int round = 0; round < 300; ++round) {
    if (groups.GetRandom()() % 8 == 0) {
      InjectRandomFault(groups);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      if (groups.IsRunning(vm) && !groups.IsPaused(vm)) {
        groups.Read(vm);
        groups.Propose(vm);
      }
    }
    groups.Run(microseconds(40'000));
  }
  groups.HealAll();
  for (int vm = 0; vm < kVms; ++vm) {
    if (!groups.IsRunning(vm)) {
      groups.Start(vm);
    }
  }
  if (!groups.GetViolation().empty()) {
    return groups.GetViolation();
  }
  if (!groups.RunUntilFormed(microseconds(30'000'000))) {
    return "the group did not recover";
  }
  groups.Run(microseconds(1'000'000));
  aSuccesses.mProposals += groups.CountAcknowledged();
  aSuccesses.mReads += groups.CountReads();
  for (int vm = 0; vm < kVms; ++vm) {
    if (!groups.HoldsAllAcknowledged(vm)) {
      return "an acknowledged proposal was lost on VM " + std::to_string(vm);
    }
  }
  return groups.GetViolation();
}

} // namespace

TEST_GROUP(consensus_random){};

/** Guards against lost entries, two leaders in a term and stale reads under random combinations of
 * crashes, partitions, pauses and replaced disks. */
TEST(consensus_random, keeps_acknowledged_proposals_and_serves_no_stale_read_under_random_faults)
{
  const std::uint64_t seeds = CountSeeds();
  std::size_t failures = 0;
  success_counts done;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string violation = RunSchedule(seed, done);
    if (!violation.empty()) {
      ++failures;
      std::cout << "seed " << seed << ": " << violation << std::endl;
    }
  }
  LONGS_EQUAL(0, failures);
  // Without enough successful proposals and reads, the checks above would hold trivially.
  CHECK(done.mProposals > seeds * kMeanSuccesses);
  CHECK(done.mReads > seeds * kMeanSuccesses);
}

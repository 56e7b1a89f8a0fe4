#include "citronpulley/fleet/control_contact.h"
#include "citronpulley/fleet/fleet_message.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

constexpr std::uint64_t kSeed = 3;
constexpr microseconds kTick{ 20'000 };
constexpr microseconds kOneWay{ 20'000 };
constexpr int kControlVms = 18;
constexpr int kEntryVms = 182;
/** Time within which a new configuration must be in force on every VM. */
constexpr microseconds kApplyBound{ 3'000'000 };

/**
 * Entry VMs, control VMs and the links between them in virtual time. The leader answers one report
 * after the other; the first one of a VM, with the full list, takes it longer.
 */
class contact_simulation
{
public:
  contact_simulation(microseconds aFullCost, microseconds aChangeCost)
    : mFullCost(aFullCost)
    , mChangeCost(aChangeCost)
    , mRandom(kSeed)
  {
    const std::vector<vm_name> seeds = { NameOf(0), NameOf(1), NameOf(2) };
    for (int i = 0; i < kEntryVms; ++i) {
      entry entry{ control_contact(seeds) };
      entry.mNextTickAt = mNow + microseconds(static_cast<microseconds::rep>(mRandom() % 300'000));
      mEntries.push_back(std::move(entry));
    }
  }

  static vm_name NameOf(int aVm) { return vm_name("10.0.0." + std::to_string(aVm) + ":7600"); }

  void SetLeader(int aVm) { mLeader = aVm; }

  /** Ends a control VM without a word to its peers. */
  void CutPower(int aVm) { mIsDown[aVm] = true; }

  /** Makes all open connections to a control VM carry no more bytes, while new ones work. */
  void SilenceConnections(int aVm)
  {
    for (entry& entry : mEntries) {
      entry.mSilenced.insert(aVm);
    }
  }

  void Run(microseconds aTime)
  {
    const instant end = mNow + aTime;
    while (mNow < end) {
      mNow += microseconds(1'000);
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        if (mEntries[i].mNextTickAt <= mNow) {
          mEntries[i].mNextTickAt += kTick;
          Tick(i);
        }
      }
      while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
        const event event = mEvents.top();
        mEvents.pop();
        event.mRun();
      }
    }
  }

  /** @return longest time since a VM handled a confirmed update */
  microseconds GetLongestSilence() const
  {
    microseconds longest{ 0 };
    for (const entry& entry : mEntries) {
      longest = std::max(longest, mNow - entry.mUpdatedAt);
    }
    return longest;
  }

  int CountFullUpdates() const { return mFullUpdates; }

private:
  struct entry
  {
    control_contact mContact;
    instant mNextTickAt;
    instant mUpdatedAt;
    std::uint64_t mNumber = 0;
    int mListOf = -1;
    std::set<int> mConnected;
    std::set<int> mSilenced;
    std::map<int, instant> mReceivedAt;
    /** Numbers the connections to each control VM; an answer on a closed one is lost. */
    std::map<int, int> mConnection;
  };

  struct event
  {
    instant mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;

    bool operator<(const event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  static int NumberOf(const vm_name& aVm)
  {
    return std::stoi(aVm.mValue.substr(7, aVm.mValue.find(':') - 7));
  }

  void Schedule(instant aAt, std::function<void()> aRun)
  {
    mEvents.push({ aAt, ++mOrder, std::move(aRun) });
  }

  void Disconnect(entry& aEntry, int aVm)
  {
    aEntry.mConnected.erase(aVm);
    aEntry.mSilenced.erase(aVm);
    ++aEntry.mConnection[aVm];
  }

  void Tick(std::size_t aIndex)
  {
    entry& entry = mEntries[aIndex];
    const control_contact::decision decision = entry.mContact.Tick(
      [&](const vm_name& aVm) {
        const int vm = NumberOf(aVm);
        return control_contact::link_state{ entry.mConnected.contains(vm), entry.mReceivedAt[vm] };
      },
      mNow);
    for (const vm_name& vm : decision.mDisconnect) {
      Disconnect(entry, NumberOf(vm));
    }
    if (!decision.mReportTo) {
      return;
    }
    const int vm = NumberOf(*decision.mReportTo);
    entry.mContact.RecordReport(++entry.mNumber, mNow);
    if (!entry.mConnected.contains(vm)) {
      entry.mConnected.insert(vm);
      entry.mReceivedAt[vm] = {};
    }
    if (mIsDown[vm]) {
      return;
    }
    Schedule(
      mNow + kOneWay,
      [this,
       aIndex,
       vm,
       number = entry.mNumber,
       list = entry.mListOf,
       connection = entry.mConnection[vm]] { HandleReport(aIndex, vm, number, list, connection); });
  }

  void HandleReport(std::size_t aIndex, int aVm, std::uint64_t aNumber, int aList, int aConnection)
  {
    if (mIsDown[aVm] || mEntries[aIndex].mSilenced.contains(aVm)) {
      return;
    }
    entry_update update;
    update.mNumber = aNumber;
    for (int i = 0; i < kControlVms; ++i) {
      update.mContacts.mControlVms.push_back(NameOf(i));
    }
    update.mContacts.mLeader = NameOf(mLeader);
    update.mIsConfirmed = aVm == mLeader;
    instant answeredAt = mNow + microseconds(1'000);
    if (update.mIsConfirmed) {
      const bool isFull = aList != aVm;
      mFullUpdates += isFull ? 1 : 0;
      mLeaderFreeAt = std::max(mLeaderFreeAt, mNow) + (isFull ? mFullCost : mChangeCost);
      answeredAt = mLeaderFreeAt;
    }
    Schedule(answeredAt + kOneWay, [this, aIndex, aVm, update, aConnection] {
      entry& entry = mEntries[aIndex];
      if (entry.mConnection[aVm] != aConnection || entry.mSilenced.contains(aVm)) {
        return;
      }
      entry.mReceivedAt[aVm] = mNow;
      if (entry.mContact.Receive(update, mNow) && update.mIsConfirmed) {
        entry.mUpdatedAt = mNow;
        entry.mListOf = aVm;
      }
    });
  }

  microseconds mFullCost;
  microseconds mChangeCost;
  std::mt19937_64 mRandom;
  instant mNow{ microseconds(10'000'000) };
  std::vector<entry> mEntries;
  std::map<int, bool> mIsDown;
  int mLeader = 0;
  instant mLeaderFreeAt;
  int mFullUpdates = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
};

} // namespace

TEST_GROUP(control_contact){};

/**
 * Guards against a retry storm after the leader's power was cut: 182 VMs ask the new leader for the
 * full list, which takes it 12 ms each, so that the last answers come after 2.2 s. VMs that gave up
 * after 0.7 s and asked again kept it busy with answers that nobody used.
 */
TEST(control_contact, all_vms_follow_a_new_leader_that_answers_slowly)
{
  contact_simulation simulation(microseconds(12'000), microseconds(1'000));
  simulation.Run(microseconds(12'000'000));
  CHECK(simulation.GetLongestSilence() < microseconds(1'000'000));
  const int before = simulation.CountFullUpdates();
  simulation.CutPower(0);
  simulation.Run(microseconds(600'000));
  simulation.SetLeader(7);
  simulation.Run(microseconds(300'000) + kApplyBound + control_contact::kReplyTimeout);
  CHECK(simulation.GetLongestSilence() < kApplyBound);
  // Each VM gets the full list once.
  LONGS_EQUAL(kEntryVms, simulation.CountFullUpdates() - before);
}

/** Guards against VMs that stay on connections which carry nothing any more. */
TEST(control_contact, silent_connections_to_the_leader_are_replaced)
{
  contact_simulation simulation(microseconds(2'000), microseconds(500));
  simulation.Run(microseconds(5'000'000));
  simulation.SilenceConnections(0);
  simulation.Run(kApplyBound);
  CHECK(simulation.GetLongestSilence() < microseconds(1'000'000));
}

/** Guards against a leader that is still silent itself being asked by all VMs without pause. */
TEST(control_contact, finds_a_leader_that_is_elected_late)
{
  contact_simulation simulation(microseconds(2'000), microseconds(500));
  simulation.Run(microseconds(5'000'000));
  simulation.CutPower(0);
  simulation.Run(microseconds(8'000'000));
  simulation.SetLeader(12);
  simulation.Run(kApplyBound);
  CHECK(simulation.GetLongestSilence() < microseconds(1'000'000));
}

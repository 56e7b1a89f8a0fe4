#include "citronpulley/membership/failure_detector.h"

#include "citronpulley/base/overloaded.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr microseconds kStep{ 20'000 };

/** Group of detectors in virtual time that exchange messages over a lossy queue. */
class detector_group
{
public:
  detector_group(std::size_t aSize, double aLoss, std::uint64_t aSeed)
    : mLoss(aLoss)
    , mRandom(aSeed)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      mNames.emplace_back("vm-" + std::to_string(index));
    }
    for (const vm_name& name : mNames) {
      mDetectors.emplace(name, std::make_unique<failure_detector>(name, 1, mRandom()));
      mDetectors.at(name)->SetMembers(mNames);
    }
  }

  void Run(microseconds aTime)
  {
    for (const instant end = mNow + aTime; mNow < end; mNow += kStep) {
      std::deque<std::pair<vm_name, detector_message>> arriving;
      arriving.swap(mQueue);
      for (const auto& [sender, message] : arriving) {
        Deliver(sender, message);
      }
      for (auto& [name, detector] : mDetectors) {
        if (!mStopped.contains(name)) {
          std::vector<detector_message> messages;
          detector->Tick(mNow, messages);
          Enqueue(name, messages);
        }
      }
      // The check is quadratic in the size, so it runs for small groups only, at every tenth step.
      if (mNames.size() <= 24 && (mNow.time_since_epoch() / kStep) % 10 == 0) {
        CountFalseDeaths();
      }
    }
  }

  void Stop(const vm_name& aName) { mStopped.insert(aName); }
  void Start(const vm_name& aName) { mStopped.erase(aName); }
  failure_detector& Get(const vm_name& aName) { return *mDetectors.at(aName); }
  const std::vector<vm_name>& GetNames() const { return mNames; }
  instant GetNow() const { return mNow; }

  /** @return number of running members that consider a member dead */
  std::size_t CountDeadObservations(const vm_name& aMember) const
  {
    std::size_t count = 0;
    for (const auto& [name, detector] : mDetectors) {
      count += !mStopped.contains(name) && !detector->IsAlive(aMember) ? 1 : 0;
    }
    return count;
  }

  std::size_t mFalseDeaths = 0;
  std::size_t mMessages = 0;

private:
  void Enqueue(const vm_name& aSender, const std::vector<detector_message>& aMessages)
  {
    for (const detector_message& message : aMessages) {
      ++mMessages;
      if (std::uniform_real_distribution<>(0, 1)(mRandom) >= mLoss) {
        mQueue.emplace_back(aSender, message);
      }
    }
  }

  void Deliver(const vm_name& aSender, const detector_message& aMessage)
  {
    if (mStopped.contains(aMessage.mReceiver)) {
      return;
    }
    std::vector<detector_message> replies;
    std::visit(overloaded{ [&](const swim_ping_request& aContent) {
                            Get(aMessage.mReceiver).Receive(aSender, aContent, mNow, replies);
                          },
                           [&](const auto& aContent) {
                             Get(aMessage.mReceiver).Receive(aSender, aContent, replies);
                           } },
               aMessage.mMessage);
    Enqueue(aMessage.mReceiver, replies);
  }

  void CountFalseDeaths()
  {
    for (const vm_name& name : mNames) {
      mFalseDeaths += !mStopped.contains(name) && CountDeadObservations(name) > 0 ? 1 : 0;
    }
  }

  double mLoss;
  std::mt19937_64 mRandom;
  std::vector<vm_name> mNames;
  std::map<vm_name, std::unique_ptr<failure_detector>> mDetectors;
  std::set<vm_name> mStopped;
  std::deque<std::pair<vm_name, detector_message>> mQueue;
  instant mNow;
};

} // namespace

TEST_GROUP(failure_detector){};

/** Guards against detection that takes longer than the specified 5 s when a member stops without
 * closing connections, in groups of the size of a zone. */
TEST(failure_detector, detects_a_stopped_member_within_five_seconds)
{
  for (const std::size_t size : { 2U, 4U, 8U }) {
    detector_group group(size, 0, 7);
    group.Run(std::chrono::seconds(3));
    const vm_name stopped = group.GetNames()[1];
    group.Stop(stopped);
    group.Run(std::chrono::seconds(5));
    LONGS_EQUAL(size - 1, group.CountDeadObservations(stopped));
    LONGS_EQUAL(0, group.mFalseDeaths);
  }
}

/** Guards against live members that are declared dead when 20% of all messages are lost. */
TEST(failure_detector, does_not_flap_under_twenty_percent_loss)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    detector_group group(24, 0.2, seed);
    group.Run(std::chrono::minutes(1));
    LONGS_EQUAL(0, group.mFalseDeaths);
  }
}

/** Guards against detection that waits for the full suspicion time although the connections of the
 * stopped member have closed. */
TEST(failure_detector, declares_a_disconnected_member_dead_within_two_seconds)
{
  detector_group group(24, 0, 5);
  group.Run(std::chrono::seconds(3));
  const vm_name stopped = group.GetNames()[3];
  group.Stop(stopped);
  for (const vm_name& name : group.GetNames()) {
    if (name != stopped) {
      group.Get(name).MarkDisconnected(stopped, group.GetNow());
    }
  }
  group.Run(std::chrono::seconds(2));
  LONGS_EQUAL(23, group.CountDeadObservations(stopped));
}

/** Guards against a false death when one connection breaks while the member still answers. */
TEST(failure_detector, keeps_a_disconnected_member_alive_that_still_answers)
{
  detector_group group(4, 0, 17);
  group.Run(std::chrono::seconds(3));
  group.Get(group.GetNames()[0]).MarkDisconnected(group.GetNames()[1], group.GetNow());
  group.Run(std::chrono::seconds(3));
  LONGS_EQUAL(0, group.CountDeadObservations(group.GetNames()[1]));
  LONGS_EQUAL(0, group.mFalseDeaths);
}

/** Guards against a member that stays dead for others once it is reachable again. */
TEST(failure_detector, marks_a_member_alive_again_once_it_answers)
{
  detector_group group(8, 0, 11);
  const vm_name stopped = group.GetNames()[2];
  group.Run(std::chrono::seconds(2));
  group.Stop(stopped);
  group.Run(std::chrono::seconds(10));
  LONGS_EQUAL(7, group.CountDeadObservations(stopped));
  group.Start(stopped);
  group.Run(std::chrono::seconds(8));
  LONGS_EQUAL(0, group.CountDeadObservations(stopped));
}

/** Guards against a message rate per member that grows with the size of the group. */
TEST(failure_detector, message_rate_per_member_does_not_grow_with_the_group)
{
  for (const std::size_t size : { 24U, 100U, 400U }) {
    detector_group group(size, 0, 13);
    group.Run(std::chrono::seconds(6));
    const double perSecond = static_cast<double>(group.mMessages) / static_cast<double>(size) / 6;
    // One probe per 300 ms and its answer.
    CHECK_TRUE(perSecond < 8);
  }
}

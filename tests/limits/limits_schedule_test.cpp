#include "citronpulley/limits/grant_authority.h"
#include "citronpulley/limits/token_pool.h"
#include "limits/spend_history.h"

#include <cstdlib>
#include <memory>
#include <random>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr std::int64_t kEnd = 12'000'000;
constexpr std::int64_t kTick = 5'000;
const std::string kResource = "workspace:a";

/** Simulation of several token pools and granting VMs over a lossy network, with faults that are
 * generated from a seed. */
class limits_schedule
{
public:
  explicit limits_schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mLoss(PickBelow(4) == 0 ? 0 : 0.1 * static_cast<double>(PickBelow(5)))
  {
    for (std::size_t index = 0; index < 3; ++index) {
      mControls.push_back(std::make_unique<grant_authority>(GetControlName(index), 1));
    }
    mHolders.resize(2 + PickBelow(6));
    for (holder& one : mHolders) {
      one.mOffset = static_cast<std::int64_t>(PickBelow(1'000'000'000));
      one.mClockRate = 0.95 + 0.01 * static_cast<double>(PickBelow(11));
    }
    SetLimit();
    Elect();
  }

  void Run()
  {
    for (; mNow < kEnd; mNow += kTick) {
      InjectFaults();
      mControls[mLeader]->ConfirmLeadership(mTerm, At(mNow), At(mNow));
      while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
        const message next = mMessages.begin()->second;
        mMessages.erase(mMessages.begin());
        Deliver(next);
      }
      for (std::size_t index = 0; index < mHolders.size(); ++index) {
        TickHolder(index);
      }
    }
  }

  const spend_history& GetHistory() const { return mHistory; }

private:
  struct message
  {
    std::size_t mHolder = 0;
    std::size_t mControl = 0;
    std::variant<grant_request, grant_reply> mContent;
  };

  struct holder
  {
    std::unique_ptr<token_pool> mTokenPool = std::make_unique<token_pool>();
    incarnation mIncarnation = 1;
    std::int64_t mOffset = 0;
    double mClockRate = 1;
    std::int64_t mFrozenUntil = 0;
    double mDemand = 0;
    double mWaiting = 0;
    std::size_t mLeader = 0;
  };

  static instant At(std::int64_t aTime) { return instant(microseconds(aTime)); }
  static vm_name GetControlName(std::size_t aIndex)
  {
    return vm_name("control-" + std::to_string(aIndex));
  }

  std::size_t PickBelow(std::size_t aCount) { return mRandom() % aCount; }
  bool PickWithChance(double aChance)
  {
    return static_cast<double>(PickBelow(1'000'000)) < aChance * 1e6;
  }

  instant GetLocalTime(const holder& aHolder) const
  {
    return At(aHolder.mOffset +
              static_cast<std::int64_t>(static_cast<double>(mNow) * aHolder.mClockRate));
  }

  void SetLimit()
  {
    mRate = 20.0 + static_cast<double>(PickBelow(200));
    mBurst = mRate * (0.1 + 0.1 * static_cast<double>(PickBelow(12)));
    mHistory.SetLimit(mRate, mBurst, At(mNow));
    for (auto& control : mControls) {
      SetCatalogue(*control, true);
    }
  }

  void SetCatalogue(grant_authority& aControl, bool aHasWorkspace)
  {
    catalogue content;
    if (aHasWorkspace) {
      content.mWorkspaces.push_back({ workspace_name("a"), mRate, mBurst });
    }
    aControl.SetCatalogue(content, At(mNow));
  }

  void Elect()
  {
    mLeader = PickBelow(mControls.size());
    ++mTerm;
  }

  void InjectFaults()
  {
    // After an idle period the whole burst is available, so that any excess token is detected.
    if (PickWithChance(mIsBusy ? 0.003 : 0.01)) {
      mIsBusy = !mIsBusy;
    }
    if (PickWithChance(0.002)) {
      Elect();
    }
    if (PickWithChance(0.001)) {
      mControls[mLeader] = std::make_unique<grant_authority>(GetControlName(mLeader), mTerm + 1000);
      SetCatalogue(*mControls[mLeader], true);
    }
    if (PickWithChance(0.001)) {
      SetCatalogue(*mControls[mLeader], false);
    }
    if (PickWithChance(0.002)) {
      SetLimit();
    }
    holder& one = mHolders[PickBelow(mHolders.size())];
    if (PickWithChance(0.005)) {
      one.mTokenPool = std::make_unique<token_pool>();
      ++one.mIncarnation;
      one.mWaiting = 0;
    }
    if (PickWithChance(0.005)) {
      one.mFrozenUntil = mNow + static_cast<std::int64_t>(PickBelow(2'000'000));
    }
    if (PickWithChance(0.05)) {
      // A surge makes the holder request many tokens; when it ends, they stay unspent.
      one.mWaiting = PickWithChance(0.5)
                       ? 0
                       : static_cast<double>(PickBelow(static_cast<std::size_t>(mBurst) + 2));
    }
    if (PickWithChance(0.02)) {
      one.mDemand = PickWithChance(0.3) ? 0 : mRate * 0.03 * static_cast<double>(PickBelow(100));
    }
  }

  void Send(const message& aMessage)
  {
    const std::size_t copies = PickWithChance(mLoss) ? 0 : (PickWithChance(0.1) ? 2 : 1);
    for (std::size_t copy = 0; copy < copies; ++copy) {
      const std::size_t delay =
        PickWithChance(0.05) ? PickBelow(2'000'000) : 500 + PickBelow(50'000);
      mMessages.emplace(mNow + static_cast<std::int64_t>(delay), aMessage);
    }
  }

  void Deliver(const message& aMessage)
  {
    holder& one = mHolders[aMessage.mHolder];
    if (const auto* request = std::get_if<grant_request>(&aMessage.mContent)) {
      const vm_name name("entry-" + std::to_string(aMessage.mHolder));
      grant_authority& control = *mControls[aMessage.mControl];
      Send(
        { aMessage.mHolder, aMessage.mControl, control.HandleRequest(name, *request, At(mNow)) });
      return;
    }
    if (one.mFrozenUntil > mNow) {
      mMessages.emplace(one.mFrozenUntil + 1, aMessage);
      return;
    }
    const auto& reply = std::get<grant_reply>(aMessage.mContent);
    if (reply.mIsLeader) {
      one.mTokenPool->Receive(reply, GetLocalTime(one));
    } else {
      one.mLeader = PickBelow(mControls.size());
    }
  }

  void TickHolder(std::size_t aIndex)
  {
    holder& one = mHolders[aIndex];
    if (one.mFrozenUntil > mNow) {
      return;
    }
    const instant now = GetLocalTime(one);
    const std::map<std::string, double> costs{ { kResource, 1 } };
    const double expected = mIsBusy ? one.mDemand * kTick / 1e6 : 0;
    one.mWaiting = mIsBusy ? one.mWaiting : 0;
    std::size_t arrivals = static_cast<std::size_t>(expected) + (PickWithChance(expected) ? 1 : 0);
    for (; one.mWaiting > 0 && one.mTokenPool->TrySpend(costs, true, now); --one.mWaiting) {
      mHistory.Add(1, At(mNow));
    }
    if (one.mWaiting > 1) {
      one.mTokenPool->TrySpend({ { kResource, one.mWaiting } }, true, now);
    }
    for (; arrivals > 0; --arrivals) {
      if (one.mTokenPool->TrySpend(costs, false, now)) {
        mHistory.Add(1, At(mNow));
      } else {
        one.mWaiting = std::min(one.mWaiting + 1, mBurst);
      }
    }
    for (grant_request& request : one.mTokenPool->MakeRequests(one.mIncarnation, now)) {
      Send({ aIndex, PickWithChance(0.9) ? one.mLeader : mLeader, std::move(request) });
    }
  }

  std::mt19937_64 mRandom;
  double mLoss;
  std::int64_t mNow = 0;
  std::vector<std::unique_ptr<grant_authority>> mControls;
  std::size_t mLeader = 0;
  std::uint64_t mTerm = 0;
  bool mIsBusy = true;
  double mRate = 0;
  double mBurst = 0;
  std::vector<holder> mHolders;
  std::multimap<std::int64_t, message> mMessages;
  spend_history mHistory;
};

} // namespace

TEST_GROUP(limits_schedule){};

/** Guards against overspending under any mix of loss, delay, restarts, freezes and elections. */
TEST(limits_schedule, holders_together_stay_inside_rate_and_burst)
{
  const char* text = std::getenv("CITRONPULLEY_SEEDS");
  const std::uint64_t seeds = text == nullptr ? 300 : std::strtoull(text, nullptr, 10);
  double total = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    limits_schedule schedule(seed);
    schedule.Run();
    total += schedule.GetHistory().GetTotal();
    const double excess = schedule.GetHistory().GetWorstExcess();
    if (excess > 1e-6) {
      FAIL(("seed " + std::to_string(seed) + " exceeds by " + std::to_string(excess)).c_str());
    }
  }
  // Ensures that the schedules spend enough tokens to be a meaningful check.
  CHECK(total / static_cast<double>(seeds) > 200);
}

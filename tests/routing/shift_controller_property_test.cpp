#include "citronpulley/routing/shift_controller.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr int kSeeds = 40;
constexpr int kCalls = 700;
constexpr microseconds kSecond{ 1'000'000 };
constexpr microseconds kMinute{ 60'000'000 };

using flow_key = std::pair<service_name, region_name>;
using share_row = std::map<region_name, double>;

std::map<flow_key, share_row> ToRows(const std::vector<region_share>& aPlan)
{
  std::map<flow_key, share_row> rows;
  for (const region_share& share : aPlan) {
    rows[{ share.mService, share.mSource }][share.mTarget] += share.mShare;
  }
  return rows;
}

/** One change of a share, with the cap that was in effect. */
struct movement
{
  instant mAt;
  double mMoved = 0;
  double mCap = 0;
};

/** Random deployment, faults and changes of mind, with a record of all movements. */
class shift_history
{
public:
  explicit shift_history(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mIsRegular(aSeed % 2 == 0)
  {
    const std::size_t regions = 2 + mRandom() % 3;
    for (std::size_t number = 0; number < regions; ++number) {
      const std::string name = "r" + std::to_string(number);
      mCatalogue.mRegions.push_back({ region_name(name),
                                      { zone_name(name + "-a"), zone_name(name + "-b") },
                                      200.0 + static_cast<double>(mRandom() % 800) });
    }
    const std::size_t services = 1 + mRandom() % 3;
    for (std::size_t number = 0; number < services; ++number) {
      service_entry service;
      service.mName = service_name("s" + std::to_string(number));
      service.mShiftCapPercentPerMinute = 5 + static_cast<double>(mRandom() % 30);
      service.mEmergencyCapPercentPerMinute = static_cast<double>(mRandom() % 90);
      if (number > 0 && mRandom() % 2 == 0) {
        service.mDependencies.push_back({ service_name("s0"), 0.5 });
      }
      mCatalogue.mServices.push_back(std::move(service));
    }
    mIsLost.resize(regions);
    ChangeDemand();
  }

  /** Runs the history; returns a description of the first violation, or an empty text. */
  std::string Run()
  {
    for (int call = 0; call < kCalls; ++call) {
      InjectRandomEvent();
      const shift_outcome outcome =
        mController->Advance({ mCatalogue, Summarise(), mDemands, mPlan }, mNow);
      std::string violation = Check(outcome.mPlan);
      if (!violation.empty()) {
        return violation + " at call " + std::to_string(call);
      }
      if (mIsRegular) {
        Commit(outcome.mPlan);
        mNow += kSecond;
        continue;
      }
      // Sometimes the commit takes a while, or the proposal is lost and the old plan stays in
      // effect.
      mNow += microseconds(mRandom() % 4 == 0 ? mRandom() % 1'000'000 : 0);
      if (mRandom() % 8 != 0) {
        Commit(outcome.mPlan);
      }
      mNow += microseconds(mRandom() % 20 == 0 ? mRandom() % 90'000'000 : mRandom() % 1'500'000);
    }
    return CheckWindows();
  }

private:
  void InjectRandomEvent()
  {
    switch (mRandom() % 100) {
      case 0:
        mCatalogue.mDrainedRegions = { mCatalogue.mRegions[mRandom() % mIsLost.size()].mName };
        break;
      case 1:
        mCatalogue.mDrainedRegions.clear();
        break;
      case 2:
        mIsLost[mRandom() % mIsLost.size()] = true;
        break;
      case 3:
      case 4:
        std::fill(mIsLost.begin(), mIsLost.end(), false);
        break;
      case 5:
        mController.emplace();
        break;
      case 6:
        ChangeDemand();
        break;
      default:
        break;
    }
  }

  void ChangeDemand()
  {
    mDemands.clear();
    for (const service_entry& service : mCatalogue.mServices) {
      for (const region_entry& region : mCatalogue.mRegions) {
        mDemands.push_back({ service.mName, region.mName, static_cast<double>(mRandom() % 150) });
      }
    }
  }

  std::vector<zone_summary> Summarise()
  {
    std::vector<zone_summary> zones;
    for (std::size_t region = 0; region < mIsLost.size(); ++region) {
      for (const service_entry& service : mCatalogue.mServices) {
        const auto running = static_cast<std::uint32_t>(mRandom() % 20);
        if (!mIsLost[region]) {
          zones.push_back({ mCatalogue.mRegions[region].mZones[0], service.mName, 3, 30, running });
        }
      }
    }
    return zones;
  }

  std::map<region_name, double> GetLoads(const std::vector<region_share>& aPlan) const
  {
    std::map<region_name, double> loads;
    for (const region_share& share : aPlan) {
      const service_entry& service = *mCatalogue.FindService(share.mService);
      const double calls = service.mDependencies.empty() ? 1 : 1.5;
      for (const region_demand& demand : mDemands) {
        if (demand.mService == share.mService && demand.mSource == share.mSource) {
          loads[share.mTarget] += demand.mRequestsPerSecond * calls * share.mShare;
        }
      }
    }
    return loads;
  }

  std::string Check(const std::vector<region_share>& aPlan) const
  {
    for (const auto& [flow, row] : ToRows(aPlan)) {
      double sum = 0;
      for (const auto& [region, share] : row) {
        sum += share;
        if (share < 0) {
          return "negative share";
        }
      }
      if (sum > 1 + 1e-6) {
        return "shares above 1";
      }
    }
    std::map<region_name, double> before = GetLoads(mPlan);
    for (const auto& [region, load] : GetLoads(aPlan)) {
      const double limit = 0.9 * mCatalogue.FindRegion(region)->mCapacityPerSecond;
      if (load > std::max(limit, before[region]) + 1e-3) {
        return "load of " + region.mValue + " grows beyond its capacity";
      }
    }
    return {};
  }

  void Commit(const std::vector<region_share>& aPlan)
  {
    std::map<flow_key, share_row> before = ToRows(mPlan);
    const bool isAnyLost = std::count(mIsLost.begin(), mIsLost.end(), true) > 0;
    for (const auto& [flow, row] : ToRows(aPlan)) {
      const service_entry& service = *mCatalogue.FindService(flow.first);
      const double cap = isAnyLost ? std::max(service.mShiftCapPercentPerMinute,
                                              service.mEmergencyCapPercentPerMinute)
                                   : service.mShiftCapPercentPerMinute;
      if (!before.contains(flow)) {
        continue;
      }
      share_row old = before[flow];
      share_row all = row;
      all.insert(old.begin(), old.end());
      for (const auto& [region, ignored] : all) {
        const auto found = row.find(region);
        const double moved = std::abs((found == row.end() ? 0 : found->second) - old[region]);
        mMovements[{ flow.first, flow.second, region }].push_back({ mNow, moved, cap / 100 });
      }
    }
    mPlan = aPlan;
  }

  /** All movement to and fro of a share counts, so that net changes are bounded too. */
  std::string CheckWindows() const
  {
    for (const auto& [key, moves] : mMovements) {
      double sum = 0;
      std::size_t first = 0;
      for (const movement& move : moves) {
        sum += move.mMoved;
        while (moves[first].mAt + kMinute < move.mAt) {
          sum -= moves[first++].mMoved;
        }
        double cap = 0;
        for (std::size_t position = first; &moves[position] <= &move; ++position) {
          cap = std::max(cap, moves[position].mCap);
        }
        if (sum > cap + 1e-6) {
          return "cap of " + std::get<0>(key).mValue + " exceeded: " + std::to_string(sum) +
                 " above " + std::to_string(cap);
        }
      }
    }
    return {};
  }

  std::mt19937_64 mRandom;
  /** Calls come each second and all proposals are committed, which is the fastest movement. */
  bool mIsRegular;
  catalogue mCatalogue;
  std::vector<bool> mIsLost;
  std::vector<region_demand> mDemands;
  std::vector<region_share> mPlan;
  std::optional<shift_controller> mController{ std::in_place };
  instant mNow{ kMinute };
  std::map<std::tuple<service_name, region_name, region_name>, std::vector<movement>> mMovements;
};

} // namespace

TEST_GROUP(shift_controller_property){};

/** Guards against a cap that drains, losses, restarts, late calls or lost proposals exceed together
 * (I1), and against a step that loads a region beyond its capacity (I2). */
TEST(shift_controller_property, caps_and_capacities_hold_under_random_faults)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string violation = shift_history(seed).Run();
    CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
}

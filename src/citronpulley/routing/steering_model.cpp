#include "citronpulley/routing/steering_model.h"

#include <algorithm>
#include <numeric>

namespace citronpulley {

namespace {

/** Demand in requests per second assumed for a flow without traffic, so that it gets shares too. */
constexpr double kMinDemand = 1e-6;
/** Number of passes over a region: proportional cuts can leave capacity over, for which the flows
 * compete again. */
constexpr int kPassesPerRank = 3;

template<typename Name>
std::size_t FindPosition(const std::vector<Name>& aNames, const Name& aName)
{
  return static_cast<std::size_t>(std::find(aNames.begin(), aNames.end(), aName) - aNames.begin());
}

/** Adds the calls, direct and indirect, that a number of requests of a service causes. A validated
 * catalogue has no cycles, so that the recursion ends. */
void AddCalls(const steering_model& aModel,
              const catalogue& aCatalogue,
              std::size_t aService,
              double aCalls,
              std::span<double> aSums)
{
  aSums[aService] += aCalls;
  for (const service_dependency& dependency : aCatalogue.mServices[aService].mDependencies) {
    const std::size_t next = FindPosition(aModel.mServices, dependency.mService);
    if (next < aModel.mServices.size() && dependency.mCallsPerRequest > 0) {
      AddCalls(aModel, aCatalogue, next, aCalls * dependency.mCallsPerRequest, aSums);
    }
  }
}

/** Capacity and slot rates of the regions that are not yet assigned while a target is computed. */
class remaining_capacity
{
public:
  remaining_capacity(const steering_model& aModel, double aFillFraction)
    : mModel(aModel)
    , mCapacity(aModel.mCapacity)
    , mSlotRate(aModel.mSlotRate)
    , mRequestedCapacity(aModel.mRegions.size())
    , mRequestedSlots(aModel.mServices.size(), aModel.mRegions.size())
  {
    for (double& capacity : mCapacity) {
      capacity *= aFillFraction;
    }
    for (std::size_t service = 0; service < aModel.mServices.size(); ++service) {
      for (double& rate : mSlotRate[service]) {
        rate *= aFillFraction;
      }
    }
  }

  void ClearRequested()
  {
    std::fill(mRequestedCapacity.begin(), mRequestedCapacity.end(), 0);
    mRequestedSlots = number_grid(mModel.mServices.size(), mModel.mRegions.size());
  }

  void AddRequested(std::size_t aService, std::size_t aRegion, double aRate)
  {
    ForEachCall(aService, aRate, [&](std::size_t aCalled, double aCalls) {
      mRequestedCapacity[aRegion] += aCalls;
      mRequestedSlots[aCalled][aRegion] += aCalls;
    });
  }

  /** @return fraction of the requested rate that fits when all competing flows are cut alike */
  double ComputeFittingFraction(std::size_t aService, std::size_t aRegion) const
  {
    const auto getFraction = [](double aFree, double aRequested) {
      // Rounding can make the free capacity slightly negative.
      const double free = std::max(aFree, 0.0);
      return aRequested <= free ? 1.0 : free / aRequested;
    };
    double fraction = getFraction(mCapacity[aRegion], mRequestedCapacity[aRegion]);
    ForEachCall(aService, 1, [&](std::size_t aCalled, double /*aCalls*/) {
      fraction = std::min(
        fraction, getFraction(mSlotRate[aCalled][aRegion], mRequestedSlots[aCalled][aRegion]));
    });
    return fraction;
  }

  void Reserve(std::size_t aService, std::size_t aRegion, double aRate)
  {
    ForEachCall(aService, aRate, [&](std::size_t aCalled, double aCalls) {
      mCapacity[aRegion] -= aCalls;
      mSlotRate[aCalled][aRegion] -= aCalls;
    });
  }

private:
  template<typename Visit>
  void ForEachCall(std::size_t aService, double aRate, const Visit& aVisit) const
  {
    const std::span<const double> calls = mModel.mCalls[aService];
    for (std::size_t called = 0; called < calls.size(); ++called) {
      if (calls[called] > 0) {
        aVisit(called, aRate * calls[called]);
      }
    }
  }

  const steering_model& mModel;
  std::vector<double> mCapacity;
  number_grid mSlotRate;
  std::vector<double> mRequestedCapacity;
  number_grid mRequestedSlots;
};

} // namespace

bool steering_model::HasSlots(std::size_t aService, std::size_t aRegion) const
{
  for (std::size_t called = 0; called < mServices.size(); ++called) {
    if (mCalls[aService][called] > 0 && mSlots[called][aRegion] <= 0) {
      return false;
    }
  }
  return true;
}

steering_model MakeSteeringModel(const catalogue& aCatalogue)
{
  steering_model model;
  for (const service_entry& service : aCatalogue.mServices) {
    model.mServices.push_back(service.mName);
  }
  for (const region_entry& region : aCatalogue.mRegions) {
    const auto isDrained = [&](const zone_name& aZone) {
      return std::count(aCatalogue.mDrainedZones.begin(), aCatalogue.mDrainedZones.end(), aZone) >
             0;
    };
    model.mRegions.push_back(region.mName);
    model.mCapacity.push_back(region.mCapacityPerSecond);
    model.mIsDraining.push_back(std::count(aCatalogue.mDrainedRegions.begin(),
                                           aCatalogue.mDrainedRegions.end(),
                                           region.mName) > 0 ||
                                std::all_of(region.mZones.begin(), region.mZones.end(), isDrained));
  }
  const std::size_t services = model.mServices.size();
  const std::size_t regions = model.mRegions.size();
  for (std::size_t source = 0; source < regions; ++source) {
    std::vector<std::size_t>& order = model.mRegionsByLatency.emplace_back(regions);
    std::iota(order.begin(), order.end(), 0);
    const auto distance = [&](std::size_t aRegion) {
      return aRegion == source
               ? -1
               : aCatalogue.GetOneWayMilliseconds(model.mRegions[source], model.mRegions[aRegion]);
    };
    std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return distance(aLeft) < distance(aRight);
    });
  }
  model.mCalls = number_grid(services, services);
  model.mSlots = number_grid(services, regions);
  model.mSlotRate = number_grid(services, regions);
  model.mDemand = number_grid(services, regions);
  for (std::size_t service = 0; service < services; ++service) {
    AddCalls(model, aCatalogue, service, 1, model.mCalls[service]);
  }
  return model;
}

void SetDemand(steering_model& aModel,
               std::span<const region_demand> aDemands,
               std::span<const double> aRunning)
{
  const std::size_t services = aModel.mServices.size();
  for (const region_demand& demand : aDemands) {
    const std::size_t service = FindPosition(aModel.mServices, demand.mService);
    const std::size_t source = FindPosition(aModel.mRegions, demand.mSource);
    if (service < services && source < aModel.mRegions.size() && demand.mRequestsPerSecond > 0) {
      aModel.mDemand[service][source] += demand.mRequestsPerSecond;
    }
  }
  std::vector<double> totals(services);
  for (std::size_t service = 0; service < services; ++service) {
    const std::span<const double> demand = aModel.mDemand[service];
    const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
    for (std::size_t called = 0; called < services; ++called) {
      totals[called] += sum * aModel.mCalls[service][called];
    }
  }
  for (std::size_t service = 0; service < services; ++service) {
    for (std::size_t region = 0; region < aModel.mRegions.size(); ++region) {
      const double slots = aModel.mSlots[service][region];
      const bool isLimited = aRunning[service] >= 1 && totals[service] > 0;
      const double ratePerSlot = isLimited ? totals[service] / aRunning[service] : 1e9;
      aModel.mSlotRate[service][region] = slots * ratePerSlot;
    }
  }
}

std::vector<double> ComputeLoads(const steering_model& aModel, const number_grid& aShares)
{
  std::vector<double> loads(aModel.mRegions.size());
  for (std::size_t service = 0; service < aModel.mServices.size(); ++service) {
    const std::span<const double> calls = aModel.mCalls[service];
    const double cost = std::accumulate(calls.begin(), calls.end(), 0.0);
    for (std::size_t source = 0; source < loads.size(); ++source) {
      const std::span<const double> shares = aShares[aModel.GetFlowIndex(service, source)];
      for (std::size_t region = 0; region < loads.size(); ++region) {
        loads[region] += aModel.mDemand[service][source] * cost * shares[region];
      }
    }
  }
  return loads;
}

number_grid ComputeTarget(const steering_model& aModel,
                          const number_grid& aCurrent,
                          double aFillFraction)
{
  const std::size_t regions = aModel.mRegions.size();
  const std::size_t flows = aModel.mServices.size() * regions;
  number_grid target(flows, regions);
  std::vector<double> unassigned(flows, 1.0);
  remaining_capacity remaining(aModel, aFillFraction);
  const auto getDemand = [&](std::size_t aFlow) {
    return std::max(aModel.mDemand[aFlow / regions][aFlow % regions], kMinDemand);
  };
  // Assigns shares of the region at one rank of each flow's preferences; all flows compete.
  const auto fill = [&](std::size_t aRank, bool aIsDraining) {
    const auto getRequestedShare = [&](std::size_t aFlow) {
      const std::size_t region = aModel.mRegionsByLatency[aFlow % regions][aRank];
      if (aModel.mIsDraining[region] != aIsDraining || !aModel.HasSlots(aFlow / regions, region)) {
        return 0.0;
      }
      const double maximum = aIsDraining ? aCurrent[aFlow][region] - target[aFlow][region] : 1.0;
      return std::max(std::min(unassigned[aFlow], maximum), 0.0);
    };
    remaining.ClearRequested();
    for (std::size_t flow = 0; flow < flows; ++flow) {
      remaining.AddRequested(flow / regions,
                             aModel.mRegionsByLatency[flow % regions][aRank],
                             getRequestedShare(flow) * getDemand(flow));
    }
    for (std::size_t flow = 0; flow < flows; ++flow) {
      const std::size_t region = aModel.mRegionsByLatency[flow % regions][aRank];
      const double share =
        getRequestedShare(flow) * remaining.ComputeFittingFraction(flow / regions, region);
      target[flow][region] += share;
      unassigned[flow] -= share;
    }
  };
  for (const bool isDraining : { false, true }) {
    for (std::size_t rank = 0; rank < regions; ++rank) {
      for (int pass = 0; pass < kPassesPerRank; ++pass) {
        const number_grid before = target;
        fill(rank, isDraining);
        for (std::size_t flow = 0; flow < flows; ++flow) {
          const std::size_t region = aModel.mRegionsByLatency[flow % regions][rank];
          const double added = target[flow][region] - before[flow][region];
          remaining.Reserve(flow / regions, region, added * getDemand(flow));
        }
      }
    }
  }
  return target;
}

} // namespace citronpulley

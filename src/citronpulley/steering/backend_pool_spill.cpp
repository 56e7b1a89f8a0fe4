#include "citronpulley/steering/backend_pool.h"

#include "citronpulley/steering/key_hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/**
 * Interval and step by which the spill rises: 6% per second keeps the change within two seconds
 * below 15%.
 */
constexpr microseconds kSpillInterval{ 250'000 };
constexpr double kSpillStep = 0.015;
/**
 * Step by which the spill falls. It is smaller because the backend servers of this region keep a
 * key cached only for a while, so that a returning key may run cold.
 */
constexpr double kSpillReturnStep = 0.005;
/**
 * Weight of one sample in the smoothed utilisation. It is small because a short burst of cold runs
 * does not mean a lack of capacity.
 */
constexpr double kUtilisationWeight = 0.12;
/** Utilisation of this VM's region above which the spill rises, and below which it falls. */
constexpr double kSpillAbove = 0.85;
constexpr double kSpillBelow = 0.65;
/** Utilisation of the other regions below which they accept more spill. */
constexpr double kSpillRoom = 0.75;

} // namespace

bool backend_pool::IsSpilled(const service& aService, const placement_request& aRequest)
{
  if (aService.mSpill <= 0) {
    return false;
  }
  // All VMs of a region spill keys in the same order, so that few backend servers in other regions
  // have to cache them.
  if (aRequest.mAffinityKey) {
    return HashToUnitInterval(*aRequest.mAffinityKey, mRegion.mValue) < aService.mSpill;
  }
  const auto spilled =
    static_cast<std::uint64_t>(static_cast<double>(++mChoices) * aService.mSpill);
  return spilled != static_cast<std::uint64_t>(static_cast<double>(mChoices - 1) * aService.mSpill);
}

double backend_pool::GetUtilisation(const service& aService, bool aIsOwnRegion, instant aNow) const
{
  double load = 0;
  double slots = 0;
  for (const std::string& id : aService.mBackends) {
    const backend& backend = mBackends.at(id);
    const bool isUnavailable = backend.mRecord.mIsLeaving || aNow < backend.mEjectedUntil ||
                               aNow < backend.mColdUntil || aNow < backend.mBackoffUntil ||
                               mEvacuatedZones.contains(backend.mRecord.mZone);
    if ((backend.mRegion == mRegion) != aIsOwnRegion || isUnavailable) {
      continue;
    }
    load += EstimateLoad(backend, aNow);
    // With a limit, only as many slots are in use as the rate fills.
    const double usable = backend.mShare
                            ? backend.mShare->GetLimit() * aService.mServiceTimeUs / 1e6
                            : backend.mRecord.mSlots;
    slots += std::min<double>(usable, backend.mRecord.mSlots);
  }
  return slots > 0 ? load / slots : 1;
}

double backend_pool::ComputeBalancedSpill(const service& aService) const
{
  double ownRegionSlots = 0;
  double allSlots = 0;
  for (const std::string& id : aService.mBackends) {
    const backend& backend = mBackends.at(id);
    allSlots += backend.mRecord.mSlots;
    ownRegionSlots += backend.mRegion == mRegion ? backend.mRecord.mSlots : 0;
  }
  const auto zones = static_cast<double>(
    std::ranges::count(mRegions, mRegion, &std::pair<const zone_name, region_name>::second));
  const double zoneShare = zones / static_cast<double>(std::max<std::size_t>(1, mRegions.size()));
  return allSlots > 0 && zoneShare > 0
           ? std::clamp(1 - ownRegionSlots / (allSlots * zoneShare), 0.0, 1.0)
           : 0;
}

void backend_pool::BalanceIdleServices()
{
  for (auto& [name, service] : mServices) {
    if (!service.mHasTraffic) {
      service.mSpill = ComputeBalancedSpill(service);
    }
  }
}

void backend_pool::AdaptSpill(instant aNow)
{
  if (aNow < mNextSpillAt) {
    return;
  }
  mNextSpillAt = aNow + kSpillInterval;
  BalanceIdleServices();
  for (auto& [name, service] : mServices) {
    if (!service.mHasTraffic) {
      continue;
    }
    service.mUtilisation +=
      (GetUtilisation(service, true, aNow) - service.mUtilisation) * kUtilisationWeight;
    if (service.mUtilisation > kSpillAbove && GetUtilisation(service, false, aNow) < kSpillRoom) {
      service.mSpill = std::min(1.0, service.mSpill + kSpillStep);
    } else if (service.mUtilisation < kSpillBelow) {
      service.mSpill = std::max(0.0, service.mSpill - kSpillReturnStep);
    }
  }
}

double backend_pool::GetSpill(const service_name& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 0 : found->second.mSpill;
}

} // namespace citronpulley

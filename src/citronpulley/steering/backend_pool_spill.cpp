#include "citronpulley/steering/backend_pool.h"

#include "citronpulley/steering/key_hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/** Steps of the part that leaves the region: 6% a second keeps two seconds under 15%. */
constexpr microseconds kSpillInterval{ 250'000 };
constexpr double kSpillStep = 0.015;
/** A key that comes home finds its backend server there still warm only for a while. */
constexpr double kSpillReturnStep = 0.005;
/** Weight of one look at the utilisation: a burst of cold runs is no lack of room. */
constexpr double kUtilisationWeight = 0.12;
/** Utilisation of the home region above which, and below which, the part changes. */
constexpr double kSpillAbove = 0.85;
constexpr double kSpillBelow = 0.65;
/** Utilisation of the other regions up to which they take more. */
constexpr double kSpillRoom = 0.75;

} // namespace

bool backend_pool::IsSpilled(const service& aService, const placement_request& aRequest)
{
  if (aService.mSpill <= 0) {
    return false;
  }
  // The same keys leave the region at every VM, so that few backend servers elsewhere learn them.
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
    const bool isOut = backend.mRecord.mIsLeaving || aNow < backend.mEjectedUntil ||
                       aNow < backend.mColdUntil || mEvacuatedZones.contains(backend.mRecord.mZone);
    if ((backend.mRegion == mRegion) != aIsOwnRegion || isOut) {
      continue;
    }
    load += EstimateLoad(backend, aNow);
    slots += backend.mRecord.mSlots;
  }
  return slots > 0 ? load / slots : 1;
}

double backend_pool::ComputeBalancedSpill(const service& aService) const
{
  double home = 0;
  double all = 0;
  for (const std::string& id : aService.mBackends) {
    const backend& backend = mBackends.at(id);
    all += backend.mRecord.mSlots;
    home += backend.mRegion == mRegion ? backend.mRecord.mSlots : 0;
  }
  const auto zones = static_cast<double>(
    std::ranges::count(mRegions, mRegion, &std::pair<const zone_name, region_name>::second));
  const double share = zones / static_cast<double>(std::max<std::size_t>(1, mRegions.size()));
  return all > 0 && share > 0 ? std::clamp(1 - home / (all * share), 0.0, 1.0) : 0;
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

#include "citronpulley/routing/zone_router.h"

#include "citronpulley/routing/policy_measures.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

/** Assumed one-way latency between two zones of a region; for zones of other regions it is added to
 * the latency between the regions. */
constexpr double kInterZoneMilliseconds = 1.5;
constexpr const char* kDefaultPolicy = "weighted";

template<typename Element, typename Name>
std::optional<std::size_t> FindPosition(const std::vector<Element>& aElements, const Name& aName)
{
  for (std::size_t position = 0; position < aElements.size(); ++position) {
    if (aElements[position].mName == aName) {
      return position;
    }
  }
  return std::nullopt;
}

template<typename Element>
bool Contains(const std::vector<Element>& aElements, const Element& aElement)
{
  return std::find(aElements.begin(), aElements.end(), aElement) != aElements.end();
}

void CollectDependencies(const catalogue& aCatalogue,
                         const service_entry& aService,
                         std::vector<std::size_t>& aDependencies)
{
  for (const service_dependency& dependency : aService.mDependencies) {
    const auto position = FindPosition(aCatalogue.mServices, dependency.mService);
    if (position && dependency.mCallsPerRequest > 0 && !Contains(aDependencies, *position)) {
      aDependencies.push_back(*position);
      CollectDependencies(aCatalogue, aCatalogue.mServices[*position], aDependencies);
    }
  }
}

bool IsRecent(const std::optional<instant>& aTime, instant aNow)
{
  return aTime && aNow <= *aTime + zone_router::kMaxSummaryAge;
}

} // namespace

zone_router::zone_router(zone_name aOwnZone, region_name aOwnRegion)
  : mOwnZone(std::move(aOwnZone))
  , mOwnRegion(std::move(aOwnRegion))
{
}

void zone_router::SetCatalogue(const catalogue& aCatalogue)
{
  if (mPolicy == nullptr || mPolicyName != aCatalogue.mRoutingPolicy) {
    mPolicyName = aCatalogue.mRoutingPolicy;
    mPolicy = routing_policy_registry::Instance().Make(mPolicyName);
    if (mPolicy == nullptr) {
      // A catalogue from a newer version of the software can name a policy that this version lacks.
      mPolicy = routing_policy_registry::Instance().Make(kDefaultPolicy);
    }
    assert(mPolicy != nullptr);
  }
  mWeights = aCatalogue.mWeights;
  mRegions.clear();
  mZones.clear();
  mServices.clear();
  mSummariesReceivedAt.reset();
  for (const region_entry& region : aCatalogue.mRegions) {
    const bool isDrained = Contains(aCatalogue.mDrainedRegions, region.mName);
    const std::size_t firstZone = mZones.size();
    for (const zone_name& zone : region.mZones) {
      mZones.push_back({ zone, mRegions.size(), Contains(aCatalogue.mDrainedZones, zone) });
    }
    const bool areAllDrained =
      std::all_of(mZones.begin() + static_cast<std::ptrdiff_t>(firstZone),
                  mZones.end(),
                  [](const zone_state& aZone) { return aZone.mIsDrained; });
    if (areAllDrained) {
      // The region drains as a whole, so that its zones serve the share that the plan still gives
      // it.
      std::for_each(mZones.begin() + static_cast<std::ptrdiff_t>(firstZone),
                    mZones.end(),
                    [](zone_state& aZone) { aZone.mIsDrained = false; });
    }
    mRegions.push_back({ region.mName,
                         aCatalogue.GetOneWayMilliseconds(mOwnRegion, region.mName),
                         isDrained || areAllDrained });
  }
  for (const service_entry& service : aCatalogue.mServices) {
    service_state& state = mServices.emplace_back();
    state.mName = service.mName;
    CollectDependencies(aCatalogue, service, state.mDependencies);
    state.mZones.resize(mZones.size());
    state.mSlotsSeenAt.resize(mRegions.size());
  }
  mCandidates.reserve(mZones.size());
  mRegionOptions.reserve(mRegions.size());
}

void zone_router::SetPlan(std::span<const region_share> aPlan)
{
  for (service_state& service : mServices) {
    service.mShares.clear();
  }
  for (const region_share& share : aPlan) {
    service_state* service = FindService(share.mService);
    const auto region = FindPosition(mRegions, share.mTarget);
    if (service == nullptr || !region || share.mSource != mOwnRegion) {
      continue;
    }
    service->mShares.resize(mRegions.size());
    service->mShares[*region] += share.mShare;
  }
}

void zone_router::UpdateSummaries(std::span<const zone_summary> aSummaries, instant aNow)
{
  mSummariesReceivedAt = aNow;
  for (const zone_summary& summary : aSummaries) {
    service_state* service = FindService(summary.mService);
    const auto zone = FindPosition(mZones, summary.mZone);
    if (service == nullptr || !zone) {
      continue;
    }
    service->mZones[*zone] = { summary.mSlots, summary.mRunning, aNow };
    if (summary.mSlots > 0) {
      service->mSlotsSeenAt[mZones[*zone].mRegion] = aNow;
    }
  }
}

zone_choice zone_router::Choose(const zone_query& aQuery, instant aNow, std::uint64_t aRandom)
{
  const service_state* service = FindService(aQuery.mService);
  if (service == nullptr) {
    return {};
  }
  // A VM without recent updates serves in its own region and ignores the plan, which may be
  // outdated.
  const bool isStale = !aQuery.mIsFresh || !IsRecent(mSummariesReceivedAt, aNow);
  CollectCandidates(*service, aQuery, aNow, isStale);
  if (!service->mShares.empty() && !isStale) {
    const zone_choice picked =
      PickRegion(*service, !aQuery.mTriedZones.empty(), ToFraction(aRandom));
    if (picked.mVerdict != zone_verdict::Chosen) {
      return picked;
    }
  }
  if (mCandidates.empty()) {
    return {};
  }
  const std::size_t chosen = mPolicy->ChooseZone(mCandidates, mWeights, MixRandom(aRandom));
  return { zone_verdict::Chosen, &mZones[mCandidates[chosen].mZone].mName };
}

std::size_t zone_router::ChooseServer(std::span<const server_candidate> aCandidates,
                                      std::uint64_t aRandom)
{
  assert(!aCandidates.empty());
  // A forwarded request can arrive before the first catalogue.
  return mPolicy == nullptr ? aRandom % aCandidates.size()
                            : mPolicy->ChooseServer(aCandidates, aRandom);
}

zone_router::service_state* zone_router::FindService(const service_name& aName) noexcept
{
  const auto position = FindPosition(mServices, aName);
  return position ? &mServices[*position] : nullptr;
}

bool zone_router::CanServe(const service_state& aService,
                           std::size_t aZone,
                           const zone_query& aQuery,
                           bool aIsStale) const
{
  const zone_state& zone = mZones[aZone];
  const region_state& region = mRegions[zone.mRegion];
  const bool isPlanned =
    !aIsStale && !aService.mShares.empty() && aService.mShares[zone.mRegion] > 0;
  if (zone.mIsDrained || (region.mIsDrained && !isPlanned)) {
    return false;
  }
  if (aIsStale && region.mName != mOwnRegion) {
    return false;
  }
  return aQuery.mTriedZones.empty() || !aQuery.mTriedZones.contains(zone.mName);
}

bool zone_router::AreDependenciesAvailable(const service_state& aService,
                                           std::size_t aRegion,
                                           instant aNow) const
{
  return std::all_of(
    aService.mDependencies.begin(), aService.mDependencies.end(), [&](std::size_t aDependency) {
      return IsRecent(mServices[aDependency].mSlotsSeenAt[aRegion], aNow);
    });
}

void zone_router::CollectCandidates(const service_state& aService,
                                    const zone_query& aQuery,
                                    instant aNow,
                                    bool aIsStale)
{
  mCandidates.clear();
  for (std::size_t index = 0; index < mZones.size(); ++index) {
    const zone_state& zone = mZones[index];
    const region_state& region = mRegions[zone.mRegion];
    const bool isOwn = zone.mName == mOwnZone;
    const zone_report& reported = aService.mZones[index];
    std::uint32_t slots = isOwn ? aQuery.mOwnSlots : reported.mSlots;
    std::uint32_t running = isOwn ? aQuery.mOwnRunning : reported.mRunning;
    if (slots == 0 || !CanServe(aService, index, aQuery, aIsStale)) {
      continue;
    }
    // Without recent summaries the state of the dependencies is unknown, and none counts as failed.
    if (!aIsStale && !AreDependenciesAvailable(aService, zone.mRegion, aNow)) {
      continue;
    }
    if (!isOwn && !IsRecent(reported.mReportedAt, aNow)) {
      // Assumes half of the last known slots, of which half are busy, so that an outdated count of
      // running requests does not influence the share of the zone.
      slots = std::max(slots / 2, 1U);
      running = slots / 2;
    }
    const double share = aService.mShares.empty() ? -1 : aService.mShares[zone.mRegion];
    mCandidates.push_back({ static_cast<std::uint32_t>(index),
                            isOwn ? 0 : kInterZoneMilliseconds + region.mOneWayMilliseconds,
                            slots,
                            running,
                            share });
  }
}

zone_choice zone_router::PickRegion(const service_state& aService, bool aIsRetry, double aFraction)
{
  const auto hasCandidate = [&](std::size_t aRegion) {
    return std::any_of(mCandidates.begin(), mCandidates.end(), [&](const zone_candidate& aZone) {
      return mZones[aZone.mZone].mRegion == aRegion;
    });
  };
  mRegionOptions.clear();
  double sum = 0;
  for (std::size_t region = 0; region < mRegions.size(); ++region) {
    const double share = aService.mShares[region];
    if (share > 0 && (!aIsRetry || hasCandidate(region))) {
      mRegionOptions.push_back({ region, share });
      sum += share;
    }
  }
  if (mRegionOptions.empty()) {
    return { aIsRetry ? zone_verdict::NoZone : zone_verdict::Shed };
  }
  // On a first attempt, shares that sum to less than 1 leave a remainder, which is shed.
  const double scale = aIsRetry ? sum : std::max(1.0, sum);
  double remaining = aFraction * scale;
  const auto picked =
    std::find_if(mRegionOptions.begin(), mRegionOptions.end(), [&](const region_option& aOption) {
      remaining -= aOption.mShare;
      return remaining < 0;
    });
  // Rounding may leave a remainder when the shares sum to 1.
  const bool isShed = picked == mRegionOptions.end() && remaining > 1e-9;
  const std::size_t region =
    picked == mRegionOptions.end() ? mRegionOptions.back().mRegion : picked->mRegion;
  if (isShed || !hasCandidate(region)) {
    return { mCandidates.empty() ? zone_verdict::NoZone : zone_verdict::Shed };
  }
  std::erase_if(mCandidates,
                [&](const zone_candidate& aZone) { return mZones[aZone.mZone].mRegion != region; });
  return { zone_verdict::Chosen };
}

} // namespace citronpulley

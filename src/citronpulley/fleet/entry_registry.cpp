#include "citronpulley/fleet/entry_registry.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

namespace citronpulley {

namespace {

/** Maximum number of entry VMs that share the requests to one cold backend server. */
constexpr std::size_t kWarmupSenders = 4;
/**
 * Entry VMs of its own region, and of each other region, that a VM is told for relays. Six of a
 * region share the requests of a VM that is cut off; the others are for a region that is cut off as
 * a whole, and for requests that are permitted in one region only.
 */
constexpr std::size_t kOwnRegionRelays = 6;
constexpr std::size_t kOtherRegionRelays = 3;
/** Fraction of the tolerated rate that is used, since permits of two leaders can overlap. */
constexpr double kWarmupUse = 0.9;

/**
 * @param aCutOff services that a VM does not reach
 * @param aOtherCutOff the same of another VM
 * @return true when the VM reaches everything, or a service that the other one does not
 */
bool ReachesMore(const std::vector<service_name>& aCutOff,
                 const std::vector<service_name>& aOtherCutOff)
{
  return aCutOff.empty() ||
         std::ranges::any_of(aOtherCutOff, [&aCutOff](const service_name& aService) {
           return std::ranges::find(aCutOff, aService) == aCutOff.end();
         });
}

std::uint64_t MixHashes(std::uint64_t aOne, std::uint64_t aOther) noexcept
{
  std::uint64_t hash = aOne ^ (aOther * 0x9e3779b97f4a7c15ULL);
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33U);
}

} // namespace

entry_registry::entry& entry_registry::FindOrAdd(const entry_location& aLocation)
{
  entry& entry = mEntries[aLocation.mVm];
  if (entry.mLocation != aLocation) {
    ++mVersion;
  }
  if (entry.mLocation.mVm.IsEmpty()) {
    entry.mHash = std::hash<std::string>{}(aLocation.mVm.mValue);
  }
  entry.mLocation = aLocation;
  return entry;
}

void entry_registry::Update(const entry_report& aReport, instant aNow)
{
  entry& entry = FindOrAdd(aReport.mLocation);
  if (entry.mIsAccepting != aReport.mIsAccepting || entry.mCutOff != aReport.mCutOff) {
    ++mVersion;
  }
  entry.mIsAccepting = aReport.mIsAccepting;
  entry.mCutOff = aReport.mCutOff;
  entry.mReachableUntil = aNow + kContactTimeout;
  const std::size_t removed = std::erase_if(
    mEntries, [&](const auto& aEntry) { return aEntry.second.mReachableUntil <= aNow; });
  mVersion += removed;
}

std::vector<relay_vm> entry_registry::ComputeRelays(const entry& aEntry, instant aNow) const
{
  std::map<region_name, std::vector<std::pair<std::uint64_t, const entry*>>> candidates;
  for (const auto& [vm, other] : mEntries) {
    if (&other != &aEntry && other.mIsAccepting && other.mReachableUntil > aNow &&
        ReachesMore(other.mCutOff, aEntry.mCutOff)) {
      candidates[other.mLocation.mRegion].emplace_back(MixHashes(aEntry.mHash, other.mHash),
                                                       &other);
    }
  }
  std::vector<relay_vm> relays;
  for (auto& [region, list] : candidates) {
    const std::size_t count = std::min(
      list.size(), region == aEntry.mLocation.mRegion ? kOwnRegionRelays : kOtherRegionRelays);
    std::ranges::partial_sort(list, list.begin() + static_cast<std::ptrdiff_t>(count));
    list.resize(count);
    for (const auto& [rank, other] : list) {
      relays.push_back({ other->mLocation.mVm, region, other->mCutOff });
    }
  }
  return relays;
}

void entry_registry::FillRelays(const entry_report& aReport, instant aNow, entry_update& aUpdate)
{
  const auto found = mEntries.find(aReport.mLocation.mVm);
  if (found == mEntries.end()) {
    return;
  }
  entry& entry = found->second;
  if (entry.mRelayVersion != mVersion) {
    entry.mRelays = ComputeRelays(entry, aNow);
    entry.mRelayDigest = ComputeRelayDigest(entry.mRelays);
    entry.mRelayVersion = mVersion;
  }
  if (entry.mRelayDigest != aReport.mRelayDigest) {
    aUpdate.mHasRelays = true;
    aUpdate.mRelays = entry.mRelays;
  }
}

void entry_registry::Adopt(const std::vector<entry_location>& aEntries, instant aNow)
{
  for (const entry_location& location : aEntries) {
    if (!mEntries.contains(location.mVm)) {
      entry& entry = FindOrAdd(location);
      entry.mIsAccepting = true;
      entry.mReachableUntil = aNow + kAdoptionTimeout;
    }
  }
}

bool entry_registry::ReachesNothing(const entry& aEntry, std::size_t aServiceCount)
{
  // A VM notices a cut only for services that it has requests for, so a single service that is down
  // must not move callers to the VMs without requests for it.
  return aServiceCount > 0 && aEntry.mCutOff.size() >= aServiceCount;
}

std::vector<entry_location> entry_registry::ListAccepting(std::size_t aServiceCount,
                                                          instant aNow) const
{
  std::vector<const entry*> accepting;
  std::map<region_name, int> whole;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mIsAccepting && entry.mReachableUntil > aNow) {
      accepting.push_back(&entry);
      whole[entry.mLocation.mRegion] += ReachesNothing(entry, aServiceCount) ? 0 : 1;
    }
  }
  std::vector<entry_location> list;
  for (const entry* entry : accepting) {
    if (!ReachesNothing(*entry, aServiceCount) || whole[entry->mLocation.mRegion] < kMinWholeVms) {
      list.push_back(entry->mLocation);
    }
  }
  return list;
}

std::optional<double> entry_registry::FindWarmupRate(const vm_name& aVm,
                                                     const backend_record& aBackend,
                                                     double aRate,
                                                     instant aNow) const
{
  const auto own = mEntries.find(aVm);
  if (own == mEntries.end() || own->second.mLocation.mZone != aBackend.mZone) {
    return std::nullopt;
  }
  const std::uint64_t backend = std::hash<std::string>{}(aBackend.mId);
  const std::uint64_t rank = MixHashes(own->second.mHash, backend);
  std::size_t live = 0;
  std::size_t ahead = 0;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mLocation.mZone == aBackend.mZone && entry.mReachableUntil > aNow) {
      ++live;
      ahead += MixHashes(entry.mHash, backend) < rank ? 1 : 0;
    }
  }
  if (live == 0 || ahead >= kWarmupSenders) {
    return std::nullopt;
  }
  return kWarmupUse * aRate / static_cast<double>(std::min(kWarmupSenders, live));
}

} // namespace citronpulley

#include "citronpulley/fleet/entry_registry.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

namespace citronpulley {

namespace {

/** Maximum number of entry VMs that share the requests to one cold backend server. */
constexpr std::size_t kWarmupSenders = 4;
/** Fraction of the tolerated rate that is used, since permits of two leaders can overlap. */
constexpr double kWarmupUse = 0.9;

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
  if (entry.mLocation.mVm.IsEmpty()) {
    entry.mHash = std::hash<std::string>{}(aLocation.mVm.mValue);
  }
  entry.mLocation = aLocation;
  return entry;
}

void entry_registry::Update(const entry_report& aReport, instant aNow)
{
  entry& entry = FindOrAdd(aReport.mLocation);
  entry.mIsAccepting = aReport.mIsAccepting;
  entry.mReachableUntil = aNow + kContactTimeout;
  std::erase_if(mEntries,
                [&](const auto& aEntry) { return aEntry.second.mReachableUntil <= aNow; });
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

std::vector<entry_location> entry_registry::ListAccepting(instant aNow) const
{
  std::vector<entry_location> list;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mIsAccepting && entry.mReachableUntil > aNow) {
      list.push_back(entry.mLocation);
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

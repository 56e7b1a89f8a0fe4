#include "citronpulley/fleet/entry_registry.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/** Entry VMs that share the requests to one cold backend server. */
constexpr std::size_t kWarmupSenders = 4;
/** Part of the tolerated rate that is used, since permits of two leaders can overlap. */
constexpr double kWarmupUse = 0.9;
/** Change of a part that is worth telling. */
constexpr double kShareTolerance = 0.05;

bool IsClose(const workspace_share& aLeft, const workspace_share& aRight)
{
  const auto isClose = [](double aOne, double aOther) {
    return std::abs(aOne - aOther) <= kShareTolerance * std::max(aOne, aOther);
  };
  return isClose(aLeft.mRate, aRight.mRate) && isClose(aLeft.mBurst, aRight.mBurst);
}

std::size_t HashPair(const std::string& aOne, const std::string& aOther)
{
  return std::hash<std::string>{}(aOne + "|" + aOther);
}

} // namespace

void entry_registry::Take(const entry_report& aReport,
                          const std::vector<workspace_rule>& aWorkspaces,
                          instant aNow)
{
  const auto [place, isNew] = mEntries.try_emplace(aReport.mPlace.mVm);
  entry& entry = place->second;
  if (isNew || aReport.mNumber != entry.mNumber + 1) {
    // An update may have been lost, or the process is new.
    entry.mKnownShares.clear();
  }
  entry.mPlace = aReport.mPlace;
  entry.mIsAccepting = aReport.mIsAccepting;
  entry.mNumber = aReport.mNumber;
  entry.mHeardAt = aNow;
  entry.mDemands.clear();
  for (const workspace_demand& demand : aReport.mDemands) {
    entry.mDemands[demand.mWorkspace] = demand.mRate;
  }
  if (isNew || mNextDivisionAt <= aNow) {
    Divide(aWorkspaces, aNow);
  }
}

void entry_registry::Divide(const std::vector<workspace_rule>& aWorkspaces, instant aNow)
{
  mNextDivisionAt = aNow + kDivideInterval;
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mHeardAt + mLease <= aNow;
  });
  for (const workspace_rule& workspace : aWorkspaces) {
    DivideOne(workspace, aNow);
  }
}

void entry_registry::DivideOne(const workspace_rule& aWorkspace, instant aNow)
{
  double reserved = 0;
  double demand = 0;
  std::vector<entry*> present;
  for (auto& [vm, entry] : mEntries) {
    if (entry.mHeardAt + kListedFor > aNow) {
      present.push_back(&entry);
      const auto found = entry.mDemands.find(aWorkspace.mName);
      demand += found == entry.mDemands.end() ? 0 : found->second;
      continue;
    }
    const auto held = entry.mShares.find(aWorkspace.mName);
    if (held != entry.mShares.end() && aWorkspace.mRate > 0) {
      reserved += std::min(1.0, held->second.mRate / aWorkspace.mRate);
    }
  }
  const double free = std::max(0.0, 1 - reserved);
  for (entry* entry : present) {
    const auto found = entry->mDemands.find(aWorkspace.mName);
    const double own = found == entry->mDemands.end() ? 0 : found->second;
    const double even = 1 / static_cast<double>(present.size());
    const double part =
      free * (demand > 0 ? kEvenPart * even + (1 - kEvenPart) * own / demand : even);
    entry->mShares[aWorkspace.mName] = { aWorkspace.mName,
                                         aWorkspace.mRate * part,
                                         aWorkspace.mBurst * part };
  }
}

std::vector<workspace_share> entry_registry::TakeShares(const vm_name& aVm)
{
  std::vector<workspace_share> news;
  const auto found = mEntries.find(aVm);
  if (found == mEntries.end()) {
    return news;
  }
  for (const auto& [name, share] : found->second.mShares) {
    const auto known = found->second.mKnownShares.find(name);
    if (known == found->second.mKnownShares.end() || !IsClose(known->second, share)) {
      found->second.mKnownShares[name] = share;
      news.push_back(share);
    }
  }
  return news;
}

std::vector<entry_place> entry_registry::ListAccepting(instant aNow) const
{
  std::vector<entry_place> list;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mIsAccepting && entry.mHeardAt + kListedFor > aNow) {
      list.push_back(entry.mPlace);
    }
  }
  return list;
}

std::optional<double> entry_registry::FindWarmupRate(const vm_name& aVm,
                                                     const backend_record& aBackend,
                                                     double aRate,
                                                     instant aNow) const
{
  std::vector<std::pair<std::size_t, vm_name>> senders;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mPlace.mZone == aBackend.mZone && entry.mHeardAt + kListedFor > aNow) {
      senders.emplace_back(HashPair(vm.mValue, aBackend.mId), vm);
    }
  }
  std::ranges::sort(senders);
  const std::size_t count = std::min(kWarmupSenders, senders.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (senders[i].second == aVm) {
      return kWarmupUse * aRate / static_cast<double>(count);
    }
  }
  return std::nullopt;
}

} // namespace citronpulley

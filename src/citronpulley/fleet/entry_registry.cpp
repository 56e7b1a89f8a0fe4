#include "citronpulley/fleet/entry_registry.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/** Entry VMs that share the requests to one cold backend server. */
constexpr std::size_t kWarmupSenders = 4;
/** Part of the tolerated rate that is used, since permits of two leaders can overlap. */
constexpr double kWarmupUse = 0.9;
std::size_t HashPair(const std::string& aOne, const std::string& aOther)
{
  return std::hash<std::string>{}(aOne + "|" + aOther);
}

} // namespace

void entry_registry::Take(const entry_report& aReport, instant aNow)
{
  mEntries[aReport.mPlace.mVm] = { aReport.mPlace, aReport.mIsAccepting, aNow };
  std::erase_if(mEntries,
                [&](const auto& aEntry) { return aEntry.second.mHeardAt + kListedFor <= aNow; });
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

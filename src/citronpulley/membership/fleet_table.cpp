#include "citronpulley/membership/fleet_table.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace citronpulley {

void fleet_table::UpdateFromPoll(const poll& aPoll, instant aNow)
{
  UpdateVm(aPoll.mSender, aPoll.mServerSummaries, aNow, true);
}

void fleet_table::UpdateFromReport(const fleet_report& aReport, instant aNow)
{
  for (const polled_vm& vm : aReport.mVms) {
    UpdateVm(vm.mRecord, vm.mServerSummaries, aNow - microseconds(vm.mAgeMicroseconds), false);
  }
}

void fleet_table::Expire(instant aNow)
{
  std::erase_if(mVms, [aNow](const auto& aEntry) {
    return aEntry.second.mPolledAt + 10 * kContactTimeout <= aNow;
  });
}

fleet_report fleet_table::MakeReport(instant aNow) const
{
  fleet_report report;
  for (const auto& [name, vm] : mVms) {
    if (vm.mPollsThisVm && vm.mPolledAt + kContactTimeout > aNow) {
      report.mVms.push_back({ vm.mRecord, (aNow - vm.mPolledAt).count(), vm.mServerSummaries });
    }
  }
  return report;
}

std::vector<vm_record> fleet_table::ListLiveVms(instant aNow) const
{
  std::vector<vm_record> vms;
  for (const auto& [name, vm] : mVms) {
    if (vm.mPolledAt + kContactTimeout > aNow) {
      vms.push_back(vm.mRecord);
    }
  }
  return vms;
}

std::vector<vm_record> fleet_table::ListVmsFor(const vm_record& aReceiver, instant aNow) const
{
  using scored_vm = std::pair<std::uint64_t, const vm_record*>;
  std::map<zone_name, std::vector<scored_vm>> zones;
  for (const auto& [name, vm] : mVms) {
    if (vm.mPolledAt + kContactTimeout > aNow) {
      const std::string pair = aReceiver.mVm.mValue + "/" + name.mValue;
      zones[vm.mRecord.mZone].emplace_back(XXH3_64bits(pair.data(), pair.size()), &vm.mRecord);
    }
  }
  std::vector<vm_record> list;
  for (auto& [zone, vms] : zones) {
    if (zone != aReceiver.mZone && vms.size() > kVmsPerOtherZone) {
      std::nth_element(vms.begin(), vms.begin() + kVmsPerOtherZone, vms.end());
      vms.resize(kVmsPerOtherZone);
    }
    for (const auto& [score, vm] : vms) {
      list.push_back(*vm);
    }
  }
  std::sort(list.begin(), list.end());
  return list;
}

std::vector<zone_summary> fleet_table::SummariseZones(instant aNow) const
{
  std::map<std::pair<zone_name, service_name>, zone_summary> sums;
  for (const auto& [name, vm] : mVms) {
    if (vm.mPolledAt + kContactTimeout <= aNow) {
      continue;
    }
    for (const zone_summary& summary : vm.mServerSummaries) {
      zone_summary& sum = sums[{ summary.mZone, summary.mService }];
      sum.mZone = summary.mZone;
      sum.mService = summary.mService;
      sum.mServers += summary.mServers;
      sum.mSlots += summary.mSlots;
      sum.mRunning += summary.mRunning;
    }
  }
  std::vector<zone_summary> list;
  list.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    list.push_back(std::move(sum));
  }
  return list;
}

void fleet_table::UpdateVm(const vm_record& aRecord,
                           const std::vector<zone_summary>& aServerSummaries,
                           instant aPolledAt,
                           bool aPollsThisVm)
{
  const auto [entry, isNew] = mVms.try_emplace(aRecord.mVm);
  vm_state& vm = entry->second;
  if (!isNew && (aRecord.mIncarnation < vm.mRecord.mIncarnation || aPolledAt < vm.mPolledAt)) {
    return;
  }
  vm = { aRecord, aPolledAt, aServerSummaries, aPollsThisVm };
}

} // namespace citronpulley

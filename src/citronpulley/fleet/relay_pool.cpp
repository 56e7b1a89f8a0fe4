#include "citronpulley/fleet/relay_pool.h"

#include "citronpulley/steering/backend_pool.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

void relay_pool::SetVms(std::vector<relay_vm> aVms)
{
  mVms = std::move(aVms);
  mDigest = ComputeRelayDigest(mVms);
  std::erase_if(mMembers, [this](const auto& aEntry) {
    return aEntry.second.mRequests == 0 &&
           std::ranges::find(mVms, aEntry.first, &relay_vm::mVm) == mVms.end();
  });
}

std::optional<vm_name> relay_pool::Choose(const placement_request& aRequest,
                                          const std::vector<vm_name>& aExcluded,
                                          instant aNow)
{
  const relay_vm* best = nullptr;
  int bestCost = 0;
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    const relay_vm& vm = mVms[(mNextVm + i) % mVms.size()];
    const member& member = mMembers[vm.mVm];
    if (aNow < member.mEjectedUntil || !aRequest.Permits(vm.mRegion) ||
        std::ranges::find(vm.mCutOff, aRequest.mService) != vm.mCutOff.end() ||
        std::ranges::find(aExcluded, vm.mVm) != aExcluded.end()) {
      continue;
    }
    const int cost = member.mRequests + (vm.mRegion == mRegion ? 0 : kOtherRegionRequests);
    if (best == nullptr || cost < bestCost) {
      best = &vm;
      bestCost = cost;
    }
  }
  ++mNextVm;
  return best == nullptr ? std::nullopt : std::optional<vm_name>(best->mVm);
}

void relay_pool::RecordSent(const vm_name& aVm)
{
  ++mMembers[aVm].mRequests;
}

void relay_pool::RecordEnd(const vm_name& aVm, bool aIsReachable, instant aNow)
{
  member& member = mMembers[aVm];
  member.mRequests = std::max(0, member.mRequests - 1);
  if (aIsReachable) {
    member.mFailures = 0;
    return;
  }
  const int doublings = std::min(member.mFailures++, kMaxEjectionDoublings);
  member.mEjectedUntil = aNow + kFirstEjection * (1 << doublings);
}

} // namespace citronpulley
